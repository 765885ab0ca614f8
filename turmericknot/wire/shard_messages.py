"""Messages about stored jobs: between entries, and between entries and agents.

The compatibility rules of ``messages`` apply: new fields are appended with a default.
A task is identified by job id, step and index.
"""

import msgspec

from .messages import Message


class WorkerReport(msgspec.Struct, array_like=True, frozen=True):
    """State and capacity of the worker of an agent.

    ``life`` identifies one run of the worker process and changes when it restarts.
    ``cpu`` is in thousandths of a core, ``memory`` in MB.
    """

    life: str
    service: str
    usable: bool  # registered and not leaving
    cpu: int
    memory: int
    accelerators: int
    labels: list[str]
    cold_s: float = 0.0  # how much longer the worker is slow after its start


class AgentHello(Message, tag=60):
    """First message of an agent on a new stream.

    ``boot`` identifies one run of the agent process. ``worker`` is None while the
    agent has no worker.
    """

    protocol: int
    agent: str
    boot: str
    failure_domain: str
    worker: WorkerReport | None


class WorkerChanged(Message, tag=61):
    """Report the new state of the worker after a change."""

    worker: WorkerReport | None


class GrantRequest(Message, tag=62):
    """Ask the entry to confirm that it still owns its shards."""

    sequence: int


class ShardEpoch(msgspec.Struct, array_like=True, frozen=True):
    """A shard and the epoch of its current owner."""

    shard: int
    epoch: int


class Grant(Message, tag=63):
    """List the shards that the entry owns, in answer to a GrantRequest.

    ``sequence`` is that of the request. A Grant with sequence 0 answers no request: it
    announces a new owner and does not extend the agent's lease.

    ``on_demand`` in the first Grant of a stream: the entry keeps using an agent that
    requests grants only now and then while it has no runs of the entry.
    """

    sequence: int
    shards: list[ShardEpoch]
    on_demand: bool = False


class RunStart(msgspec.Struct, array_like=True, frozen=True):
    """One run of a task to start, with the resources that it needs."""

    job: str
    step: int
    index: int
    run: int
    cpu: int
    memory: int
    accelerators: int
    spec: str
    priority: int = 0  # 0 is started first
    due_in_s: float = 0.0  # time until the job is due
    expected: float = 0.0  # expected duration in seconds
    max_queue_wait_s: float = 0.0  # limit of the wait for capacity on the worker
    is_suspect: bool = False  # the task may have crashed a worker
    queue: str = ""
    failures: int = 0  # failed runs of the task before this one


class StartRuns(Message, tag=64):
    """Start runs on the worker of the agent."""

    shard: int
    epoch: int
    life: str
    runs: list[RunStart]


class RunName(msgspec.Struct, array_like=True, frozen=True):
    """Identifier of one run of a task."""

    job: str
    step: int
    index: int
    run: int


class StopRuns(Message, tag=65):
    """Stop runs; a run that has not started yet never will."""

    shard: int
    epoch: int
    runs: list[RunName]


class EndedRun(msgspec.Struct, array_like=True, frozen=True):
    """A run that has ended; ``how`` is a scheduling RunEnd.

    The owner confirms ``number`` with NoteEnds; 0 needs no confirmation.
    """

    name: RunName
    number: int
    how: int
    run_ms: float = 0.0


class RunsEnded(Message, tag=66):
    """Report ended runs; repeated on a new stream until confirmed by NoteEnds."""

    shard: int
    life: str
    ends: list[EndedRun]


class NoteEnds(Message, tag=67):
    """Confirm ended runs, so that the agent can let its worker forget them."""

    life: str
    numbers: list[int]


class RefusedRun(msgspec.Struct, array_like=True, frozen=True):
    """A run that did not start and never will, as far as the agent knows.

    ``scheduling.start_refusals`` tells for which reasons that is certain.
    """

    name: RunName
    reason: str


class RunsRefused(Message, tag=68):
    """Report runs that did not start."""

    shard: int
    runs: list[RefusedRun]


class ShardInventory(Message, tag=69):
    """List all runs of a shard on an agent that has accepted a new owner.

    Ended runs that are not yet confirmed are reported before this message.
    """

    shard: int
    epoch: int
    runs: list[RunName]


class RoomReport(Message, tag=78):
    """Report the resources that runs of other owners use on the worker."""

    cpu: int
    memory: int
    accelerators: int


class RunProgress(msgspec.Struct, array_like=True, frozen=True):
    """Progress of a run that takes longer than expected."""

    name: RunName
    percent: int


class RunsProgress(Message, tag=79):
    """Report the progress of runs that take longer than expected.

    ``pace`` is the ratio of the worker's speed to the expected speed, measured as the
    median over its runs; 0 if too few runs have made enough progress to measure it.
    """

    shard: int
    pace: float
    runs: list[RunProgress]


class CrashedTask(msgspec.Struct, array_like=True, frozen=True):
    """A task that had a run on a worker when it crashed.

    ``is_suspect``: it may have crashed the worker, since its run had just started or no
    other one had. ``has_survived_start``: the run had started some time before.
    ``has_started``: the run had certainly started there, and was not being stopped.
    """

    job: str
    step: int
    index: int
    is_suspect: bool
    has_started: bool
    queue: str = ""
    has_survived_start: bool = False


class WorkerCrashed(Message, tag=80):
    """Report a crash of the worker to every entry, the owners of its runs or not.

    ``life`` is the incarnation that crashed. The message precedes the ends of the runs
    that it reports, and is repeated on new streams for some time.

    ``is_confirmed``: a later incarnation of the worker has reported. Until then, the
    worker may just be cut off; if it answers again, ``is_withdrawn`` is sent.
    """

    life: str
    tasks: list[CrashedTask]
    is_confirmed: bool = True
    is_withdrawn: bool = False
    age_s: float = 0.0  # time since the report, if it is repeated on a new stream


class WorkerHealth(Message, tag=82):
    """Report what the agent has learned of its worker from the runs of all entries.

    ``slowdown`` is the ratio of run time to expected run time over ``runs`` runs, last
    measured ``age_s`` ago. ``state`` is a scheduling HealthState; the agent refuses
    runs for ``usable_in_s`` when it suspends the worker for ``reason``.
    """

    life: str
    slowdown: float
    runs: int
    state: int
    reason: str = ""
    age_s: float = 0.0
    usable_in_s: float = 0.0


class PeerGreeting(Message, tag=70):
    """First message of an entry to the owner of a shard."""

    protocol: int
    name: str


class PeerGreeted(Message, tag=71):
    """Answer PeerGreeting."""

    name: str


class SubmitRequest(Message, tag=72):
    """Submit a job to the owner of its shard; ``record`` is an encoded JobRecord."""

    request: int
    shard: int
    job: str
    record: bytes


class StatusRequest(Message, tag=73):
    """Ask the owner of a shard for the state of a job."""

    request: int
    shard: int
    job: str


class CancelRequest(Message, tag=74):
    """Ask the owner of a shard to cancel a job."""

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


class EvacuationUpdate(Message, tag=81):
    """Tell an agent whether the operator has evacuated its failure domain.

    ``position`` is the offset in the operator's topic up to which the entry had read.
    """

    position: int
    is_evacuated: bool


class LeavingRun(msgspec.Struct, array_like=True, frozen=True):
    """A run that cannot be relied on to end before its worker leaves."""

    name: RunName
    remaining_s: float  # expected time until it would end


class WorkerLeaving(Message, tag=83):
    """Tell an owner which of its runs its worker may leave behind unfinished.

    ``remaining_s`` is the least time left to the worker. ``runs`` replaces the list of
    an earlier message.
    """

    life: str
    remaining_s: float
    runs: list[LeavingRun]


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
    | WorkerCrashed
    | EvacuationUpdate
    | WorkerLeaving
    | WorkerHealth
)
