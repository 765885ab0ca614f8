"""Jobs, tasks and answers of the decision logic."""

from dataclasses import dataclass, field
from enum import StrEnum

import msgspec


class JobStatus(StrEnum):
    """State of a job in an answer."""

    PENDING = "pending"
    COMPLETE = "complete"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why a job did not complete, grouped by the status it is used with."""

    NONE = ""
    # not_run
    OVERLOAD = "overload"
    NEVER_RUNNABLE = "never_runnable"
    TEAM_LIMIT = "team_limit"
    UNKNOWN_TEAM = "unknown_team"
    KEY_EXPIRED = "key_expired"
    KEY_TOO_LONG_LIVED = "key_too_long_lived"
    CLOCK_SKEW = "clock_skew"
    LOG_UNAVAILABLE = "log_unavailable"
    NO_CONFIGURATION = "no_configuration"
    DRAINING = "draining"
    NO_WORKERS = "no_workers"
    CANCELLED = "cancelled"
    OWNER_FENCED = "owner_fenced"
    # failed
    TASK_FAILED = "task_failed"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    # unknown
    MAY_HAVE_STARTED = "may_have_started"
    WORKER_LOST = "worker_lost"
    OWNER_UNREACHABLE = "owner_unreachable"
    ANSWER_DROPPED = "answer_dropped"
    # requests refused without ending a job
    KEY_CONFLICT = "key_conflict"
    NOT_FOUND = "not_found"


@dataclass(slots=True)
class Task:
    """One task of a job."""

    index: int
    payload: bytes
    declared_ms: float = 0.0
    processors: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


@dataclass(slots=True)
class JobSpec:
    """A job as submitted by the caller."""

    job: bytes
    team: str
    key: str
    expires_at: float  # wall clock, seconds
    deadline_s: float  # relative to the arrival
    task_class: str
    idempotent: bool
    tasks: list[Task] = field(default_factory=list)
    priority: int = 0
    digest: bytes = b""  # of the body; a resubmission must match it


class TaskAnswer(msgspec.Struct, array_like=True, frozen=True):
    """Result of one task in the answer of a complete job."""

    index: int
    output: bytes
    run_ms: float


class Answer(msgspec.Struct, array_like=True, frozen=True):
    """Final state of a job: all of its results, or a status and reason."""

    job: bytes
    status: JobStatus
    reason: Reason = Reason.NONE
    detail: str = ""
    retry_after_s: float = 0.0
    claimed: bool = True
    results: list[TaskAnswer] = []
