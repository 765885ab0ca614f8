"""Tasks that wait for a worker."""

from . import admission
from .jobs import TaskStatus


def release_steps(owner, job):
    """Let the tasks wait whose earlier steps have all ended."""
    for number, step in enumerate(job.record.steps):
        tasks = job.tasks[number]
        if not job.remaining[number]:
            continue
        if any(job.remaining[earlier] for earlier in step.after):
            continue
        for task in tasks:
            if task.status is TaskStatus.BLOCKED:
                wait(owner, task)


def wait(owner, task):
    """Put a task into the list of those that wait for a worker."""
    task.status = TaskStatus.WAITING
    task.agent = None
    if task.job.is_active:
        owner.waiting.add(task)
        owner.backlog.add(task.job.record.priority, expected_work(owner, task))


def stop_waiting(owner, task):
    """Take a task out of the list."""
    owner.waiting.remove(task)
    owner.backlog.add(task.job.record.priority, -expected_work(owner, task))


def put_back_late(owner, now):
    """Put back the waiting jobs that can no longer be in time."""
    for job in owner.waiting.jobs():
        if owner.waiting.is_late(job):
            continue
        durations = admission.expected_durations(owner.run_times, job.record)
        if now + min(durations) > job.due_at:
            owner.waiting.put_back(job)


def drop_waiting(owner, job):
    """Take all tasks of a job out of the list."""
    for task in list(owner.waiting.tasks(job)):
        stop_waiting(owner, task)


def expected_work(owner, task):
    """Return the declared core-seconds of a task.

    It is not corrected by what is learned, so that the sum stays exact.
    """
    return task.spec.cpu / 1000 * (task.spec.estimate or 0.1)
