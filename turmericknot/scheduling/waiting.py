"""Jobs with waiting tasks, in the order in which they are served."""

from bisect import bisect_left, insort

from .jobs import TaskStatus


class WaitingJobs:
    """A list of (priority, is late, due time, number, job), sorted."""

    __slots__ = ("_entries", "_keys", "_tasks", "_last_number", "_late_job_ids")

    def __init__(self):
        self._entries = []
        self._keys = {}  # job id -> key in the list
        self._tasks = {}  # job id -> waiting tasks, the next one last
        self._last_number = 0
        self._late_job_ids = set()  # ids of jobs that will miss their objective

    def __len__(self):
        return len(self._entries)

    def add(self, task):
        """Add a waiting task."""
        job = task.job
        tasks = self._tasks.get(job.id)
        if tasks is None:
            self._insert(job)
            tasks = self._tasks[job.id] = []
        tasks.append(task)

    def _insert(self, job):
        self._last_number += 1
        is_late = job.id in self._late_job_ids
        key = (job.record.priority, is_late, job.due_at, self._last_number)
        insort(self._entries, (*key, job))
        self._keys[job.id] = key

    def _delete_entry(self, job):
        key = self._keys.pop(job.id)
        del self._entries[bisect_left(self._entries, key)]

    def demote(self, job):
        """Serve a job after those of its priority that can still meet their due time.

        Under overload, the order of due times alone would make all jobs late by the
        same amount; demoting the late ones keeps the others in time.
        """
        if job.id not in self._late_job_ids and job.id in self._keys:
            self._late_job_ids.add(job.id)
            self._delete_entry(job)
            self._insert(job)

    def is_late(self, job):
        """Return whether the job has been demoted."""
        return job.id in self._late_job_ids

    def forget_job(self, job):
        """Forget that an ended job was late."""
        self._late_job_ids.discard(job.id)

    def jobs(self):
        """Return the jobs in order, as a copy."""
        return [entry[-1] for entry in self._entries]

    def tasks(self, job):
        """Return the waiting tasks of a job, the next one last."""
        return self._tasks.get(job.id, ())

    def remove(self, task):
        """Remove a task, if it is in the list."""
        tasks = self._tasks.get(task.job.id)
        if tasks is None or task not in tasks:
            return
        tasks.remove(task)
        if not tasks:
            self.remove_job(task.job)

    def remove_job(self, job):
        """Remove all tasks of a job and return them."""
        tasks = self._tasks.pop(job.id, None)
        if tasks is None:
            return []
        self._delete_entry(job)
        return tasks


def create_waiting_jobs():
    """Return an empty list."""
    return WaitingJobs()


def is_waiting(task):
    """Return whether the task belongs in the list."""
    return task.status is TaskStatus.WAITING and task.job.is_active
