"""Commands that the decision logic returns to the shell."""

from dataclasses import dataclass, field

from turmericknot.dispatch.tasks import Answer
from turmericknot.wire.messages import Message, TaskSpec


@dataclass(slots=True)
class Send:
    """Send a message on a stream (to an agent, an entry or a peer)."""

    stream: int
    message: Message


@dataclass(slots=True)
class CloseStream:
    """Close a stream."""

    stream: int
    reason: str


@dataclass(slots=True)
class Respond:
    """Answer a waiting request of a caller."""

    request: int
    answer: Answer


@dataclass(slots=True)
class AppendRecord:
    """Append a record to a stream of the log service."""

    stream: str
    record_id: bytes  # record id
    data: bytes


@dataclass(slots=True)
class ReadLog:
    """Read stream ``claims`` to its end now, without waiting for the next poll."""


@dataclass(slots=True)
class StartTask:
    """Start a task on the worker beside this agent."""

    job: bytes
    team: str
    task_class: str
    task: TaskSpec
    lease_s: float


@dataclass(slots=True)
class StopTask:
    """Stop a running task."""

    job: bytes
    index: int


@dataclass(slots=True)
class ThrottleTask:
    """Set the share of its processors that a running task may use."""

    job: bytes
    index: int
    share: float


@dataclass(slots=True)
class DialEntry:
    """Open a stream to an entry unless there is one."""

    entry_id: str
    link_address: str


@dataclass(slots=True)
class Retire:
    """Leave the present incarnation: the process must restart as a new one."""

    reason: str


@dataclass(slots=True)
class Drained:
    """Nothing is in flight any more: a planned stop may finish."""


@dataclass(slots=True)
class Record:
    """Record a metric: histogram ``name`` in milliseconds for team and class."""

    name: str
    team: str
    task_class: str
    value_ms: float


@dataclass(slots=True)
class Count:
    """Increase a counter."""

    name: str
    amount: int = 1
    team: str = ""


@dataclass(slots=True)
class LogEvent:
    """Write one log line of key=value pairs."""

    level: str
    event: str
    fields: dict = field(default_factory=dict)
