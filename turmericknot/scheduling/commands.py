"""Commands that the owner's decisions return to the process, and request outcomes."""

from dataclasses import dataclass
from enum import IntEnum


class Outcome(IntEnum):
    """Answer to a request about a job."""

    ACCEPTED = 0  # the job is stored and will run
    REFUSED = 1  # the job is not stored and never runs; retry later
    # A submission: as REFUSED. Other requests: no answer is possible at the moment.
    NOT_READY = 2
    UNDECIDED = 3  # the job may be stored; retry with the same id
    UNSUPPORTED = 4  # the job is not stored; it needs an unsupported feature
    GONE = 5  # the job does not exist
    QUEUED = 6
    RUNNING = 7
    SUCCEEDED = 8
    FAILED = 9
    CANCELLED = 10


@dataclass(slots=True)
class StoreRecord:
    """Append a record to a shard; an empty ``value`` deletes the key.

    The process calls ``job_requests.record_stored`` or ``record_not_stored`` with the
    command and the epoch under which it was written.
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
    """Answer a waiting request; ``retry_after`` is in seconds."""

    waiter: object
    outcome: Outcome
    retry_after: float = 0.0
    reason: str = ""


@dataclass(slots=True)
class OwnerLogLine:
    """Write a log line."""

    event: str
    fields: dict
