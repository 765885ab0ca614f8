"""Arrival of a job: checks, refusals that contradict nobody, unclaimed runs."""

from turmericknot.dispatch import answers, appends, cancellation, ownership
from turmericknot.dispatch.claims import EXPIRED_CLAIM_GRACE_S
from turmericknot.dispatch.entry_state import (
    Job,
    Phase,
    count,
    enter_phase,
    new_request_id,
    schedule_check,
    send,
)
from turmericknot.dispatch.scheduler import Refusal
from turmericknot.dispatch.tasks import JobStatus, Reason
from turmericknot.wire.messages import LocateJob

LOG_RETRY_AFTER_S = 1.0


def job_submitted(state, event):
    """Accept a submission, join the running job or answer from the kept one."""
    spec = event.spec
    job = state.jobs.get(spec.job)
    if job is None:
        _accept_job(state, _create_job(state, spec, event.request))
        return
    if job.spec is not None and job.spec.digest != spec.digest:
        answers.refuse_request(
            state, event.request, spec.job, JobStatus.FAILED, Reason.KEY_CONFLICT
        )
        return
    add_request(state, job, event.request)
    if job.phase is Phase.ENDED:
        return
    if job.spec is None:
        _add_spec(state, job, spec)
    else:
        renew_refusal(state, job)


def renew_refusal(state, job):
    """Have a refusal hold as of now, because another attempt waits for it too."""
    job.arrived_at = state.now
    if job.phase is Phase.REFUSING:
        refuse_job(state, job, job.refusal)


def _add_spec(state, job, spec):
    """Turn a job that was only asked for into a submitted one."""
    job.spec = spec
    job.deadline = _deadline(state, spec)
    schedule_check(state, job.deadline, job)
    if job.phase is Phase.REFUSING:
        job.refusal = None
        job.arrived_at = state.now
        _accept_job(state, job)


def add_request(state, job, request):
    """Add a waiting request, or answer it when the job has ended."""
    if job.phase is Phase.ENDED:
        answers.respond_with_answer(state, job, request)
    else:
        job.requests.append(request)


def job_awaited(state, event):
    """Wait for a job that was submitted earlier, here or at another entry."""
    job = state.jobs.get(event.job)
    if job is None:
        job = create_job_without_spec(state, event.job, event.expires_at)
        job.requests.append(event.request)
        refuse_job(state, job, Refusal(Reason.NOT_FOUND, "no such job is known"))
        return
    add_request(state, job, event.request)


def create_job_without_spec(state, job_id, expires_at):
    """Create a job that can only be followed: its tasks are not known here."""
    wait_s = state.settings.claims.max_key_lifetime_s
    job = Job(job_id, state.now, state.now + wait_s, expires_at)
    _register_job(state, job)
    return job


def _create_job(state, spec, request):
    deadline = _deadline(state, spec)
    job = Job(spec.job, state.now, deadline, spec.expires_at, spec)
    job.requests.append(request)
    _register_job(state, job)
    return job


def _deadline(state, spec):
    """Return when the job ends at the latest (monotonic).

    A job ends before its key expires, so that no start lies behind the expiry.
    """
    claims = state.settings.claims
    key_s = spec.expires_at - claims.max_clock_skew_s - state.wall
    return state.now + min(spec.deadline_s, max(0.0, key_s))


def _register_job(state, job):
    job.phase_entered_at = state.now
    state.jobs[job.id] = job
    state.active_jobs += 1
    schedule_check(state, job.deadline, job)


def _accept_job(state, job):
    refusal = _check_admission(state, job.spec)
    if refusal is not None:
        refuse_job(state, job, refusal)
        return
    owner = state.claim_table.jobs.get(job.id)
    if owner is not None:
        ownership.owner_decided(state, job)
        return
    enter_phase(state, job, Phase.CLAIMING, state.settings.claims.claim_timeout_s)
    appends.queue_claim(state, job)


def _check_admission(state, spec):
    """Return why the job cannot be accepted, or None."""
    claims = state.settings.claims
    if abs(state.clock_error_s) > claims.max_clock_skew_s:
        return Refusal(Reason.CLOCK_SKEW, "this entry's clock is off")
    if state.wall > spec.expires_at - claims.max_clock_skew_s:
        return Refusal(Reason.KEY_EXPIRED, "the key has expired")
    if spec.expires_at - state.wall > claims.max_key_lifetime_s:
        return Refusal(Reason.KEY_TOO_LONG_LIVED, "expires_at is too far ahead")
    if state.drain_deadline is not None or state.retired:
        return Refusal(Reason.DRAINING, "this entry is stopping")
    if not state.configured:
        return Refusal(Reason.NO_CONFIGURATION, "no configuration is in force")
    return state.policy.admit(state.scheduler, spec, state.now)


def refuse_job(state, job, refusal):
    """Refuse a job once it is certain that no other entry runs it."""
    job.refusal = refusal
    if job.id in state.claim_table.jobs:
        ownership.owner_decided(state, job)
        return
    count(state, "refusals")
    job.all_peers_queried = True
    job.pending_locates = set()
    enter_phase(state, job, Phase.REFUSING, state.settings.claims.claim_timeout_s)
    if state.claims_current_as_of >= job.arrived_at:
        claims_current(state, job)
    elif state.log_readable:
        appends.request_read(state)
    else:
        start_locating(state, job)


def claims_current(state, job):
    """No claim of the job lay in the log when it arrived."""
    if job.id in state.claim_table.jobs:
        ownership.owner_decided(state, job)
    elif not _table_covers_key(state, job):
        _answer_unknown(state, job)
    elif not _may_run_unclaimed(job):
        conclude_refusal(state, job)
    elif not job.pending_locates:
        start_locating(state, job)


def _may_run_unclaimed(job):
    """Return True when the log cannot tell whether the job runs somewhere."""
    return job.spec is None or job.spec.idempotent


def _table_covers_key(state, job):
    """Return False when a claim of the job may have left the table."""
    claims = state.settings.claims
    if not _is_within_retention(state, job):
        return False
    first = job.expires_at - claims.max_key_lifetime_s - 2 * claims.max_clock_skew_s
    return state.claim_table.complete_from <= first


def _is_within_retention(state, job):
    """Return False when this entry and others may have forgotten the job."""
    skew_s = 2 * state.settings.claims.max_clock_skew_s
    return state.wall <= job.expires_at + EXPIRED_CLAIM_GRACE_S - skew_s


def start_locating(state, job):
    """Ask every known entry whether it runs the job."""
    job.pending_locates = set()
    # An entry that never read the log to its end may not know of some peers.
    job.all_peers_queried = state.claims_current_as_of > float("-inf")
    for peer in state.peers.values():
        if peer.stream is not None:
            request = new_request_id(state)
            state.locate_requests[request] = job.id
            job.pending_locates.add(request)
            send(state, peer.stream, LocateJob(request, job.id))
        elif (
            _may_run_unclaimed(job) or state.claims_current_as_of <= peer.terminated_at
        ):
            # It may have started tasks of the job before it was lost. The claims of
            # an entry that was gone when the table was read are in the table.
            job.all_peers_queried = False
    phase = Phase.LOCATING if job.phase is Phase.LOCATING else Phase.REFUSING
    enter_phase(state, job, phase, state.settings.claims.locate_timeout_s)
    if not job.pending_locates:
        finish_locating(state, job)


def location_received(state, stream, message):
    """A peer said whether it runs the job."""
    job = state.jobs.get(state.locate_requests.pop(message.request, b""))
    if job is None or message.request not in job.pending_locates:
        return
    job.pending_locates.discard(message.request)
    if job.phase not in (Phase.REFUSING, Phase.LOCATING):
        return
    if message.known:
        ownership.follow_peer(state, job, stream)
    elif not job.pending_locates:
        finish_locating(state, job)


def finish_locating(state, job):
    """Every peer that could be asked has answered, or the time is over."""
    answered = job.all_peers_queried and not job.pending_locates
    job.pending_locates = set()
    if job.phase is Phase.LOCATING:
        ownership.run_unclaimed(state, job)
    elif answered and _is_within_retention(state, job):
        conclude_refusal(state, job)
    else:
        _answer_unknown(state, job)


def conclude_refusal(state, job):
    """Answer the refusal and forget the job.

    A claim that still lands then names an owner that started nothing and starts
    nothing unless the caller submits the job once more.
    """
    refusal = job.refusal
    status = JobStatus.NOT_RUN
    if refusal.reason is Reason.NOT_FOUND:
        status = JobStatus.UNKNOWN
    job.keep_answer = False
    answers.end_job(
        state, job, status, refusal.reason, refusal.detail, refusal.retry_after_s
    )


def _answer_unknown(state, job):
    """Another entry may run the job, and nobody can say."""
    refusal = job.refusal
    job.keep_answer = False
    answers.end_job(
        state,
        job,
        JobStatus.UNKNOWN,
        refusal.reason,
        refusal.detail,
        refusal.retry_after_s,
    )


def claim_timed_out(state, job):
    """The log did not decide the claim in time."""
    if job.cancelled:
        cancellation.refuse_undecided(state, job)
    elif job.spec.idempotent:
        enter_phase(state, job, Phase.LOCATING)
        start_locating(state, job)
    else:
        refusal = Refusal(
            Reason.LOG_UNAVAILABLE, "the claim was not decided", LOG_RETRY_AFTER_S
        )
        refuse_job(state, job, refusal)
