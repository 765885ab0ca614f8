"""Admission control: refuse jobs that cannot finish in time or can never run."""

from dataclasses import dataclass

from turmericknot.dispatch.tasks import Reason

from . import queues, reserve, teams

# Largest share of the deadline that the predicted completion may take.
MAX_DEADLINE_SHARE = 0.9
# Share of the running tasks' work that is assumed to be outstanding.
REMAINING_RUN_SHARE = 0.5
# Observations from which an estimate alone may refuse a job.
MIN_OBSERVATIONS = 5
# Largest share of the deadline that a task without observations counts for.
UNMEASURED_DEADLINE_SHARE = 0.5
RETRY_MIN_S = 0.05
RETRY_MAX_S = 30.0
RETRY_NO_WORKERS_S = 1.0


@dataclass(slots=True)
class Refusal:
    """The reason why a job is not admitted, and when to retry it."""

    reason: Reason
    detail: str
    retry_after_s: float = 0.0


def check_admission(state, spec, now):
    """Return the Refusal of a job, or None if it is admitted."""
    if state.config_version is None:
        return Refusal(
            Reason.NO_CONFIGURATION, "no configuration received yet", RETRY_NO_WORKERS_S
        )
    team = state.teams.get(spec.team)
    if team is None or not team.listed:
        return Refusal(Reason.UNKNOWN_TEAM, f"no team named {spec.team!r}")
    if not state.slots:
        retry_after_s = _jittered_retry_s(state, RETRY_NO_WORKERS_S)
        return Refusal(Reason.NO_WORKERS, "no worker is connected", retry_after_s)
    shapes = teams.task_shapes(team, spec.task_class, spec.tasks)
    for shape in shapes.values():
        state.update_cost(shape)
    return (
        _refuse_never_runnable(state, team, spec, shapes)
        or _refuse_over_queue_limit(state, team, spec)
        or _refuse_missed_deadline(state, team, spec, shapes, now)
    )


def _refuse_never_runnable(state, team, spec, shapes):
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
        detail = not shape.slot_only and _resource_misfit(state, team, shape)
        if detail:
            return Refusal(Reason.NEVER_RUNNABLE, detail)
    return None


def _resource_misfit(state, team, shape):
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


def _refuse_over_queue_limit(state, team, spec):
    limit = team.limits.get("max_queued")
    waiting = team.waiting + team.peer_waiting
    if limit is None or waiting + len(spec.tasks) <= limit:
        return None
    detail = f"{waiting} tasks are queued, the team's max_queued is {limit}"
    wait_s = queues.queued_work_s(team) / max(1.0, expected_slots(state, team))
    return Refusal(Reason.TEAM_LIMIT, detail, _jittered_retry_s(state, wait_s))


def _refuse_missed_deadline(state, team, spec, shapes, now):
    deadline_s = spec.deadline_s or team.class_deadline_s(spec.task_class)
    if not deadline_s:
        return None
    completion_s = predict_completion_s(state, team, spec, shapes, deadline_s)
    if completion_s <= deadline_s * MAX_DEADLINE_SHARE:
        return None
    detail = f"predicted to take {completion_s:.2f} s of {deadline_s:.2f} s"
    late_s = completion_s - deadline_s * MAX_DEADLINE_SHARE
    return Refusal(Reason.OVERLOAD, detail, _jittered_retry_s(state, late_s))


def predict_completion_s(state, team, spec, shapes, deadline_s):
    """Predict the seconds until the last task of a new job ends.

    The work ahead of the job and its own work are divided by the slots that the
    team can expect; the longest task is assumed to start last.
    """
    own_s, longest_s = _job_work_s(spec, shapes, deadline_s)
    rate = expected_slots(state, team)
    if any(state.is_long(shape.estimator) for shape in set(shapes.values())):
        rate = min(rate, max(1.0, reserve.long_slot_limit(state)))
    priority = teams.job_priority(team, spec)
    ahead_s = queues.queued_work_s(team, priority)
    ahead_s += REMAINING_RUN_SHARE * team.running_ms / 1e3
    start_s = (ahead_s + own_s - longest_s) / rate
    return max(0.0, start_s) + longest_s


def _job_work_s(spec, shapes, deadline_s):
    """Return a job's work in slot-seconds and the run time of its longest task."""
    limit_s = UNMEASURED_DEADLINE_SHARE * deadline_s
    if None in shapes:
        total = len(spec.tasks) * _task_slot_seconds(shapes[None], limit_s)
    else:
        total = sum(_task_slot_seconds(shape, limit_s) for shape in shapes.values())
    longest = max(_high_run_s(shape, limit_s) for shape in set(shapes.values()))
    return total, longest


def _task_slot_seconds(shape, limit_s):
    """Return the slot-seconds of a task.

    Until enough runs have been observed, the declared size counts up to a limit
    only. Otherwise a declaration that is far too high would keep a class from ever
    being started, and therefore from being measured.
    """
    estimator = shape.estimator
    seconds = estimator.mean_ms / 1e3
    if estimator.count < MIN_OBSERVATIONS:
        seconds = min(seconds, limit_s)
    return shape.cost * seconds


def _high_run_s(shape, limit_s):
    """Return the run time that 90% of the tasks stay below.

    Until enough runs have been observed, it is the mean up to a limit.
    """
    estimator = shape.estimator
    if estimator.count < MIN_OBSERVATIONS:
        return min(estimator.mean_ms / 1e3, limit_s)
    return estimator.p90_ms / 1e3


def low_run_s(shape):
    """Return the run time that 10% of the tasks stay below, 0 until it is known."""
    estimator = shape.estimator
    return estimator.p10_ms / 1e3 if estimator.count >= MIN_OBSERVATIONS else 0.0


def expected_slots(state, team):
    """Return the slots that the team can expect to get at this entry."""
    fair_queue = state.fair_queue
    weight = team.weight * team.local_share
    if team.due_slots:
        rate = max(
            team.due_slots + fair_queue.spare_slots,
            fair_queue.slots_per_weight * weight,
        )
    else:
        rate = max(
            fair_queue.spare_slots,
            state.slots * weight / (fair_queue.total_weight + weight),
        )
    return max(1.0, min(rate, team.local_cap))


def _jittered_retry_s(state, seconds):
    """Return a bounded retry delay with jitter, which spreads the clients' retries."""
    bounded = min(RETRY_MAX_S, max(RETRY_MIN_S, seconds))
    return bounded * (0.5 + state.rng.random())
