"""Grants of owners and the worker's lease.

The worker's lease never lasts longer than the shortest grant among the owners whose
runs or unreported ends the worker has. An owner that cannot renew its grant therefore
knows when its runs on this worker have ended, whatever the agent does.
"""

from turmericknot.wire.shard_messages import EndedRun, RunsEnded, ShardInventory

from .jobs import RunEnd
from .worker_runs import (
    LEASE_LAPSE_MARGIN_S,
    WORKER_CLOCK_ERROR_FACTOR,
    log,
    report_end,
    stop_run,
    worker_clock,
)
from .worker_types import SendToOwner, ShardGrant

# Runs are stopped this long before the grant of their owner expires, so that the lease
# can be extended for the runs of other owners.
GRANT_STOP_MARGIN_S = 0.3
# A disconnected owner whose grant expired this long ago is forgotten.
FORGET_OWNER_AFTER_S = 3.0


def grant_received(state, stream, grant, sent_at, now):
    """Handle the response to a grant request that was sent at ``sent_at``.

    ``sent_at`` is None for an announcement, which extends no grant.
    """
    check_grants(state, now)
    for shard in grant.shards:
        shard_grant = state.shards.get(shard.shard)
        if shard_grant is not None and shard.epoch < shard_grant.epoch:
            continue
        if shard_grant is None:
            shard_grant = state.shards[shard.shard] = ShardGrant(shard.epoch, stream)
            _report_runs_to_owner(state, shard.shard, shard_grant)
        elif shard.epoch > shard_grant.epoch or shard_grant.stream != stream:
            if shard.epoch > shard_grant.epoch:
                _drop_queued_runs(state, shard.shard)
                shard_grant.is_confirmed = False
            shard_grant.epoch = shard.epoch
            shard_grant.stream = stream
            _report_runs_to_owner(state, shard.shard, shard_grant)
        if sent_at is not None:
            shard_grant.expires_at = max(
                shard_grant.expires_at, sent_at + state.grant_s
            )
            shard_grant.is_confirmed = True
            shard_grant.is_lapsed = False


def _drop_queued_runs(state, number):
    """Drop runs that a replaced owner has requested and that have not started.

    They must not start under the grant of the new owner, whose tasks they may repeat.
    """
    for name, run in list(state.runs.items()):
        if run.shard == number and run.pending_start is not None:
            del state.runs[name]
            log(state, "run.dropped", job=name.job, shard=number)


def _report_runs_to_owner(state, number, shard_grant):
    """Report all runs and ends of a shard to an owner that is new or reconnected."""
    if not state.is_synced:
        return  # the runs are not known yet; mark_synced reports them
    log(state, "owner.accepted", shard=number, epoch=shard_grant.epoch)
    ends = [end for shard, end in state.ends.values() if shard == number]
    if ends and state.life:
        message = RunsEnded(number, state.life.key, ends)
        state.commands.append(SendToOwner(shard_grant.stream, message))
    names = [
        run.name
        for run in state.runs.values()
        if run.shard == number and not run.is_lapsed
    ]
    message = ShardInventory(number, shard_grant.epoch, names)
    state.commands.append(SendToOwner(shard_grant.stream, message))


def stream_closed(state, stream):
    """Forget the stream to an owner; its grant remains valid until it expires."""
    for shard_grant in state.shards.values():
        if shard_grant.stream == stream:
            shard_grant.stream = None


def check_grants(state, now):
    """Stop runs whose owner's grant is about to expire, and forget lost owners."""
    if now > state.previous_lease_ends_at and not state.lease_until:
        _previous_lease_lapsed(state)
    lease_over = now > state.lease_until
    if lease_over and state.unreachable_since is not None:
        _end_unreachable_runs(state)
    for number, shard_grant in list(state.shards.items()):
        if (
            now < shard_grant.expires_at - GRANT_STOP_MARGIN_S
            or not shard_grant.expires_at
        ):
            continue
        for run in state.runs.values():
            if (
                run.shard == number
                and not run.is_stopping
                and run.pending_start is None
            ):
                log(state, "run.grant_ends", job=run.name.job, shard=number)
                stop_run(state, run, now)
        shard_grant.is_lapsed = lease_over and now >= shard_grant.expires_at
        if (
            now > shard_grant.expires_at + FORGET_OWNER_AFTER_S
            and shard_grant.stream is None
        ):
            _forget_owner(state, number)


def _end_unreachable_runs(state):
    """Report the runs of a worker that could not be reached until its lease lapsed.

    They have ended, whether the worker has crashed or is cut off. Waiting for its next
    process would cost their callers several seconds.
    """
    lapsed = [
        run
        for run in state.runs.values()
        if run.pending_start is None and not run.is_lapsed
    ]
    if not lapsed:
        return
    for run in lapsed:
        run.is_lapsed = True
        report_end(state, run.shard, EndedRun(run.name, 0, RunEnd.LOST))


def _previous_lease_lapsed(state):
    """Stop waiting for the runs and ends of earlier agent processes.

    The lease of the earlier process has lapsed and none has been granted since, so no
    answer of the store is needed. Ends listed so far are treated as lost for good: they
    are not reported later, when the task may already have a second run.
    """
    if not state.is_synced and state.life is None:
        mark_synced(state)
    if state.inherited_shards is not None:
        return
    for number in list(state.inherited_ends):
        shard, _ = state.ends.get(number, (None, None))
        if shard not in state.shards:
            _forget_inherited_end(state, number)


def _forget_inherited_end(state, number):
    state.inherited_ends.discard(number)
    state.ends.pop(number, None)


def inherited_shards_loaded(state, shards):
    """Handle the shards of durable jobs whose records name this agent.

    After a restart of all processes, the runs and ends of best-effort jobs that earlier
    entries started have no owner. They must not block the lease until the shards of
    durable jobs have new owners.
    """
    state.inherited_shards = frozenset(shards)
    for run in state.runs.values():
        if run.is_inherited and run.shard not in state.inherited_shards:
            run.shard = None
    for number in list(state.inherited_ends):
        shard, _ = state.ends.get(number, (None, None))
        if shard not in state.inherited_shards:
            _forget_inherited_end(state, number)


def _forget_owner(state, number):
    """Acknowledge the ends of a lost owner, unless a later owner needs them."""
    if number < state.shard_count:
        return
    del state.shards[number]
    numbers = [end for end, (shard, _) in state.ends.items() if shard == number]
    if numbers:
        ends_acknowledged(state, state.life.key, numbers)


def lease_deadline_ms(state, now):
    """Return the deadline for the worker's lease, or None to leave it unchanged."""
    shortest = now + state.lease_s
    is_needed = False
    for number in _shards_needing_lease(state):
        shard_grant = state.shards.get(number)
        if (
            shard_grant is not None
            and shard_grant.is_lapsed
            and now >= shard_grant.expires_at
        ):
            continue
        expires_at = shard_grant.expires_at if shard_grant is not None else 0.0
        shortest = min(shortest, expires_at)
        is_needed = True
    if not is_needed or shortest <= now:
        return None
    # A run that lasts until the end of the lease is stopped within the margin.
    length = (shortest - now) / WORKER_CLOCK_ERROR_FACTOR
    state.lease_until = max(state.lease_until, shortest + LEASE_LAPSE_MARGIN_S)
    return int((worker_clock(state, now) + length) * 1000)


def _shards_needing_lease(state):
    """Return the shards with runs or with unacknowledged ends."""
    shards = {
        run.shard
        for run in state.runs.values()
        if run.pending_start is None and not run.is_lapsed
    }
    shards.discard(None)
    # Ends of best-effort jobs need no lease: no later owner needs them.
    for shard, _ in state.ends.values():
        if shard < state.shard_count:
            shards.add(shard)
    return shards


def has_valid_grant(state, shard, now):
    """Return whether the owner of the shard has granted it for some time to come."""
    shard_grant = state.shards.get(shard)
    return (
        shard_grant is not None and now < shard_grant.expires_at - GRANT_STOP_MARGIN_S
    )


def may_start_runs(state, shard, now):
    """Return whether runs of the shard may start now.

    The lease that the worker already has, for the runs of other owners, is never
    shortened. It must end with the grant, or a run could outlast the time after which
    its owner starts the task elsewhere, while this agent is paused and cannot stop it.
    """
    if not has_valid_grant(state, shard, now):
        return False
    shard_grant = state.shards[shard]
    return (
        shard_grant.is_confirmed
        and state.lease_until <= shard_grant.expires_at + LEASE_LAPSE_MARGIN_S
    )


def streams_in_use(state):
    """Return the streams to the entries that need a grant.

    They have runs here, or unacknowledged ends of durable jobs.
    """
    shards = {run.shard for run in state.runs.values()}
    shards.update(
        shard for shard, _ in state.ends.values() if shard < state.shard_count
    )
    return {
        state.shards[shard].stream
        for shard in shards
        if shard in state.shards and state.shards[shard].stream is not None
    }


def ends_acknowledged(state, life, numbers):
    """Let the worker forget ends; takes effect with the next lease renewal."""
    if state.life is None or state.life.key != life:
        return
    for number in numbers:
        state.ends.pop(number, None)
        state.inherited_ends.discard(number)


def mark_synced(state):
    """Report all runs to their owners, now that they are known."""
    state.is_synced = True
    for number, shard_grant in state.shards.items():
        if shard_grant.stream is not None:
            _report_runs_to_owner(state, number, shard_grant)
