"""Whether a job is worth accepting, from the work that waits before it."""

import math

from .jobs import longest_chain

# A job answered after this many times its objective is of no use to its caller.
LATEST_OBJECTIVES = 3.0
# Callers that are refused come back no sooner and no later than this.
RETRY_MIN_S = 0.5
RETRY_MAX_S = 10.0


class Backlog:
    """Core-seconds of waiting tasks, by priority."""

    __slots__ = ("_waiting",)

    def __init__(self):
        self._waiting = {}

    def add(self, priority, core_seconds):
        """Count a task that has begun to wait; negative when it stops waiting."""
        self._waiting[priority] = self._waiting.get(priority, 0.0) + core_seconds

    def before(self, priority):
        """Return the core-seconds that are served before a new job."""
        return sum(work for level, work in self._waiting.items() if level <= priority)


def expected_durations(run_times, record):
    """Return the expected seconds of a task of each step."""
    return [run_times.expect(record.queue, step) for step in record.steps]


def objective_s(run_times, record):
    """Return the seconds within which the job is expected to be answered."""
    return record.stretch * expected_chain(run_times, record) + record.objective


def expected_chain(run_times, record):
    """Return the seconds that the job takes when nothing waits."""
    return longest_chain(record.steps, expected_durations(run_times, record))


def retry_delay(backlog, record, cores):
    """Return the seconds after which the present backlog should be gone."""
    wait = backlog.before(record.priority) / cores if cores > 0 else RETRY_MIN_S
    return min(max(wait, RETRY_MIN_S), RETRY_MAX_S)


def refusal_delay(backlog, run_times, record, cores, patience_s=math.inf):
    """Return 0 to accept the job, else the seconds after which to come back.

    The caller waits for ``patience_s`` at most.

    Answers bursts beyond the room of the workers: a job that would miss the last
    moment at which its answer is of use is refused while the caller still has
    time, and told when the present backlog will be gone.
    """
    if cores <= 0:
        return RETRY_MIN_S
    chain = expected_chain(run_times, record)
    wait = backlog.before(record.priority) / cores
    objective = record.stretch * chain + record.objective
    if wait + chain <= min(LATEST_OBJECTIVES * objective, patience_s):
        return 0.0
    return retry_delay(backlog, record, cores)
