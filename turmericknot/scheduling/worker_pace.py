"""Stuck and overdue runs, and the pace of the worker."""

from turmericknot.wire.shard_messages import RunProgress, RunsProgress

from . import worker_health
from .worker_runs import log, send, stop_run

# A run whose percentage does not change for this long is stuck. A run from the longest
# tail on a worker several times too slow needs 0.7 s for one percent.
STUCK_TIMEOUT_S = 1.0
# On a worker on which a run is stuck, others are stuck after a shorter time, unless a
# worker this many times too slow would need longer for one percent of them.
COMPANION_TIMEOUT_S = 0.5
SLOWEST_WORKER_FACTOR = 9
LONG_RUN_FACTOR = 3  # of the expected run time, on a worker of usual speed
# A run is reported if it takes this many times as long as expected.
OVERDUE_FACTOR = 1.3
PROGRESS_INTERVAL_S = 0.4
# Only runs with at least this progress count for the pace of the worker.
PACE_MIN_PERCENT = 3
PACE_MIN_RUNS = 3
SUDDEN_PACE_MIN_RUNS = 6  # to tell that the worker has turned slow
PACE_MIN_S = 0.1  # for runs shorter than this, the percentage is too coarse


def check_progress(state, run, percent, now):
    """Stop a run that makes no progress, because its worker would never end it.

    This handles workers on which tasks hang although the worker reports no fault.
    """
    if percent != run.percent:
        run.percent = percent
        run.progressed_at = now
    elif (
        now - run.progressed_at > _stuck_timeout_s(state, run)
        and not run.is_stopping
        and percent < 100
    ):
        _stop_stuck_run(state, run, now)
        if state.health is not None:
            worker_health.run_stuck(state, now)


def _stuck_timeout_s(state, run):
    """Return how long a run may make no progress.

    Where a stuck run suspends the worker for all owners, the longest run of a queue on
    a worker that is merely slow must get the time for one percent.
    """
    if state.health is None:
        return STUCK_TIMEOUT_S
    percent_s = LONG_RUN_FACTOR * SLOWEST_WORKER_FACTOR * run.expected / 100
    return max(STUCK_TIMEOUT_S, percent_s)


def _stop_stuck_run(state, run, now):
    run.is_stuck = True
    log(state, "run.stuck", job=run.name.job, percent=run.percent)
    stop_run(state, run, now)


def stop_companions(state, now):
    """Stop other runs without progress if one has just been found stuck.

    Where one run hangs, the worker is likely to blame, and the others hang as well.
    Must be called when the progress of all runs has been read.
    """
    if state.health is None or not any(
        run.is_stuck and run.stop_sent_at == now for run in state.runs.values()
    ):
        return
    for run in state.runs.values():
        percent_s = run.expected * SLOWEST_WORKER_FACTOR / 100
        if (
            run.is_confirmed
            and not run.is_stopping
            and run.percent < 100
            and now - run.progressed_at > max(COMPANION_TIMEOUT_S, percent_s)
        ):
            _stop_stuck_run(state, run, now)


def worker_pace(state, now, min_runs=PACE_MIN_RUNS):
    """Return the speed of the worker relative to the expected one, or 0 if unknown.

    It is the median over the runs, so that a single long task has no effect; unknown
    with fewer than ``min_runs`` runs.
    """
    paces = []
    for run in state.runs.values():
        elapsed = now - run.confirmed_at
        if not run.is_confirmed or elapsed < PACE_MIN_S:
            continue
        if run.percent >= PACE_MIN_PERCENT:
            paces.append(run.expected * run.percent / 100 / elapsed)
    if len(paces) < min_runs:
        return 0.0
    return sorted(paces)[len(paces) // 2]


def report_progress(state, now):
    """Report to the owners the runs that take longer than expected.

    The progress of runs on a worker that cannot be reached is not known.
    """
    if state.unreachable_since is not None:
        return
    pace = worker_pace(state, now)
    if state.health is not None:
        sudden_pace = worker_pace(state, now, SUDDEN_PACE_MIN_RUNS)
        worker_health.pace_measured(state, sudden_pace, now)
    overdue = {}
    for run in state.runs.values():
        if not run.is_confirmed or run.is_stopping or not run.expected:
            continue
        if now - run.confirmed_at > OVERDUE_FACTOR * run.expected:
            rows = overdue.setdefault(run.shard, [])
            rows.append(RunProgress(run.name, run.percent))
    for shard, rows in overdue.items():
        send(state, shard, RunsProgress(shard, pace, rows))
