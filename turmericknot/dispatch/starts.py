"""Selection of the tasks to start: team by fair share, then queue, job and agents."""

from . import (
    estimates,
    fairshare,
    placement,
    quarantine,
    queues,
    reserve,
    retries,
    teams,
)

# Reasons why a team with waiting tasks could not start any. The team is retried when
# the reason may no longer apply, at the latest in the next periodic run.
BLOCKED_BY_LIMIT = "capped"
BLOCKED_NO_FIT = "no_fit"
BLOCKED_BY_RESERVE = "long"


class StartedBatch:
    """Started tasks of one job that were sent to one agent together."""

    __slots__ = (
        "team",
        "shape",
        "cost",
        "estimate_ms",
        "started_at",
        "is_long",
        "running",
    )

    def __init__(self, team, shape, started_at, is_long, running):
        self.team = team
        self.shape = shape
        self.cost = shape.cost
        self.estimate_ms = shape.estimator.mean_ms
        self.started_at = started_at
        self.is_long = is_long
        self.running = running


def next_assignments(state, now):
    """Start all tasks that may start now; return a list of Assignment."""
    assigned = {}
    _requeue_teams(state)
    _start_probe(state, assigned, now)
    fair_queue = state.fair_queue
    state.placement.backlog = state.waiting
    while placement.has_free_agent(state.placement):
        team = fairshare.pop_team(fair_queue, now)
        if team is None:
            break
        blocked = _start_team_tasks(state, team, assigned, now)
        if blocked:
            state.blocked_teams.setdefault(blocked, {})[team] = None
        elif team.waiting:
            fairshare.push_team(fair_queue, team)
    return list(assigned.values())


def _requeue_teams(state):
    """Update the queue position of teams with ended tasks, once for all of them."""
    for team in state.teams_to_requeue:
        if team.waiting:
            fairshare.push_team(state.fair_queue, team)
    state.teams_to_requeue.clear()


def retry_blocked_teams(state, reason):
    """Queue the teams again that were blocked for this reason."""
    for team in state.blocked_teams.pop(reason, ()):
        if team.waiting:
            fairshare.push_team(state.fair_queue, team)


def retry_all_blocked_teams(state):
    """Queue all blocked teams again; count their waiting tasks by reason."""
    waiting = {
        reason: sum(team.waiting for team in blocked)
        for reason, blocked in state.blocked_teams.items()
    }
    state.unplaceable_tasks = waiting.get(BLOCKED_NO_FIT, 0)
    state.limited_tasks = waiting.get(BLOCKED_BY_RESERVE, 0) + waiting.get(
        BLOCKED_BY_LIMIT, 0
    )
    for reason in waiting:
        retry_blocked_teams(state, reason)


def _start_team_tasks(state, team, assigned, now):
    """Start tasks of the team's first job that may run.

    Return None, or the reason why no task could start.
    """
    blocked = BLOCKED_BY_LIMIT
    for queue in queues.ordered_queues(team):
        shape = queue.shape
        if shape.cost_capacity_version != state.capacity_version:
            state.update_cost(shape)
        allowed = teams.startable_tasks(team, shape)
        is_long = state.is_long(shape.estimator)
        if is_long and allowed > 0:
            allowed = min(allowed, reserve.startable_long_tasks(state, team, now))
            blocked = BLOCKED_BY_RESERVE if allowed <= 0 else blocked
        if allowed <= 0:
            continue
        queued_batch = queue.queued_batches[0]
        allowed = min(allowed, len(queued_batch.indexes))
        if allowed > 1:
            allowed = min(
                allowed, fairshare.start_quantum(state.fair_queue, team, shape.cost)
            )
        if _place_queued_batch(
            state, team, queue, queued_batch, is_long, allowed, assigned, now
        ):
            return None
        blocked = BLOCKED_NO_FIT
    return blocked


def _place_queued_batch(
    state, team, queue, queued_batch, is_long, allowed, assigned, now
):
    """Place up to ``allowed`` tasks of a queue's first batch; return how many fit."""
    shape = queue.shape
    placement_state = state.placement
    placements = []
    left = allowed
    while left > 0:
        chosen = placement.place_tasks(placement_state, shape, queue.claimed, left)
        if chosen is None:
            break
        agent, count = chosen
        placement.occupy_slots(placement_state, agent, shape, count)
        placements.append(chosen)
        left -= count
    if placements:
        _assign_tasks(
            state,
            team,
            queue,
            queued_batch,
            is_long,
            placements,
            allowed - left,
            assigned,
            now,
        )
    return allowed - left


def _assign_tasks(
    state, team, queue, queued_batch, is_long, placements, total, assigned, now
):
    """Assign the first ``total`` tasks of a batch to the chosen agents."""
    job = queued_batch.job
    indexes = queues.dequeue(team, queue, queued_batch, total)
    job.started.update(indexes)
    _account_started_tasks(state, team, queue.shape, total, now)
    if is_long:
        reserve.add_long_running(state, team, total)
    job_id = job.spec.job
    offset = 0
    for agent, count in placements:
        batch = StartedBatch(team, queue.shape, now, is_long, count)
        if not is_long:
            state.short_batches.append(batch)
        agent_indexes = indexes[offset : offset + count]
        offset += count
        tasks = agent.tasks
        for index in agent_indexes:
            tasks[job_id, index] = batch
        destination = (agent.stream, job_id)
        assignment = assigned.get(destination)
        if assignment is None:
            assigned[destination] = placement.Assignment(
                agent.stream, job_id, agent_indexes, agent.window_sequence
            )
        else:
            assignment.indexes.extend(agent_indexes)


def _account_started_tasks(state, team, shape, count, now):
    fair_queue = state.fair_queue
    if team.virtual_time > fair_queue.virtual_time:
        fair_queue.virtual_time = team.virtual_time
    fairshare.update_virtual_time(team, now)
    teams.record_started_tasks(team, shape, shape.estimator.mean_ms, count)
    retries.earn_tokens(team, count)
    state.waiting -= count


def _start_probe(state, assigned, now):
    """Assign one idempotent task to a quarantined worker that is due for a probe."""
    if not state.quarantine.quarantined or not state.waiting:
        return
    agent = quarantine.due_probe_agent(state.quarantine, now)
    if agent is None or agent.running or agent.window < 1:
        return
    team = fairshare.pop_team(state.fair_queue, now)
    if team is None:
        return
    fairshare.push_team(state.fair_queue, team)
    if team.failure_rate > quarantine.HEALTHY_FAILURE_RATE:
        return  # failures of this team's tasks say little about the worker
    for queue in queues.ordered_queues(team):
        state.update_cost(queue.shape)
        if _may_probe(team, queue, agent, now):
            is_long = state.is_long(queue.shape.estimator)
            agent.health.probing = True
            queued_batch = queue.queued_batches[0]
            placement.occupy_slots(state.placement, agent, queue.shape, 1)
            _assign_tasks(
                state,
                team,
                queue,
                queued_batch,
                is_long,
                [(agent, 1)],
                1,
                assigned,
                now,
            )
            return


def _may_probe(team, queue, agent, now):
    if not queue.idempotent or (queue.claimed and not agent.rostered):
        return False
    if teams.startable_tasks(team, queue.shape) < 1:
        return False
    job_tasks = len(queue.queued_batches[0].job.spec.tasks)
    if job_tasks > quarantine.max_probe_job_tasks(agent.health, now):
        return False
    return queue.shape.slot_only or placement.fitting_tasks(agent, queue.shape) >= 1


def end_task(state, agent, job_id, index, now):
    """Remove a task from an agent; return its StartedBatch, or None if unknown."""
    batch = agent.tasks.pop((job_id, index), None)
    if batch is None:
        return None
    team = batch.team
    fairshare.update_virtual_time(team, now)
    teams.record_ended_task(team, batch.shape, batch.cost, batch.estimate_ms)
    placement.release_slot(state.placement, agent, batch.shape)
    batch.running -= 1
    if batch.is_long:
        reserve.add_long_running(state, team, -1)
        if BLOCKED_BY_RESERVE in state.blocked_teams:
            retry_blocked_teams(state, BLOCKED_BY_RESERVE)
    if not batch.shape.slot_only and BLOCKED_NO_FIT in state.blocked_teams:
        retry_blocked_teams(state, BLOCKED_NO_FIT)
    state.teams_to_requeue[team] = None
    return batch


def reclassify_long_batches(state, now):
    """Count tasks as long that have been running for longer than short tasks do."""
    limit_s = state.policy.long_factor * state.median.value / 1e3
    short_batches = state.short_batches
    while short_batches and now - short_batches[0].started_at > limit_s:
        batch = short_batches.popleft()
        if batch.running > 0:
            batch.is_long = True
            reserve.add_long_running(state, batch.team, batch.running)


def observe_run(state, agent, batch, run_ms):
    """Update the estimates with the run time of a finished task."""
    estimator = batch.shape.estimator
    if estimator.count >= estimates.MIN_TRUSTED_SAMPLES:
        placement.observe_slowness(state.placement, agent, run_ms, estimator.mean_ms)
    estimates.observe_run_time(estimator, run_ms)
    estimates.update_median(state.median, run_ms)
