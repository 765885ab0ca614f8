"""Adding tasks to the waiting list, and removing them."""

from . import admission
from .jobs import TaskStatus


def enqueue_ready_steps(owner, job):
    """Enqueue the tasks of all steps whose earlier steps have ended."""
    for number, step in enumerate(job.record.steps):
        tasks = job.tasks[number]
        if not job.unfinished_tasks[number]:
            continue
        if any(job.unfinished_tasks[earlier] for earlier in step.after):
            continue
        for task in tasks:
            if task.status is TaskStatus.BLOCKED:
                enqueue_task(owner, task)


def enqueue_task(owner, task):
    """Mark a task as waiting, and add it to the list if its job is active."""
    task.status = TaskStatus.WAITING
    task.agent = None
    if task.job.is_active:
        owner.waiting.add(task)
        owner.placement_events.job_waits(task.job)
        # A suspect waits for its turn in the quarantine; the others do not wait for it.
        is_suspect = owner.crash_history.is_suspect(task.key)
        task.backlog_work = 0.0 if is_suspect else expected_work(task)
        record = task.job.record
        is_confined = record.queue in owner.confined_queues
        task.backlog_level = record.queue if is_confined else record.priority
        owner.backlog.add(task.backlog_level, task.backlog_work)
        owner.demand.add_waiting(record, task.backlog_work)
        owner.floors.refund(task)


def dequeue_task(owner, task):
    """Remove a task from the waiting list."""
    owner.waiting.remove(task)
    owner.backlog.add(task.backlog_level, -task.backlog_work)
    owner.demand.add_waiting(task.job.record, -task.backlog_work)
    task.backlog_work = 0.0


def demote_late_jobs(owner, now):
    """Move waiting jobs that will miss their due time behind the others."""
    for job in owner.waiting.jobs():
        if owner.waiting.is_late(job):
            continue
        durations = admission.expected_durations(owner.run_times, job.record)
        if now + min(durations) > job.due_at:
            owner.waiting.demote(job)


def dequeue_job_tasks(owner, job):
    """Remove all tasks of a job from the waiting list."""
    for task in list(owner.waiting.tasks(job)):
        dequeue_task(owner, task)


def expected_work(task):
    """Return the declared core-seconds of a task."""
    return task.spec.cpu / 1000 * (task.spec.estimate or 0.1)
