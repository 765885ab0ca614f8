"""Choose what starts next: team by fair share, queue, job, then agents."""

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

# Why a team with waiting work could start nothing; it is tried again when that
# may have changed, and at the latest with the next periodic step.
CAPPED = "capped"
NO_FIT = "no_fit"
LONG = "long"


class Batch:
    """Tasks of one job that were sent to one agent together."""

    __slots__ = ("team", "shape", "cost", "estimate_ms", "started_at", "long", "live")

    def __init__(self, team, shape, started_at, long, live):
        self.team = team
        self.shape = shape
        self.cost = shape.cost
        self.estimate_ms = shape.estimator.mean
        self.started_at = started_at
        self.long = long
        self.live = live


def next_assignments(state, now):
    """Start all that may start now; return a list of Assignment."""
    assigned = {}
    _requeue(state)
    _probe(state, assigned, now)
    fair = state.fair
    state.placement.backlog = state.waiting
    while placement.has_room(state.placement):
        team = fairshare.pop(fair, now)
        if team is None:
            break
        blocked = _start_from(state, team, assigned, now)
        if blocked:
            state.parked.setdefault(blocked, {})[team] = None
        elif team.waiting:
            fairshare.push(fair, team)
    return list(assigned.values())


def _requeue(state):
    """Give teams whose tasks ended their new place, once for all of them."""
    for team in state.ended:
        if team.waiting:
            fairshare.push(state.fair, team)
    state.ended.clear()


def unpark(state, reason):
    """Try the teams again that were set aside for this reason."""
    for team in state.parked.pop(reason, ()):
        if team.waiting:
            fairshare.push(state.fair, team)


def unpark_all(state):
    """Try all teams again that were set aside; note how much waited for what."""
    waiting = {
        reason: sum(team.waiting for team in parked)
        for reason, parked in state.parked.items()
    }
    state.unfit = waiting.get(NO_FIT, 0)
    state.held = waiting.get(LONG, 0) + waiting.get(CAPPED, 0)
    for reason in waiting:
        unpark(state, reason)


def _start_from(state, team, assigned, now):
    """Start tasks of the team's first job that may run; return why none could."""
    blocked = CAPPED
    for queue in queues.in_order(team):
        shape = queue.shape
        if shape.cost_version != state.totals_version:
            state.update_cost(shape)
        allowed = teams.room(team, shape)
        long = state.is_long(shape.estimator)
        if long and allowed > 0:
            allowed = min(allowed, reserve.long_room(state, team, now))
            blocked = LONG if allowed <= 0 else blocked
        if allowed <= 0:
            continue
        lot = queue.lots[0]
        allowed = min(allowed, len(lot.indexes))
        if allowed > 1:
            allowed = min(allowed, fairshare.quantum(state.fair, team, shape.cost))
        if _start_lot(state, team, queue, lot, long, allowed, assigned, now):
            return None
        blocked = NO_FIT
    return blocked


def _start_lot(state, team, queue, lot, long, allowed, assigned, now):
    """Place ``allowed`` tasks of a queue's first lot; return how many found room."""
    shape = queue.shape
    pools = state.placement
    places = []
    left = allowed
    while left > 0:
        chosen = placement.place(pools, shape, queue.claimed, left)
        if chosen is None:
            break
        agent, count = chosen
        placement.started(pools, agent, shape, count)
        places.append(chosen)
        left -= count
    if places:
        _start(state, team, queue, lot, long, places, allowed - left, assigned, now)
    return allowed - left


def _start(state, team, queue, lot, long, places, total, assigned, now):
    """Send the first ``total`` tasks of a lot to the chosen agents."""
    job = lot.job
    indexes = queues.take(team, queue, lot, total)
    job.started.update(indexes)
    _account(state, team, queue.shape, total, now)
    if long:
        reserve.long_changed(state, team, total)
    identifier = job.spec.job
    first = 0
    for agent, count in places:
        batch = Batch(team, queue.shape, now, long, count)
        if not long:
            state.watched.append(batch)
        mine = indexes[first : first + count]
        first += count
        tasks = agent.tasks
        for index in mine:
            tasks[identifier, index] = batch
        place = (agent.stream, identifier)
        known = assigned.get(place)
        if known is None:
            assigned[place] = placement.Assignment(
                agent.stream, identifier, mine, agent.window_sequence
            )
        else:
            known.indexes.extend(mine)


def _account(state, team, shape, count, now):
    fair = state.fair
    if team.virtual_time > fair.virtual_time:
        fair.virtual_time = team.virtual_time
    fairshare.settle(team, now)
    teams.started(team, shape, shape.estimator.mean, count)
    retries.earn_tokens(team, count)
    state.waiting -= count


def _probe(state, assigned, now):
    """Send one idempotent task to a quarantined worker whose probe is due."""
    if not state.quarantine.held or not state.waiting:
        return
    agent = quarantine.probe_due(state.quarantine, now)
    if agent is None or agent.running or agent.window < 1:
        return
    team = fairshare.pop(state.fair, now)
    if team is None:
        return
    fairshare.push(state.fair, team)
    if team.failure_rate > quarantine.LOW_RATE:
        return  # its tasks would not tell whether the worker has recovered
    for queue in queues.in_order(team):
        state.update_cost(queue.shape)
        if _may_probe(team, queue, agent, now):
            long = state.is_long(queue.shape.estimator)
            agent.health.probing = True
            lot = queue.lots[0]
            placement.started(state.placement, agent, queue.shape, 1)
            _start(state, team, queue, lot, long, [(agent, 1)], 1, assigned, now)
            return


def _may_probe(team, queue, agent, now):
    if not queue.idempotent or (queue.claimed and not agent.rostered):
        return False
    if teams.room(team, queue.shape) < 1:
        return False
    job_tasks = len(queue.lots[0].job.spec.tasks)
    if job_tasks > quarantine.max_probe_job(agent.health, now):
        return False
    return queue.shape.plain or placement.capacity(agent, queue.shape) >= 1


def end(state, agent, identifier, index, now):
    """Take a task off an agent; return its Batch, None when it was not there."""
    batch = agent.tasks.pop((identifier, index), None)
    if batch is None:
        return None
    team = batch.team
    fairshare.settle(team, now)
    teams.ended(team, batch.shape, batch.cost, batch.estimate_ms)
    placement.ended(state.placement, agent, batch.shape)
    batch.live -= 1
    if batch.long:
        reserve.long_changed(state, team, -1)
        if LONG in state.parked:
            unpark(state, LONG)
    if not batch.shape.plain and NO_FIT in state.parked:
        unpark(state, NO_FIT)
    state.ended[team] = None
    return batch


def watch_long(state, now):
    """Count tasks as long that have run for longer than short work takes."""
    limit_s = state.policy.long_factor * state.median.value / 1e3
    watched = state.watched
    while watched and now - watched[0].started_at > limit_s:
        batch = watched.popleft()
        if batch.live > 0:
            batch.long = True
            reserve.long_changed(state, batch.team, batch.live)


def observe(state, agent, batch, run_ms):
    """Learn from the run time of a finished task."""
    estimator = batch.shape.estimator
    if estimator.count >= estimates.TRUSTED_SAMPLES:
        placement.observe_run(state.placement, agent, run_ms, estimator.mean)
    estimates.observe(estimator, run_ms)
    estimates.observe_median(state.median, run_ms)
