"""JSON bodies of the caller's interface and their conversion to and from jobs."""

import hashlib
from typing import Annotated

import msgspec

from turmericknot.configtree.tree import resolve_team_settings
from turmericknot.core.http_server import HttpError
from turmericknot.core.ids import compute_job_id
from turmericknot.dispatch.tasks import JobSpec, JobStatus, Reason, Task

MAX_NAME_LENGTH = 200
MAX_TASKS = 20_000
MAX_DEADLINE_S = 3600.0
DIGEST_BYTES = 16

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Amount = Annotated[float, msgspec.Meta(ge=0.0)]
Whole = Annotated[int, msgspec.Meta(ge=0)]
Deadline = Annotated[float, msgspec.Meta(gt=0.0, le=MAX_DEADLINE_S)]

_encoder = msgspec.json.Encoder()


class TaskBody(msgspec.Struct):
    """One task of a submission; the payload is any JSON value."""

    payload: msgspec.Raw = msgspec.Raw(b"null")
    size_ms: Amount = 0.0
    processors: Amount = 0.0
    memory_mb: Whole = 0
    accelerators: Whole = 0


class Submission(msgspec.Struct, kw_only=True):
    """What both forms of a submission share."""

    team: Name
    key: Name
    expires_at: float
    deadline_s: Deadline | None = None
    task_class: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)] = "default"
    idempotent: bool | None = None
    priority: int = 0
    wait: bool = True
    wait_s: Amount | None = None


class JobBody(Submission, kw_only=True):
    """Body of POST /v1/jobs."""

    tasks: Annotated[list[TaskBody], msgspec.Meta(min_length=1, max_length=MAX_TASKS)]


class OneTaskBody(Submission, kw_only=True):
    """Body of POST /v1/tasks."""

    payload: msgspec.Raw = msgspec.Raw(b"null")
    size_ms: Amount = 0.0
    processors: Amount = 0.0
    memory_mb: Whole = 0
    accelerators: Whole = 0


class ResultBody(msgspec.Struct):
    """One task's result; the output is any JSON value."""

    index: int
    output: msgspec.Raw
    run_ms: float


class AnswerBody(msgspec.Struct):
    """The answer to a caller."""

    job: str
    status: str
    reason: str
    detail: str
    retry_after_s: float
    claimed: bool
    results: list[ResultBody]


# Statuses of the answers; a reason not listed here takes that of the job's status.
_STATUS_BY_REASON = {
    Reason.KEY_CONFLICT: 409,
    Reason.NOT_FOUND: 404,
    Reason.NEVER_RUNNABLE: 422,
    Reason.OVERLOAD: 429,
    Reason.TEAM_LIMIT: 429,
}
_STATUS_BY_JOB_STATUS = {
    JobStatus.PENDING: 202,
    JobStatus.COMPLETE: 200,
    JobStatus.FAILED: 500,
    JobStatus.NOT_RUN: 503,
    JobStatus.UNKNOWN: 504,
}
_STATUSES_WITH_REASON = frozenset({JobStatus.NOT_RUN, JobStatus.PENDING})


def job_of(body, tree):
    """Return the JobSpec of a JobBody or OneTaskBody.

    What the body leaves out comes from the class, the team or the defaults of the
    configuration ``tree``; raise HttpError when there is no deadline anywhere.
    """
    settings = resolve_team_settings(tree, body.team)
    of_class = settings.get("classes", {}).get(body.task_class, {})
    deadline_s = body.deadline_s or of_class.get("deadline_s")
    deadline_s = deadline_s or settings.get("deadline_s")
    if deadline_s is None:
        raise HttpError(
            400, "malformed_json", "$.deadline_s is missing and has no default"
        )
    idempotent = body.idempotent
    if idempotent is None:
        idempotent = of_class.get("idempotent", False)
    tasks = getattr(body, "tasks", None) or [body]
    return JobSpec(
        job=compute_job_id(body.team, body.key, body.expires_at),
        team=body.team,
        key=body.key,
        expires_at=body.expires_at,
        deadline_s=min(deadline_s, MAX_DEADLINE_S),
        task_class=body.task_class,
        idempotent=idempotent,
        tasks=[_task_of(index, task) for index, task in enumerate(tasks)],
        priority=body.priority,
        digest=_digest(body, tasks),
    )


def answer_body(answer):
    """Return the body of an Answer."""
    return AnswerBody(
        answer.job.hex(),
        answer.status,
        answer.reason,
        answer.detail,
        answer.retry_after_s,
        answer.claimed,
        [
            ResultBody(r.index, msgspec.Raw(r.output or b"null"), r.run_ms)
            for r in answer.results
        ],
    )


def http_status(answer):
    """Return the HTTP status of an Answer, as section 10 of the design has it."""
    if answer.reason in (Reason.KEY_CONFLICT, Reason.NOT_FOUND):
        return _STATUS_BY_REASON[answer.reason]
    if answer.status in _STATUSES_WITH_REASON:
        status = _STATUS_BY_REASON.get(answer.reason)
        if status is not None:
            return status
    return _STATUS_BY_JOB_STATUS[answer.status]


def _task_of(index, task):
    return Task(
        index,
        bytes(task.payload),
        task.size_ms,
        task.processors,
        task.memory_mb,
        task.accelerators,
    )


def _digest(body, tasks):
    """Identify what is to be run; waiting and the deadline are no part of it."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(_encoder.encode((body.task_class, body.idempotent, body.priority)))
    for task in tasks:
        sizes = (task.size_ms, task.processors, task.memory_mb, task.accelerators)
        digest.update(_encoder.encode((task.payload, sizes)))
    return digest.digest()
