"""The owner's decisions on runs: task placement and actions that time triggers."""

import math

from turmericknot.wire.shard_messages import RunName, RunStart, StartRuns

from . import besteffort, crash_reports, offers, pending, quarantine, workers
from .commands import SendMessage, StoreRecord
from .evacuation import log_empty_domains
from .job_requests import acknowledge_cancel, end_unknown_job_requests, finish_job
from .jobs import JobState, RunEnd, TaskStatus, agent_key
from .leaving_moves import move_runs
from .owner import (
    RUN_NUMBERS_PER_EPOCH,
    flush_deferred_acknowledgements,
    log,
    record_progress,
    release_capacity,
    send_acknowledgements,
    send_stop,
    store_job,
)
from .pending import demote_late_jobs, dequeue_task, enqueue_ready_steps, enqueue_task
from .run_expiry import expire_agent
from .skips import create_skipped_jobs, pool_of, skip_known_job

# Jobs of a pool that may be skipped for lack of capacity, in search of a smaller one. A
# pass over all waiting jobs and agents has no such limit.
MAX_SKIPPED_JOBS = 8
# A run sent to a worker with free capacity only has to wait there if another owner used
# that capacity at the same moment; other workers have free capacity as well.
QUEUE_TIMEOUT_S = 0.02
# A run sent to a full worker, because all are full, waits for other runs to end. An
# urgent job of 0.1 s has about this much slack.
FULL_WORKER_QUEUE_TIMEOUT_S = 0.08
# Added to the due time of late jobs, so that agents start them after all others of
# the same priority.
LATE_JOB_DUE_OFFSET_S = 3600.0


def schedule_tasks(owner, now):
    """Start waiting tasks on workers with free capacity, in list order.

    Agents that have gained capacity since the last call are offered all waiting tasks;
    tasks that have begun to wait since then are offered to all agents.
    """
    if now < owner.paused_until:
        return
    events = owner.placement_events
    if not owner.waiting:
        events.clear()
        events.clear_job_returns()
        return
    starts = {}
    if events.is_full_pass_due(now):
        events.clear()
        _offer_tasks(owner, owner.agents, None, starts, now)
    else:
        agent_ids = events.pop_agents(now)
        if agent_ids:
            _offer_tasks(owner, agent_ids, None, starts, now)
        if events.new_jobs:
            _offer_tasks(owner, owner.agents, events.new_jobs, starts, now)
    for (agent_id, number), runs in starts.items():
        shard = owner.shards[number]
        life = owner.agents[agent_id].worker.life
        message = StartRuns(number, shard.epoch, life, runs)
        owner.commands.append(SendMessage(agent_id, message))


def _offer_tasks(owner, agent_ids, new_jobs, starts, now):
    """Start the waiting tasks that these agents have capacity for.

    ``new_jobs`` limits the pass to these jobs and loses those that it has reached; None
    stands for all waiting jobs. ``starts`` collects the runs by agent and shard.
    """
    is_full_pass = new_jobs is None and agent_ids is owner.agents
    skipped = create_skipped_jobs(None if is_full_pass else MAX_SKIPPED_JOBS)
    offer = offers.create_offer(owner, agent_ids, _ensure_agent_recorded, now)
    for job in offer.order_jobs(owner.waiting.jobs()):
        if skipped.full_pool_count >= owner.waiting.pool_count:
            break
        shard = owner.shards.get(job.shard)
        if shard is None or shard.is_closing:
            continue
        pools = {pool_of(job, step) for step in owner.waiting.steps(job)}
        if all(skipped.is_full(pool) for pool in pools):
            continue
        waits_for_place = offer.examine_wait(job)
        if new_jobs is not None and new_jobs.pop(job.id, None) is None:
            # No agent had capacity for it.
            if not waits_for_place:
                skip_known_job(owner, offer, job, skipped)
            continue
        unplaced, started = _start_job_tasks(owner, offer, shard, job, starts, now)
        for task in unplaced:
            if not offer.has_fitting_worker(task, shard):
                if is_full_pass:
                    offer.log_unfitting(task)
            elif not waits_for_place and job.record.queue not in owner.confined_queues:
                # A confined queue waits for its cell alone, others for their rack.
                skipped.count(pool_of(job, task.step))
        if started:
            offers.log_started_tasks(owner, job, started, now)


def _start_job_tasks(owner, offer, shard, job, starts, now):
    """Start the waiting tasks of a job for which the offer has an agent.

    Return a task of each step for which it has none, and the tasks that were started.
    """
    unplaced_tasks = {}  # step -> its first task without an agent
    started_tasks = []
    is_confined = job.record.queue in owner.confined_queues
    for task in list(owner.waiting.tasks(job)):
        if task.step in unplaced_tasks:
            continue
        if fail_if_out_of_attempts(owner, task, now):
            break
        if owner.crash_history.is_suspect(task.key):
            agent = _choose_agent_for_suspect(owner, shard, task, now)
            if agent is not None:
                _start_task(owner, shard, agent, task, now, starts)
                started_tasks.append(task)
            continue
        task.suspect_since = None  # the crash has been withdrawn
        if pending.is_out_of_reach(owner, task):
            continue
        agent = offer.choose_agent(shard, task, is_confined)
        if agent is None:
            unplaced_tasks[task.step] = task
            if owner.waiting.steps(job) <= unplaced_tasks.keys():
                break
            continue
        if offer.pays_to_wait(task, agent):
            continue
        _start_task(owner, shard, agent, task, now, starts)
        started_tasks.append(task)
    return unplaced_tasks.values(), started_tasks


def _choose_agent_for_suspect(owner, shard, task, now):
    """Return the agent for a task that may have crashed a worker, or None."""
    if owner.crash_history.is_undecided(task.key, now):
        return None
    if task.suspect_since is None:
        task.suspect_since = now
    agent = quarantine.choose_agent(owner.agents.values(), task, now)
    if agent is None or not _ensure_agent_recorded(owner, shard, agent):
        return None
    log(
        owner,
        "task.isolated",
        job=task.job.id,
        task=f"{task.step}.{task.index}",
        agent=agent.id,
        waited=round(now - task.suspect_since, 3),
        crashes=owner.crash_history.count(task.key),
    )
    return agent


def _ensure_agent_recorded(owner, shard, agent):
    """Return whether the agent may get runs of the shard; store its record if missing.

    A later owner waits for all agents that the records of the shard name, so a run may
    start only at an agent whose record is stored.
    """
    if agent.accepted_epochs.get(shard.number) != shard.epoch:
        return False
    if agent.id in shard.usable_agents or not shard.is_durable:
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
    owner.placement_events.capacity_freed(agent_id)


def _start_task(owner, shard, agent, task, now, starts):
    dequeue_task(owner, task)
    job = task.job
    base = (shard.epoch - job.record.accepted_epoch) * RUN_NUMBERS_PER_EPOCH
    task.run = max(task.run, base) + 1
    task.status = TaskStatus.RUNNING
    task.agent = agent.id
    task.started_at = now
    job.sent_runs += 1
    job.possible_runs += 1
    spec = task.spec
    run_s = owner.run_times.expected_run_s(job.record.queue, spec)
    expected_s = run_s * owner.places.distance(agent, spec)
    if spec.data_rack:
        work = spec.cpu / 1000 * run_s
        owner.places.record_demand(job.record.service, spec.data_rack, work, now)
    has_free_capacity = workers.has_capacity(agent, spec)
    workers.reserve_capacity(agent, task)
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
        job.due_at
        - now
        + (LATE_JOB_DUE_OFFSET_S if owner.waiting.is_late(job) else 0.0),
        expected_s,
        QUEUE_TIMEOUT_S if has_free_capacity else FULL_WORKER_QUEUE_TIMEOUT_S,
        task.suspect_since is not None,
        job.record.queue,
        task.failures,
    )
    starts.setdefault((agent.id, shard.number), []).append(run)
    owner.count("started")


def run_ended_without_result(owner, view, task, how, now, reason=""):
    """Enqueue a task again whose current run has ended without a result.

    ``reason`` is the agent's reason if the run did not start.
    """
    release_capacity(owner, view, task)
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
        besteffort.remove_finished_job(owner, task.job, now)
    elif not fail_if_out_of_attempts(owner, task, now):
        enqueue_task(owner, task)


def fail_if_out_of_attempts(owner, task, now):
    """Fail the job if the task must not start again; return whether it failed.

    It must not after its last attempt has failed, or if it crashes its workers.
    """
    job = task.job
    if job.state is not JobState.ACTIVE:
        return False
    is_hopeless = owner.crash_history.is_hopeless(task.key)
    if task.failures < job.record.attempts and not is_hopeless:
        return False
    if is_hopeless:
        owner.count("given_up_after_crashes")
        log(
            owner,
            "task.given_up",
            job=job.id,
            task=f"{task.step}.{task.index}",
            crashes=owner.crash_history.count(task.key),
            suspected=owner.crash_history.count_suspected(task.key),
        )
    for step in job.tasks:
        for other in step:
            if other.status is TaskStatus.WAITING:
                dequeue_task(owner, other)
    finish_job(owner, job, JobState.FAILED, now)
    besteffort.remove_finished_job(owner, job, now)
    return True


def finish_if_complete(owner, job, now):
    """Finish a job if all of its tasks are done."""
    if job.is_active and not any(job.unfinished_tasks):
        finish_job(owner, job, JobState.SUCCEEDED, now)
        besteffort.remove_finished_job(owner, job, now)


def end_recovery(owner, shard, reason, now):
    """Enqueue the tasks for which no agent has reported a run."""
    shard.awaited_agents.clear()
    resumed = 0
    for job in shard.jobs.values():
        for step in job.tasks:
            for task in step:
                if task.status is TaskStatus.UNKNOWN:
                    task.status = TaskStatus.BLOCKED
                    resumed += 1
        if job.is_active:
            enqueue_ready_steps(owner, job)
            finish_if_complete(owner, job, now)
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
    """Act on everything that depends on time alone; called several times a second."""
    crash_reports.update_confined_queues(owner, now)
    _expire_agents(owner, now)
    besteffort.end_overdue_jobs(owner, now)
    log_empty_domains(owner, now)
    for shard in owner.shards.values():
        if shard.awaited_agents and now >= shard.recovering_until:
            end_recovery(owner, shard, "grants of a previous owner expired", now)
        end_unknown_job_requests(owner, shard, now)
        _store_progress(owner, shard, now)
        _drop_expired_jobs(owner, shard, now)
    _repeat_stops(owner, now)
    demote_late_jobs(owner, now)
    pending.update_backlog(owner)
    owner.places.refresh(owner.agents.values(), now)
    flush_deferred_acknowledgements(owner, now)
    schedule_tasks(owner, now)
    move_runs(owner, now)


def _expire_agents(owner, now):
    """Give up the runs of silent agents that have certainly ended."""
    for view in owner.agents.values():
        ended = expire_agent(owner, view, now)
        if not ended:
            continue
        log(owner, "agent.expired", agent=view.id, runs=len(ended))
        view.last_request_at = -math.inf  # gets no new run before its next request
        for task in ended:
            name = RunName(task.job.id, task.step, task.index, task.run)
            send_stop(owner, view.id, task.job.shard, name)
            run_ended_without_result(owner, view, task, RunEnd.LOST, now)


def _store_progress(owner, shard, now):
    for job in shard.jobs.values() if shard.is_durable else ():
        if not job.unacknowledged_ends or not job.is_active:
            continue
        if now - job.unacknowledged_since < owner.times.store_progress_after_s:
            continue
        record_progress(job)
        ends, job.unacknowledged_ends = job.unacknowledged_ends, []
        store_job(owner, job, (_progress_stored, ends))


def _progress_stored(owner, ends, now):
    send_acknowledgements(owner, ends)


def _drop_expired_jobs(owner, shard, now):
    if not shard.is_durable:
        return
    retention_s = owner.times.finished_job_retention_s
    expired = [
        job
        for job in shard.jobs.values()
        if job.published_state not in (None, JobState.ACTIVE)
        and now - job.finished_at > retention_s
    ]
    for job in expired:
        del shard.jobs[job.id]
        owner.commands.append(StoreRecord(shard.number, job.id, b"", None))


def _repeat_stops(owner, now):
    for name, (agent_id, shard_number, sent_at) in list(owner.pending_stops.items()):
        view = owner.agents.get(agent_id)
        if view is None or view.is_expired or shard_number not in owner.shards:
            del owner.pending_stops[name]
        elif now - sent_at > owner.times.stop_retry_s:
            owner.pending_stops[name] = (agent_id, shard_number, now)
            send_stop(owner, agent_id, shard_number, name)
