"""Interface of the scheduling policy to the rest of an entry.

The functions below connect job ownership (``entry.py``) with the policy modules. They
take the scheduler's state and, where it matters, the monotonic time in seconds.
"""

from heapq import heappop, heappush

from turmericknot.configtree.tree import resolve_team_settings
from turmericknot.wire.messages import TaskSpec, TaskStatus

from . import (
    admission,
    demands,
    fairshare,
    placement,
    quarantine,
    queues,
    reserve,
    retries,
    starts,
    teams,
    usage,
)
from .admission import Refusal
from .placement import Assignment
from .policystate import SchedulerState, status_figures

SHARES_INTERVAL_S = 0.05  # between computations of the teams' shares and caps
# Between checks of long tasks, deferred retries and blocked teams.
PERIODIC_INTERVAL_S = 0.05
# Time after its deadline at which a job that was not removed is dropped.
JOB_RETENTION_S = 60.0


def create_scheduler(settings, rng):
    """Return the scheduling state for an entry with the given EntrySettings."""
    return SchedulerState(settings, rng)


def config_changed(state, version, tree, now):
    """Apply a configuration."""
    state.config_version = version
    listed = tree.get("teams", {})
    for name in listed:
        teams.configure_team(
            _get_or_create_team(state, name), resolve_team_settings(tree, name)
        )
    for name, team in state.teams.items():
        team.listed = name in listed
    state.shares_computed_at = float("-inf")


def _get_or_create_team(state, name):
    team = state.teams.get(name)
    if team is None:
        team = state.teams[name] = teams.Team(name)
    return team


def admit(state, spec, now):
    """Return the Refusal of a job, or None; the queues are not changed."""
    _refresh_shares(state, now)
    return admission.check_admission(state, spec, now)


def add_job(state, spec, indexes, deadline, claimed, now):
    """Queue tasks of an admitted job; ``deadline`` is in monotonic seconds."""
    job = state.jobs.get(spec.job)
    if job is None:
        job = _create_job(state, spec, deadline, claimed)
    _enqueue(state, job, list(indexes), now)
    heappush(state.deadline_heap, (_latest_start(job), job.sequence, job))
    if any(not state.is_long(shape.estimator) for shape in job.shapes.values()):
        state.last_short_work_at = now


def _create_job(state, spec, deadline, claimed):
    team = _get_or_create_team(state, spec.team)
    state.sequence += 1
    priority = teams.job_priority(team, spec)
    job = queues.ScheduledJob(spec, team, deadline, claimed, priority, state.sequence)
    job.shapes = teams.task_shapes(team, spec.task_class, spec.tasks)
    for shape in job.shapes.values():
        state.update_cost(shape)
    state.jobs[spec.job] = job
    return job


def _enqueue(state, job, indexes, now, at_front=False):
    team = job.team
    if not indexes:
        return
    idle = not team.waiting
    queues.enqueue(team, job, indexes, at_front)
    state.waiting += len(indexes)
    if idle:
        share = usage.reachable_region_share(state.usage, now)
        fairshare.split_between_entries(state.fair_queue, team, share)
        fairshare.activate_team(state.fair_queue, team, now)
    if not team.heap_sequence:
        # The team was idle, or none of its tasks could start.
        fairshare.push_team(state.fair_queue, team)


def remove_job(state, job_id, now):
    """Remove a job; return the indexes of the tasks that were still queued."""
    job = state.jobs.get(job_id)
    if job is None:
        return []
    job.removed = True
    dropped = (job.expired_indexes or []) + _dequeue_all(state, job)
    job.expired_indexes = []
    if not job.started:
        del state.jobs[job_id]
    return sorted(dropped)


def _dequeue_all(state, job):
    dropped = queues.dequeue_job(job.team, job)
    state.waiting -= len(dropped)
    if job.deferred:
        dropped += retries.drop_deferred(job.team, job)
    return dropped


def agent_joined(state, stream, hello, now):
    """Add an agent, which gets tasks once its window has arrived."""
    domain = placement.get_or_create_domain(state.placement, hello.failure_domain)
    agent = state.agents[stream] = placement.PlacementAgent(stream, hello, domain)
    quarantine.add_worker(state.quarantine)
    if not agent.draining:
        _add_capacity(state, agent, 1, now)


def _add_capacity(state, agent, sign, now):
    hello = agent.hello
    size = (hello.processors, hello.memory_mb, hello.accelerators)
    state.slots += sign * hello.slots
    for name, amount in zip(teams.RESOURCES, size, strict=True):
        state.resource_totals[name] += sign * amount
    workers = state.worker_sizes.get(size, 0) + sign
    state.worker_sizes[size] = workers
    if not workers:
        del state.worker_sizes[size]
    state.capacity_version += 1
    usage.add_region_slots(state.usage, agent.region, sign * hello.slots, now)
    state.shares_computed_at = float("-inf")


def agent_left(state, stream, now):
    """Remove an agent; the job's owner decides what happens to its started tasks."""
    agent = state.agents.pop(stream, None)
    if agent is None:
        return
    for job_id, index in list(agent.tasks):
        starts.end_task(state, agent, job_id, index, now)
    placement.remove_agent(state.placement, agent)
    quarantine.remove_worker(state.quarantine, agent)
    if not agent.draining:
        _add_capacity(state, agent, -1, now)


def set_window(state, stream, window, now):
    """Update the number of slots that an agent grants to this entry."""
    agent = state.agents.get(stream)
    if agent is None or window.sequence < agent.window_sequence:
        return
    if window.slots > agent.window:
        demands.reset_demand_delay(agent)
    agent.window = window.slots
    agent.window_sequence = window.sequence
    placement.refresh_agent(state.placement, agent)


def set_rostered(state, stream, rostered, now):
    """Set whether an agent may get tasks of claimed jobs."""
    _set_flag(state, stream, "rostered", rostered)


def set_suspect(state, stream, suspect, now):
    """Set whether an agent is silent or still under its flap penalty."""
    _set_flag(state, stream, "suspect", suspect)


def _set_flag(state, stream, name, value):
    agent = state.agents.get(stream)
    if agent is not None:
        setattr(agent, name, value)
        placement.refresh_agent(state.placement, agent)
        starts.retry_blocked_teams(state, starts.BLOCKED_NO_FIT)


def agent_draining(state, stream, now):
    """Stop sending tasks to an agent that is draining."""
    agent = state.agents.get(stream)
    if agent is not None and not agent.draining:
        agent.draining = True
        placement.refresh_agent(state.placement, agent)
        _add_capacity(state, agent, -1, now)


def task_done(state, stream, job_id, index, status, run_ms, now):
    """Record the outcome of a started task."""
    job = state.jobs.get(job_id)
    if job is not None:
        job.started.discard(index)
        _forget_ended_job(state, job)
    agent = state.agents.get(stream)
    batch = agent and starts.end_task(state, agent, job_id, index, now)
    if not batch:
        return
    if status == TaskStatus.OK and run_ms > 0:
        starts.observe_run(state, agent, batch, run_ms)
    if status != TaskStatus.STOPPED:
        failed = status != TaskStatus.OK
        if quarantine.observe_outcome(state.quarantine, agent, batch.team, failed, now):
            agent.quarantined = agent in state.quarantine.quarantined
            placement.refresh_agent(state.placement, agent)


def _forget_ended_job(state, job):
    if not (job.started or job.queued or job.deferred or job.expired_indexes):
        state.jobs.pop(job.spec.job, None)


def tasks_taken_over(state, stream, job_id, indexes, now):
    """Free the slots of tasks whose results another entry receives."""
    job = state.jobs.get(job_id)
    if job is not None:
        job.started.difference_update(indexes)
        _forget_ended_job(state, job)
    agent = state.agents.get(stream)
    for index in indexes if agent is not None else ():
        starts.end_task(state, agent, job_id, index, now)


def tasks_returned(state, stream, job_id, indexes, now):
    """Requeue tasks that did not start, at the front, within the retry budget."""
    agent = state.agents.get(stream)
    if agent is not None:
        for index in indexes:
            starts.end_task(state, agent, job_id, index, now)
    job = state.jobs.get(job_id)
    if job is None:
        return
    job.started.difference_update(indexes)
    if job.removed:
        _forget_ended_job(state, job)
    elif job.expired_indexes is not None:
        job.expired_indexes.extend(indexes)
    else:
        ready, deferred = retries.split_by_budget(job.team, indexes)
        _enqueue(state, job, ready, now, at_front=True)
        if deferred:
            retries.defer_tasks(job.team, job, deferred)
        heappush(state.deadline_heap, (_latest_start(job), job.sequence, job))


def next_assignments(state, now):
    """Return the assignments to send now, one per agent and job."""
    _refresh_shares(state, now)
    _run_periodic_work(state, now)
    assignments = starts.next_assignments(state, now)
    state.last_slot_demand = state.slot_demand()
    return assignments


def _refresh_shares(state, now):
    """Recompute the shares and caps of all teams if they are out of date."""
    if now - state.shares_computed_at < SHARES_INTERVAL_S:
        return
    state.shares_computed_at = now
    share = usage.reachable_region_share(state.usage, now)
    state.entitlement = fairshare.water_fill(
        state.fair_queue, state.teams.values(), state.slots, share
    )
    starts.retry_blocked_teams(state, starts.BLOCKED_BY_LIMIT)


def _run_periodic_work(state, now):
    """Run the periodic work if it is due."""
    last = state.last_periodic_work_at
    if last is not None and now - last < PERIODIC_INTERVAL_S:
        return
    elapsed_s = 0.0 if last is None else now - last
    state.last_periodic_work_at = now
    starts.reclassify_long_batches(state, now)
    reserve.update_short_slots(state)
    for team in state.teams.values():
        if team.deferred:
            for job, indexes in retries.release_deferred(team, elapsed_s):
                _enqueue(state, job, indexes, now, at_front=True)
    starts.retry_all_blocked_teams(state)


def _latest_start(job):
    """Return the time after which a queued task cannot finish by the deadline."""
    shapes = job.shapes.values()
    return job.deadline - min(admission.low_run_s(shape) for shape in shapes)


def expire_jobs(state, now):
    """Return jobs whose queued tasks can no longer finish by the deadline.

    Each job is returned once and starts no more tasks; ``remove_job`` returns the
    tasks that were queued.
    """
    expired = []
    heap = state.deadline_heap
    while heap and heap[0][0] <= now:
        _, sequence, job = heappop(heap)
        if state.jobs.get(job.spec.job) is not job:
            continue
        if now > job.deadline + JOB_RETENTION_S:
            remove_job(state, job.spec.job, now)
            state.jobs.pop(job.spec.job, None)
            continue
        if job.expired_indexes is not None or not (job.queued or job.deferred):
            heappush(heap, (job.deadline + JOB_RETENTION_S, sequence, job))
        elif _latest_start(job) > now:
            heappush(heap, (_latest_start(job), sequence, job))
        else:
            heappush(heap, (job.deadline + JOB_RETENTION_S, sequence, job))
            job.expired_indexes = _dequeue_all(state, job)
            expired.append(job.spec.job)
    return expired


def due_demands(state, now):
    """Return the (stream, Demand) pairs to send now."""
    return demands.due_demands(state, now)


def assignment_demand(state, stream):
    """Return the demand, in tasks, and the entitlement to send with an Assign."""
    demanded = state.last_slot_demand
    agent = state.agents.get(stream)
    if agent is not None and demanded:
        agent.demand_piggybacked = True
    return demanded, state.entitlement


def spec_for(state, job_id, index):
    """Return the TaskSpec to send, with the current run-time estimate."""
    job = state.jobs[job_id]
    task = _task_at(job.spec.tasks, index)
    return TaskSpec(
        index,
        task.payload,
        queues.task_shape(job, index).estimator.mean_ms,
        task.processors,
        task.memory_mb,
        task.accelerators,
    )


def _task_at(tasks, index):
    if index < len(tasks) and tasks[index].index == index:
        return tasks[index]
    return next(task for task in tasks if task.index == index)


def due_digest(state, now):
    """Return the TeamDigest for the other entries, or None if none is due."""
    region = state.usage.regions.get(state.region)
    slots = region.slots if region else 0
    interval_s = state.policy.digest_interval_s
    return usage.due_digest(state.usage, state.teams.values(), slots, interval_s, now)


def peer_digest(state, peer, digest, now):
    """Record the load that another entry reports."""
    all_teams = list(state.teams.values())
    usage.record_peer_digest(
        state.usage,
        state.fair_queue,
        all_teams,
        lambda name: _get_or_create_team(state, name),
        peer,
        digest,
        now,
    )


def peer_lost(state, peer, now):
    """Forget the load of an entry that has left or is unreachable."""
    usage.forget_peer(state.usage, peer)
    state.shares_computed_at = float("-inf")


def status(state, now):
    """Return figures for status pages."""
    return status_figures(state)


__all__ = ["Assignment", "Refusal"]
