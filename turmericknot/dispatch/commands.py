"""Commands that the decision logic returns for the I/O layer to execute."""

from dataclasses import dataclass, field

from turmericknot.dispatch.tasks import Answer
from turmericknot.wire.messages import Message, TaskSpec


@dataclass(slots=True)
class Send:
    """Send a message on a stream to an agent or an entry."""

    stream: int
    message: Message


@dataclass(slots=True)
class CloseStream:
    """Close a stream."""

    stream: int
    reason: str


@dataclass(slots=True)
class Respond:
    """Answer the waiting request of a caller."""

    request: int
    answer: Answer


@dataclass(slots=True)
class AppendRecord:
    """Append a record to a stream of the log service."""

    stream: str
    record_id: bytes
    data: bytes


@dataclass(slots=True)
class ReadLog:
    """Read stream ``claims`` to its end without waiting for the next poll."""


@dataclass(slots=True)
class StartTask:
    """Start a task on the target of this agent."""

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
    """Limit a running task to a share of its processors."""

    job: bytes
    index: int
    share: float


@dataclass(slots=True)
class DialEntry:
    """Open a stream to an entry unless one is open."""

    entry_id: str
    link_address: str


@dataclass(slots=True)
class Retire:
    """End this incarnation; the process has to restart as a new one."""

    reason: str


@dataclass(slots=True)
class Drained:
    """Report that no work is left, so that an orderly stop can finish."""


@dataclass(slots=True)
class Record:
    """Record a duration in the histogram ``name`` for a team and task class."""

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
    """Write one log line with key=value pairs."""

    level: str
    event: str
    fields: dict = field(default_factory=dict)
