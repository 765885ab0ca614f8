"""What the decisions on stored jobs ask the shell to do, and their outcomes."""

from dataclasses import dataclass
from enum import IntEnum


class Outcome(IntEnum):
    """Answer to a request about a stored job."""

    ACCEPTED = 0  # the job is stored and will run
    REFUSED = 1  # the job is not stored and never runs; come back later
    NOT_READY = 2  # as REFUSED, or no answer is possible at present
    UNDECIDED = 3  # the job may be stored: send the same id again
    UNSUPPORTED = 4  # the job is not stored: it asks for what is not served
    GONE = 5  # no such job
    QUEUED = 6
    RUNNING = 7
    SUCCEEDED = 8
    FAILED = 9
    CANCELLED = 10


@dataclass(slots=True)
class StoreRecord:
    """Append a record to a shard; ``value`` is empty to drop the key.

    The shell calls ``owner.stored`` or ``owner.not_stored`` with the token.
    """

    shard: int
    key: str
    value: bytes
    token: object = None


@dataclass(slots=True)
class SendMessage:
    """Send a message to an agent."""

    agent: str
    message: object


@dataclass(slots=True)
class AnswerRequest:
    """Answer a request that waits; ``retry_after`` is in seconds."""

    waiter: object
    outcome: Outcome
    retry_after: float = 0.0
    reason: str = ""


@dataclass(slots=True)
class OwnerLogLine:
    """Write a log line."""

    event: str
    fields: dict
