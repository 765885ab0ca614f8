"""Response times as callers see them, per team and task class."""

from turmericknot.core.reporting import record_duration
from turmericknot.dispatch.tasks import JobStatus
from turmericknot.utils import histograms


def record_response(spec, answer, elapsed_s):
    """Add the answer to a submission to the histogram of its outcome.

    ``job.complete``, ``job.failed``, ``job.not_run`` and ``job.unknown`` hold the time
    from the whole request to the answer, ``task.run`` the run times that workers
    reported. A resubmitted job counts once per answered caller.
    """
    if answer.status == JobStatus.PENDING:
        return
    name = f"job.{answer.status}"
    record_duration(name, spec.team, spec.task_class, elapsed_s * 1000)
    for result in answer.results:
        # Agents send these to statsd.
        histograms.record_duration(
            "task.run", spec.team, spec.task_class, result.run_ms
        )
