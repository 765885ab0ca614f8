"""Admission control of jobs, based on the work that is already queued."""

import math

from .jobs import critical_path_duration

# An answer after this many times the objective is useless to the caller.
MAX_OBJECTIVE_MULTIPLE = 3.0
# Limits of the delay after which a refused caller should submit again.
RETRY_MIN_S = 0.5
RETRY_MAX_S = 10.0


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
