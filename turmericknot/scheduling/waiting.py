"""Jobs with waiting tasks, in the order in which they are served."""

from bisect import bisect_left, insort

from .jobs import TaskStatus
from .skips import pool_of


class WaitingJobs:
    """A list of (priority, is late, due time, number, job), sorted."""

    __slots__ = (
        "_entries",
        "_keys",
        "_tasks",
        "_steps",
        "_pools",
        "_last_number",
        "_late_job_ids",
    )

    def __init__(self):
        self._entries = []
        self._keys = {}  # job id -> key in the list
        self._tasks = {}  # job id -> waiting tasks, the next one last
        self._steps = {}  # job id -> {step: number of its waiting tasks}
        self._pools = {}  # pool -> number of steps with waiting tasks
        self._last_number = 0
        self._late_job_ids = set()  # ids of jobs that will miss their objective

    def __len__(self):
        return len(self._entries)

    @property
    def pool_count(self):
        """Return the number of pools with waiting tasks."""
        return len(self._pools)

    def add(self, task):
        """Add a waiting task."""
        job = task.job
        tasks = self._tasks.get(job.id)
        if tasks is None:
            self._insert(job)
            tasks = self._tasks[job.id] = []
            self._steps[job.id] = {}
        tasks.append(task)
        steps = self._steps[job.id]
        steps[task.step] = steps.get(task.step, 0) + 1
        if steps[task.step] == 1:
            pool = pool_of(job, task.step)
            self._pools[pool] = self._pools.get(pool, 0) + 1

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

    def steps(self, job):
        """Return the steps of a job that have waiting tasks."""
        return self._steps.get(job.id, {}).keys()

    def remove(self, task):
        """Remove a task, if it is in the list."""
        tasks = self._tasks.get(task.job.id)
        if tasks is None or task not in tasks:
            return
        tasks.remove(task)
        steps = self._steps[task.job.id]
        steps[task.step] -= 1
        if not steps[task.step]:
            del steps[task.step]
            self._leave_pool(pool_of(task.job, task.step))
        if not tasks:
            self.remove_job(task.job)

    def remove_job(self, job):
        """Remove all tasks of a job and return them."""
        tasks = self._tasks.pop(job.id, None)
        if tasks is None:
            return []
        for step in self._steps.pop(job.id):
            self._leave_pool(pool_of(job, step))
        self._delete_entry(job)
        return tasks

    def _leave_pool(self, pool):
        self._pools[pool] -= 1
        if not self._pools[pool]:
            del self._pools[pool]


def create_waiting_jobs():
    """Return an empty list."""
    return WaitingJobs()


def is_waiting(task):
    """Return whether the task belongs in the list."""
    return task.status is TaskStatus.WAITING and task.job.is_active
