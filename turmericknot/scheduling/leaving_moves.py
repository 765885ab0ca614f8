"""The owner's decision to move runs off workers that leave before the runs can end.

This handles an eighth or a third of the workers leaving together at peak load, at a
notice of about the length of a task. A task that is lost when its worker leaves has run
in vain for all that time, and its caller waits that much longer. If all such runs were
stopped at once, however, their tasks would crowd the remaining workers, and would wait
there instead of using the time that their workers have left.
"""

from dataclasses import dataclass

from turmericknot.wire.shard_messages import RunName

from . import placement, workers
from .jobs import JobState, TaskStatus
from .moves import MOVE_OVERHEAD_S, move_run

# A run is certain to be lost if it lacks this share of the time that is left, and at
# least the seconds below: progress is rounded, so the expected end is off by up to a
# fifth at five percent, and workers stay a little longer than they say.
CERTAIN_SHORTFALL_SHARE = 0.5
CERTAIN_SHORTFALL_S = 0.5
# A worker that has not left this long after its time is no longer considered.
FORGET_AFTER_S = 5.0


@dataclass(slots=True)
class LeavingWorker:
    """Runs of this owner that a worker may leave behind, as its agent reported."""

    life: str
    leaves_at: float
    expected_ends: dict  # run name -> time


def worker_leaving(owner, agent_id, message, now):
    """Record the runs at risk; ``move_runs`` decides about them."""
    view = owner.agents.get(agent_id)
    if view is None or view.worker is None or view.worker.life != message.life:
        return
    expected_ends = {row.name: now + row.remaining_s for row in message.runs}
    leaves_at = now + message.remaining_s
    owner.leaving_workers[agent_id] = LeavingWorker(
        message.life, leaves_at, expected_ends
    )


def is_move_worthwhile(elapsed_s, remaining_s, time_left_s):
    """Return whether the task certainly ends sooner if its run is moved now.

    The caller needs the job by its due time. A run that is lost with its worker ends a
    whole new run after that; one that is moved ends a whole new run from now, so the
    move saves the time that is left. It costs the elapsed time if the run would have
    ended after all. Where that is possible, the run is moved only if the move saves
    more than it may cost.
    """
    shortfall_s = remaining_s - time_left_s
    saved_s = time_left_s - MOVE_OVERHEAD_S
    if shortfall_s <= 0 or saved_s <= 0:
        return False
    certain_s = max(CERTAIN_SHORTFALL_S, CERTAIN_SHORTFALL_SHARE * time_left_s)
    return shortfall_s >= certain_s or saved_s > elapsed_s + MOVE_OVERHEAD_S


def move_runs(owner, now):
    """Stop runs that other workers have capacity for, the least work lost first.

    Waiting tasks that are more urgent have the first claim to that capacity, and other
    owners to the share of it that corresponds to what they use.
    """
    if not owner.leaving_workers:
        owner.moving_runs.clear()
        return
    _forget_past(owner, now)
    if now < owner.paused_until:
        return
    worthwhile = _worthwhile_moves(owner, now)
    if not worthwhile:
        return
    agents = _sample_agents(owner, now)
    free = _free_capacity(owner, agents)
    budget_cpu = _own_share(agents) * sum(max(0, cpu) for cpu, _, _ in free.values())
    first_waiting = _urgency_of_first_waiting(owner)
    for _, _, task, inputs in worthwhile:
        if first_waiting is not None and first_waiting <= _urgency_if_moved(
            owner, task, now
        ):
            continue
        if owner.moving_runs and task.spec.cpu > budget_cpu:
            continue
        target = _choose_target(owner, agents, free, task, now)
        if target is None:
            continue
        budget_cpu -= task.spec.cpu
        _use_capacity(free[target.id], task.spec)
        owner.moving_runs[_run_name(task)] = (target.id, task.spec)
        owner.count("runs_moved_leaving")
        move_run(owner, task, "leaving", now, **inputs)


def _forget_past(owner, now):
    """Forget moves whose runs have ended, and workers that have left."""
    for name in [n for n in owner.moving_runs if n not in owner.pending_stops]:
        del owner.moving_runs[name]
    for agent_id, leaving in list(owner.leaving_workers.items()):
        view = owner.agents.get(agent_id)
        worker = view.worker if view is not None else None
        has_left = worker is None or worker.life != leaving.life
        if has_left or now > leaving.leaves_at + FORGET_AFTER_S:
            del owner.leaving_workers[agent_id]


def _worthwhile_moves(owner, now):
    """Return (progress, due time, task, inputs to log) of each, in order."""
    moves = []
    for agent_id, leaving in owner.leaving_workers.items():
        if not owner.agents[agent_id].is_connected:
            continue
        time_left_s = leaving.leaves_at - now
        for name, expected_end in leaving.expected_ends.items():
            task = owner.agents[agent_id].tasks.get((name.job, name.step, name.index))
            if task is None or not _may_move(owner, task, name):
                continue
            elapsed_s, remaining_s = now - task.started_at, expected_end - now
            if not is_move_worthwhile(elapsed_s, remaining_s, time_left_s):
                continue
            progress = round(elapsed_s / (elapsed_s + remaining_s), 2)
            inputs = {
                "progress": progress,
                "left": round(remaining_s, 2),
                "leaves_in": round(time_left_s, 2),
            }
            moves.append((progress, task.job.due_at, task, inputs))
    return sorted(moves, key=lambda move: move[:2])


def _may_move(owner, task, name):
    """Return whether the task runs there, may start elsewhere, and is not stopped yet.

    Tasks that may crash their workers wait for a place of their own, so they stay.
    """
    job, shard = task.job, owner.shards.get(task.job.shard)
    return (
        task.status is TaskStatus.RUNNING
        and task.run == name.run
        and name not in owner.pending_stops
        and job.state is JobState.ACTIVE
        and not job.is_cancelling
        and shard is not None
        and not shard.is_closing
        and job.record.queue not in owner.confined_queues
        and not owner.crash_history.is_suspect(task.key)
    )


def _sample_agents(owner, now):
    """Return usable agents from a sample, as when tasks are placed."""
    agents = list(owner.agents.values())
    if len(agents) > workers.AGENT_SAMPLE_SIZE:
        agents = owner.rng.sample(agents, workers.AGENT_SAMPLE_SIZE)
    return [agent for agent in agents if workers.is_usable(agent, now)]


def _free_capacity(owner, agents):
    """Return the [cpu, memory, accelerators] that runs being moved do not count on."""
    free = {
        agent.id: [
            agent.worker.cpu - agent.used_cpu - agent.foreign_cpu,
            agent.worker.memory - agent.used_memory - agent.foreign_memory,
            agent.worker.accelerators
            - agent.used_accelerators
            - agent.foreign_accelerators,
        ]
        for agent in agents
    }
    for agent_id, spec in owner.moving_runs.values():
        if agent_id in free:
            _use_capacity(free[agent_id], spec)
    return free


def _use_capacity(capacity, spec):
    capacity[0] -= spec.cpu
    capacity[1] -= spec.memory
    capacity[2] -= spec.accelerators


def _own_share(agents):
    """Return the share of this owner in the use of the workers."""
    own_cpu = sum(agent.used_cpu for agent in agents)
    used_cpu = own_cpu + sum(agent.foreign_cpu for agent in agents)
    return own_cpu / used_cpu if used_cpu else 1.0


def _choose_target(owner, agents, free, task, now):
    """Return the emptiest worker with capacity for the task, or None."""
    spec, shard = task.spec, owner.shards[task.job.shard]
    best = None
    for agent in agents:
        cpu, memory, accelerators = free[agent.id]
        if cpu < spec.cpu or memory < spec.memory or accelerators < spec.accelerators:
            continue
        if agent.accepted_epochs.get(shard.number) != shard.epoch:
            continue
        if best is not None and cpu <= free[best.id][0]:
            continue
        if placement.is_candidate(agent, task, now):
            best = agent
    return best


def _urgency_of_first_waiting(owner):
    """Return the key of the job that is served first, or None if no task waits."""
    jobs = owner.waiting.jobs()
    if not jobs:
        return None
    job = jobs[0]
    return (job.record.priority, owner.waiting.is_late(job), job.due_at)


def _urgency_if_moved(owner, task, now):
    """Return the key that the job of the task has when the task waits again."""
    job = task.job
    new_run_s = owner.run_times.expected_run_s(job.record.queue, task.spec)
    is_late = owner.waiting.is_late(job) or now + new_run_s > job.due_at
    return (job.record.priority, is_late, job.due_at)


def _run_name(task):
    return RunName(task.job.id, task.step, task.index, task.run)
