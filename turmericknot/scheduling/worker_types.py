"""Types of an agent's decisions: the worker's life, its runs, calls and lists."""

from dataclasses import dataclass, field

from turmericknot.wire.shard_messages import RunName

from .jobs import RunEnd


@dataclass(slots=True)
class WorkerLife:
    """One start of the worker, as it reports itself.

    ``clock`` is the worker's clock in seconds at the agent's time ``clock_at``.
    """

    id: str
    born: int
    service: str
    usable: bool
    cpu: int
    memory: int
    accelerators: int
    labels: list
    clock: float
    clock_at: float
    sequence: int = 0

    @property
    def key(self):
        """Return what tells this life from the others."""
        return f"{self.id}@{self.born}"


@dataclass(slots=True)
class ShardGrant:
    """What the agent knows of the owner of a shard."""

    epoch: int
    stream: object
    expires_at: float = 0.0
    is_lapsed: bool = False  # the worker's lease ended after the grant did


@dataclass(slots=True)
class Run:
    """A run that the worker has, or may have.

    ``shard`` is None for a run that a former process of the agent started for a job
    that is not kept: nobody asks for its end.
    """

    name: RunName
    shard: int | None
    cpu: int = 0
    memory: int = 0
    accelerators: int = 0
    fence: int = 0
    is_confirmed: bool = False
    confirmed_at: float = 0.0
    is_listed: bool = False  # a look has shown it
    is_doubtful: bool = False  # the answer to its start was lost
    is_stopping: bool = False
    stop_sent_at: float = 0.0
    is_found: bool = False  # a former process of the agent started it
    order: object = None  # the RunStart while the run waits for room
    queued_at: float = 0.0
    due_at: float = 0.0
    expected: float = 0.0  # seconds
    percent: int = 0
    progressed_at: float = 0.0  # when the percentage last changed
    is_stuck: bool = False


@dataclass(slots=True)
class StartCall:
    """Ask the worker to start a run; the deadline is on the worker's clock."""

    name: RunName
    spec: str
    fence: int
    deadline_ms: int
    life: WorkerLife


@dataclass(slots=True)
class StopCall:
    """Ask the worker to stop a run."""

    name: RunName
    fence: int
    life: WorkerLife


@dataclass(slots=True)
class HoldCall:
    """Ask the worker for its runs and renew its lease.

    ``deadline_ms`` is None to leave the lease as it is.
    """

    fence: int
    last_seen: int
    deadline_ms: int | None
    life: WorkerLife
    sent_at: float


@dataclass(slots=True)
class SendToOwner:
    """Send a message on the stream of an entry."""

    stream: object
    message: object


@dataclass(slots=True)
class AgentLogLine:
    """Write a log line."""

    event: str
    fields: dict


@dataclass(slots=True)
class ListedRun:
    """One row of a worker's running list."""

    name: RunName
    percent: int


@dataclass(slots=True)
class ListedEnd:
    """One row of a worker's list of ends."""

    number: int
    name: RunName
    how: RunEnd


@dataclass(slots=True)
class HoldResult:
    """Answer of a worker to HoldCall; ``clock_ms`` is the worker's clock."""

    clock_ms: int
    born: int | None
    running: list = field(default_factory=list)
    ended: list = field(default_factory=list)
