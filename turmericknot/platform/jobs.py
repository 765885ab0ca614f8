"""Jobs as clients send them, and the answers that they get."""

import re
from dataclasses import dataclass

import msgspec

from turmericknot.aio.server import Response
from turmericknot.core.exceptions import MessageError, UnsupportedJob
from turmericknot.scheduling.commands import Outcome
from turmericknot.scheduling.jobs import JobRecord, JobState, StepSpec

DEADLINE_HEADER = "x-turmericknot-deadline-ms"
MAX_SPEC_BYTES = 4000
MAX_TASKS = 100_000  # of one job; the users' largest has 1,500
_JOB_ID = re.compile(r"[0-9a-f]{16}", re.IGNORECASE)


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
    # What is not served yet; a job that asks for it is refused.
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


_decoder = msgspec.json.Decoder(_Job)
_UNSUPPORTED_JOB = ("long_running", "times")
_UNSUPPORTED_STEP = ("gang", "same_rack", "long_running", "fills", "target_ms")

_STATES = {
    Outcome.QUEUED: "queued",
    Outcome.RUNNING: "running",
    Outcome.SUCCEEDED: "succeeded",
    Outcome.FAILED: "failed",
    Outcome.CANCELLED: "cancelled",
}


def job_id(queue, path):
    """Return the job id after the prefix of the queue, or an empty string."""
    rest = path[len(queue.prefix) :]
    return rest if _JOB_ID.fullmatch(rest) else ""


def deadline_s(headers, default):
    """Return the seconds for which the client waits."""
    try:
        return int(headers[DEADLINE_HEADER]) / 1000
    except (KeyError, ValueError):
        return default


@dataclass(slots=True)
class Submission:
    """A job as a client hands it in; one that is not kept is answered at its end."""

    record: JobRecord
    is_kept: bool


def decode_job(queue, body, accepted_at):
    """Return the Submission in a body; raise MessageError or UnsupportedJob."""
    try:
        job = _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise MessageError(f"job: {error}") from error
    _check(job)
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
        steps=[_step(step) for step in job.steps],
    )
    return Submission(record, not job.best_effort)


def _check(job):
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        raise MessageError("job: spec is too long")
    if not job.steps:
        raise MessageError("job: no steps")
    for number, step in enumerate(job.steps):
        if step.count < 1 or min(step.cpu, step.mem_mb, step.gpu) < 0:
            raise MessageError(f"job: step {number} is out of range")
        if any(not 0 <= earlier < number for earlier in step.after):
            raise MessageError(f"job: step {number} does not follow earlier steps")
        _check_supported(step, _UNSUPPORTED_STEP)
    if sum(step.count for step in job.steps) > MAX_TASKS:
        raise MessageError("job: too many tasks")
    _check_supported(job, _UNSUPPORTED_JOB)


def _check_supported(part, names):
    for name in names:
        if getattr(part, name):
            raise UnsupportedJob(f"{name} is not served")


def _step(step):
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
    """Return the Response to a POST of a job."""
    if outcome is Outcome.ACCEPTED:
        return Response(200)
    if outcome in (Outcome.SUCCEEDED, Outcome.FAILED):
        return status_response(outcome)
    if outcome is Outcome.REFUSED:
        return Response(429, headers=_retry_after(retry_after))
    if outcome is Outcome.UNDECIDED:
        return Response(504)
    return Response(503, headers=_retry_after(retry_after))


def status_response(outcome):
    """Return the Response to a GET of a job."""
    state = _STATES.get(outcome)
    if state is not None:
        return Response(200, msgspec.json.encode({"state": state}))
    if outcome is Outcome.GONE:
        return Response(410)
    return Response(503, headers=_retry_after(0))


def cancel_response(outcome):
    """Return the Response to a DELETE of a job."""
    if outcome is Outcome.CANCELLED:
        return Response(200)
    if outcome is Outcome.GONE:
        return Response(410)
    if outcome is Outcome.UNDECIDED:
        return Response(504)
    return Response(503, headers=_retry_after(0))


def pending_response(pending):
    """Return the Response to a GET of a queue."""
    return Response(200, msgspec.json.encode({"pending": pending}))


def _retry_after(seconds):
    return [("Retry-After", str(max(1, round(seconds))))]
