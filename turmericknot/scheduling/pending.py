"""Adding tasks to the waiting list, and removing them."""

from . import admission, workers
from .jobs import TaskStatus

MAX_KNOWN_SHAPES = 1000  # of tasks, for which it is kept whether they are out of reach


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
        task.backlog_work = _backlog_work(owner, task)
        record = task.job.record
        is_confined = record.queue in owner.confined_queues
        task.backlog_level = record.queue if is_confined else record.priority
        owner.backlog.add(task.backlog_level, task.backlog_work)


def _backlog_work(owner, task):
    """Return the core-seconds of a task that others have to wait for.

    A suspect waits for its turn in the quarantine, a task out of reach for its failure
    domain, and one that no worker could run for another worker: the others do not wait
    for them.
    """
    if owner.crash_history.is_suspect(task.key) or is_out_of_reach(owner, task):
        return 0.0
    agents, service = owner.agents.values(), task.job.record.service
    if owner.worker_fits.lacks_worker(agents, service, task.spec):
        return 0.0
    return expected_work(task)


def is_out_of_reach(owner, task):
    """Return whether a task has to wait until an evacuation is over."""
    if not owner.evacuations.domains:
        return False
    known = owner.evacuations.out_of_reach
    service, spec = task.job.record.service, task.spec
    shape = workers.shape_of(service, spec)
    if shape not in known:
        if len(known) >= MAX_KNOWN_SHAPES:
            known.clear()
        agents = owner.agents.values()
        known[shape] = workers.fits_only_evacuated(agents, service, spec)
    return known[shape]


def is_job_out_of_reach(owner, job):
    """Return whether the next task of a waiting job is out of reach."""
    tasks = owner.waiting.tasks(job)
    return bool(tasks) and is_out_of_reach(owner, tasks[-1])


def workers_changed(owner):
    """Forget which tasks the workers could run; ``tick`` adjusts the backlog."""
    owner.evacuations.out_of_reach.clear()
    owner.worker_fits.workers_changed()


def update_backlog(owner):
    """Adjust the backlog to workers that have changed since the last call."""
    if not owner.worker_fits.pop_outdated():
        return
    for job in owner.waiting.jobs():
        for task in owner.waiting.tasks(job):
            work = _backlog_work(owner, task)
            owner.backlog.add(task.backlog_level, work - task.backlog_work)
            task.backlog_work = work


def dequeue_task(owner, task):
    """Remove a task from the waiting list."""
    owner.waiting.remove(task)
    owner.places.waits.end(task)
    owner.backlog.add(task.backlog_level, -task.backlog_work)
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
