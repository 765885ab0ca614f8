"""Data types of the agent's decisions: the worker, its runs, calls and list rows."""

from dataclasses import dataclass, field

from turmericknot.wire.shard_messages import RunName

from .jobs import RunEnd


@dataclass(slots=True)
class WorkerLife:
    """One incarnation of the worker: a process of it from start to end.

    Holds what the worker reports. A restarted worker may keep its ``id``, but has a
    later ``born``, the start time of the process in Unix milliseconds (0 if unknown).
    ``clock`` is the worker's clock in seconds at the agent's time ``clock_at``.
    ``leaves_at`` is the agent's time before which a leaving worker does not leave;
    None if it does not leave, or has not said when.
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
    cold_s: float = 0.0  # how much longer, at ``clock_at``, the worker is slow
    leaves_at: float | None = None

    @property
    def key(self):
        """Return the identifier of the incarnation; it changes with each restart."""
        return f"{self.id}@{self.born}"


@dataclass(slots=True)
class ShardGrant:
    """The latest grant from the owner of a shard."""

    epoch: int
    stream: object
    expires_at: float = 0.0
    # Whether the present owner has granted the shard itself. Until then, runs that it
    # takes over keep the grant of the previous owner, but none starts.
    is_confirmed: bool = False
    is_lapsed: bool = False  # the worker's lease ended after the grant


@dataclass(slots=True)
class Run:
    """A run that the worker has, or may have.

    ``shard`` is None for a run that an earlier agent process started for a best-effort
    job: no owner waits for its end.
    """

    name: RunName
    shard: int | None
    cpu: int = 0
    memory: int = 0
    accelerators: int = 0
    fence: int = 0
    start_sent_at: float = 0.0  # when the start call was decided
    is_confirmed: bool = False
    confirmed_at: float = 0.0
    is_listed: bool = False  # the worker has listed it in a renewal
    is_start_unanswered: bool = False  # the response to its start was lost
    # An earlier incarnation of the worker that may have begun the run; empty if none.
    former_life: str = ""
    is_stopping: bool = False
    first_stop_sent_at: float = 0.0
    stop_sent_at: float = 0.0
    is_inherited: bool = False  # listed, but unknown to this agent process
    pending_start: object = None  # RunStart of a run that is still queued
    queued_at: float = 0.0  # start of the wait for a grant, then for capacity
    has_waited_for_grant: bool = False
    due_at: float = 0.0
    expected: float = 0.0  # seconds
    percent: int = 0
    progressed_at: float = 0.0  # when the percentage last changed
    is_stuck: bool = False
    is_suspect: bool = False  # the task may have crashed another worker
    queue: str = ""  # of its job; empty if unknown
    failures: int = 0  # failed runs of the task before this one
    is_lapsed: bool = False  # ended with the lease of a worker that cannot be reached


@dataclass(slots=True)
class StartCall:
    """Call that starts a run; its lease deadline is on the worker's clock.

    Without an answer within ``answer_timeout_s``, the next renewal settles the call.
    """

    name: RunName
    spec: str
    fence: int
    deadline_ms: int
    life: WorkerLife
    answer_timeout_s: float


@dataclass(slots=True)
class StopCall:
    """Call that stops a run on the worker."""

    name: RunName
    fence: int
    life: WorkerLife


@dataclass(slots=True)
class LeaseRenewal:
    """Call that renews the lease of the worker and returns its lists of runs.

    ``last_seen`` is the number of the last end that the worker may forget.
    ``deadline_ms`` is None to leave the lease unchanged.
    """

    fence: int
    last_seen: int
    deadline_ms: int | None
    life: WorkerLife
    sent_at: float
    previous_lease_until: float = 0.0  # end of the lease that it extends
    lease_until: float = 0.0  # end of the lease if the worker gets the call


@dataclass(slots=True)
class SendToOwner:
    """Send a message on the stream to an owner."""

    stream: object
    message: object


@dataclass(slots=True)
class SendToEntries:
    """Send a WorkerCrashed message to all connected entries."""

    message: object


@dataclass(slots=True)
class AgentLogLine:
    """Write a log line."""

    event: str
    fields: dict


@dataclass(slots=True)
class ListedRun:
    """A row in the worker's list of running runs."""

    name: RunName
    percent: int


@dataclass(slots=True)
class ListedEnd:
    """A row in the worker's list of ended runs."""

    number: int
    name: RunName
    how: RunEnd


@dataclass(slots=True)
class LeaseRenewalResult:
    """Response of the worker to LeaseRenewal; ``clock_ms`` is the worker's clock.

    ``has_more_ends``: the worker may have ends that do not fit into the list.
    """

    clock_ms: int
    born: int | None
    running: list = field(default_factory=list)
    ended: list = field(default_factory=list)
    has_more_ends: bool = False
