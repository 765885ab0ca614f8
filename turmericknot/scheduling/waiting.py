"""Jobs with tasks that wait for a worker, in the order in which they are served."""

from bisect import bisect_left, insort

from .jobs import TaskStatus


class WaitingJobs:
    """A list of (priority, is late, due time, number, job) in order."""

    __slots__ = ("_entries", "_keys", "_tasks", "_last", "_late")

    def __init__(self):
        self._entries = []
        self._keys = {}  # job id -> key in the list
        self._tasks = {}  # job id -> waiting tasks, the next one last
        self._last = 0
        self._late = set()  # ids of jobs that will miss their objective

    def __len__(self):
        return len(self._entries)

    def add(self, task):
        """Put a task that waits into the list."""
        job = task.job
        tasks = self._tasks.get(job.id)
        if tasks is None:
            self._insert(job)
            tasks = self._tasks[job.id] = []
        tasks.append(task)

    def _insert(self, job):
        self._last += 1
        is_late = job.id in self._late
        key = (job.record.priority, is_late, job.due_at, self._last)
        insort(self._entries, (*key, job))
        self._keys[job.id] = key

    def _take(self, job):
        key = self._keys.pop(job.id)
        del self._entries[bisect_left(self._entries, key)]

    def put_back(self, job):
        """Serve a job after those of its priority that can still be in time.

        Answers a load beyond the room of the workers: in the order of due times all
        jobs would be late by the same amount, instead of some.
        """
        if job.id not in self._late and job.id in self._keys:
            self._late.add(job.id)
            self._take(job)
            self._insert(job)

    def is_late(self, job):
        """Return whether the job has been put back."""
        return job.id in self._late

    def forget(self, job):
        """Note that the job has ended."""
        self._late.discard(job.id)

    def jobs(self):
        """Return the jobs in order, as a copy."""
        return [entry[-1] for entry in self._entries]

    def tasks(self, job):
        """Return the waiting tasks of a job, the next one last."""
        return self._tasks.get(job.id, ())

    def remove(self, task):
        """Take a task out, if it waits."""
        tasks = self._tasks.get(task.job.id)
        if tasks is None or task not in tasks:
            return
        tasks.remove(task)
        if not tasks:
            self.remove_job(task.job)

    def remove_job(self, job):
        """Take all tasks of a job out and return them."""
        tasks = self._tasks.pop(job.id, None)
        if tasks is None:
            return []
        self._take(job)
        return tasks


def create_waiting_jobs():
    """Return an empty list."""
    return WaitingJobs()


def is_waiting(task):
    """Return whether the task belongs into the list."""
    return task.status is TaskStatus.WAITING and task.job.is_active
