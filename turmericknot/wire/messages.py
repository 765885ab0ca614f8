"""Messages between entries and agents, and between entries.

Every message is a tagged MessagePack array. Peers of different versions can
communicate: the codec skips messages with an unknown tag, and new fields are appended
with a default, so that an older peer ignores them and a newer one uses the default if
they are missing. Times are seconds; wall-clock times are seconds since the Unix epoch.
"""

import msgspec

PROTOCOL_VERSION = 1


class TaskStatus:
    """Outcome of one task."""

    OK = 0
    FAILED = 1  # the task started and its worker reported a failure
    UNKNOWN = 2  # the task may have started and its outcome cannot be determined
    STOPPED = 3  # the task started and was stopped on request


class Message(msgspec.Struct, array_like=True, frozen=True):
    """Base class of all messages."""


# Agent to entry.


class Hello(Message, tag=1):
    """First message of an agent on a new stream: the agent and its worker."""

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
    """Show the peer that the sender is alive.

    An entry sends one to a silent agent as a probe; the agent answers with another.
    """

    sequence: int


class Window(Message, tag=3):
    """Set the number of slots that the entry may use on this worker.

    ``sequence`` increases by one with each window sent on the stream; ``Assign``
    carries the sequence of the last window that the entry received.
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
    """Return tasks that were never started on this agent and never will be."""

    job: bytes
    indexes: list[int]
    reason: str = ""


class Rejected(Message, tag=6):
    """Refuse tasks of a fenced owner; they were not started."""

    job: bytes
    indexes: list[int]
    owner: str
    fenced_by: str


class JobInventory(msgspec.Struct, array_like=True, frozen=True):
    """State of one job's tasks on one agent."""

    job: bytes
    running: list[int]
    results: list[TaskResult]
    # Indexes of finished tasks whose results have been dropped.
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
    """Confirm a Recall: no task of its jobs will start on this agent any more."""

    request: int


# Entry to agent.


class EntryAddress(msgspec.Struct, array_like=True, frozen=True):
    """Identity and network address of an entry."""

    entry_id: str
    incarnation: str
    link_address: str  # ip:port of the stream listener
    failure_domain: str
    region: str


class Welcome(Message, tag=20):
    """Answer Hello and list the entries that this entry knows."""

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
    waiting: int  # number of tasks that wait at the entry
    entitlement: float  # slots of the federation that this entry is entitled to
    window_sequence: int


class Demand(Message, tag=22):
    """Report how many tasks wait at the entry, and its entitlement in slots."""

    waiting: int
    entitlement: float


class Recall(Message, tag=23):
    """Drop queued tasks of these jobs and, with ``stop``, stop running ones."""

    request: int
    jobs: list[bytes]
    stop: bool


class Acknowledge(Message, tag=24):
    """Confirm that the owner no longer needs the results of these jobs."""

    jobs: list[bytes]


class Fence(Message, tag=25):
    """Reject later starts of ``owner`` and answer with an Inventory.

    An empty ``jobs`` list covers every job of the owner.
    """

    owner: str
    fenced_by: str
    jobs: list[bytes] = []


class ConfigUpdate(Message, tag=26):
    """Announce a configuration version.

    To a peer entry ``tree`` is an encoded ConfigCopy; to an agent it is empty.
    """

    version: int
    tree: bytes


# Entry to entry.


class PeerHello(Message, tag=40):
    """First message of an entry to another entry on a new stream."""

    protocol: int
    address: EntryAddress
    config_version: int


class AwaitJob(Message, tag=41):
    """Ask the owner of a job to send the job's answer as soon as it exists.

    ``digest`` identifies the body submitted to the sender; it is empty if unknown.
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
    """Report the load of the teams for which it changed since the last digest.

    ``slots`` is the number of slots in the region, as known to the sender.
    """

    sequence: int
    slots: int
    teams: list[TeamUsage]


class AgentReport(msgspec.Struct, array_like=True, frozen=True):
    """Liveness of one agent incarnation, as determined by its home entry."""

    incarnation: str
    alive: bool


class AgentStates(Message, tag=46):
    """Report agents whose liveness changed."""

    agents: list[AgentReport]


class CancelJob(Message, tag=47):
    """Ask the owner of a job to cancel it; answered with JobAnswer."""

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
