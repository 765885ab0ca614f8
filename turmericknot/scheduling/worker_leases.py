"""Grants of owners and the worker's lease.

The worker's lease is never longer than the shortest grant among the owners whose
runs or unreported ends it carries. An owner that has not been able to renew its
grant therefore knows when its runs here are over, whatever the agent does.
"""

from turmericknot.wire.shard_messages import RunsEnded, ShardInventory

from .worker_runs import LAPSE_MARGIN_S, WORKER_CLOCK_ERROR, log, stop_run, worker_clock
from .worker_types import SendToOwner, ShardGrant

# Runs are stopped this long before the grant of their owner ends, so that the lease
# can go on for those of other owners.
STOP_LEAD_S = 0.3
# An owner whose grant ended this long ago is forgotten.
FORGET_S = 3.0


def grant_received(state, stream, grant, sent_at, now):
    """Take the answer to a grant request that was sent at ``sent_at``.

    ``sent_at`` is None for an announcement, which extends nothing.
    """
    check_grants(state, now)
    for shard in grant.shards:
        known = state.shards.get(shard.shard)
        if known is not None and shard.epoch < known.epoch:
            continue
        if known is None:
            known = state.shards[shard.shard] = ShardGrant(shard.epoch, stream)
            _adopt(state, shard.shard, known)
        elif shard.epoch > known.epoch or known.stream != stream:
            known.epoch = shard.epoch
            known.stream = stream
            _adopt(state, shard.shard, known)
        if sent_at is not None:
            known.expires_at = max(known.expires_at, sent_at + state.grant_s)
            known.is_lapsed = False


def _adopt(state, number, known):
    """Tell a new owner, or one on a new stream, all runs and ends of its shard."""
    if not state.is_synced:
        return  # what the worker runs is not known: the lists follow
    log(state, "owner.accepted", shard=number, epoch=known.epoch)
    ends = [end for shard, end in state.ends.values() if shard == number]
    if ends and state.life:
        message = RunsEnded(number, state.life.key, ends)
        state.commands.append(SendToOwner(known.stream, message))
    names = [run.name for run in state.runs.values() if run.shard == number]
    message = ShardInventory(number, known.epoch, names)
    state.commands.append(SendToOwner(known.stream, message))


def stream_closed(state, stream):
    """Forget the stream to an owner; its grant runs on until it expires."""
    for known in state.shards.values():
        if known.stream == stream:
            known.stream = None


def check_grants(state, now):
    """Stop the runs of owners whose grant runs out, and forget lost owners."""
    if now > state.synced_after and not state.lease_until:
        _former_lease_lapsed(state)
    lease_over = now > state.lease_until
    for number, known in list(state.shards.items()):
        if now < known.expires_at - STOP_LEAD_S or not known.expires_at:
            continue
        for run in state.runs.values():
            if run.shard == number and not run.is_stopping and run.order is None:
                log(state, "run.grant_ends", job=run.name.job, shard=number)
                stop_run(state, run, now)
        known.is_lapsed = lease_over and now >= known.expires_at
        if now > known.expires_at + FORGET_S and known.stream is None:
            _forget_owner(state, number)


def _former_lease_lapsed(state):
    """Go on without the store, which has not told whose ends were found.

    The lease of the former process has lapsed and none has been given since. The ends
    listed before count as lost for good, so that noting them later cannot make a
    task's second run one that began after its end.
    """
    if not state.is_synced and state.life is None:
        runs_known(state)
    if state.former_shards is not None:
        return
    for number in list(state.found_ends):
        shard, _ = state.ends.get(number, (None, None))
        if shard not in state.shards:
            _forget_found_end(state, number)


def _forget_found_end(state, number):
    state.found_ends.discard(number)
    state.ends.pop(number, None)


def former_shards_learned(state, shards):
    """Take the shards of stored jobs whose records name this agent.

    Answers the restart of all processes at once: what former entries started for jobs
    that are not kept has no owner any more, and must not hold up the lease until the
    shards of stored jobs have new owners.
    """
    state.former_shards = frozenset(shards)
    for run in state.runs.values():
        if run.is_found and run.shard not in state.former_shards:
            run.shard = None
    for number in list(state.found_ends):
        shard, _ = state.ends.get(number, (None, None))
        if shard not in state.former_shards:
            _forget_found_end(state, number)


def _forget_owner(state, number):
    """Note the ends of an owner that is gone, unless a successor will ask."""
    if number < state.shard_count:
        return
    del state.shards[number]
    numbers = [end for end, (shard, _) in state.ends.items() if shard == number]
    if numbers:
        ends_acknowledged(state, state.life.key, numbers)


def lease_deadline_ms(state, now):
    """Return the deadline for the worker's lease, or None to leave it alone."""
    shortest = now + state.hold_max_s
    is_needed = False
    for number in _holding_shards(state):
        known = state.shards.get(number)
        if known is not None and known.is_lapsed and now >= known.expires_at:
            continue
        expires_at = known.expires_at if known is not None else 0.0
        shortest = min(shortest, expires_at)
        is_needed = True
    if not is_needed or shortest <= now:
        return None
    # A run that lasts until the end of the lease is stopped within the margin.
    length = (shortest - now) / WORKER_CLOCK_ERROR
    state.lease_until = max(state.lease_until, shortest + LAPSE_MARGIN_S)
    return int((worker_clock(state, now) + length) * 1000)


def _holding_shards(state):
    """Return the shards with runs or with ends that are not noted."""
    held = {run.shard for run in state.runs.values() if run.order is None}
    held.discard(None)
    # Ends of jobs that are not kept need no lease: nobody asks for them twice.
    for shard, _ in state.ends.values():
        if shard < state.shard_count:
            held.add(shard)
    return held


def ends_acknowledged(state, life, numbers):
    """Let the worker forget ends; takes effect with the next look."""
    if state.life is None or state.life.key != life:
        return
    for number in numbers:
        state.ends.pop(number, None)
        state.found_ends.discard(number)


def runs_known(state):
    """Tell the owners of all runs, now that they are known."""
    state.is_synced = True
    for number, known in state.shards.items():
        if known.stream is not None:
            _adopt(state, number, known)
