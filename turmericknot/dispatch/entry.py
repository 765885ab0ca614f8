"""Decision logic of an entry: turns events into commands, without I/O."""

import heapq

from turmericknot.dispatch import (
    agents,
    answers,
    appends,
    assignments,
    cancellation,
    claims,
    events,
    liveness,
    ownership,
    peers,
    scheduler as default_policy,
    submissions,
    takeover,
)
from turmericknot.dispatch.commands import Drained, Retire
from turmericknot.dispatch.entry_state import EntryState, Phase, emit
from turmericknot.dispatch.tasks import JobStatus, Reason
from turmericknot.membership.state import create_membership_state

HOUSEKEEPING_INTERVAL_S = 1.0
# Agents keep results for a minute in any case, so the delay costs them no memory.
ACKNOWLEDGE_INTERVAL_S = 5.0
# A read that takes longer gives no usable sample of the log service's clock.
MAX_CLOCK_SAMPLE_READ_S = 0.5
# Time past a job's deadline in which other entries and the log may still answer.
ANSWER_GRACE_S = 0.5


def create_entry_state(
    settings, address, rng, policy=default_policy, is_home=liveness.is_home
):
    """Create the state of one incarnation of an entry.

    ``policy`` is a module or object with the functions of ``scheduler.py``.
    """
    scheduler = policy.create_scheduler(settings, rng)
    members = create_membership_state(settings.membership, address.entry_id)
    table = claims.ClaimTable(settings.claims.roster_ttl_s)
    state = EntryState(
        settings, address, rng, policy, scheduler, is_home, members, table
    )
    state.append_tokens = settings.claims.append_budget_per_s
    return state


def handle(state, event, now, wall):
    """Apply an event and return the resulting commands."""
    state.now = now
    state.wall = wall
    EVENT_HANDLERS[type(event)](state, event)
    _run_timers(state)
    assignments.send_assignments(state)
    assignments.send_due_demands(state)
    appends.flush(state)
    takeover.flush_fences(state)
    _check_drained(state)
    commands, state.commands = state.commands, []
    return commands


def get_next_tick_at(state, now):
    """Return the monotonic time by which the next Tick is due, or None."""
    times = [state.job_timers[0][0]] if state.job_timers else []
    flush_at = appends.next_flush_at(state)
    if flush_at is not None:
        times.append(flush_at)
    return max(now, min(times)) if times else None


def status(state, now):
    """Return figures of this entry for operators."""
    return {
        "incarnation": state.incarnation,
        "active_jobs": state.active_jobs,
        "known_jobs": len(state.jobs),
        "config_version": state.config_version,
        "agents_config_min": _agents_config_min(state),
        "agents": agents.agent_status_rows(state),
        "peers": len(state.peer_streams),
        "claims_known": len(state.claim_table.jobs),
        "log_readable": state.log_readable,
        "log_age_s": now - state.claims_current_as_of,
        "clock_error_s": state.clock_error_s,
        "draining": state.drain_deadline is not None,
        "kept_bytes": state.kept_bytes,
        "counters": dict(state.counters),
        "scheduler": state.policy.status(state.scheduler, now),
    }


def _agents_config_min(state):
    """Return the lowest configuration version in force at a connected agent."""
    versions = [agent.config_version for agent in state.agent_streams.values()]
    return min(versions, default=state.config_version)


def _tick(state, event):
    appends.tick(state)
    liveness.tick(state)
    peers.send_digest(state)
    for job_id in state.policy.expire_jobs(state.scheduler, state.now):
        job = state.jobs.get(job_id)
        if job is not None and job.phase is Phase.RUNNING:
            answers.end_job(state, job, JobStatus.FAILED, Reason.DEADLINE_EXCEEDED)
    if state.now >= state.housekeeping_due_at:
        state.housekeeping_due_at = state.now + HOUSEKEEPING_INTERVAL_S
        _run_housekeeping(state)


def _run_housekeeping(state):
    if state.now >= state.acknowledge_due_at:
        state.acknowledge_due_at = state.now + ACKNOWLEDGE_INTERVAL_S
        answers.flush_acknowledgements(state)
    settings = state.settings.claims
    keep_s = settings.max_key_lifetime_s + settings.roster_ttl_s
    claims.drop_expired_claims(
        state.claim_table, state.wall, keep_s + settings.max_clock_skew_s
    )
    answers.forget_expired_jobs(state)
    takeover.forget_fences(state)
    agents.forget_departed_agents(state)
    peers.forget_old_incarnations(state)
    for agent in state.agent_streams.values():
        assignments.update_roster(state, agent)


def _run_timers(state):
    while state.job_timers and state.job_timers[0][0] <= state.now:
        _, job_id = heapq.heappop(state.job_timers)
        job = state.jobs.get(job_id)
        if job is not None and job.phase is not Phase.ENDED:
            _check_timeouts(state, job)


def _check_timeouts(state, job):
    if state.now >= job.deadline and _end_at_deadline(state, job):
        return
    waited = state.now - job.phase_entered_at + agents.TIMER_TOLERANCE_S
    timeout = PHASE_TIMEOUTS.get(job.phase)
    if timeout is not None:
        setting, handler = timeout
        if waited >= getattr(state.settings.claims, setting):
            handler(state, job)
    if job.phase in ownership.ACTIVE_PHASES:
        agents.end_if_tasks_lost(state, job)


def _refusing_timed_out(state, job):
    if job.pending_locates:
        submissions.finish_locating(state, job)
    else:
        submissions.start_locating(state, job)


def _following_timed_out(state, job):
    if job.follow_stream is None:
        ownership.owner_unreachable(state, job)


PHASE_TIMEOUTS = {
    Phase.CLAIMING: ("claim_timeout_s", submissions.claim_timed_out),
    Phase.REFUSING: ("locate_timeout_s", _refusing_timed_out),
    Phase.LOCATING: ("locate_timeout_s", submissions.finish_locating),
    Phase.FOLLOWING: ("owner_timeout_s", _following_timed_out),
    Phase.FENCING: ("inventory_timeout_s", takeover.takeover_timed_out),
    Phase.INVENTORY: ("inventory_timeout_s", takeover.takeover_timed_out),
    Phase.CANCELLING: ("inventory_timeout_s", cancellation.cancel_timed_out),
}


def _end_at_deadline(state, job):
    """End a job at its deadline; return False when it gets a grace period.

    Only the owner may answer that the job failed. An entry that has asked others
    waits for their answers a little longer.
    """
    if job.phase in (Phase.CLAIMING, Phase.RUNNING):
        job.keep_answer = job.phase is Phase.RUNNING
        answers.end_job(state, job, JobStatus.FAILED, Reason.DEADLINE_EXCEEDED)
    elif job.phase in (Phase.FENCING, Phase.INVENTORY, Phase.CANCELLING):
        answers.end_job(state, job, JobStatus.UNKNOWN, Reason.MAY_HAVE_STARTED)
    elif state.now < job.deadline + ANSWER_GRACE_S:
        heapq.heappush(state.job_timers, (job.deadline + ANSWER_GRACE_S, job.id))
        return False
    else:
        job.keep_answer = False
        answers.end_job(state, job, JobStatus.UNKNOWN, Reason.OWNER_UNREACHABLE)
    return True


def _drain_requested(state, event):
    if state.drain_deadline is None:
        state.drain_deadline = state.now + state.settings.drain_timeout_s


def _check_drained(state):
    """Fail the remaining jobs at the drain deadline; report when none is active."""
    if state.drain_deadline is None or state.drained:
        return
    if state.now >= state.drain_deadline:
        for job in list(state.jobs.values()):
            if job.phase is not Phase.ENDED:
                _end_drained(state, job)
    if state.active_jobs == 0:
        state.drained = True
        emit(state, Retire("fenced") if state.retired else Drained())


def _end_drained(state, job):
    job_status = JobStatus.UNKNOWN
    if job.phase in (Phase.CLAIMING, Phase.RUNNING):
        job_status = JobStatus.FAILED
    answers.end_job(state, job, job_status, Reason.DRAINING)


def _record_read(state, event):
    table = state.claim_table
    if not claims.advance_offset(table, event.offset, event.time):
        return
    record = claims.decode_record(event.data)
    if record is None:
        return
    appends.append_confirmed(state, record.record_id)
    RECORD_HANDLERS[type(record)](state, record, event.time)


def _apply_claim_record(state, record, time):
    for job_id in claims.apply_claim(state.claim_table, record, time):
        job = state.jobs.get(job_id)
        if job is not None and job_id in state.claim_table.jobs:
            ownership.owner_decided(state, job)


def _apply_fence_record(state, record, time):
    for job_id in claims.apply_fence(state.claim_table, record, time):
        if record.owner == state.incarnation:
            agents.release_taken_over_job(state, job_id)
        job = state.jobs.get(job_id)
        if job is not None:
            ownership.owner_decided(state, job)
    if record.owner == state.incarnation and not record.jobs:
        ownership.incarnation_fenced(state)


def _apply_cancel_record(state, record, time):
    for job_id in claims.apply_cancel(state.claim_table, record):
        job = state.jobs.get(job_id)
        if job is not None:
            cancellation.cancel_recorded(state, job)


def _apply_presence_record(state, record, time):
    peers.presence_read(state, record)


def _apply_roster_record(state, record, time):
    claims.apply_roster(state.claim_table, record, time)
    assignments.roster_record_read(state, record)


RECORD_HANDLERS = {
    claims.Claim: _apply_claim_record,
    claims.Fence: _apply_fence_record,
    claims.Presence: _apply_presence_record,
    claims.Roster: _apply_roster_record,
    claims.Cancel: _apply_cancel_record,
}


def _log_caught_up(state, event):
    state.log_readable = True
    state.claims_current_as_of = max(state.claims_current_as_of, event.requested_at)
    _update_clock_error(state, event)
    appends.retry_unconfirmed(state, event.requested_at)
    agents.requeue_owned_tasks(state)
    for job in list(state.jobs.values()):
        if job.phase is Phase.REFUSING and state.claims_current_as_of >= job.arrived_at:
            submissions.continue_refusal(state, job)
        elif job.phase is Phase.INVENTORY:
            takeover.resolve_takeover(state, job)


def _update_clock_error(state, event):
    """Update the difference between this clock and that of the log service.

    A pause of this process after the answer looks like a fast clock, so a
    difference beyond the skew bound is taken only from a read that was fast.
    """
    error_s = state.wall - event.log_time
    is_fast_read = state.now - event.requested_at <= MAX_CLOCK_SAMPLE_READ_S
    if is_fast_read or abs(error_s) <= state.settings.claims.max_clock_skew_s:
        state.clock_error_s = error_s
    else:
        appends.request_read(state)


def _log_read_failed(state, event):
    state.log_readable = False
    for job in list(state.jobs.values()):
        if job.phase is Phase.REFUSING and not job.pending_locates:
            submissions.start_locating(state, job)


def _log_trimmed(state, event):
    claims.skip_trimmed(state.claim_table, event.first_offset)
    # The records dropped unread may include a fence of this incarnation.
    ownership.incarnation_fenced(state)


def _config_changed(state, event):
    state.configured = True
    state.config_version = event.version
    state.policy.config_changed(state.scheduler, event.version, event.tree, state.now)


def _append_succeeded(state, event):
    appends.append_succeeded(state, event)


def _append_failed(state, event):
    appends.append_failed(state, event)


def _request_abandoned(state, event):
    for job in state.jobs.values():
        if event.request in job.requests:
            job.requests.remove(event.request)
            return


EVENT_HANDLERS = {
    events.Tick: _tick,
    events.JobSubmitted: submissions.job_submitted,
    events.JobAwaited: submissions.job_awaited,
    events.JobCancelled: cancellation.cancel_requested,
    events.RequestAbandoned: _request_abandoned,
    events.AgentConnected: agents.agent_connected,
    events.AgentMessage: agents.agent_message_received,
    events.AgentDisconnected: agents.agent_disconnected,
    events.PeerConnected: peers.peer_connected,
    events.PeerMessage: peers.peer_message_received,
    events.PeerDisconnected: peers.peer_disconnected,
    events.PeerUnreachable: peers.peer_unreachable,
    events.LogRecordRead: _record_read,
    events.LogCaughtUp: _log_caught_up,
    events.LogReadFailed: _log_read_failed,
    events.LogTrimmed: _log_trimmed,
    events.AppendSucceeded: _append_succeeded,
    events.AppendFailed: _append_failed,
    events.ConfigChanged: _config_changed,
    events.DrainRequested: _drain_requested,
}
