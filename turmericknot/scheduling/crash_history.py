"""The crashes of workers under each task, as an entry knows them."""

import math
from collections import OrderedDict
from typing import NamedTuple

# A task is given up if this many workers may have crashed at its start.
MAX_SUSPECTED_CRASHES = 2
# The same for a task that was merely running there, or had ended unseen. The platform
# allows two more starts of a task after the third crash.
MAX_CRASHES = 3
# The same if it is not certain that the task had started there.
MAX_POSSIBLE_CRASHES = 4
# How long to wait for the next process of a worker, which confirms the crash. The
# workers of the users are back after three to five seconds.
CONFIRMATION_TIMEOUT_S = 8.0
# Tasks in the history; the tasks whose workers crashed longest ago are dropped first.
MAX_TASKS = 10_000


class Crash(NamedTuple):
    """A crash of a worker that had a run of a task, or may have had one."""

    is_suspect: bool  # the run may have crashed the worker
    has_started: bool  # False: it may have never reached the worker
    is_confirmed: bool  # False: the worker may be cut off
    reported_at: float = 0.0
    has_survived_start: bool = False  # the run had been at work for a while

    @property
    def may_count(self):
        """Return whether the task may have been at work when the worker crashed.

        A run that was past its start, and has ended before, tells nothing of its task.
        """
        return self.has_started or not self.has_survived_start

    @property
    def is_suspect_at_start(self):
        """Return whether the run may have crashed the worker by its start."""
        return self.is_suspect and not self.has_survived_start


class CrashHistory:
    """Incarnations of workers that crashed while they had a run of a task."""

    __slots__ = ("_crashes", "_last_suspect_at")

    def __init__(self):
        self._crashes = OrderedDict()  # task key -> {life of a worker: Crash}
        self._last_suspect_at = -math.inf

    def __len__(self):
        return len(self._crashes)

    @property
    def last_suspect_at(self):
        """Return when the latest crash with a suspect was reported."""
        return self._last_suspect_at

    def record(self, task_key, life, crash):
        """Record a crash under a task; return whether that was not known before."""
        crashes = self._crashes.setdefault(task_key, {})
        self._crashes.move_to_end(task_key)
        if len(self._crashes) > MAX_TASKS:
            self._crashes.popitem(last=False)
        if crash.is_suspect:
            self._last_suspect_at = max(self._last_suspect_at, crash.reported_at)
        known = crashes.get(life)
        crashes[life] = crash
        return known is None or known[:3] != crash[:3]

    def withdraw(self, task_key, life):
        """Remove a crash that has not happened; return whether it was known."""
        return self._crashes.get(task_key, {}).pop(life, None) is not None

    def count(self, task_key):
        """Return the number of workers that certainly crashed under a task."""
        return len(self._certain(task_key))

    def count_suspected(self, task_key):
        """Return the number of these that its start may have crashed."""
        return sum(crash.is_suspect_at_start for crash in self._certain(task_key))

    def is_suspect(self, task_key):
        """Return whether the task may have crashed a worker."""
        crashes = self._crashes.get(task_key, {})
        return any(crash.is_suspect for crash in crashes.values())

    def is_hopeless(self, task_key):
        """Return whether no other worker may be risked for the task."""
        crashes = self._crashes.get(task_key, {}).values()
        return _is_limit_reached(self._certain(task_key)) or (
            sum(crash.may_count for crash in crashes) >= MAX_POSSIBLE_CRASHES
        )

    def is_undecided(self, task_key, now):
        """Return whether the task is hopeless once its latest crashes are confirmed."""
        crashes = self._crashes.get(task_key)
        if not crashes:
            return False
        if now - max(c.reported_at for c in crashes.values()) > CONFIRMATION_TIMEOUT_S:
            return False
        return _is_limit_reached([c for c in crashes.values() if c.has_started])

    def _certain(self, task_key):
        crashes = self._crashes.get(task_key, {})
        return [c for c in crashes.values() if c.has_started and c.is_confirmed]


def _is_limit_reached(crashes):
    suspected = sum(crash.is_suspect_at_start for crash in crashes)
    return suspected >= MAX_SUSPECTED_CRASHES or len(crashes) >= MAX_CRASHES


def create_crash_history():
    """Return a history without crashes."""
    return CrashHistory()
