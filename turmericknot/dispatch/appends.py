"""Appends to the log stream ``claims``: group commit, rate limit and retries."""

from turmericknot.dispatch.claims import (
    CLAIMS_STREAM,
    Cancel,
    Claim,
    Fence,
    Presence,
    Roster,
    encode_record,
)
from turmericknot.dispatch.commands import AppendRecord, ReadLog
from turmericknot.dispatch.entry_state import (
    PendingAppend,
    Phase,
    count,
    emit,
    new_record_id,
)

# Share of the append budget that may be used before records are batched.
UNBATCHED_BUDGET_SHARE = 0.5
ROSTER_REFRESH_JITTER = 0.5
ROSTER_RETRY_S = 1.0


def queue_claim(state, job):
    """Queue a job for the next claim record."""
    state.claim_queue.append(job.id)
    flush(state)


def queue_fence(state, owner, jobs):
    """Queue a fence of an owner for these jobs, or for all if the list is empty."""
    queued = state.fence_queue.get(owner)
    if queued is None or not jobs:
        state.fence_queue[owner] = list(jobs)
    elif queued:
        queued.extend(jobs)
    flush(state)


def queue_cancel(state, job):
    """Queue a Cancel record, which reports the cancellation to later owners."""
    state.cancel_queue.append(job.id)
    flush(state)


def flush(state):
    """Append the queued records once budget and batching window allow it."""
    if not _has_queued_records(state):
        return
    _refill_tokens(state)
    if (
        state.append_tokens < 1.0
        or state.now < state.last_append_flush_at + _batch_window_s(state)
    ):
        return
    state.last_append_flush_at = state.now
    _append_claims(state)
    _append_fences(state)
    _append_cancels(state)
    _append_roster(state)


def next_flush_at(state):
    """Return when queued records may be appended, or None if there are none."""
    if not _has_queued_records(state):
        return None
    _refill_tokens(state)
    lacking = max(0.0, 1.0 - state.append_tokens)
    budget_at = state.now + lacking / state.settings.claims.append_budget_per_s
    return max(budget_at, state.last_append_flush_at + _batch_window_s(state))


def _has_queued_records(state):
    queues = (
        state.claim_queue,
        state.fence_queue,
        state.cancel_queue,
        state.roster_queue,
    )
    return any(queues)


def _refill_tokens(state):
    budget = state.settings.claims.append_budget_per_s
    elapsed = max(0.0, state.now - state.append_tokens_at)
    state.append_tokens = min(budget, state.append_tokens + elapsed * budget)
    state.append_tokens_at = state.now


def _batch_window_s(state):
    """Return how long to batch records: longer the less budget is left."""
    claims = state.settings.claims
    used = 1.0 - state.append_tokens / claims.append_budget_per_s
    if used <= UNBATCHED_BUDGET_SHARE:
        return 0.0
    share = (used - UNBATCHED_BUDGET_SHARE) / (1.0 - UNBATCHED_BUDGET_SHARE)
    spread = claims.claim_window_max_s - claims.claim_window_min_s
    return claims.claim_window_min_s + share * spread


def _append(state, kind, record, jobs=()):
    pending = PendingAppend(record.record_id, kind, encode_record(record), list(jobs))
    state.pending_appends[pending.record_id] = pending
    _emit_append(state, pending)


def _emit_append(state, pending):
    state.append_tokens -= 1.0
    count(state, "appends")
    emit(state, AppendRecord(CLAIMS_STREAM, pending.record_id, pending.data))


def _append_claims(state):
    jobs = [state.jobs[job] for job in state.claim_queue if job in state.jobs]
    state.claim_queue.clear()
    jobs = [job for job in jobs if job.phase is Phase.CLAIMING]
    if not jobs:
        return
    record_id = new_record_id(state)
    for job in jobs:
        job.claim_record_id = record_id
    pairs = [(job.id, job.expires_at) for job in jobs]
    _append(
        state,
        "claim",
        Claim(record_id, state.incarnation, pairs),
        [job.id for job in jobs],
    )


def _append_fences(state):
    for owner, jobs in state.fence_queue.items():
        record = Fence(new_record_id(state), owner, state.incarnation, jobs)
        _append(state, "fence", record, jobs)
    state.fence_queue.clear()


def _append_cancels(state):
    jobs = list(state.cancel_queue)
    state.cancel_queue.clear()
    if jobs:
        _append(
            state, "cancel", Cancel(new_record_id(state), state.incarnation, jobs), jobs
        )


def _append_roster(state):
    agents = sorted(state.roster_queue)
    state.roster_queue.clear()
    if agents:
        record = Roster(new_record_id(state), state.address.entry_id, agents)
        _append(state, "roster", record)


def append_presence(state):
    """Append a record with the addresses of this entry."""
    address = state.address
    record = Presence(
        new_record_id(state),
        address.entry_id,
        address.incarnation,
        address.link_address,
        address.failure_domain,
        address.region,
    )
    _append(state, "presence", record)


def append_succeeded(state, event):
    """Handle a successful append; read the record back to learn its effect."""
    state.pending_appends.pop(event.record_id, None)
    if event.offset >= state.claim_table.next_offset:
        request_read(state)


def append_failed(state, event):
    """Retry an append, after reading the log if it may have been written."""
    pending = state.pending_appends.get(event.record_id)
    if pending is None:
        return
    count(state, "append_failures")
    pending.failed_at = state.now
    if event.written is None:
        request_read(state)
        return
    for job in _claiming_jobs(state, pending):
        job.claim_record_id = b""
    del state.pending_appends[pending.record_id]
    _requeue(state, pending)


def append_confirmed(state, record_id):
    """Drop a pending append whose record was read back."""
    state.pending_appends.pop(record_id, None)


def retry_unconfirmed(state, requested_at):
    """Repeat failed appends whose records a later read of the log did not find.

    The first copy may still reach the log. A second one changes nothing: the first
    record in the log decides, and both name the same owner.
    """
    for pending in list(state.pending_appends.values()):
        if pending.failed_at is None or pending.failed_at > requested_at:
            continue
        pending.failed_at = None
        if pending.kind != "claim" or _claiming_jobs(state, pending):
            _emit_append(state, pending)


def _claiming_jobs(state, pending):
    jobs = [state.jobs[job] for job in pending.jobs if job in state.jobs]
    return [job for job in jobs if job.phase is Phase.CLAIMING]


def _requeue(state, pending):
    """Queue the content of a record that was not written for a later tick."""
    if pending.kind == "claim":
        state.claim_queue.extend(job.id for job in _claiming_jobs(state, pending))
    elif pending.kind in ("fence", "cancel"):
        state.pending_appends[pending.record_id] = pending
        pending.failed_at = state.now
    elif pending.kind == "roster":
        state.roster_due_at = min(state.roster_due_at, state.now + ROSTER_RETRY_S)


def request_read(state):
    """Request a read of the log, at most once per event."""
    if state.read_requested_at < state.now:
        state.read_requested_at = state.now
        emit(state, ReadLog())


def tick(state):
    """Refresh the presence record of this entry and the roster of its agents."""
    claims = state.settings.claims
    if state.now >= state.presence_due_at:
        state.presence_due_at = state.now + claims.presence_refresh_s
        append_presence(state)
    if state.now >= state.roster_due_at:
        jitter = 1.0 + ROSTER_REFRESH_JITTER * state.rng.random()
        state.roster_due_at = state.now + claims.roster_refresh_s * jitter / 4
        _queue_stale_agents(state)
    flush(state)


def _queue_stale_agents(state):
    stale = state.wall - state.settings.claims.roster_refresh_s
    for agent in state.agent_streams.values():
        seen = state.claim_table.roster.get(agent.incarnation)
        if seen is None or (seen <= stale and state.is_home(state, agent.incarnation)):
            state.roster_queue.add(agent.incarnation)
