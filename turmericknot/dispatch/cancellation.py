"""Cancellation of jobs, acknowledged only when no agent can start their tasks."""

from turmericknot.dispatch import answers, appends, submissions
from turmericknot.dispatch.entry_state import Phase, enter_phase, new_request_id, send
from turmericknot.dispatch.scheduler import Refusal
from turmericknot.dispatch.tasks import JobStatus, Reason
from turmericknot.wire.messages import CancelJob

# Until the claim is decided, another attempt may still claim and start the job, so
# the cancel is not acknowledged.
CLAIM_UNDECIDED = Refusal(Reason.LOG_UNAVAILABLE, "the claim was not decided")


def cancel_requested(state, event):
    """Cancel a job for a caller, whose request gets the job's answer."""
    job = state.jobs.get(event.job)
    if job is None:
        job = _create_unknown_job(state, event.job)
    submissions.add_request(state, job, event.request)
    cancel_job(state, job)


def _create_unknown_job(state, job_id):
    """Create a job so that its owner in the claim table, if any, gets the cancel."""
    record = state.claim_table.jobs.get(job_id)
    expires_at = state.wall if record is None else record.expires_at
    return submissions.create_job_without_spec(state, job_id, expires_at)


def cancel_job(state, job):
    """Cancel a job as its phase requires."""
    if job.phase is Phase.ENDED or job.cancelled:
        return
    job.cancelled = True
    if job.phase is Phase.RUNNING:
        start_cancel(state, job)
    elif job.phase is Phase.FOLLOWING:
        forward_cancel(state, job)
    elif job.phase is Phase.LOCATING:
        refuse_undecided(state, job)
    elif job.spec is None:
        submissions.refuse_job(state, job, Refusal(Reason.NOT_FOUND, "no such job"))
    # A pending claim, fence or inventory first decides which entry has to cancel.


def forward_cancel(state, job):
    """Forward the cancel to the entry that owns the job."""
    if job.follow_stream is not None:
        request = new_request_id(state)
        state.answer_requests[request] = job.id
        send(state, job.follow_stream, CancelJob(request, job.id))


def refuse_undecided(state, job):
    """Refuse a cancelled job whose claim is undecided, unless it runs elsewhere."""
    submissions.refuse_job(state, job, CLAIM_UNDECIDED)


def start_cancel(state, job):
    """Drop queued tasks and recall those that were sent to agents."""
    state.policy.remove_job(state.scheduler, job.id, state.now)
    enter_phase(state, job, Phase.CANCELLING, state.settings.claims.inventory_timeout_s)
    job.pending_recalls = set(job.task_agents.values())
    for incarnation in job.pending_recalls:
        answers.recall_job(state, state.agents.get(incarnation), job)
    if job.claimed:
        appends.queue_cancel(state, job)
    _end_if_confirmed(state, job)


def cancel_recorded(state, job):
    """Handle the read-back of a cancel record."""
    if job.phase is Phase.CANCELLING:
        _end_if_confirmed(state, job)


def recall_done(state, agent, message):
    """Handle an agent's confirmation that it starts no more tasks of these jobs."""
    _, jobs = state.recall_requests.pop(message.request, ("", []))
    for job_id in jobs:
        job = state.jobs.get(job_id)
        if job is not None and job.phase is Phase.CANCELLING:
            job.pending_recalls.discard(agent.incarnation)
            _end_if_confirmed(state, job)


def agent_reconnected(state, job, agent):
    """Repeat the recall if the reconnected agent still has tasks of the job.

    A broken stream does not prove that nothing starts: the agent may notice it later
    and start a queued task meanwhile. Its inventory or confirmation proves it.
    """
    if agent.incarnation in job.task_agents.values():
        answers.recall_job(state, agent, job)
        return
    job.pending_recalls.discard(agent.incarnation)
    _end_if_confirmed(state, job)


def _end_if_confirmed(state, job):
    if not job.pending_recalls and _is_recorded(state, job):
        end_cancelled(state, job)


def _is_recorded(state, job):
    """Return True when any later owner of the job will see the cancel.

    Another entry with a waiting request may take over the job if this entry fails
    after the acknowledgement.
    """
    record = state.claim_table.jobs.get(job.id)
    return not job.claimed or (record is not None and record.cancelled)


def end_cancelled(state, job):
    """End a cancelled job of which no more tasks can start."""
    ran = job.may_have_started or job.outcomes or job.task_agents
    status = JobStatus.FAILED
    # An idempotent job may run unclaimed at another entry, which this one can't see.
    if not ran and not job.spec.idempotent:
        status = JobStatus.NOT_RUN
    answers.end_job(state, job, status, Reason.CANCELLED)


def cancel_timed_out(state, job):
    """End a job whose cancel was not confirmed in time, without acknowledgement."""
    answers.end_job(
        state,
        job,
        JobStatus.UNKNOWN,
        Reason.MAY_HAVE_STARTED,
        "the cancel was not confirmed",
    )
