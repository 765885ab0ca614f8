"""Decodes the jobs that clients submit and builds the responses to clients."""

import re
from dataclasses import dataclass

import msgspec

from turmericknot.aio.server import Response
from turmericknot.core.exceptions import MessageError, UnsupportedJob
from turmericknot.scheduling.commands import Outcome
from turmericknot.scheduling.jobs import JobRecord, JobState, StepSpec

DEADLINE_HEADER = "x-turmericknot-deadline-ms"
MAX_SPEC_BYTES = 4000
MAX_TASKS_PER_JOB = 100_000  # the largest job of the users has 1,500
_JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}", re.IGNORECASE)


class _Step(msgspec.Struct):
    count: int
    cpu: int = 0  # thousandths of a core
    mem_mb: int = 0
    gpu: int = 0
    est_runtime_ms: float = 0.0
    after: list[int] = []
    data_rack: str = ""
    requires: str = ""
    anti_affinity: int = 0
    checkpoint: bool = False
    # Not supported yet; a job that sets one of these is refused, except for
    # ``speculative`` and ``may_miss``, which have no effect.
    gang: bool = False
    same_rack: bool = False
    speculative: bool = False
    long_running: bool = False
    fills: bool = False
    target_ms: float = 0.0
    may_miss: int = 0


class _Job(msgspec.Struct):
    spec: str
    steps: list[_Step]
    best_effort: bool = False
    long_running: bool = False
    times: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


_job_decoder = msgspec.json.Decoder(_Job)
_UNSUPPORTED_JOB_FIELDS = ("long_running", "times")
_UNSUPPORTED_STEP_FIELDS = ("gang", "same_rack", "long_running", "fills", "target_ms")

_STATE_NAMES = {
    Outcome.QUEUED: "queued",
    Outcome.RUNNING: "running",
    Outcome.SUCCEEDED: "succeeded",
    Outcome.FAILED: "failed",
    Outcome.CANCELLED: "cancelled",
}


def job_id_from_path(queue, path):
    """Return the job id that follows the queue's prefix, or an empty string."""
    job_id = path[len(queue.prefix) :]
    return job_id if _JOB_ID_PATTERN.fullmatch(job_id) else ""


def client_deadline_s(headers, default_s):
    """Return the client's deadline in seconds, or the default if it sends none."""
    try:
        return int(headers[DEADLINE_HEADER]) / 1000
    except (KeyError, ValueError):
        return default_s


@dataclass(slots=True)
class Submission:
    """A job submitted by a client.

    A durable job is stored. A best-effort job is not, and its submission is answered
    when it ends.
    """

    record: JobRecord
    is_durable: bool


def decode_job(queue, body, accepted_at):
    """Decode a Submission; raise MessageError or UnsupportedJob."""
    try:
        job = _job_decoder.decode(body)
    except msgspec.DecodeError as error:
        raise MessageError(f"job: {error}") from error
    _validate_job(job)
    record = JobRecord(
        queue=queue.name,
        service=queue.service,
        state=int(JobState.ACTIVE),
        accepted_at=accepted_at,
        accepted_epoch=0,
        priority=queue.priority,
        attempts=queue.attempts,
        stretch=queue.stretch,
        objective=queue.objective,
        spec=job.spec,
        steps=[_decode_step(step) for step in job.steps],
    )
    return Submission(record, not job.best_effort)


def _validate_job(job):
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        raise MessageError("job: spec is too long")
    if not job.steps:
        raise MessageError("job: no steps")
    for number, step in enumerate(job.steps):
        if step.count < 1 or min(step.cpu, step.mem_mb, step.gpu) < 0:
            raise MessageError(f"job: step {number} has a value that is out of range")
        if any(not 0 <= earlier < number for earlier in step.after):
            raise MessageError(
                f"job: step {number} depends on a step that is not an earlier one"
            )
        _raise_if_unsupported(step, _UNSUPPORTED_STEP_FIELDS)
    if sum(step.count for step in job.steps) > MAX_TASKS_PER_JOB:
        raise MessageError("job: too many tasks")
    _raise_if_unsupported(job, _UNSUPPORTED_JOB_FIELDS)


def _raise_if_unsupported(request, unsupported_fields):
    for name in unsupported_fields:
        if getattr(request, name):
            raise UnsupportedJob(f"{name} is not supported")


def _decode_step(step):
    return StepSpec(
        count=step.count,
        cpu=step.cpu,
        memory=step.mem_mb,
        accelerators=step.gpu,
        estimate=step.est_runtime_ms / 1000,
        after=tuple(step.after),
        required_label=step.requires,
        data_rack=step.data_rack,
        max_per_worker=step.anti_affinity,
    )


def submission_response(outcome, retry_after=0.0):
    """Return the Response to the submission of a job (POST).

    429 and 503 promise that the job never runs, so only outcomes that carry this
    promise are answered with them.
    """
    if outcome is Outcome.ACCEPTED:
        return Response(200)
    if outcome in (Outcome.SUCCEEDED, Outcome.FAILED):
        return status_response(outcome)
    if outcome is Outcome.REFUSED:
        return Response(429, headers=_retry_after_header(retry_after))
    if outcome in (Outcome.NOT_READY, Outcome.UNSUPPORTED):
        return Response(503, headers=_retry_after_header(retry_after))
    return Response(504)


def status_response(outcome):
    """Return the Response to a request for the state of a job (GET)."""
    state = _STATE_NAMES.get(outcome)
    if state is not None:
        return Response(200, msgspec.json.encode({"state": state}))
    if outcome is Outcome.GONE:
        return Response(410)
    return Response(503, headers=_retry_after_header(0))


def cancel_response(outcome):
    """Return the Response to the cancellation of a job (DELETE)."""
    if outcome is Outcome.CANCELLED:
        return Response(200)
    if outcome is Outcome.GONE:
        return Response(410)
    if outcome is Outcome.UNDECIDED:
        return Response(504)
    return Response(503, headers=_retry_after_header(0))


def pending_response(pending_jobs):
    """Return the Response to a request for the waiting jobs of a queue (GET)."""
    return Response(200, msgspec.json.encode({"pending": pending_jobs}))


def _retry_after_header(seconds):
    return [("Retry-After", str(max(1, round(seconds))))]
