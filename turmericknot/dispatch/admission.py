"""Admission: refuse at once what cannot end in time, or never."""

from dataclasses import dataclass

from turmericknot.dispatch.tasks import Reason

from . import queues, reserve, teams

SAFETY = 0.9  # share of the deadline that the prediction may use up
RESIDUAL = 0.5  # part of the running tasks' work that is still to be done
OBSERVED = 5  # observations from which an estimate may refuse a job by itself
UNKNOWN_SHARE = 0.5  # of the deadline: most that an unmeasured task counts for
RETRY_MIN_S = 0.05
RETRY_MAX_S = 30.0
RETRY_NO_WORKERS_S = 1.0


@dataclass(slots=True)
class Refusal:
    """Why a job cannot be admitted."""

    reason: Reason
    detail: str
    retry_after_s: float = 0.0


def check(state, spec, now):
    """Return the Refusal of a job, or None when it is admitted."""
    if state.config_version is None:
        return Refusal(
            Reason.NO_CONFIGURATION, "no configuration yet", RETRY_NO_WORKERS_S
        )
    team = state.teams.get(spec.team)
    if team is None or not team.listed:
        return Refusal(Reason.UNKNOWN_TEAM, f"no team named {spec.team!r}")
    if not state.slots:
        retry_after_s = _jitter(state, RETRY_NO_WORKERS_S)
        return Refusal(Reason.NO_WORKERS, "no worker in reach", retry_after_s)
    shapes = teams.shapes_of(team, spec.task_class, spec.tasks)
    for shape in shapes.values():
        state.update_cost(shape)
    return (
        _never_runnable(state, team, spec, shapes)
        or _over_queue_limit(state, team, spec)
        or _too_late(state, team, spec, shapes, now)
    )


def _never_runnable(state, team, spec, shapes):
    count = len(spec.tasks)
    for name, unit in (("max_tasks_per_job", "tasks"), ("max_queued", "tasks")):
        limit = team.limits.get(name)
        if limit is not None and count > limit:
            detail = f"{count} {unit}, over the team's {name} of {limit}"
            return Refusal(Reason.NEVER_RUNNABLE, detail)
    if team.cap < 1:
        detail = "the team's allowance or max_running is below one task"
        return Refusal(Reason.NEVER_RUNNABLE, detail)
    for shape in set(shapes.values()):
        detail = not shape.plain and _misfit(state, team, shape)
        if detail:
            return Refusal(Reason.NEVER_RUNNABLE, detail)
    return None


def _misfit(state, team, shape):
    """Return why a task of this shape can never run, or an empty string."""
    for name in teams.RESOURCES:
        need = getattr(shape, name)
        limit = team.limits.get(f"max_{name}")
        if limit is not None and need > limit:
            return f"a task needs {need} {name}, over the team's limit of {limit}"
    needs = (shape.processors, shape.memory_mb, shape.accelerators)
    for size in state.worker_sizes:
        if all(need <= held for need, held in zip(needs, size, strict=True)):
            return ""
    return (
        f"a task needs {needs[0]} processors, {needs[1]} MB and {needs[2]}"
        " accelerators, more than any worker has"
    )


def _over_queue_limit(state, team, spec):
    limit = team.limits.get("max_queued")
    waiting = team.waiting + team.peer_waiting
    if limit is None or waiting + len(spec.tasks) <= limit:
        return None
    detail = f"{waiting} tasks are queued, the team's max_queued is {limit}"
    wait_s = queues.waiting_work(team) / max(1.0, rate_of(state, team))
    return Refusal(Reason.TEAM_LIMIT, detail, _jitter(state, wait_s))


def _too_late(state, team, spec, shapes, now):
    deadline_s = spec.deadline_s or team.class_deadline_s(spec.task_class)
    if not deadline_s:
        return None
    completion_s = predict(state, team, spec, shapes, deadline_s)
    if completion_s <= deadline_s * SAFETY:
        return None
    detail = f"predicted to take {completion_s:.2f} s of {deadline_s:.2f} s"
    late_s = completion_s - deadline_s * SAFETY
    return Refusal(Reason.OVERLOAD, detail, _jitter(state, late_s))


def predict(state, team, spec, shapes, deadline_s):
    """Return the seconds until the last task of a new job is expected to end."""
    own_s, longest_s = _work(spec, shapes, deadline_s)
    rate = rate_of(state, team)
    if any(state.is_long(shape.estimator) for shape in set(shapes.values())):
        rate = min(rate, max(1.0, reserve.long_slots(state)))
    priority = teams.priority_of(team, spec)
    ahead_s = queues.waiting_work(team, priority)
    ahead_s += RESIDUAL * team.running_ms / 1e3
    free_s = (ahead_s + own_s - longest_s) / rate
    return max(0.0, free_s) + longest_s


def _work(spec, shapes, deadline_s):
    """Return a job's work in slot-seconds and the time of its longest task."""
    limit_s = UNKNOWN_SHARE * deadline_s
    if None in shapes:
        total = len(spec.tasks) * _cost_s(shapes[None], limit_s)
    else:
        total = sum(_cost_s(shape, limit_s) for shape in shapes.values())
    longest = max(_longest_s(shape, limit_s) for shape in set(shapes.values()))
    return total, longest


def _cost_s(shape, limit_s):
    """Return the slot-seconds of a task; a mere declaration counts up to a limit.

    A wrong declaration must not keep a class out for ever: without any start
    nothing would be learned.
    """
    estimator = shape.estimator
    seconds = estimator.mean / 1e3
    if estimator.count < OBSERVED:
        seconds = min(seconds, limit_s)
    return shape.cost * seconds


def _longest_s(shape, limit_s):
    estimator = shape.estimator
    if estimator.count < OBSERVED:
        return min(estimator.mean / 1e3, limit_s)
    return estimator.high / 1e3


def fastest_s(shape):
    """Return the shortest time a task may be expected to take."""
    estimator = shape.estimator
    return estimator.low / 1e3 if estimator.count >= OBSERVED else 0.0


def rate_of(state, team):
    """Return the slots that the team can count on at this entry."""
    fair = state.fair
    weight = team.weight * team.local_share
    if team.due:
        rate = max(team.due + fair.spare, fair.level * weight)
    else:
        rate = max(fair.spare, state.slots * weight / (fair.weights + weight))
    return max(1.0, min(rate, team.local_cap))


def _jitter(state, seconds):
    """Return a bounded time to wait, spread so that callers do not return at once."""
    bounded = min(RETRY_MAX_S, max(RETRY_MIN_S, seconds))
    return bounded * (0.5 + state.rng.random())
