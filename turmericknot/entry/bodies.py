"""JSON bodies of the HTTP API and their conversion from and to internal types."""

import hashlib
from typing import Annotated

import msgspec

from turmericknot.configtree.tree import resolve_team_settings
from turmericknot.core.http_server import HttpError
from turmericknot.core.ids import compute_job_id
from turmericknot.dispatch.tasks import JobSpec, JobStatus, Reason, Task

MAX_NAME_LENGTH = 200
MAX_TASKS_PER_JOB = 20_000
MAX_DEADLINE_S = 3600.0
DIGEST_BYTES = 16

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0.0)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
DeadlineSeconds = Annotated[float, msgspec.Meta(gt=0.0, le=MAX_DEADLINE_S)]

_encoder = msgspec.json.Encoder()


class TaskBody(msgspec.Struct):
    """One task of a submission; the payload is any JSON value."""

    payload: msgspec.Raw = msgspec.Raw(b"null")
    size_ms: NonNegativeFloat = 0.0
    processors: NonNegativeFloat = 0.0
    memory_mb: NonNegativeInt = 0
    accelerators: NonNegativeInt = 0


class Submission(msgspec.Struct, kw_only=True):
    """Fields shared by the bodies that submit a job."""

    team: Name
    key: Name
    expires_at: float
    deadline_s: DeadlineSeconds | None = None
    task_class: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)] = "default"
    idempotent: bool | None = None
    priority: int = 0
    wait: bool = True
    wait_s: NonNegativeFloat | None = None


class JobBody(Submission, kw_only=True):
    """Body of POST /v1/jobs."""

    tasks: Annotated[
        list[TaskBody], msgspec.Meta(min_length=1, max_length=MAX_TASKS_PER_JOB)
    ]


class OneTaskBody(Submission, kw_only=True):
    """Body of POST /v1/tasks."""

    payload: msgspec.Raw = msgspec.Raw(b"null")
    size_ms: NonNegativeFloat = 0.0
    processors: NonNegativeFloat = 0.0
    memory_mb: NonNegativeInt = 0
    accelerators: NonNegativeInt = 0


class ResultBody(msgspec.Struct):
    """Result of one task; the output is any JSON value."""

    index: int
    output: msgspec.Raw
    run_ms: float


class AnswerBody(msgspec.Struct):
    """Body of every response about a job."""

    job: str
    status: str
    reason: str
    detail: str
    retry_after_s: float
    claimed: bool
    results: list[ResultBody]


# HTTP statuses of answers. A reason that is not listed uses the status of the job.
_HTTP_STATUS_BY_REASON = {
    Reason.KEY_CONFLICT: 409,
    Reason.NOT_FOUND: 404,
    Reason.NEVER_RUNNABLE: 422,
    Reason.OVERLOAD: 429,
    Reason.TEAM_LIMIT: 429,
}
_HTTP_STATUS_BY_JOB_STATUS = {
    JobStatus.PENDING: 202,
    JobStatus.COMPLETE: 200,
    JobStatus.FAILED: 500,
    JobStatus.NOT_RUN: 503,
    JobStatus.UNKNOWN: 504,
}
_JOB_STATUSES_REFINED_BY_REASON = frozenset({JobStatus.NOT_RUN, JobStatus.PENDING})


def create_job_spec(body, tree):
    """Return the JobSpec of a JobBody or OneTaskBody.

    Omitted fields are taken from the task class, the team or the defaults of the
    configuration ``tree``. Raise HttpError when none of them has a deadline.
    """
    team_settings = resolve_team_settings(tree, body.team)
    class_settings = team_settings.get("classes", {}).get(body.task_class, {})
    deadline_s = body.deadline_s or class_settings.get("deadline_s")
    deadline_s = deadline_s or team_settings.get("deadline_s")
    if deadline_s is None:
        raise HttpError(
            400, "malformed_json", "$.deadline_s is missing and has no default"
        )
    idempotent = body.idempotent
    if idempotent is None:
        idempotent = class_settings.get("idempotent", False)
    tasks = getattr(body, "tasks", None) or [body]
    return JobSpec(
        job=compute_job_id(body.team, body.key, body.expires_at),
        team=body.team,
        key=body.key,
        expires_at=body.expires_at,
        deadline_s=min(deadline_s, MAX_DEADLINE_S),
        task_class=body.task_class,
        idempotent=idempotent,
        tasks=[_create_task(index, task) for index, task in enumerate(tasks)],
        priority=body.priority,
        digest=_digest_submission(body, tasks),
    )


def create_answer_body(answer):
    """Return the response body for an Answer."""
    return AnswerBody(
        answer.job.hex(),
        answer.status,
        answer.reason,
        answer.detail,
        answer.retry_after_s,
        answer.claimed,
        [
            ResultBody(
                result.index, msgspec.Raw(result.output or b"null"), result.run_ms
            )
            for result in answer.results
        ],
    )


def http_status(answer):
    """Return the HTTP status for an Answer, see docs/design.md, section 10."""
    if answer.reason in (Reason.KEY_CONFLICT, Reason.NOT_FOUND):
        return _HTTP_STATUS_BY_REASON[answer.reason]
    if answer.status in _JOB_STATUSES_REFINED_BY_REASON:
        status = _HTTP_STATUS_BY_REASON.get(answer.reason)
        if status is not None:
            return status
    return _HTTP_STATUS_BY_JOB_STATUS[answer.status]


def _create_task(index, task):
    return Task(
        index,
        bytes(task.payload),
        task.size_ms,
        task.processors,
        task.memory_mb,
        task.accelerators,
    )


def _digest_submission(body, tasks):
    """Return a digest of what a submission runs.

    It leaves out the deadline and the wait options, which may differ when the same
    job is submitted again.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(_encoder.encode((body.task_class, body.idempotent, body.priority)))
    for task in tasks:
        sizes = (task.size_ms, task.processors, task.memory_mb, task.accelerators)
        digest.update(_encoder.encode((task.payload, sizes)))
    return digest.digest()
