"""Reports of agents that a worker has crashed, at an entry."""

from .crash_history import Crash
from .jobs import CrashedRun
from .owner import log, record_progress, store_job


def worker_crashed(owner, agent_id, report, now):
    """Hold the crash of a worker against the tasks that it had runs of.

    The crashes under tasks of durable jobs are stored for a later owner. Those under
    tasks that this entry does not own count if they are submitted or taken over later.
    """
    if report.is_withdrawn:
        owner.confinement.withdraw(report.life)
    else:
        owner.confinement.record(report.life, report.tasks, now - report.age_s)
    changed_tasks = [
        task
        for task in report.tasks
        if _record_crash(owner, report, task, now - report.age_s)
    ]
    if not changed_tasks:
        return
    log(
        owner,
        "crash.reported",
        agent=agent_id,
        life=report.life,
        confirmed=report.is_confirmed,
        withdrawn=report.is_withdrawn,
        tasks=len(report.tasks),
        suspects=sum(task.is_suspect for task in report.tasks),
    )
    changed_jobs = {}
    for task in changed_tasks:
        job = _find_durable_job(owner, task.job)
        if job is not None and job.task(task.step, task.index) is not None:
            _record_crashed_run(job, report, task)
            changed_jobs[job.id] = job
    for job in changed_jobs.values():
        if job.is_active:
            record_progress(job)
            store_job(owner, job, None)


def _record_crash(owner, report, task, reported_at):
    key = (task.job, task.step, task.index)
    if report.is_withdrawn:
        return owner.crash_history.withdraw(key, report.life)
    crash = _create_crash(report, task, reported_at)
    return owner.crash_history.record(key, report.life, crash)


def _create_crash(report, task, reported_at=0.0):
    return Crash(
        task.is_suspect,
        task.has_started,
        report.is_confirmed,
        reported_at,
        task.has_survived_start,
    )


def _record_crashed_run(job, report, task):
    """Update the crashes under a task in the record of its job."""
    key = (task.step, task.index, report.life)
    job.record.crashed_runs = [
        run for run in job.record.crashed_runs if (run.step, run.index, run.life) != key
    ]
    crash = _create_crash(report, task)
    if crash.may_count and not report.is_withdrawn:
        # A later owner counts the crash alike. It learns from agents alone that the
        # task must not start beside others.
        run = CrashedRun(
            *key, crash.is_suspect_at_start, crash.has_started, crash.is_confirmed
        )
        job.record.crashed_runs.append(run)


def _find_durable_job(owner, job_id):
    for shard in owner.shards.values():
        if shard.is_durable and job_id in shard.jobs:
            return shard.jobs[job_id]
    return None


def update_confined_queues(owner, now):
    """Confine the queues whose tasks crash workers, and release the others."""
    worker_count = sum(view.worker is not None for view in owner.agents.values())
    confined = owner.confinement.confined_queues(worker_count, now)
    if confined == owner.confined_queues:
        return
    log(owner, "queues.confined", queues=",".join(confined))
    owner.confined_queues = confined
    for agent_id in owner.agents:
        owner.placement_events.capacity_freed(agent_id)
