"""The owner's decisions on runs: placing tasks, and what time alone decides."""

from turmericknot.wire.shard_messages import RunStart, StartRuns

from . import besteffort, workers
from .commands import SendMessage, StoreRecord
from .job_requests import acknowledge_cancel, finish_job
from .jobs import JobState, RunEnd, TaskStatus, agent_key
from .owner import (
    RUNS_PER_EPOCH,
    log,
    record_progress,
    send_acknowledgements,
    send_stop,
    store_job,
)
from .pending import put_back_late, release_steps, stop_waiting, wait

# Jobs without room that are passed over in search of a smaller one.
MAX_PASSED_OVER = 8
# A run sent to a worker with room waits there only for the run that took it at the
# same moment; other workers have room, too.
PATIENCE_S = 0.02
# A run sent to a full worker, because all are, waits for the ends of others. An urgent
# job of 0.1 s has about as much time to spare.
FULL_PATIENCE_S = 0.08
# At an agent, jobs that will be late come after all others of their priority.
LATE_BEHIND_S = 3600.0


def schedule_tasks(owner, now):
    """Start waiting tasks on workers with room, in the order of the list."""
    if not owner.waiting or now < owner.paused_until:
        return
    starts = {}
    passed_over = 0
    agents = [view for view in owner.agents.values() if workers.is_usable(view, now)]
    if not agents:
        return
    able = {}  # shard -> agents that may get its runs
    for job in owner.waiting.jobs():
        shard = owner.shards.get(job.shard)
        if shard is None or shard.is_closing:
            continue
        if shard.number not in able:
            able[shard.number] = [a for a in agents if _may_use(owner, shard, a)]
        for task in list(owner.waiting.tasks(job)):
            agent = workers.choose_from_many(able[shard.number], task, now, owner.rng)
            if agent is None:
                passed_over += 1
                break
            _start(owner, shard, agent, task, now, starts)
        if passed_over > MAX_PASSED_OVER:
            break
    for (agent_id, number), runs in starts.items():
        shard = owner.shards[number]
        life = owner.agents[agent_id].worker.life
        message = StartRuns(number, shard.epoch, life, runs)
        owner.commands.append(SendMessage(agent_id, message))


def _may_use(owner, shard, agent):
    """Return whether the shard's record names the agent; store it otherwise.

    A later owner waits for all agents that the record names.
    """
    if agent.adopted.get(shard.number) != shard.epoch:
        return False
    if agent.id in shard.usable_agents or not shard.is_persistent:
        return True
    if agent.id not in shard.recorded_agents:
        shard.recorded_agents.add(agent.id)
        token = (_agent_recorded, (shard, agent.id))
        owner.commands.append(
            StoreRecord(shard.number, agent_key(agent.id), b"1", token)
        )
    return False


def _agent_recorded(owner, subject, now):
    shard, agent_id = subject
    shard.usable_agents.add(agent_id)


def _start(owner, shard, agent, task, now, starts):
    stop_waiting(owner, task)
    job = task.job
    base = (shard.epoch - job.record.accepted_epoch) * RUNS_PER_EPOCH
    task.run = max(task.run, base) + 1
    task.status = TaskStatus.RUNNING
    task.agent = agent.id
    task.started_at = now
    job.started = True
    spec = task.spec
    has_room = workers.fits(agent, spec)
    workers.occupy(agent, task)
    run = RunStart(
        job.id,
        task.step,
        task.index,
        task.run,
        spec.cpu,
        spec.memory,
        spec.accelerators,
        job.record.spec,
        job.record.priority,
        job.due_at - now + (LATE_BEHIND_S if owner.waiting.is_late(job) else 0.0),
        owner.run_times.expect(job.record.queue, spec),
        PATIENCE_S if has_room else FULL_PATIENCE_S,
    )
    starts.setdefault((agent.id, shard.number), []).append(run)
    owner.count("started")
    log(
        owner,
        "task.started",
        job=job.id,
        task=f"{task.step}.{task.index}",
        run=task.run,
        agent=agent.id,
        waited=round(now - job.submitted_at, 3),
    )


def run_over(owner, view, task, how, now, reason=""):
    """Let a task wait again whose present run has ended without result.

    ``reason`` is that of the agent when the run did not begin.
    """
    workers.release(view, task)
    log(
        owner,
        "run.over",
        job=task.job.id,
        task=f"{task.step}.{task.index}",
        run=task.run,
        agent=view.id,
        how="refused" if reason else how.name.lower(),
        reason=reason,
        seconds=round(now - task.started_at, 3),
    )
    task.status = TaskStatus.BLOCKED
    if task.job.state is not JobState.ACTIVE:
        acknowledge_cancel(owner, task.job)
        besteffort.clear_up(owner, task.job, now)
    elif not check_attempts(owner, task, now):
        wait(owner, task)


def check_attempts(owner, task, now):
    """Fail the job when the task has no attempts left; return whether it did."""
    job = task.job
    if task.failures < job.record.attempts or job.state is not JobState.ACTIVE:
        return False
    for step in job.tasks:
        for other in step:
            if other.status is TaskStatus.WAITING:
                stop_waiting(owner, other)
    finish_job(owner, job, JobState.FAILED, now)
    besteffort.clear_up(owner, job, now)
    return True


def check_complete(owner, job, now):
    """End a job of which every task is done."""
    if job.is_active and not any(job.remaining):
        finish_job(owner, job, JobState.SUCCEEDED, now)
        besteffort.clear_up(owner, job, now)


def end_recovery(owner, shard, reason, now):
    """Let tasks start of which no agent has a run."""
    shard.awaited.clear()
    resumed = 0
    for job in shard.jobs.values():
        for step in job.tasks:
            for task in step:
                if task.status is TaskStatus.UNKNOWN:
                    task.status = TaskStatus.BLOCKED
                    resumed += 1
        if job.is_active:
            release_steps(owner, job)
            check_complete(owner, job, now)
        elif job.published_state is JobState.CANCELLED:
            acknowledge_cancel(owner, job)
    log(
        owner,
        "shard.recovered",
        shard=shard.number,
        epoch=shard.epoch,
        reason=reason,
        resumed=resumed,
    )


def tick(owner, now):
    """Act on what time alone decides; called several times a second."""
    _expire_agents(owner, now)
    besteffort.end_overdue(owner, now)
    for shard in owner.shards.values():
        if shard.awaited and now >= shard.recovering_until:
            end_recovery(owner, shard, "grants of a former owner expired", now)
        _store_progress(owner, shard, now)
        _drop_old(owner, shard, now)
    _repeat_stops(owner, now)
    put_back_late(owner, now)
    schedule_tasks(owner, now)


def _expire_agents(owner, now):
    """Give up the runs of agents whose grants have run out."""
    for view in owner.agents.values():
        if view.is_expired or now < view.granted_until + owner.times.grant_margin_s:
            continue
        view.is_expired = True
        if view.tasks:
            log(owner, "agent.expired", agent=view.id, runs=len(view.tasks))
        for task in list(view.tasks.values()):
            run_over(owner, view, task, RunEnd.LOST, now)


def _store_progress(owner, shard, now):
    for job in shard.jobs.values() if shard.is_persistent else ():
        if not job.unnoted or not job.is_active:
            continue
        if now - job.unnoted_since < owner.times.note_after:
            continue
        record_progress(job)
        ends, job.unnoted = job.unnoted, []
        store_job(owner, job, (_progress_stored, ends))


def _progress_stored(owner, ends, now):
    send_acknowledgements(owner, ends)


def _drop_old(owner, shard, now):
    if not shard.is_persistent:
        return
    keep = owner.times.finished_job_retention_s
    old = [
        job
        for job in shard.jobs.values()
        if job.published_state not in (None, JobState.ACTIVE)
        and now - job.finished_at > keep
    ]
    for job in old:
        del shard.jobs[job.id]
        owner.commands.append(StoreRecord(shard.number, job.id, b"", None))


def _repeat_stops(owner, now):
    for name, (agent_id, shard_number, sent_at) in list(owner.stopping.items()):
        view = owner.agents.get(agent_id)
        if view is None or view.is_expired or shard_number not in owner.shards:
            del owner.stopping[name]
        elif now - sent_at > owner.times.resend_stop:
            owner.stopping[name] = (agent_id, shard_number, now)
            send_stop(owner, agent_id, shard_number, name)
