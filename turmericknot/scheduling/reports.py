"""What agents report to an owner: runs, ends, refusals, progress and room."""

from turmericknot.wire import shard_messages as wire

from . import besteffort, workers
from .commands import SendMessage
from .job_requests import acknowledge_cancel
from .jobs import JobState, RunEnd, TaskStatus
from .owner import (
    RUNS_PER_EPOCH,
    count_failure,
    granted_shards,
    log,
    send_acknowledgements,
    send_stop,
    stop_run,
)
from .pending import release_steps, stop_waiting
from .runs import check_attempts, check_complete, end_recovery, run_over

# A worker is slow below this share of the expected speed.
SLOW_PACE = 0.4
# A run is moved when it would take this many times as long where it is.
MOVE_GAIN = 1.5
MOVE_MIN_GAIN_S = 0.3  # on top, for the stop and the way to another worker
MAX_MOVES = 2  # of one task


def message_received(owner, agent_id, message, now):
    """Take any message of a connected agent."""
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
        case wire.RoomReport():
            room_reported(owner, agent_id, message)
        case wire.WorkerChanged():
            worker_changed(owner, agent_id, message.worker, now)


def agent_connected(owner, hello, now):
    """Note a new stream of an agent; ShardInventory follows for each shard."""
    view = owner.agents.get(hello.agent)
    if view is None:
        view = owner.agents[hello.agent] = workers.AgentView(hello.agent)
    if view.boot != hello.boot:
        view.boot = hello.boot
        view.boot_at = now
    view.failure_domain = hello.failure_domain
    view.is_connected = True
    view.adopted.clear()
    worker_changed(owner, hello.agent, hello.worker, now)
    log(owner, "agent.connected", agent=hello.agent, boot=hello.boot)
    # It completes the handshake, whether or not the entry owns a shard.
    greeting = wire.Grant(0, granted_shards(owner, now, view))
    owner.commands.append(SendMessage(hello.agent, greeting))


def agent_disconnected(owner, agent_id, now):
    """Note the end of the stream; the agent's runs are given up later."""
    view = owner.agents.get(agent_id)
    if view is not None:
        view.is_connected = False
        view.adopted.clear()
        log(owner, "agent.disconnected", agent=agent_id, runs=len(view.tasks))


def worker_changed(owner, agent_id, worker, now):
    """Take the agent's report on its worker."""
    view = owner.agents.get(agent_id)
    if view is None:
        return
    former, view.worker = view.worker, worker
    is_new_life = worker is None or former is None or former.life != worker.life
    if is_new_life:
        view.failures_in_row = 0
        view.failed_jobs.clear()
        view.suspended_until = 0.0
        view.probing = False
    log(
        owner,
        "worker.changed",
        agent=agent_id,
        life=worker.life if worker else "",
        usable=bool(worker and worker.usable),
    )


def grant_request_received(owner, agent_id, sequence, now):
    """Confirm the ownership of the shards to an agent."""
    view = owner.agents.get(agent_id)
    if view is None:
        return
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
    view.adopted[shard_number] = epoch
    present = set()
    for name in names:
        task = _find_task(shard, name)
        if task is None or not _adopt_run(owner, view, task, name, now):
            send_stop(owner, agent_id, shard_number, name)
            continue
        present.add(task.key)
    for key, task in list(view.tasks.items()):
        if task.job.shard == shard_number and key not in present:
            run_over(owner, view, task, RunEnd.LOST, now)
    if agent_id in shard.awaited:
        shard.awaited.discard(agent_id)
        if not shard.awaited:
            end_recovery(owner, shard, "all agents reported", now)


def _adopt_run(owner, view, task, name, now):
    """Take a reported run as the task's own; return False when it must stop."""
    if task.job.state is not JobState.ACTIVE or task.job.is_cancelling:
        return False
    if task.status is TaskStatus.RUNNING:
        return task.agent == view.id and task.run == name.run
    if task.status is TaskStatus.DONE or name.run < task.run:
        return False
    if task.status is TaskStatus.WAITING:
        stop_waiting(owner, task)
    task.status = TaskStatus.RUNNING
    task.run = name.run
    task.agent = view.id
    task.started_at = now
    task.job.started = True
    workers.occupy(view, task)
    return True


def _find_task(shard, name):
    job = shard.jobs.get(name.job)
    return job.task(name.step, name.index) if job is not None else None


def runs_ended(owner, agent_id, shard_number, life, ends, now):
    """Take reported ends; they are noted once the progress is stored."""
    shard = owner.shards.get(shard_number)
    view = owner.agents.get(agent_id)
    if shard is None or view is None:
        return
    for end in ends:
        name = end.name
        owner.stopping.pop(name, None)
        note = (agent_id, life, end.number)
        task = _find_task(shard, name)
        if task is None or task.job.published_state not in (JobState.ACTIVE, None):
            if task is not None and task.agent == agent_id:
                _free_ended(owner, task, name)
                acknowledge_cancel(owner, task.job)
                besteffort.clear_up(owner, task.job, now)
            send_acknowledgements(owner, [note])
            continue
        job = task.job
        if not shard.is_persistent:
            send_acknowledgements(owner, [note])
        elif end.number:
            if not job.unnoted:
                job.unnoted_since = now
            job.unnoted.append(note)
        _apply_end(owner, view, task, end, now)


def _apply_end(owner, view, task, end, now):
    name, how = end.name, RunEnd(end.how)
    # An earlier submission of the job may have had a run of this number elsewhere.
    is_present = (
        task.status is TaskStatus.RUNNING
        and task.run == name.run
        and task.agent == view.id
    )
    if task.status is TaskStatus.DONE:
        return
    if how is RunEnd.DONE:
        if task.status is TaskStatus.RUNNING and not is_present:
            stop_run(owner, task, now)
        _task_done(owner, view, task, name.run, end.run_ms / 1000, now)
        return
    if how is RunEnd.FAILED and count_failure(task, name.run):
        task.avoid = (*task.avoid, view.id)
        if workers.observe_failure(view, task.job.id, now):
            log(owner, "worker.suspended", agent=view.id, seconds=view.suspend_s)
    if how is RunEnd.STUCK:
        task.avoid = (*task.avoid, view.id)
        workers.observe_stuck(view, now)
    if is_present:
        run_over(owner, view, task, how, now)
    elif how is RunEnd.FAILED:
        task.run = max(task.run, name.run)
        check_attempts(owner, task, now)


def _task_done(owner, view, task, run, run_s, now):
    job = task.job
    _free_ended(owner, task, None)
    if task.status is TaskStatus.WAITING:
        stop_waiting(owner, task)
    task.status = TaskStatus.DONE
    task.run = max(task.run, run)
    job.remaining[task.step] -= 1
    if run_s > 0:
        expected = owner.run_times.expect(job.record.queue, task.spec)
        workers.observe_success(view, run_s / max(expected, 0.001))
        owner.run_times.observe(job.record.queue, task.spec, run_s)
    if not job.remaining[task.step]:
        release_steps(owner, job)
    check_complete(owner, job, now)


def _free_ended(owner, task, name):
    """Free the room of the task's present run."""
    if name is not None and task.run != name.run:
        return
    holder = owner.agents.get(task.agent)
    if holder is not None:
        workers.release(holder, task)
    if task.status is TaskStatus.RUNNING:
        task.status = TaskStatus.BLOCKED


def runs_refused(owner, agent_id, shard_number, runs, now):
    """Take back runs that the agent or its worker did not start."""
    shard = owner.shards.get(shard_number)
    view = owner.agents.get(agent_id)
    if shard is None or view is None:
        return
    for refusal in runs:
        owner.stopping.pop(refusal.name, None)
        owner.count("start_refused_" + refusal.reason)
        view.resting_until = now + workers.REST_S
        if refusal.reason == "room":
            fill_up(view)
        task = _find_task(shard, refusal.name)
        if task is None or task.run != refusal.name.run or task.agent != agent_id:
            continue
        if task.status is not TaskStatus.RUNNING:
            continue
        if refusal.reason == "old":
            # An earlier submission of the job has had runs on this worker.
            task.run += RUNS_PER_EPOCH
        if refusal.reason == "unhealthy":
            task.avoid = (*task.avoid, agent_id)
            workers.observe_failure(view, task.job.id, now)
        run_over(owner, view, task, RunEnd.LOST, now, refusal.reason)


def progress_reported(owner, agent_id, report, now):
    """Move runs off a slow worker when another one would end them much sooner.

    Answers workers that have become several times too slow under long tasks: a run
    is stopped, and started elsewhere when its end is reported.
    """
    shard = owner.shards.get(report.shard)
    view = owner.agents.get(agent_id)
    if shard is None or view is None:
        return
    workers.observe_pace(view, report.pace)
    if not 0 < report.pace < SLOW_PACE:
        return
    for row in report.runs:
        task = _find_task(shard, row.name)
        if task is None or task.run != row.name.run or task.agent != agent_id:
            continue
        if task.status is not TaskStatus.RUNNING or len(task.avoid) >= MAX_MOVES:
            continue
        elapsed = now - task.started_at
        left = elapsed * (100 - row.percent) / max(row.percent, 1)
        # What is left here, at the expected speed, plus all that is done again.
        elsewhere = report.pace * (elapsed + left)
        if left < MOVE_GAIN * elsewhere + MOVE_MIN_GAIN_S or not _has_better(
            owner, task, view, now
        ):
            continue
        task.avoid = (*task.avoid, agent_id)
        log(
            owner,
            "run.moved",
            job=task.job.id,
            task=f"{task.step}.{task.index}",
            agent=agent_id,
            pace=round(report.pace, 2),
            left=round(left, 2),
        )
        stop_run(owner, task, now)


def _has_better(owner, task, view, now):
    """Return whether a worker that is not slow has room for the task."""
    others = [agent for agent in owner.agents.values() if agent is not view]
    agent = workers.choose_agent(others, task, now)
    return agent is not None and agent.speed < view.speed / MOVE_GAIN


def room_reported(owner, agent_id, report):
    """Take what runs of other owners use on a worker."""
    view = owner.agents.get(agent_id)
    if view is not None:
        view.foreign_cpu = report.cpu
        view.foreign_memory = report.memory
        view.foreign_accelerators = report.accelerators


def fill_up(view):
    """Take a worker as full until its agent reports on the room again."""
    if view.worker is not None:
        view.foreign_cpu = max(view.foreign_cpu, view.worker.cpu - view.used_cpu)
