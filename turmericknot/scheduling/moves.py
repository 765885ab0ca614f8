"""Moves of runs: a run is stopped, and started elsewhere when its end is reported."""

from .owner import log, stop_run

MOVE_OVERHEAD_S = 0.3  # for the stop, and the start on another worker


def move_run(owner, task, reason, now, **inputs):
    """Stop the current run of a task, so that the task waits again once it has ended.

    A stop is no failure and costs no attempt. ``inputs`` of the decision are logged.
    """
    log(
        owner,
        "run.moved",
        job=task.job.id,
        task=f"{task.step}.{task.index}",
        agent=task.agent,
        reason=reason,
        **inputs,
    )
    stop_run(owner, task, now)
