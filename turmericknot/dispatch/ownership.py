"""Actions of an entry when the owner of a job is known or changes."""

from turmericknot.dispatch import answers, appends, cancellation, takeover
from turmericknot.dispatch.commands import DialEntry, Retire
from turmericknot.dispatch.entry_state import (
    Phase,
    count,
    emit,
    enter_phase,
    new_request_id,
    send,
)
from turmericknot.dispatch.scheduler import Refusal
from turmericknot.dispatch.tasks import JobStatus, Reason
from turmericknot.wire.messages import AwaitJob

# Phases in which this entry itself runs the job, takes it over or cancels it.
ACTIVE_PHASES = (Phase.RUNNING, Phase.INVENTORY, Phase.CANCELLING)


def owner_decided(state, job):
    """Run, follow or give up a job according to its owner in the claim table."""
    if job.phase is Phase.ENDED:
        return
    record = state.claim_table.jobs[job.id]
    if record.owner == state.incarnation:
        _act_as_owner(state, job, record)
    elif job.phase in ACTIVE_PHASES:
        if state.incarnation in record.former_owners:
            job_lost(state, job, record.owner)
    elif job.phase is not Phase.FENCING or job.owner != record.owner:
        follow_owner(state, job, record.owner)


def _act_as_owner(state, job, record):
    if job.phase in ACTIVE_PHASES:
        return
    if job.spec is None:
        job.keep_answer = False
        answers.end_job(state, job, JobStatus.UNKNOWN, Reason.NOT_FOUND)
    elif job.refusal is not None and job.refusal.reason is not Reason.LOG_UNAVAILABLE:
        _end_refused_job(state, job, record)
    elif record.former_owners:
        takeover.takeover_won(state, job, record)
    elif job.cancelled:
        cancellation.start_cancel(state, job)
    elif state.now >= job.deadline:
        answers.end_job(state, job, JobStatus.FAILED, Reason.DEADLINE_EXCEEDED)
    else:
        job.refusal = None
        run_tasks(state, job, range(len(job.spec.tasks)))


def _end_refused_job(state, job, record):
    """End a job that this entry owns but has refused to run."""
    if job.cancelled and not record.former_owners:
        cancellation.start_cancel(state, job)
    else:
        _end_owner_unreachable(state, job)


def run_tasks(state, job, indexes):
    """Queue tasks, none of which has started."""
    enter_phase(state, job, Phase.RUNNING)
    state.policy.add_job(
        state.scheduler, job.spec, list(indexes), job.deadline, job.claimed, state.now
    )


def run_unclaimed(state, job):
    """Run an idempotent job whose claim was not read back in time."""
    if state.now >= job.deadline:
        answers.end_job(state, job, JobStatus.FAILED, Reason.DEADLINE_EXCEEDED)
        return
    count(state, "unclaimed_runs")
    job.claimed = False
    run_tasks(state, job, range(len(job.spec.tasks)))


def follow_owner(state, job, owner):
    """Wait for the answer of the job's owner; connect to it if necessary."""
    if job.phase is Phase.FOLLOWING and job.owner == owner:
        return
    job.owner = owner
    job.follow_stream = None
    enter_phase(state, job, Phase.FOLLOWING, state.settings.claims.owner_timeout_s)
    peer = state.peers.get(owner)
    if peer is None:
        return
    if peer.stream is not None:
        _request_answer(state, job, peer.stream)
    elif peer.terminated:
        owner_unreachable(state, job, owner_terminated=True)
    else:
        emit(state, DialEntry(peer.address.entry_id, peer.address.link_address))


def follow_peer(state, job, stream):
    """Wait for the answer of a peer that says it runs the job."""
    follow_owner(state, job, state.peer_streams[stream].address.incarnation)


def _request_answer(state, job, stream):
    request = new_request_id(state)
    state.answer_requests[request] = job.id
    job.follow_stream = stream
    digest = job.spec.digest if job.spec is not None else b""
    send(state, stream, AwaitJob(request, job.id, digest))
    if job.cancelled:
        cancellation.forward_cancel(state, job)


def peer_connected(state, peer):
    """Ask a newly connected peer for the answers of its jobs."""
    for job in list(state.jobs.values()):
        if job.phase is Phase.FOLLOWING and job.owner == peer.address.incarnation:
            _request_answer(state, job, peer.stream)


def peer_disconnected(state, peer):
    """Restart ``owner_timeout_s`` for jobs of a disconnected peer."""
    for job in list(state.jobs.values()):
        if job.phase is Phase.FOLLOWING and job.owner == peer.address.incarnation:
            job.follow_stream = None
            enter_phase(
                state, job, Phase.FOLLOWING, state.settings.claims.owner_timeout_s
            )


def peer_terminated(state, peer):
    """Handle the jobs of a peer whose process has ended."""
    for job in list(state.jobs.values()):
        if job.phase is Phase.FOLLOWING and job.owner == peer.address.incarnation:
            owner_unreachable(state, job, owner_terminated=True)


def owner_unreachable(state, job, owner_terminated=False):
    """Take over, claim or end a job whose owner cannot be reached."""
    record = state.claim_table.jobs.get(job.id)
    if job.spec is None or job.refusal is not None or job.cancelled:
        _end_owner_unreachable(state, job)
    elif record is None:
        job.owner = ""
        enter_phase(state, job, Phase.CLAIMING, state.settings.claims.claim_timeout_s)
        appends.queue_claim(state, job)
    else:
        takeover.begin_takeover(state, job, record.owner, owner_terminated)


def _end_owner_unreachable(state, job):
    reason = Reason.OWNER_UNREACHABLE
    if job.refusal is not None and job.refusal.reason is Reason.OWNER_FENCED:
        reason = Reason.OWNER_FENCED
    job.keep_answer = False
    answers.end_job(state, job, JobStatus.UNKNOWN, reason)


def job_lost(state, job, owner):
    """Stop working on a job that another entry took over."""
    count(state, "jobs_lost")
    state.policy.remove_job(state.scheduler, job.id, state.now)
    job.task_agents.clear()
    job.outcomes.clear()
    job.pending_recalls.clear()
    job.refusal = Refusal(Reason.OWNER_FENCED, "another entry took the job over")
    if job.requests or job.peer_requests:
        follow_owner(state, job, owner)
    else:
        _end_owner_unreachable(state, job)


def owner_answered(state, message, answer):
    """End a job with the answer of its owner."""
    job = state.jobs.get(state.answer_requests.pop(message.request, b""))
    if job is None or job.id != message.job or answer.job != job.id:
        return
    if job.phase is not Phase.FOLLOWING:
        return
    if answer.reason is Reason.NOT_FOUND:
        owner_unreachable(state, job)
        return
    job.keep_answer = answer.reason not in (
        Reason.OWNER_FENCED,
        Reason.OWNER_UNREACHABLE,
        Reason.KEY_CONFLICT,
    )
    answers.end_job_with_answer(state, job, answer)


def incarnation_fenced(state):
    """Drain and retire this incarnation: all of its jobs were taken over."""
    if state.retired:
        return
    state.retired = True
    state.drain_deadline = state.now + state.settings.claims.inventory_timeout_s
    if not state.active_jobs:
        emit(state, Retire("fenced"))
