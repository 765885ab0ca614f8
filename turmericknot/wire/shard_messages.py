"""Messages about stored jobs: between entries, and between entries and agents.

The rules of ``messages`` hold: a new field is appended with a default.
Tasks are named by job id, step and index.
"""

import msgspec

from .messages import Message


class WorkerReport(msgspec.Struct, array_like=True, frozen=True):
    """What an agent knows of its worker.

    ``life`` tells one start of the worker from the next. ``cpu`` is in thousandths
    of a core, ``memory`` in MB.
    """

    life: str
    service: str
    usable: bool  # present and not about to leave
    cpu: int
    memory: int
    accelerators: int
    labels: list[str]


class AgentHello(Message, tag=60):
    """Introduce an agent on a new stream; ``boot`` names this run of the process."""

    protocol: int
    agent: str
    boot: str
    failure_domain: str
    worker: WorkerReport | None


class WorkerChanged(Message, tag=61):
    """Report a change of the worker."""

    worker: WorkerReport | None


class GrantRequest(Message, tag=62):
    """Ask the entry to confirm that it still owns its shards."""

    sequence: int


class ShardEpoch(msgspec.Struct, array_like=True, frozen=True):
    """A shard and the epoch of its owner."""

    shard: int
    epoch: int


class Grant(Message, tag=63):
    """Answer GrantRequest: the shards that the entry owns.

    Sequence 0 answers no request: it announces a new owner and extends nothing.
    """

    sequence: int
    shards: list[ShardEpoch]


class RunStart(msgspec.Struct, array_like=True, frozen=True):
    """One task to start."""

    job: str
    step: int
    index: int
    run: int
    cpu: int
    memory: int
    accelerators: int
    spec: str
    priority: int = 0  # 0 is started first
    due_in_s: float = 0.0  # seconds until the job should be answered
    expected: float = 0.0  # seconds that the run should take
    max_queue_wait_s: float = 0.0  # seconds that it may wait for room at the agent


class StartRuns(Message, tag=64):
    """Start runs on the worker of the agent."""

    shard: int
    epoch: int
    life: str
    runs: list[RunStart]


class RunName(msgspec.Struct, array_like=True, frozen=True):
    """One run of a task."""

    job: str
    step: int
    index: int
    run: int


class StopRuns(Message, tag=65):
    """Stop runs; a run that has not begun never does."""

    shard: int
    epoch: int
    runs: list[RunName]


class EndedRun(msgspec.Struct, array_like=True, frozen=True):
    """An end of a run; ``number`` is 0 for an end that needs no note."""

    name: RunName
    number: int
    how: int
    run_ms: float = 0.0


class RunsEnded(Message, tag=66):
    """Report ends of runs; repeated on a new stream until they are noted."""

    shard: int
    life: str
    ends: list[EndedRun]


class NoteEnds(Message, tag=67):
    """Allow the agent to let its worker forget these ends."""

    life: str
    numbers: list[int]


class RefusedRun(msgspec.Struct, array_like=True, frozen=True):
    """A run that did not begin and never will."""

    name: RunName
    reason: str


class RunsRefused(Message, tag=68):
    """Report runs that did not begin."""

    shard: int
    runs: list[RefusedRun]


class ShardInventory(Message, tag=69):
    """List all runs of a shard at the agent, after it has accepted a new owner.

    The ends that are not noted yet were sent before this message.
    """

    shard: int
    epoch: int
    runs: list[RunName]


class RoomReport(Message, tag=78):
    """Report what runs of other owners use on the worker."""

    cpu: int
    memory: int
    accelerators: int


class RunProgress(msgspec.Struct, array_like=True, frozen=True):
    """How far a run has come that takes longer than expected."""

    name: RunName
    percent: int


class RunsProgress(Message, tag=79):
    """Report runs that take longer than expected.

    ``pace`` is the speed of the worker over the expected one, as most of its runs
    show it; 0 when too few of them tell.
    """

    shard: int
    pace: float
    runs: list[RunProgress]


class PeerGreeting(Message, tag=70):
    """Introduce an entry to the owner of a shard."""

    protocol: int
    name: str


class PeerGreeted(Message, tag=71):
    """Answer PeerGreeting."""

    name: str


class SubmitRequest(Message, tag=72):
    """Hand a job to the owner of its shard; ``record`` is an encoded JobRecord."""

    request: int
    shard: int
    job: str
    record: bytes


class StatusRequest(Message, tag=73):
    """Ask for the state of a job."""

    request: int
    shard: int
    job: str


class CancelRequest(Message, tag=74):
    """Cancel a job."""

    request: int
    shard: int
    job: str


class RequestOutcome(Message, tag=75):
    """Answer a request about a job; ``outcome`` is a scheduling Outcome."""

    request: int
    outcome: int
    retry_after: float = 0.0
    reason: str = ""


class PeerProbe(Message, tag=76):
    """Ask a peer whether it is alive; answered with PeerStatus."""

    sequence: int


class PeerStatus(Message, tag=77):
    """Report the shards that the sender serves and its unstarted jobs by queue."""

    sequence: int
    shards: list[ShardEpoch]
    pending: dict[str, int]


SHARD_MESSAGES = (
    AgentHello
    | WorkerChanged
    | GrantRequest
    | Grant
    | StartRuns
    | StopRuns
    | RunsEnded
    | NoteEnds
    | RunsRefused
    | ShardInventory
    | PeerGreeting
    | PeerGreeted
    | SubmitRequest
    | StatusRequest
    | CancelRequest
    | RequestOutcome
    | PeerProbe
    | PeerStatus
    | RoomReport
    | RunsProgress
)
