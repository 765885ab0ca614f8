"""Admission control of jobs, based on the work that is already queued.

Load pattern: a burst of a queue to more than twice the capacity, or a wave of urgent
jobs over running long ones. A caller that is refused at once can turn to something
else; one that is refused after seconds has lost them.
"""

import math
import zlib

from .jobs import critical_path_duration

# An answer after this many times the objective is useless to the caller.
MAX_OBJECTIVE_MULTIPLE = 3.0
# Limits of the delay after which a refused caller should submit again.
RETRY_MIN_S = 0.5
RETRY_MAX_S = 10.0
# With the demand of all entries known and capacity short, a job is accepted if it
# should end within this many times its objective; a later answer would take the place
# of one that keeps it. The rest covers tasks that take longer than expected and more
# urgent jobs that arrive afterwards, so that an accepted job is not refused later.
ACCEPTED_OBJECTIVE_MULTIPLE = 0.85
# Callers refused at the same moment return spread over this share of the delay.
RETRY_SPREAD_SHARE = 0.5
MAX_LOGGED_WAIT_S = 60.0  # the wait is infinite if more urgent work takes all cores


class Backlog:
    """Core-seconds of waiting tasks, by priority or, if confined, by queue."""

    __slots__ = ("_waiting",)

    def __init__(self):
        self._waiting = {}

    def add(self, priority, core_seconds):
        """Add the core-seconds of a task; negative when it stops waiting.

        ``priority`` is the name of the queue if it is confined to a part of the
        workers: the tasks of others do not wait for it.
        """
        self._waiting[priority] = self._waiting.get(priority, 0.0) + core_seconds

    def core_seconds_before(self, priority):
        """Return the core-seconds that are served before a new job."""
        return sum(
            work
            for level, work in self._waiting.items()
            if not isinstance(level, str) and level <= priority
        )

    def core_seconds_of_queue(self, queue):
        """Return the core-seconds of a confined queue."""
        return self._waiting.get(queue, 0.0)


def expected_durations(run_times, record):
    """Return the expected seconds of a task of each step."""
    return [run_times.expected_run_s(record.queue, step) for step in record.steps]


def objective_s(run_times, record):
    """Return the response time objective of the job in seconds."""
    return (
        record.stretch * expected_critical_path_s(run_times, record) + record.objective
    )


def expected_critical_path_s(run_times, record):
    """Return the expected seconds of the job when nothing has to wait."""
    return critical_path_duration(record.steps, expected_durations(run_times, record))


def retry_delay_s(work, cores):
    """Return the seconds after which a backlog of core-seconds should be served."""
    wait = work / cores if cores > 0 else RETRY_MIN_S
    return min(max(wait, RETRY_MIN_S), RETRY_MAX_S)


def refusal_delay_s(work, run_times, record, cores, caller_wait_s=math.inf):
    """Return 0 to accept the job, else the seconds after which to submit it again.

    ``work`` is the backlog ahead of the job in core-seconds. The caller waits for
    ``caller_wait_s`` at most.

    In a burst beyond the capacity of the workers, a job that would be answered too late
    to be useful is refused while its caller still has time, with the delay after
    which the current backlog should be served.
    """
    if cores <= 0:
        return RETRY_MIN_S
    critical_path_s = expected_critical_path_s(run_times, record)
    wait = work / cores
    objective = record.stretch * critical_path_s + record.objective
    if wait + critical_path_s <= min(MAX_OBJECTIVE_MULTIPLE * objective, caller_wait_s):
        return 0.0
    return retry_delay_s(work, cores)


class Forecast:
    """Expected wait of a new job: the work ahead of it and the cores that serve it."""

    __slots__ = (
        "work",
        "cores",
        "wait_s",
        "idle",
        "is_idle",
        "is_floor",
        "age_s",
        "entries",
    )

    def __init__(self, view, service):
        self.work = 0.0  # core-seconds
        self.cores = 0.0
        self.wait_s = 0.0
        self.idle = view.idle.get(service, 0.0)
        self.is_idle = not view.is_short(service)
        self.is_floor = False  # whether the floor of the queue serves it sooner
        self.age_s = view.age_s
        self.entries = view.entries

    @property
    def fields(self):
        """Return the inputs of the decision for a log line."""
        return {
            "work": round(self.work, 2),
            "cores": round(self.cores, 1),
            "wait": round(min(self.wait_s, MAX_LOGGED_WAIT_S), 2),
            "floor": self.is_floor,
            "oldest": round(self.age_s, 2),
            "entries": self.entries,
        }


def forecast_wait(view, record, run_times, floor_share):
    """Return the Forecast of a job from the FleetView of all demand.

    Queues of a lower priority keep their floors, and their runs release capacity only
    as they end. ``floor_share`` is that of the job's queue; 0: it has none.
    """
    forecast = Forecast(view, record.service)
    cores = view.cores.get(record.service, 0.0)
    ahead = own = own_used = used_before = held = held_work = floors = 0.0
    for queue in view.queues_of(record.service):
        if queue.priority <= record.priority:
            ahead += queue.waiting
            if queue.queue == record.queue:
                own, own_used = queue.waiting, queue.used
            used_before += queue.used if queue.priority < record.priority else 0.0
            continue
        held += queue.used
        held_work += queue.running
        floors += floor_share * cores if queue.waiting > 0 else 0.0
    # The job ends when its last task does, so the others are ahead of that one.
    last_s = run_times.expected_run_s(record.queue, record.steps[-1])
    other_tasks = _work(record, run_times) - record.steps[-1].cpu / 1000 * last_s
    forecast.work = ahead + other_tasks
    forecast.cores = max(cores - used_before - floors, 0.0)
    hold_s = held_work / held if held else 0.0
    free = max(cores - used_before - held, 0.0)
    forecast.wait_s = _drain_s(forecast.work, forecast.cores, free, held, hold_s)
    if floor_share:
        floor_cores = floor_share * cores
        # Lent capacity comes back before the queue waits for its own runs.
        lent = max(0.0, floor_cores - own_used) * last_s
        work = own + max(0.0, other_tasks - lent)
        wait = work / floor_cores if floor_cores else math.inf
        if wait < forecast.wait_s:
            forecast.work, forecast.cores = work, floor_cores
            forecast.wait_s, forecast.is_floor = wait, True
    return forecast


def _drain_s(work, cores, free, held, hold_s):
    """Return the seconds until the work has started on ``cores``.

    At first it has ``free`` of them. ``held`` are in use by less urgent runs that take
    ``hold_s`` more on average, and become free evenly over twice that time.
    """
    if work <= 0:
        return 0.0
    if cores <= 0:
        return math.inf
    if held <= 0 or hold_s <= 0:
        return work / cores
    freed_per_s = held / (2 * hold_s)
    drain_s = (math.sqrt(free**2 + 2 * freed_per_s * work) - free) / freed_per_s
    return max(work / cores, drain_s)


def _work(record, run_times):
    """Return the expected core-seconds of a job."""
    return sum(
        step.count * step.cpu / 1000 * run_times.expected_run_s(record.queue, step)
        for step in record.steps
    )


def fleet_refusal_delay_s(forecast, run_times, record, job_id, caller_wait_s=math.inf):
    """Return 0 to accept the job, else the seconds after which to submit it again."""
    peak_cores = max((s.count * s.cpu for s in record.steps), default=0) / 1000
    critical_path_s = expected_critical_path_s(run_times, record)
    objective = record.stretch * critical_path_s + record.objective
    ends_in_s = forecast.wait_s + critical_path_s
    # More urgent jobs cannot take what a floor serves.
    multiple = 1.0 if forecast.is_floor else ACCEPTED_OBJECTIVE_MULTIPLE
    limit_s = min(multiple * objective, caller_wait_s)
    if ends_in_s <= limit_s or peak_cores <= forecast.idle and forecast.is_idle:
        return 0.0
    excess_s = min(ends_in_s - limit_s, RETRY_MAX_S)
    delay = min(max(excess_s, RETRY_MIN_S), RETRY_MAX_S)
    return delay * (1 + RETRY_SPREAD_SHARE * spread(job_id))


def spread(job_id):
    """Return a number from 0 to 1 that is evenly distributed over job ids."""
    return zlib.crc32(job_id.encode()) / 2**32
