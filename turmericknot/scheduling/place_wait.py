"""How long a task waits for a place on the rack of its data.

Load pattern: an urgent queue of which most wants one rack, while work without data
fills that rack as well. Far from its data, a task takes ``far_factor`` times as long.
It waits as long as a near place is expected to end it sooner than the far worker at
hand, or still before the due time: then it takes less capacity from others.

The wait is bounded by the gain: (``far_factor`` - 1) times the run time. Tasks that
wait count for those behind them, so only as many wait as places come in that time.
"""

import math
from dataclasses import dataclass

# Bounds of a wait, for operators who want a fixed one: equal values give just that.
MIN_WAIT_S = 0.0
MAX_WAIT_S = 10.0
# A run that takes longer than expected is taken to need this share of its time again.
MIN_REMAINING_SHARE = 0.1
# Share of the places that this owner expects to get, at least.
MIN_OWN_SHARE = 0.02


@dataclass(slots=True)
class RackUse:
    """Use of the workers of one service on one rack.

    ``cpu``, ``used_cpu`` and ``foreign_cpu`` are in thousandths of a core; the latter
    is used by runs of other owners, whose progress is unknown: they end within
    ``drain_s`` at a steady rate. ``releases`` holds (seconds until the expected end,
    cpu) of this owner's runs, sorted.
    """

    cpu: int
    used_cpu: int
    foreign_cpu: int
    releases: list
    drain_s: float
    slowdown: float  # mean of the workers


class PlaceWaits:
    """Tasks that wait for a place on a rack, in the order in which they began."""

    __slots__ = ("_by_rack", "_jobs")

    def __init__(self):
        self._by_rack = {}  # rack -> {key of the task: [Task, time of its timer]}
        self._jobs = {}  # job id -> number of its tasks that wait

    def __bool__(self):
        return bool(self._by_rack)

    def __contains__(self, task):
        return task.key in self._by_rack.get(task.spec.data_rack, ())

    def extend(self, task, until, now):
        """Record that the task waits for the rack of its data.

        Return whether a timer is needed: an earlier one decides again.
        """
        tasks = self._by_rack.setdefault(task.spec.data_rack, {})
        entry = tasks.get(task.key)
        if entry is None:
            tasks[task.key] = [task, until]
            self._jobs[task.job.id] = self._jobs.get(task.job.id, 0) + 1
            return True
        if now < entry[1] <= until:
            return False
        entry[1] = until
        return True

    def end(self, task):
        """Record that the task has started or no longer waits; return if it waited."""
        rack = task.spec.data_rack
        tasks = self._by_rack.get(rack)
        if tasks is None or tasks.pop(task.key, None) is None:
            return False
        if not tasks:
            del self._by_rack[rack]
        self._jobs[task.job.id] -= 1
        if not self._jobs[task.job.id]:
            del self._jobs[task.job.id]
        return True

    def has_job(self, job):
        """Return whether a task of the job waits for its rack."""
        return job.id in self._jobs

    def jobs_waiting_for(self, labels):
        """Return the jobs of tasks that wait for one of these racks, each once."""
        jobs = {}
        for label in labels:
            for task, _ in self._by_rack.get(label, {}).values():
                jobs[task.job.id] = task.job
        return list(jobs.values())

    def cpu_ahead(self, task):
        """Return the thousandths of a core that tasks ahead of this one wait for."""
        ahead = 0
        for key, (other, _) in self._by_rack.get(task.spec.data_rack, {}).items():
            if key == task.key:
                break
            ahead += other.spec.cpu
        return ahead


def measure_rack(agents, drain_s, expected_run_s, now):
    """Return the RackUse of these agents.

    ``expected_run_s(agent, task)`` returns the expected duration of a run in seconds.
    """
    releases = []
    for agent in agents:
        for task in agent.tasks.values():
            run_s = expected_run_s(agent, task)
            remaining_s = task.started_at + run_s - now
            remaining_s = max(remaining_s, MIN_REMAINING_SHARE * run_s)
            releases.append((remaining_s, task.spec.cpu))
    releases.sort()
    own = sum(agent.used_cpu for agent in agents)
    foreign = sum(agent.foreign_cpu for agent in agents)
    return RackUse(
        cpu=sum(agent.worker.cpu for agent in agents),
        used_cpu=own + foreign,
        foreign_cpu=foreign,
        releases=releases,
        drain_s=drain_s,
        slowdown=sum(agent.slowdown for agent in agents) / len(agents)
        if agents
        else 1.0,
    )


def near_start_s(use, ahead_cpu, cpu, own_share):
    """Return the seconds until a place on the rack should come to a task.

    Owners do not know of each other's waiting tasks. Each expects the share of the
    places that it has of all runs, ``own_share``, so that all of them together do not
    wait for the same places.
    """
    if not use.cpu or use.cpu < cpu:
        return math.inf
    queued_cpu = max(0, use.used_cpu - use.cpu)
    needed = queued_cpu + (ahead_cpu + cpu) / max(own_share, MIN_OWN_SHARE)
    drain_s = max(use.drain_s * use.slowdown, 1e-6)
    rate = use.foreign_cpu / drain_s  # thousandths of a core per second
    own_released = 0
    for seconds, released in use.releases:
        if own_released + rate * min(seconds, drain_s) >= needed:
            break
        own_released += released
        if own_released + rate * min(seconds, drain_s) >= needed:
            return seconds
    # Places that have been used again become free again at the rate of the whole rack.
    if rate and needed - own_released <= use.foreign_cpu:
        return max(0.0, needed - own_released) / rate
    return needed / use.cpu * drain_s


@dataclass(slots=True)
class WaitTerms:
    """What a decision on a wait compares, in seconds from now.

    ``near_start_s``: until a near place should come. ``near_run_s``: run time there.
    ``far_end_s``: until the end on the far worker at hand. ``latest_end_s``: until the
    end that keeps the due time. ``waited_s``: since the task began to wait.
    """

    near_start_s: float
    near_run_s: float
    far_end_s: float
    latest_end_s: float
    waited_s: float


def remaining_wait_s(terms):
    """Return for how many more seconds at most it pays to wait; 0 to run far now."""
    gain_s = terms.far_end_s - terms.near_run_s - terms.waited_s
    near_end_s = terms.near_start_s + terms.near_run_s
    bound_s = 0.0
    if near_end_s < max(terms.far_end_s, terms.latest_end_s):
        bound_s = gain_s
    bound_s = max(bound_s, MIN_WAIT_S - terms.waited_s)
    return max(0.0, min(bound_s, MAX_WAIT_S - terms.waited_s))
