"""Submission of jobs: admission, refusal and the search for another owner."""

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
    """Accept a new job, or attach the request to the job that has its key."""
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
    """Check a refusal again as of now, since a later request waits for it too."""
    job.arrived_at = state.now
    if job.phase is Phase.REFUSING:
        refuse_job(state, job, job.refusal)


def _add_spec(state, job, spec):
    """Turn a job that callers only asked about into a submitted one."""
    job.spec = spec
    job.deadline = _deadline(state, spec)
    schedule_check(state, job.deadline, job)
    if job.phase is Phase.REFUSING:
        job.refusal = None
        job.arrived_at = state.now
        _accept_job(state, job)


def add_request(state, job, request):
    """Add a waiting request, or answer it if the job has ended."""
    if job.phase is Phase.ENDED:
        answers.respond_with_kept_answer(state, job, request)
    else:
        job.requests.append(request)


def job_awaited(state, event):
    """Wait for the answer of a job submitted earlier, here or at another entry."""
    job = state.jobs.get(event.job)
    if job is None:
        job = create_job_without_spec(state, event.job, event.expires_at)
        job.requests.append(event.request)
        refuse_job(state, job, Refusal(Reason.NOT_FOUND, "no such job is known"))
        return
    add_request(state, job, event.request)


def create_job_without_spec(state, job_id, expires_at):
    """Create a job whose tasks are unknown, to get its answer from the owner."""
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
    """Return the monotonic deadline of a job.

    A job ends before its key expires, so that no task starts after the expiry.
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
    """Return a Refusal if the job cannot be accepted, or None."""
    claims = state.settings.claims
    if abs(state.clock_error_s) > claims.max_clock_skew_s:
        return Refusal(
            Reason.CLOCK_SKEW, "this entry's clock differs too much from the log's"
        )
    if state.wall > spec.expires_at - claims.max_clock_skew_s:
        return Refusal(Reason.KEY_EXPIRED, "the key has expired")
    if spec.expires_at - state.wall > claims.max_key_lifetime_s:
        return Refusal(Reason.KEY_TOO_LONG_LIVED, "expires_at is too far in the future")
    if state.drain_deadline is not None or state.retired:
        return Refusal(Reason.DRAINING, "this entry is stopping")
    if not state.configured:
        return Refusal(Reason.NO_CONFIGURATION, "no configuration is in force")
    return state.policy.admit(state.scheduler, spec, state.now)


def refuse_job(state, job, refusal):
    """Refuse a job as soon as it is known that no other entry runs it."""
    job.refusal = refusal
    if job.id in state.claim_table.jobs:
        ownership.owner_decided(state, job)
        return
    count(state, "refusals")
    job.all_peers_queried = True
    job.pending_locates = set()
    enter_phase(state, job, Phase.REFUSING, state.settings.claims.claim_timeout_s)
    if state.claims_current_as_of >= job.arrived_at:
        continue_refusal(state, job)
    elif state.log_readable:
        appends.request_read(state)
    else:
        start_locating(state, job)


def continue_refusal(state, job):
    """Continue a refusal: the table holds all claims as of the job's arrival."""
    if job.id in state.claim_table.jobs:
        ownership.owner_decided(state, job)
    elif not _table_covers_key(state, job):
        _answer_unknown(state, job)
    elif not _may_run_unclaimed(job):
        conclude_refusal(state, job)
    elif not job.pending_locates:
        start_locating(state, job)


def _may_run_unclaimed(job):
    """Return True when another entry may run the job without a claim."""
    return job.spec is None or job.spec.idempotent


def _table_covers_key(state, job):
    """Return False when a claim of the job may be missing from the table."""
    claims = state.settings.claims
    if not _is_within_retention(state, job):
        return False
    earliest_claim = (
        job.expires_at - claims.max_key_lifetime_s - 2 * claims.max_clock_skew_s
    )
    return state.claim_table.complete_from <= earliest_claim


def _is_within_retention(state, job):
    """Return False when entries may already have dropped the job and its claim."""
    skew_s = 2 * state.settings.claims.max_clock_skew_s
    return state.wall <= job.expires_at + EXPIRED_CLAIM_GRACE_S - skew_s


def start_locating(state, job):
    """Ask every connected peer whether it runs the job."""
    job.pending_locates = set()
    # Until the log has been read to its end, some peers may be unknown.
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
            # The peer may have started tasks of the job before its link was lost. If
            # it had terminated when the log was read, its claims are in the table.
            job.all_peers_queried = False
    phase = Phase.LOCATING if job.phase is Phase.LOCATING else Phase.REFUSING
    enter_phase(state, job, phase, state.settings.claims.locate_timeout_s)
    if not job.pending_locates:
        finish_locating(state, job)


def location_received(state, stream, message):
    """Handle a peer's answer whether it runs the job."""
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
    """Decide once all peers have answered or the timeout has passed."""
    answered = job.all_peers_queried and not job.pending_locates
    job.pending_locates = set()
    if job.phase is Phase.LOCATING:
        ownership.run_unclaimed(state, job)
    elif answered and _is_within_retention(state, job):
        conclude_refusal(state, job)
    else:
        _answer_unknown(state, job)


def conclude_refusal(state, job):
    """Answer with the refusal and forget the job.

    A claim that still reaches the log then names an owner that has started nothing
    and starts nothing unless the caller submits the job again.
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
    """Answer that it is unknown whether another entry runs the job."""
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
    """Handle a claim that was not read back in time."""
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
