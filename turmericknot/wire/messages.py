"""Messages between the processes of the system.

Every message is a tagged MessagePack array. Peers of different versions may
talk: an unknown tag is skipped by the codec, and new fields are appended with a
default, so that an older peer ignores them and a newer one fills them in.
Times are seconds; wall-clock times are seconds since the Unix epoch.
"""

import msgspec

PROTOCOL_VERSION = 1


class TaskStatus:
    """Outcome of one task."""

    OK = 0
    FAILED = 1  # the task started and its worker reported a failure
    UNKNOWN = 2  # the task may have started and its outcome cannot be learned
    STOPPED = 3  # the task started and was stopped on request


class Message(msgspec.Struct, array_like=True, frozen=True):
    """Base class of all messages."""


# Agent to entry.


class Hello(Message, tag=1):
    """Introduce an agent and its worker on a new stream."""

    protocol: int
    agent_id: str
    incarnation: str
    worker: str
    failure_domain: str
    region: str
    slots: int
    processors: float
    memory_mb: int
    accelerators: int
    config_version: int
    draining: bool = False


class Heartbeat(Message, tag=2):
    """Tell the peer that the sender is alive.

    An entry sends one to a silent agent as a probe; the agent answers with one.
    """

    sequence: int


class Window(Message, tag=3):
    """Set the number of slots that the entry may use on this worker.

    ``sequence`` grows by one with each window of the stream; ``Assign`` carries the
    last one seen.
    """

    slots: int
    sequence: int


class TaskResult(msgspec.Struct, array_like=True, frozen=True):
    """Outcome of a started task."""

    index: int
    status: int
    output: bytes = b""
    run_ms: float = 0.0
    queue_ms: float = 0.0
    error: str = ""


class Results(Message, tag=4):
    """Report outcomes of started tasks of one job."""

    job: bytes
    results: list[TaskResult]


class Returned(Message, tag=5):
    """Give tasks back that were never started here and never will be."""

    job: bytes
    indexes: list[int]
    reason: str = ""


class Rejected(Message, tag=6):
    """Refuse tasks of a fenced owner: they were not started."""

    job: bytes
    indexes: list[int]
    owner: str
    fenced_by: str


class JobInventory(msgspec.Struct, array_like=True, frozen=True):
    """State of one job's tasks on one agent."""

    job: bytes
    running: list[int]
    results: list[TaskResult]
    # Started and finished, but the result has been dropped.
    forgotten: list[int] = []


class Inventory(Message, tag=7):
    """List every task of an owner that this agent incarnation has started."""

    owner: str
    incarnation: str
    jobs: list[JobInventory]


class Draining(Message, tag=8):
    """Announce that the worker or the agent is leaving."""

    reason: str


class ConfigApplied(Message, tag=9):
    """Report the configuration version in force at the sender."""

    version: int


class RecallDone(Message, tag=10):
    """Confirm a recall: none of these jobs' tasks will start here any more."""

    request: int


# Entry to agent.


class EntryAddress(msgspec.Struct, array_like=True, frozen=True):
    """Where an entry is reached."""

    entry_id: str
    incarnation: str
    link_address: str  # ip:port of the stream listener
    failure_domain: str
    region: str


class Welcome(Message, tag=20):
    """Answer Hello; name the entries that this entry knows."""

    protocol: int
    entry_id: str
    incarnation: str
    entries: list[EntryAddress]
    config_version: int


class TaskSpec(msgspec.Struct, array_like=True, frozen=True):
    """One task to start."""

    index: int
    payload: bytes
    estimate_ms: float = 0.0
    processors: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


class Assign(Message, tag=21):
    """Start tasks of one job."""

    job: bytes
    owner: str  # incarnation of the entry that owns the job
    team: str
    task_class: str
    expires_at: float
    deadline_in_s: float  # relative, because clocks differ
    tasks: list[TaskSpec]
    waiting: int  # tasks that wait at the entry
    entitlement: float  # slots of the federation due to this entry
    window_sequence: int


class Demand(Message, tag=22):
    """Tell the agent how much work waits at the entry."""

    waiting: int
    entitlement: float


class Recall(Message, tag=23):
    """Drop queued tasks of these jobs and, with ``stop``, stop running ones."""

    request: int
    jobs: list[bytes]
    stop: bool


class Acknowledge(Message, tag=24):
    """Confirm that the results of these jobs are no longer needed by the owner."""

    jobs: list[bytes]


class Fence(Message, tag=25):
    """Reject later starts of ``owner`` and answer with an Inventory.

    An empty ``jobs`` list covers every job of the owner.
    """

    owner: str
    fenced_by: str
    jobs: list[bytes] = []


class ConfigUpdate(Message, tag=26):
    """Carry a configuration: the whole tree encoded, or what agents need of it."""

    version: int
    tree: bytes


# Entry to entry.


class PeerHello(Message, tag=40):
    """Introduce an entry to another on a new stream."""

    protocol: int
    address: EntryAddress
    config_version: int


class AwaitJob(Message, tag=41):
    """Ask the owner of a job for its answer when there is one.

    ``digest`` is that of the body submitted to the sender; empty when unknown.
    """

    request: int
    job: bytes
    digest: bytes = b""


class JobAnswer(Message, tag=42):
    """Answer AwaitJob; ``answer`` is an encoded dispatch.tasks.Answer."""

    request: int
    job: bytes
    answer: bytes


class LocateJob(Message, tag=43):
    """Ask whether the peer has accepted this job."""

    request: int
    job: bytes


class JobLocation(Message, tag=44):
    """Answer LocateJob."""

    request: int
    job: bytes
    known: bool


class TeamUsage(msgspec.Struct, array_like=True, frozen=True):
    """Load of one team at one entry."""

    team: str
    running: int
    waiting: int


class TeamDigest(Message, tag=45):
    """Report the teams whose load changed since the last digest.

    ``slots`` is the number of slots that the sender sees in its region.
    """

    sequence: int
    slots: int
    teams: list[TeamUsage]


class AgentReport(msgspec.Struct, array_like=True, frozen=True):
    """Liveness of one agent incarnation as its home entry sees it."""

    incarnation: str
    alive: bool


class AgentStates(Message, tag=46):
    """Report agents whose liveness changed."""

    agents: list[AgentReport]


class CancelJob(Message, tag=47):
    """Ask the owner to cancel a job; answered with JobAnswer."""

    request: int
    job: bytes


AnyMessage = (
    Hello
    | Heartbeat
    | Window
    | Results
    | Returned
    | Rejected
    | Inventory
    | Draining
    | ConfigApplied
    | RecallDone
    | Welcome
    | Assign
    | Demand
    | Recall
    | Acknowledge
    | Fence
    | ConfigUpdate
    | PeerHello
    | AwaitJob
    | JobAnswer
    | LocateJob
    | JobLocation
    | TeamDigest
    | AgentStates
    | CancelJob
)
