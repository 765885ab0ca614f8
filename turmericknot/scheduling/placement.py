"""The choice of a worker for a task, by the end that can be expected there.

Load pattern: workers of unequal speed, data on one rack, and a mix of tight and loose
jobs. A free worker far from the data, or a slow one, may end a task later than a full
worker near it. Jobs with slack take slow workers, which tight jobs cannot use.
"""

import math
from dataclasses import dataclass, field

from . import workers
from .admission import expected_durations
from .estimates import DEFAULT_RUN_S
from .workers import SLOWDOWN_STEP

# A full worker must promise an end sooner by more than this many steps of
# ``SLOWDOWN_STEP`` of the run time: the wait for its capacity is an estimate.
FULL_WORKER_MARGIN_STEPS = 1
# Workers whose slowdowns differ by less than this are alike for a job with slack.
SPEED_CLASS_STEP = 0.5
# Slower workers are out of order rather than slow, and are the last choice of all jobs:
# runs are moved off them (``reports.SLOW_PACE_RATIO``).
MAX_USEFUL_SLOWDOWN = 2.5
# A job has slack on a worker if it keeps its due time there when it runs this many
# times as long as expected.
SLACK_MARGIN = 1.5
# Demand for the data of a rack is compared in this many levels.
DEMAND_LEVELS = 4


@dataclass(slots=True)
class Terms:
    """What the choice depends on besides the task and the workers.

    ``run_s``: expected run time near the data on a worker of normal speed.
    ``far_factor``: factor by which it runs longer on another rack than its data.
    ``latest_end``: when the task must end for its job to keep the due time.
    ``is_late``: whether the job misses its due time anyway.
    ``drain_s``: time in which the runs of a full worker end, on average.
    ``demand``: level of the demand for data by rack label, 0 to ``DEMAND_LEVELS``.
    """

    run_s: float
    far_factor: float = 1.0
    latest_end: float = -math.inf
    is_late: bool = False
    drain_s: float = 0.0
    demand: dict = field(default_factory=dict)

    @property
    def due_run_s(self):
        """Return the time in which the runs of a full worker end."""
        return self.drain_s or self.run_s


def create_default_terms(task):
    """Return the terms of a task whose owner has observed nothing."""
    return Terms(task.spec.estimate or DEFAULT_RUN_S)


def latest_end(run_times, job, step):
    """Return when a task of the step must end for the job to keep its due time."""
    steps = job.record.steps
    if len(steps) == 1:
        return job.due_at
    durations = expected_durations(run_times, job.record)
    after = [0.0] * len(steps)  # the longest path behind each step
    for number in reversed(range(len(steps))):
        for earlier in steps[number].after:
            path_s = durations[number] + after[number]
            after[earlier] = max(after[earlier], path_s)
    return job.due_at - after[step]


def choose_agent_from_sample(
    agents, task, now, rng, quarantined=frozenset(), terms=None, near=()
):
    """Return the agent for a task from a random sample, or from all if none fits.

    With hundreds of workers, the best of two dozen is nearly as empty as the best of
    all, and owners that choose at the same moment choose different workers. ``near``
    are the agents on the rack of the task's data, which the sample may lack.
    """
    if len(agents) > workers.AGENT_SAMPLE_SIZE:
        sample = rng.sample(agents, workers.AGENT_SAMPLE_SIZE)
        agent = choose_agent([*near, *sample], task, now, quarantined, terms)
        if agent is not None:
            return agent
    return choose_agent(agents, task, now, quarantined, terms)


def is_candidate(agent, task, now, overcommit=0.0):
    """Return whether the agent may get a run of the task now."""
    spec, worker = task.spec, agent.worker
    if not workers.is_usable(agent, now):
        return False
    if not workers.has_capacity(agent, spec, overcommit):
        return False
    if worker.service != task.job.record.service:
        return False
    if spec.required_label and spec.required_label not in worker.labels:
        return False
    return not spec.max_per_worker or _is_below_limit(agent, task, spec.max_per_worker)


def _is_below_limit(agent, task, limit):
    same = sum(
        1
        for other in agent.tasks.values()
        if other.job is task.job and other.step == task.step
    )
    return same < limit


def is_far(agent, spec):
    """Return whether the worker is on another rack than the task's data."""
    return bool(spec.data_rack) and spec.data_rack not in agent.worker.labels


def choose_agent(agents, task, now, quarantined=frozenset(), terms=None):
    """Return the agent for a task, or None if no worker has capacity.

    The worker with the soonest expected end comes first, and the least used one among
    equals, so that the loss of one worker affects few tasks of a job. At peak load,
    when all workers are full, the most urgent tasks are queued at an agent, where they
    get the next free capacity before less urgent tasks of any entry. Agents whose ids
    are in ``quarantined`` come last, after those where the task has failed before.
    Workers that are cold come after the others: when a failure domain is taken back,
    work does not all move there.
    Ends are compared in steps of ``SLOWDOWN_STEP`` of the run time: less is noise.
    """
    terms = terms or create_default_terms(task)
    spec = task.spec
    overcommit = workers.URGENT_OVERCOMMIT_SHARE if _is_urgent(task) else 0.0
    # Near or slow, the data decides; and urgent jobs have no slack to give away.
    has_slack = not spec.data_rack and (terms.is_late or not _is_urgent(task))
    drain = terms.due_run_s / terms.run_s
    best = best_score = None
    for agent in agents:
        if not is_candidate(agent, task, now, overcommit):
            continue
        worker = agent.worker
        cpu = worker.cpu or 1
        used = agent.used_cpu + agent.foreign_cpu
        is_full = used + spec.cpu > cpu
        is_away = bool(spec.data_rack) and spec.data_rack not in worker.labels
        steps = agent.slowdown / SLOWDOWN_STEP
        distance = terms.far_factor if is_away else 1.0
        if is_full:
            # The wait, as in expected_wait_s, and the run.
            wait = (used + spec.cpu - cpu) / cpu * drain
            end = round(steps * (wait + distance) + FULL_WORKER_MARGIN_STEPS)
        else:
            end = round(steps) * distance
        score = (
            agent.id in quarantined,
            agent.id in task.avoided_agents,
            workers.is_cold(agent, now),
            _speed_class(agent, terms, is_full, now) if has_slack else 0,
            end,
            is_full,
            is_away,
            _demand_level(worker, spec, terms.demand) if terms.demand else 0,
            # At a full worker, the waiting time grows with the work that is queued.
            used / cpu * agent.slowdown if is_full else used / cpu,
        )
        if best is None or score < best_score:
            best, best_score = agent, score
    return best


def _is_urgent(task):
    return task.job.record.priority == 0


def expected_wait_s(agent, spec, drain_s):
    """Return the seconds until the worker should have capacity for a queued run.

    The progress of other owners' runs is unknown, so capacity is taken to become free
    at a steady rate: all that is in use within ``drain_s`` at normal speed.
    """
    cpu = agent.worker.cpu
    excess = agent.used_cpu + agent.foreign_cpu + spec.cpu - cpu
    return max(0.0, excess / (cpu or 1) * drain_s * agent.slowdown)


def expected_run_s(agent, spec, terms):
    """Return the seconds that the task should run on the worker."""
    distance = terms.far_factor if is_far(agent, spec) else 1.0
    return terms.run_s * distance * agent.slowdown


def expected_end_s(agent, spec, terms):
    """Return the seconds until the expected end of a run that is sent now."""
    wait_s = expected_wait_s(agent, spec, terms.due_run_s)
    return wait_s + expected_run_s(agent, spec, terms)


def _speed_class(agent, terms, is_full, now):
    """Return a number that is lower for slower workers on which the task is in time.

    A late job, which cannot be in time, leaves the fast workers to others as well.
    """
    if agent.slowdown > MAX_USEFUL_SLOWDOWN or is_full:
        return 1
    needed_s = SLACK_MARGIN * terms.run_s * agent.slowdown
    if not terms.is_late and now + needed_s > terms.latest_end:
        return 0
    return -round(agent.slowdown / SPEED_CLASS_STEP)


def may_choose_slow(task, agent, run_s):
    """Return whether a task that has run on the worker had slack to choose a slow one.

    ``run_s`` is its expected run time on a worker of normal speed.
    """
    needed_s = SLACK_MARGIN * run_s * agent.slowdown
    return not _is_urgent(task) and task.started_at + needed_s <= task.job.due_at


def _demand_level(worker, spec, demand):
    """Return how much tasks with data on the worker's rack need it.

    A task on the rack of its own data is one of those.
    """
    return max(
        (
            level
            for label in worker.labels
            if (level := demand.get(label)) and label != spec.data_rack
        ),
        default=0,
    )
