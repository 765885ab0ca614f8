"""The crashes of workers under each task, as an entry knows them."""

from collections import OrderedDict

# A task that may have crashed this many workers is given up.
MAX_SUSPECTED_CRASHES = 2
# The same for a task that was merely running there. The platform allows two more starts
# of a task after the third crash.
MAX_CRASHES = 3
# The same if it is not certain that the task had started there.
MAX_POSSIBLE_CRASHES = 4
# Tasks in the history; the tasks whose workers crashed longest ago are dropped first.
MAX_TASKS = 10_000


class CrashHistory:
    """Incarnations of workers that crashed while they had a run of a task."""

    __slots__ = ("_lives",)

    def __init__(self):
        # task key -> {life of a worker: (is suspect, is certain)}
        self._lives = OrderedDict()

    def __len__(self):
        return len(self._lives)

    def record(self, task_key, life, is_suspect, is_certain):
        """Record a crash under a task; return whether it was not known before.

        ``is_suspect``: the task may have crashed the worker. ``is_certain``: it had
        certainly started there.
        """
        lives = self._lives.setdefault(task_key, {})
        self._lives.move_to_end(task_key)
        if len(self._lives) > MAX_TASKS:
            self._lives.popitem(last=False)
        is_new = life not in lives
        lives[life] = (is_suspect, is_certain)
        return is_new

    def crash_count(self, task_key):
        """Return the number of workers that certainly crashed under a task."""
        lives = self._lives.get(task_key, {})
        return sum(is_certain for _, is_certain in lives.values())

    def suspected_count(self, task_key):
        """Return the number of these that the task may have crashed."""
        lives = self._lives.get(task_key, {})
        return sum(
            is_suspect and is_certain for is_suspect, is_certain in lives.values()
        )

    def is_suspect(self, task_key):
        """Return whether the task may have crashed a worker."""
        lives = self._lives.get(task_key, {})
        return any(is_suspect for is_suspect, _ in lives.values())

    def is_hopeless(self, task_key):
        """Return whether no other worker may be risked for the task."""
        return (
            self.suspected_count(task_key) >= MAX_SUSPECTED_CRASHES
            or self.crash_count(task_key) >= MAX_CRASHES
            or len(self._lives.get(task_key, ())) >= MAX_POSSIBLE_CRASHES
        )


def create_crash_history():
    """Return a history without crashes."""
    return CrashHistory()
