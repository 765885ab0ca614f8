"""Reports of agents to an owner: runs, ends, refusals, progress and free capacity."""

from turmericknot.wire import shard_messages as wire

from . import (
    besteffort,
    crash_reports,
    evacuation,
    leaving_moves,
    placement,
    worker_standing,
    workers,
)
from .commands import SendMessage
from .job_requests import acknowledge_cancel
from .jobs import JobState, RunEnd, TaskStatus
from .moves import MOVE_OVERHEAD_S, move_run
from .owner import (
    RUN_NUMBERS_PER_EPOCH,
    count_failure,
    defer_acknowledgement,
    granted_shards,
    log,
    release_capacity,
    send_acknowledgements,
    send_stop,
    stop_run,
)
from .pending import dequeue_task, enqueue_ready_steps, workers_changed
from .runs import (
    end_recovery,
    fail_if_out_of_attempts,
    finish_if_complete,
    run_ended_without_result,
)
from .start_refusals import proves_no_start

# A worker below this share of the expected speed is slow.
SLOW_PACE_RATIO = 0.4
# A run is moved if the rest of it takes this many times as long as a new run elsewhere.
MIN_MOVE_SPEEDUP = 1.5
MAX_MOVES_PER_TASK = 2


def message_received(owner, agent_id, message, now):
    """Dispatch any message of a connected agent."""
    match message:
        case wire.GrantRequest():
            grant_request_received(owner, agent_id, message.sequence, now)
        case wire.RunsEnded():
            runs_ended(owner, agent_id, message.shard, message.life, message.ends, now)
        case wire.RunsRefused():
            runs_refused(owner, agent_id, message.shard, message.runs, now)
        case wire.ShardInventory():
            inventory_reported(
                owner, agent_id, message.shard, message.epoch, message.runs, now
            )
        case wire.RunsProgress():
            progress_reported(owner, agent_id, message, now)
        case wire.WorkerLeaving():
            leaving_moves.worker_leaving(owner, agent_id, message, now)
        case wire.RoomReport():
            foreign_usage_reported(owner, agent_id, message)
        case wire.WorkerCrashed():
            crash_reports.worker_crashed(owner, agent_id, message, now)
        case wire.WorkerHealth():
            worker_standing.health_reported(owner, agent_id, message, now)
        case wire.WorkerChanged():
            worker_changed(owner, agent_id, message.worker, now)


def agent_connected(owner, hello, now):
    """Handle a new stream of an agent; ShardInventory follows for each shard."""
    view = owner.agents.get(hello.agent)
    if view is None:
        view = owner.agents[hello.agent] = workers.AgentView(hello.agent)
    if view.boot != hello.boot:
        view.boot = hello.boot
        view.boot_at = now
        view.health = None  # an older build would not tell again
    view.failure_domain = hello.failure_domain
    view.is_connected = True
    view.accepted_epochs.clear()
    owner.placement_events.capacity_freed(view.id)
    worker_changed(owner, hello.agent, hello.worker, now)
    log(owner, "agent.connected", agent=hello.agent, boot=hello.boot)
    # Completes the handshake, even if the entry owns no shard.
    greeting = wire.Grant(0, granted_shards(owner, now, view), on_demand=True)
    owner.commands.append(SendMessage(hello.agent, greeting))
    evacuation.agent_connected(owner, view)


def agent_disconnected(owner, agent_id, now):
    """Handle a closed stream; the agent's runs are given up later."""
    view = owner.agents.get(agent_id)
    if view is not None:
        view.is_connected = False
        view.accepted_epochs.clear()
        workers_changed(owner)
        _reconsider_place_waits(owner, view)
        log(owner, "agent.disconnected", agent=agent_id, runs=len(view.tasks))


def worker_changed(owner, agent_id, worker, now):
    """Handle the agent's report on its worker."""
    view = owner.agents.get(agent_id)
    if view is None:
        return
    previous, view.worker = view.worker, worker
    view.cold_until = now + worker.cold_s if worker is not None else 0.0
    workers_changed(owner)
    is_new_life = worker is None or previous is None or previous.life != worker.life
    if is_new_life:
        worker_standing.life_changed(view)
    _reconsider_place_waits(owner, view)
    owner.places.index_labels(view)
    owner.placement_events.capacity_freed(agent_id)
    log(
        owner,
        "worker.changed",
        agent=agent_id,
        life=worker.life if worker else "",
        usable=bool(worker and worker.usable),
    )


def _reconsider_place_waits(owner, view):
    """Offer tasks that wait for the worker's rack, which may be lost, to all agents."""
    labels = owner.places.labels_of(view.id)
    for job in owner.places.waits.jobs_waiting_for(labels):
        owner.placement_events.job_waits(job)


def grant_request_received(owner, agent_id, sequence, now):
    """Confirm the ownership of the shards to an agent."""
    view = owner.agents.get(agent_id)
    if view is None:
        return
    if not workers.is_usable(view, now):
        owner.placement_events.capacity_freed(agent_id)
    view.last_request_at = now
    shards = granted_shards(owner, now, view)
    if shards:
        view.granted_until = now + owner.times.grant_s
        view.is_expired = False
    owner.commands.append(SendMessage(agent_id, wire.Grant(sequence, shards)))


def inventory_reported(owner, agent_id, shard_number, epoch, names, now):
    """Reconcile the runs that an agent has with those expected there."""
    shard = owner.shards.get(shard_number)
    view = owner.agents.get(agent_id)
    if shard is None or view is None or shard.epoch != epoch:
        return
    view.accepted_epochs[shard_number] = epoch
    owner.placement_events.capacity_freed(agent_id)
    reported_tasks = set()
    for name in names:
        task = _find_task(shard, name)
        if task is None or not _adopt_run(owner, view, task, name, now):
            send_stop(owner, agent_id, shard_number, name)
            continue
        reported_tasks.add(task.key)
    for key, task in list(view.tasks.items()):
        if task.job.shard == shard_number and key not in reported_tasks:
            run_ended_without_result(owner, view, task, RunEnd.LOST, now)
    if agent_id in shard.awaited_agents:
        shard.awaited_agents.discard(agent_id)
        if not shard.awaited_agents:
            end_recovery(owner, shard, "all agents reported", now)


def _adopt_run(owner, view, task, name, now):
    """Take over a reported run for its task; return False if it must be stopped."""
    if task.job.state is not JobState.ACTIVE or task.job.is_cancelling:
        return False
    if task.status is TaskStatus.RUNNING:
        return task.agent == view.id and task.run == name.run
    if task.status is TaskStatus.DONE or name.run < task.run:
        return False
    if task.status is TaskStatus.WAITING:
        dequeue_task(owner, task)
    task.status = TaskStatus.RUNNING
    task.run = name.run
    task.agent = view.id
    task.started_at = now
    task.job.possible_runs += 1
    workers.reserve_capacity(view, task)
    # The previous owner may have granted the run until then.
    view.granted_until = max(view.granted_until, now + owner.times.grant_s)
    return True


def _find_task(shard, name):
    job = shard.jobs.get(name.job)
    return job.task(name.step, name.index) if job is not None else None


def runs_ended(owner, agent_id, shard_number, life, ends, now):
    """Handle reported ends; they are acknowledged once the progress is stored."""
    shard = owner.shards.get(shard_number)
    view = owner.agents.get(agent_id)
    if shard is None or view is None:
        return
    for end in ends:
        name = end.name
        owner.pending_stops.pop(name, None)
        acknowledgement = (agent_id, life, end.number)
        task = _find_task(shard, name)
        if task is None or task.job.published_state not in (JobState.ACTIVE, None):
            if task is not None and task.agent == agent_id:
                _release_ended_run(owner, task, name)
                acknowledge_cancel(owner, task.job)
                besteffort.remove_finished_job(owner, task.job, now)
            if shard.is_durable:
                send_acknowledgements(owner, [acknowledgement])
            else:
                defer_acknowledgement(owner, acknowledgement, now)
            continue
        job = task.job
        if not shard.is_durable:
            defer_acknowledgement(owner, acknowledgement, now)
        elif end.number:
            if not job.unacknowledged_ends:
                job.unacknowledged_since = now
            job.unacknowledged_ends.append(acknowledgement)
        _apply_end(owner, view, task, end, now)


def _apply_end(owner, view, task, end, now):
    name, how = end.name, RunEnd(end.how)
    # An earlier submission of the job may have had a run of this number elsewhere.
    is_current_run = (
        task.status is TaskStatus.RUNNING
        and task.run == name.run
        and task.agent == view.id
    )
    if task.status is TaskStatus.DONE:
        return
    if how is RunEnd.DONE:
        if task.status is TaskStatus.RUNNING and not is_current_run:
            stop_run(owner, task, now)
        _complete_task(owner, view, task, name.run, end.run_ms / 1000, now)
        return
    if how is RunEnd.FAILED and count_failure(task, name.run):
        task.avoided_agents = (*task.avoided_agents, view.id)
        if worker_standing.observe_failure(view, task.job.id, now):
            owner.placement_events.agent_returns_at(view.id, view.suspended_until)
            log(owner, "worker.suspended", agent=view.id, seconds=view.suspension_s)
    if how is RunEnd.STUCK:
        task.avoided_agents = (*task.avoided_agents, view.id)
        worker_standing.observe_stuck(view, now)
        owner.placement_events.agent_returns_at(view.id, view.suspended_until)
    if is_current_run:
        run_ended_without_result(owner, view, task, how, now)
    elif how is RunEnd.FAILED:
        task.run = max(task.run, name.run)
        fail_if_out_of_attempts(owner, task, now)


def _complete_task(owner, view, task, run, run_s, now):
    job = task.job
    _release_ended_run(owner, task, None)
    if task.status is TaskStatus.WAITING:
        dequeue_task(owner, task)
    task.status = TaskStatus.DONE
    task.run = max(task.run, run)
    job.unfinished_tasks[task.step] -= 1
    if run_s > 0:
        queue, places = job.record.queue, owner.places
        near_run_s = run_s / places.distance(view, task.spec)
        expected = owner.run_times.expected_run_s(queue, task.spec)
        places.observe_run(job.record.service, task.spec.cpu, run_s)
        worker_standing.observe_success(view, near_run_s / max(expected, 0.001))
        has_chosen = placement.may_choose_slow(task, view, expected)
        if not (has_chosen and places.is_slow(view)):
            owner.run_times.observe(queue, task.spec, near_run_s)
    if not job.unfinished_tasks[task.step]:
        enqueue_ready_steps(owner, job)
    finish_if_complete(owner, job, now)


def _release_ended_run(owner, task, name):
    """Release the capacity of the task's current run."""
    if name is not None and task.run != name.run:
        return
    holder = owner.agents.get(task.agent)
    if holder is not None:
        release_capacity(owner, holder, task)
    if task.status is TaskStatus.RUNNING:
        task.status = TaskStatus.BLOCKED


def runs_refused(owner, agent_id, shard_number, runs, now):
    """Enqueue the tasks of runs that the agent or its worker did not start."""
    shard = owner.shards.get(shard_number)
    view = owner.agents.get(agent_id)
    if shard is None or view is None:
        return
    is_probing = any(refusal.reason == "probing" for refusal in runs)
    view.refusal_backoff_until = now + (
        worker_standing.PROBING_BACKOFF_S if is_probing else workers.REFUSAL_BACKOFF_S
    )
    owner.placement_events.agent_returns_at(agent_id, view.refusal_backoff_until)
    if any(refusal.reason == "fenced" for refusal in runs):
        # It has accepted another owner; once it accepts this one, it reports its runs.
        view.accepted_epochs.pop(shard_number, None)
    if any(refusal.reason == evacuation.EVACUATED for refusal in runs):
        evacuation.start_refused(owner, view, now)
    for refusal in runs:
        owner.pending_stops.pop(refusal.name, None)
        owner.count("start_refused_" + refusal.reason)
        if refusal.reason == "room":
            mark_full(view)
        task = _find_task(shard, refusal.name)
        if task is None or task.run != refusal.name.run or task.agent != agent_id:
            continue
        if task.status is not TaskStatus.RUNNING:
            continue
        if proves_no_start(refusal.reason):
            task.job.possible_runs -= 1
        else:
            task.job.doubtful_runs += 1
        if refusal.reason == "old":
            # An earlier submission of the job has used this run number on the worker.
            task.run += RUN_NUMBERS_PER_EPOCH
        if refusal.reason == "unhealthy":
            task.avoided_agents = (*task.avoided_agents, agent_id)
            if worker_standing.observe_failure(view, task.job.id, now):
                owner.placement_events.agent_returns_at(agent_id, view.suspended_until)
        run_ended_without_result(owner, view, task, RunEnd.LOST, now, refusal.reason)


def progress_reported(owner, agent_id, report, now):
    """Move runs off a slow worker if another one would finish them much sooner.

    This handles workers that have become several times too slow while they run long
    tasks. A run is stopped, and started elsewhere when its end is reported.
    """
    shard = owner.shards.get(report.shard)
    view = owner.agents.get(agent_id)
    if shard is None or view is None:
        return
    worker_standing.observe_pace(view, report.pace)
    if not 0 < report.pace < SLOW_PACE_RATIO:
        return
    for row in report.runs:
        task = _find_task(shard, row.name)
        if task is None or task.run != row.name.run or task.agent != agent_id:
            continue
        if (
            task.status is not TaskStatus.RUNNING
            or len(task.avoided_agents) >= MAX_MOVES_PER_TASK
        ):
            continue
        elapsed_s = now - task.started_at
        remaining_s = elapsed_s * (100 - row.percent) / max(row.percent, 1)
        # A new run repeats all work, at the expected speed.
        new_run_s = report.pace * (elapsed_s + remaining_s)
        if (
            remaining_s < MIN_MOVE_SPEEDUP * new_run_s + MOVE_OVERHEAD_S
            or not _has_faster_worker(owner, task, view, now)
        ):
            continue
        task.avoided_agents = (*task.avoided_agents, agent_id)
        pace, left = round(report.pace, 2), round(remaining_s, 2)
        move_run(owner, task, "slow", now, pace=pace, left=left)


def _has_faster_worker(owner, task, view, now):
    """Return whether a considerably faster worker has capacity for the task."""
    others = [agent for agent in owner.agents.values() if agent is not view]
    agent = placement.choose_agent(others, task, now)
    return agent is not None and agent.slowdown < view.slowdown / MIN_MOVE_SPEEDUP


def foreign_usage_reported(owner, agent_id, report):
    """Record what runs of other owners use on a worker."""
    view = owner.agents.get(agent_id)
    if view is None:
        return
    if (
        report.cpu < view.foreign_cpu
        or report.memory < view.foreign_memory
        or report.accelerators < view.foreign_accelerators
    ):
        owner.placement_events.capacity_freed(agent_id)
    view.foreign_cpu = report.cpu
    view.foreign_memory = report.memory
    view.foreign_accelerators = report.accelerators


def mark_full(view):
    """Treat a worker as full until its agent reports free capacity again."""
    if view.worker is not None:
        view.foreign_cpu = max(view.foreign_cpu, view.worker.cpu - view.used_cpu)
