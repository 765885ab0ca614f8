"""Histograms of response times seen by callers, per team and task class."""

from turmericknot.core.reporting import record_duration
from turmericknot.dispatch.tasks import JobStatus
from turmericknot.utils import histograms


def record_response(spec, answer, elapsed_s):
    """Record the response time of a submission in the histogram of its outcome.

    ``job.complete``, ``job.failed``, ``job.not_run`` and ``job.unknown`` contain the
    time from the receipt of the whole request to the answer, ``task.run`` the run times
    that workers reported. A resubmitted job counts once per answered caller.
    Pending answers are not recorded.
    """
    if answer.status == JobStatus.PENDING:
        return
    name = f"job.{answer.status}"
    record_duration(name, spec.team, spec.task_class, elapsed_s * 1000)
    for result in answer.results:
        # Only for the status page: agents already send run times to statsd.
        histograms.record_duration(
            "task.run", spec.team, spec.task_class, result.run_ms
        )
