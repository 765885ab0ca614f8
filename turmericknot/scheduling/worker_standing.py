"""What an owner believes of a worker: speed, suspensions, probes.

Answers workers that fail, hang or turn slow at a peak. An agent that judges its worker
sees the runs of all owners and is believed: every owner then acts alike, and one that
has just started needs no experience of its own. Owners judge the workers of agents of
older builds by their own runs.
"""

from .owner import log
from .worker_health import HealthState

# Weight of the newest run in the moving average of the slowdown.
NEWEST_RUN_WEIGHT = 0.15
# A single run counts as at most this slowdown: long tails are part of every queue and
# say little about the worker.
MAX_OBSERVED_SLOWDOWN = 4.0
# Consecutive failed runs, of different jobs, after which a worker is suspended.
CONSECUTIVE_FAILURES_TO_SUSPEND = 4
MIN_SUSPENSION_S = 1.0
MAX_SUSPENSION_S = 8.0
# A worker that is slower than this should not get the last attempt of a task.
MAX_SOUND_SLOWDOWN = 2.5
# An agent that probes its worker tells when it is sound; until then it takes a few runs
# at a time over all owners, and refuses the others.
PROBING_BACKOFF_S = 0.25


def health_reported(owner, agent_id, health, now):
    """Adopt what an agent tells of its worker."""
    view = owner.agents.get(agent_id)
    if view is None:
        return
    state_before = state_of(view, now)
    if not _adopt(view, health, now):
        return
    state = state_of(view, now)
    if state is state_before:
        return
    if state is HealthState.FAILING:
        owner.placement_events.agent_returns_at(agent_id, view.suspended_until)
    else:
        view.refusal_backoff_until = now
        owner.placement_events.capacity_freed(agent_id)
    log(
        owner,
        "worker.health",
        agent=agent_id,
        state=state.name.lower(),
        reason=health.reason,
        seconds=health.usable_in_s,
        slowdown=health.slowdown,
        runs=health.runs,
    )


def _adopt(view, health, now):
    """Adopt what the agent tells of its worker; return whether it was news.

    A late word about an earlier incarnation of the worker is ignored.
    """
    if view.worker is None or view.worker.life != health.life:
        return False
    view.health = health
    view.slowdown = health.slowdown
    view.is_probing = health.state in (HealthState.FAILING, HealthState.PROBING)
    if health.usable_in_s:
        view.suspended_until = now + health.usable_in_s
    elif view.is_probing:
        # Runs that began before are no probes.
        view.suspended_until = min(view.suspended_until, now) or now
    else:
        view.suspended_until = 0.0
    return True


def life_changed(view):
    """Forget the faults of an earlier incarnation of the worker."""
    view.consecutive_failures = 0
    view.failed_jobs.clear()
    view.suspended_until = 0.0
    view.is_probing = False
    if view.health is not None:
        view.health = None
        view.slowdown = 1.0


def state_of(view, now):
    """Return the HealthState of the worker as this owner sees it."""
    if now < view.suspended_until:
        return HealthState.FAILING
    if view.is_probing:
        return HealthState.PROBING
    if view.health is not None and view.health.state == HealthState.SLOW:
        return HealthState.SLOW
    return HealthState.SOUND


def is_sound(view, now):
    """Return whether the worker may get the last attempt of a task.

    Its failure would fail the job, so nothing may speak against the worker.
    """
    return (
        state_of(view, now) is HealthState.SOUND
        and not view.consecutive_failures
        and view.slowdown < MAX_SOUND_SLOWDOWN
    )


def observe_success(view, slowdown):
    """Update the standing of a worker after a successful run.

    ``slowdown`` is the run time divided by the expected one.
    """
    view.consecutive_failures = 0
    view.failed_jobs.clear()
    if view.health is not None:
        return
    view.suspension_s = 0.0
    view.is_probing = False
    slowdown = min(slowdown, MAX_OBSERVED_SLOWDOWN)
    view.slowdown += NEWEST_RUN_WEIGHT * (slowdown - view.slowdown)


def observe_pace(view, pace):
    """Update the slowdown of a worker from the pace of its current runs."""
    if pace > 0 and view.health is None:
        view.slowdown = max(view.slowdown, min(1 / pace, MAX_OBSERVED_SLOWDOWN))


def observe_stuck(view, now):
    """Suspend a worker on which a run made no progress; return whether it was.

    On a worker where every task hangs, each attempt costs a second. The suspensions
    therefore grow, and after each one a single task at a time probes the worker.
    """
    if view.health is not None or now < view.suspended_until:
        return False
    _suspend(view, now)
    return True


def observe_failure(view, job_id, now):
    """Update the standing after a failed run; return whether it suspended the worker.

    A worker that fails every run is suspended after consecutive failures of several
    jobs. After the suspension a single task at a time probes it.
    """
    view.consecutive_failures += 1
    view.failed_jobs.add(job_id)
    if view.health is not None:
        return False
    is_worker_fault = len(view.failed_jobs) > 1 or view.is_probing
    if (
        view.consecutive_failures < CONSECUTIVE_FAILURES_TO_SUSPEND
        and not view.is_probing
    ):
        return False
    if not is_worker_fault or now < view.suspended_until:
        return False
    _suspend(view, now)
    return True


def _suspend(view, now):
    view.suspension_s = min(
        max(2 * view.suspension_s, MIN_SUSPENSION_S), MAX_SUSPENSION_S
    )
    view.suspended_until = now + view.suspension_s
    view.is_probing = True


def count_states(views, now):
    """Return the number of workers by the name of their HealthState, in lower case."""
    counts = {state.name.lower(): 0 for state in HealthState}
    for view in views:
        if view.is_connected and view.worker is not None:
            counts[state_of(view, now).name.lower()] += 1
    return counts
