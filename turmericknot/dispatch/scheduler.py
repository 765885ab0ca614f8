"""Scheduler facade: what the rest of an entry needs of the scheduling policy.

The functions below are the interface between job ownership (``entry.py``) and the
policy modules. Each takes the scheduler's state and the monotonic time in seconds.
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
from .policystate import SchedulerState, figures

SHARES_INTERVAL_S = 0.05  # shares and caps of all teams are computed this often
STEP_INTERVAL_S = 0.05  # periodic work: long tasks, deferred retries, parked teams
FORGET_AFTER_S = 60.0  # past its deadline a job that nobody removed is dropped


def create_scheduler(settings, rng):
    """Return the scheduling state of an entry with these EntrySettings."""
    return SchedulerState(settings, rng)


def config_changed(state, version, tree, now):
    """Put a configuration in force."""
    state.config_version = version
    listed = tree.get("teams", {})
    for name in listed:
        teams.configure(_team(state, name), resolve_team_settings(tree, name))
    for name, team in state.teams.items():
        team.listed = name in listed
    state.shares_at = float("-inf")


def _team(state, name):
    team = state.teams.get(name)
    if team is None:
        team = state.teams[name] = teams.Team(name)
    return team


def admit(state, spec, now):
    """Return the Refusal of a job, or None; the queues stay as they are."""
    _refresh_shares(state, now)
    return admission.check(state, spec, now)


def add_job(state, spec, indexes, deadline, claimed, now):
    """Queue tasks of an admitted job; ``deadline`` is monotonic."""
    job = state.jobs.get(spec.job)
    if job is None:
        job = _create_job(state, spec, deadline, claimed)
    _enqueue(state, job, list(indexes), now)
    heappush(state.deadlines, (_latest_start(job), job.sequence, job))
    if any(not state.is_long(shape.estimator) for shape in job.shapes.values()):
        state.short_seen_at = now


def _create_job(state, spec, deadline, claimed):
    team = _team(state, spec.team)
    state.sequence += 1
    priority = teams.priority_of(team, spec)
    job = queues.Job(spec, team, deadline, claimed, priority, state.sequence)
    job.shapes = teams.shapes_of(team, spec.task_class, spec.tasks)
    for shape in job.shapes.values():
        state.update_cost(shape)
    state.jobs[spec.job] = job
    return job


def _enqueue(state, job, indexes, now, first=False):
    team = job.team
    if not indexes:
        return
    idle = not team.waiting
    queues.enqueue(team, job, indexes, first)
    state.waiting += len(indexes)
    if idle:
        share = usage.region_share(state.usage, now)
        fairshare.localise(state.fair, team, share)
        fairshare.activate(state.fair, team, now)
    if not team.heap_sequence:
        fairshare.push(state.fair, team)  # it was idle, or nothing of it could start


def remove_job(state, job, now):
    """Drop a job; return the indexes that were still queued."""
    known = state.jobs.get(job)
    if known is None:
        return []
    known.removed = True
    dropped = (known.doomed or []) + _drop_queued(state, known)
    known.doomed = []
    if not known.started:
        del state.jobs[job]
    return sorted(dropped)


def _drop_queued(state, job):
    dropped = queues.drop_job(job.team, job)
    state.waiting -= len(dropped)
    if job.deferred:
        dropped += retries.drop_job(job.team, job)
    return dropped


def agent_joined(state, stream, hello, now):
    """Add an agent; it gets work once its window arrives."""
    domain = placement.domain_of(state.placement, hello.failure_domain)
    agent = state.agents[stream] = placement.Agent(stream, hello, domain)
    quarantine.joined(state.quarantine)
    if not agent.draining:
        _count_capacity(state, agent, 1, now)


def _count_capacity(state, agent, sign, now):
    hello = agent.hello
    size = (hello.processors, hello.memory_mb, hello.accelerators)
    state.slots += sign * hello.slots
    for name, amount in zip(teams.RESOURCES, size, strict=True):
        state.totals[name] += sign * amount
    workers = state.worker_sizes.get(size, 0) + sign
    state.worker_sizes[size] = workers
    if not workers:
        del state.worker_sizes[size]
    state.totals_version += 1
    usage.region_changed(state.usage, agent.region, sign * hello.slots, now)
    state.shares_at = float("-inf")


def agent_left(state, stream, now):
    """Remove an agent; its started tasks are the owner's concern."""
    agent = state.agents.pop(stream, None)
    if agent is None:
        return
    for job, index in list(agent.tasks):
        starts.end(state, agent, job, index, now)
    placement.remove(state.placement, agent)
    quarantine.left(state.quarantine, agent)
    if not agent.draining:
        _count_capacity(state, agent, -1, now)


def set_window(state, stream, window, now):
    """Take over the slots that an agent grants."""
    agent = state.agents.get(stream)
    if agent is None or window.sequence < agent.window_sequence:
        return
    if window.slots > agent.window:
        demands.window_grew(agent)
    agent.window = window.slots
    agent.window_sequence = window.sequence
    placement.refresh(state.placement, agent)


def set_rostered(state, stream, rostered, now):
    """Note whether claimed work may go to an agent."""
    _set_flag(state, stream, "rostered", rostered)


def set_suspect(state, stream, suspect, now):
    """Note whether an agent is silent or on probation."""
    _set_flag(state, stream, "suspect", suspect)


def _set_flag(state, stream, name, value):
    agent = state.agents.get(stream)
    if agent is not None:
        setattr(agent, name, value)
        placement.refresh(state.placement, agent)
        starts.unpark(state, starts.NO_FIT)


def agent_draining(state, stream, now):
    """Send no more work to an agent that leaves."""
    agent = state.agents.get(stream)
    if agent is not None and not agent.draining:
        agent.draining = True
        placement.refresh(state.placement, agent)
        _count_capacity(state, agent, -1, now)


def task_done(state, stream, job, index, status, run_ms, now):
    """Account for the outcome of a started task."""
    known = state.jobs.get(job)
    if known is not None:
        known.started.discard(index)
        _forget_if_ended(state, known)
    agent = state.agents.get(stream)
    batch = agent and starts.end(state, agent, job, index, now)
    if not batch:
        return
    if status == TaskStatus.OK and run_ms > 0:
        starts.observe(state, agent, batch, run_ms)
    if status != TaskStatus.STOPPED:
        failed = status != TaskStatus.OK
        if quarantine.observe(state.quarantine, agent, batch.team, failed, now):
            agent.quarantined = agent in state.quarantine.held
            placement.refresh(state.placement, agent)


def _forget_if_ended(state, job):
    if not (job.started or job.queued or job.deferred or job.doomed):
        state.jobs.pop(job.spec.job, None)


def tasks_taken_over(state, stream, job, indexes, now):
    """Free the slots of tasks whose results go to another entry."""
    known = state.jobs.get(job)
    if known is not None:
        known.started.difference_update(indexes)
        _forget_if_ended(state, known)
    agent = state.agents.get(stream)
    for index in indexes if agent is not None else ():
        starts.end(state, agent, job, index, now)


def tasks_returned(state, stream, job, indexes, now):
    """Queue tasks again that did not start, first in line."""
    agent = state.agents.get(stream)
    if agent is not None:
        for index in indexes:
            starts.end(state, agent, job, index, now)
    known = state.jobs.get(job)
    if known is None:
        return
    known.started.difference_update(indexes)
    if known.removed:
        _forget_if_ended(state, known)
    elif known.doomed is not None:
        known.doomed.extend(indexes)
    else:
        ready, held = retries.split(known.team, indexes)
        _enqueue(state, known, ready, now, first=True)
        if held:
            retries.defer(known.team, known, held)
        heappush(state.deadlines, (_latest_start(known), known.sequence, known))


def next_assignments(state, now):
    """Return the assignments to send now, grouped by agent and job."""
    _refresh_shares(state, now)
    _step(state, now)
    assignments = starts.next_assignments(state, now)
    state.asked_now = state.asked()
    return assignments


def _refresh_shares(state, now):
    """Compute the due shares and caps of all teams when they are out of date."""
    if now - state.shares_at < SHARES_INTERVAL_S:
        return
    state.shares_at = now
    share = usage.region_share(state.usage, now)
    state.entitlement = fairshare.water_fill(
        state.fair, state.teams.values(), state.slots, share
    )
    starts.unpark(state, starts.CAPPED)


def _step(state, now):
    """Do the periodic work when it is due."""
    last = state.stepped_at
    if last is not None and now - last < STEP_INTERVAL_S:
        return
    elapsed_s = 0.0 if last is None else now - last
    state.stepped_at = now
    starts.watch_long(state, now)
    reserve.sample(state)
    for team in state.teams.values():
        if team.deferred:
            for job, indexes in retries.release(team, elapsed_s):
                _enqueue(state, job, indexes, now, first=True)
    starts.unpark_all(state)


def _latest_start(job):
    """Return the time from which queued tasks cannot make the deadline."""
    shapes = job.shapes.values()
    return job.deadline - min(admission.fastest_s(shape) for shape in shapes)


def expired(state, now):
    """Return jobs whose queued tasks cannot make the deadline any more.

    Each is returned once and starts nothing more; ``remove_job`` returns the
    tasks that were queued.
    """
    late = []
    heap = state.deadlines
    while heap and heap[0][0] <= now:
        _, sequence, job = heappop(heap)
        if state.jobs.get(job.spec.job) is not job:
            continue
        if now > job.deadline + FORGET_AFTER_S:
            remove_job(state, job.spec.job, now)
            state.jobs.pop(job.spec.job, None)
            continue
        if job.doomed is not None or not (job.queued or job.deferred):
            heappush(heap, (job.deadline + FORGET_AFTER_S, sequence, job))
        elif _latest_start(job) > now:
            heappush(heap, (_latest_start(job), sequence, job))
        else:
            heappush(heap, (job.deadline + FORGET_AFTER_S, sequence, job))
            job.doomed = _drop_queued(state, job)
            late.append(job.spec.job)
    return late


def demand(state, now):
    """Return the Demand messages due now."""
    return demands.due(state, now)


def waiting(state, stream):
    """Return the waiting tasks and the entitlement that an Assign carries."""
    asked = state.asked_now
    agent = state.agents.get(stream)
    if agent is not None and asked:
        agent.told = True
    return asked, state.entitlement


def spec_for(state, job, index):
    """Return the task to send, with the learned estimate."""
    known = state.jobs[job]
    task = _task_at(known.spec.tasks, index)
    return TaskSpec(
        index,
        task.payload,
        queues.shape_at(known, index).estimator.mean,
        task.processors,
        task.memory_mb,
        task.accelerators,
    )


def _task_at(tasks, index):
    if index < len(tasks) and tasks[index].index == index:
        return tasks[index]
    return next(task for task in tasks if task.index == index)


def digest(state, now):
    """Return the TeamDigest for the other entries, or None when none is due."""
    region = state.usage.regions.get(state.region)
    slots = region.slots if region else 0
    interval_s = state.policy.digest_interval_s
    return usage.digest(state.usage, state.teams.values(), slots, interval_s, now)


def peer_digest(state, peer, digest, now):
    """Take over the load that another entry reports."""
    known = list(state.teams.values())
    usage.peer_digest(
        state.usage,
        state.fair,
        known,
        lambda name: _team(state, name),
        peer,
        digest,
        now,
    )


def peer_lost(state, peer, now):
    """Forget the load of an entry that is gone or out of reach."""
    usage.peer_lost(state.usage, peer)
    state.shares_at = float("-inf")


def status(state, now):
    """Return figures for operators."""
    return figures(state)


__all__ = ["Assignment", "Refusal"]
