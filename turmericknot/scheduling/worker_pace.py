"""Stuck and overdue runs, and the pace of the worker."""

from turmericknot.wire.shard_messages import RunProgress, RunsProgress

from .worker_runs import log, send, stop_run

# A run whose percentage does not change for this long is stuck. A run from the longest
# tail on a worker several times too slow needs 0.7 s for one percent.
STUCK_TIMEOUT_S = 1.0
# A run is reported if it takes this many times as long as expected.
OVERDUE_FACTOR = 1.3
PROGRESS_INTERVAL_S = 0.4
# Only runs with at least this progress count for the pace of the worker.
PACE_MIN_PERCENT = 3
PACE_MIN_RUNS = 3
PACE_MIN_S = 0.1  # for runs shorter than this, the percentage is too coarse


def check_progress(state, run, percent, now):
    """Stop a run that makes no progress, because its worker would never end it.

    This handles workers on which tasks hang although the worker reports no fault.
    """
    if percent != run.percent:
        run.percent = percent
        run.progressed_at = now
    elif (
        now - run.progressed_at > STUCK_TIMEOUT_S
        and not run.is_stopping
        and percent < 100
    ):
        run.is_stuck = True
        log(state, "run.stuck", job=run.name.job, percent=percent)
        stop_run(state, run, now)


def worker_pace(state, now):
    """Return the speed of the worker relative to the expected one, or 0 if unknown.

    It is the median over the runs, so that a single long task has no effect.
    """
    paces = []
    for run in state.runs.values():
        elapsed = now - run.confirmed_at
        if not run.is_confirmed or elapsed < PACE_MIN_S:
            continue
        if run.percent >= PACE_MIN_PERCENT:
            paces.append(run.expected * run.percent / 100 / elapsed)
    if len(paces) < PACE_MIN_RUNS:
        return 0.0
    return sorted(paces)[len(paces) // 2]


def report_progress(state, now):
    """Report to the owners the runs that take longer than expected.

    The progress of runs on a worker that cannot be reached is not known.
    """
    if state.unreachable_since is not None:
        return
    pace = worker_pace(state, now)
    overdue = {}
    for run in state.runs.values():
        if not run.is_confirmed or run.is_stopping or not run.expected:
            continue
        if now - run.confirmed_at > OVERDUE_FACTOR * run.expected:
            rows = overdue.setdefault(run.shard, [])
            rows.append(RunProgress(run.name, run.percent))
    for shard, rows in overdue.items():
        send(state, shard, RunsProgress(shard, pace, rows))
