"""Ends of jobs, and answers that are kept until their key expires."""

from dataclasses import replace

from turmericknot.dispatch import appends
from turmericknot.dispatch.claims import EXPIRED_CLAIM_GRACE_S
from turmericknot.dispatch.commands import Respond
from turmericknot.dispatch.entry_state import Phase, count, emit, new_request_id, send
from turmericknot.dispatch.tasks import Answer, JobStatus, Reason, TaskAnswer
from turmericknot.wire.messages import Acknowledge, JobAnswer, Recall, TaskStatus

# Limit of the outputs kept for ended jobs; the oldest are dropped first.
MAX_KEPT_ANSWER_BYTES = 64 * 1024 * 1024


def complete_job(state, job):
    """End a job whose tasks have all succeeded, with the results in task order."""
    results = [
        TaskAnswer(index, job.outcomes[index].output, job.outcomes[index].run_ms)
        for index in range(len(job.spec.tasks))
    ]
    end_job(state, job, JobStatus.COMPLETE, results=results)


def end_job(state, job, status, reason=Reason.NONE, detail="", retry_s=0.0, results=()):
    """End a job with an answer built from these values."""
    answer = Answer(job.id, status, reason, detail, retry_s, job.claimed, list(results))
    end_job_with_answer(state, job, answer)


def end_job_with_answer(state, job, answer):
    """End a job with an answer; does nothing if it has ended already."""
    if job.phase is Phase.ENDED:
        return
    _stop_tasks(state, job)
    job.phase = Phase.ENDED
    job.answer = answer
    state.active_jobs -= 1
    count(state, f"ended_{answer.status}")
    requests, job.requests = job.requests, []
    for request in requests:
        emit(state, Respond(request, answer))
    _answer_peers(state, job)
    _keep_answer(state, job)


def respond_with_kept_answer(state, job, request):
    """Answer a later request for an ended job with the kept answer."""
    emit(state, Respond(request, job.answer))


def refuse_request(state, request, job, status, reason, detail=""):
    """Answer one request without changing the job."""
    emit(state, Respond(request, Answer(job, status, reason, detail)))


def answer_peer(state, stream, request, job, answer):
    """Answer an AwaitJob or CancelJob message of another entry."""
    send(state, stream, JobAnswer(request, job, encode_answer(answer)))


def encode_answer(answer):
    """Return an answer encoded for a peer."""
    return appends.encode_record(answer)


def _answer_peers(state, job):
    waiting, job.peer_requests = job.peer_requests, []
    for stream, request in waiting:
        if stream in state.peer_streams:
            answer_peer(state, stream, request, job.id, job.answer)


def _stop_tasks(state, job):
    """Drop queued tasks, recall running ones and acknowledge the results."""
    if job.spec is None or job.phase is Phase.FOLLOWING:
        return
    state.policy.remove_job(state.scheduler, job.id, state.now)
    for incarnation in set(job.task_agents.values()):
        recall_job(state, state.agents.get(incarnation), job)
    for incarnation in job.reported_by:
        state.acknowledgements.setdefault(incarnation, []).append(job.id)


def recall_job(state, agent, job):
    """Send an agent a Recall of the job that also stops running tasks."""
    if agent is None or agent.stream is None:
        return
    request = new_request_id(state)
    state.recall_requests[request] = (agent.incarnation, [job.id])
    send(state, agent.stream, Recall(request, [job.id], stop=True))


def _keep_answer(state, job):
    """Keep the answer until the key expires, within the memory limit."""
    job.former_owners.clear()
    job.missing_inventories.clear()
    if not job.keep_answer:
        del state.jobs[job.id]
        return
    if job.spec is not None:
        # The scheduler may still refer to the spec, so it must not be changed.
        job.spec = replace(job.spec, tasks=[])
    state.kept_answers.append(job.id)
    state.kept_bytes += _output_bytes(job.answer)
    while state.kept_bytes > MAX_KEPT_ANSWER_BYTES and state.kept_answers:
        _drop_results(state, state.jobs.get(state.kept_answers.popleft()))


def _output_bytes(answer):
    return sum(len(result.output) for result in answer.results)


def _drop_results(state, job):
    """Replace a kept answer by ANSWER_DROPPED; the job stays ended."""
    if job is None or job.answer is None or not job.answer.results:
        return
    state.kept_bytes -= _output_bytes(job.answer)
    job.outcomes.clear()
    job.answer = Answer(
        job.id, JobStatus.UNKNOWN, Reason.ANSWER_DROPPED, "the answer was dropped"
    )


def forget_expired_jobs(state):
    """Forget jobs whose key has expired; resubmissions fail the expiry check."""
    limit = state.wall - EXPIRED_CLAIM_GRACE_S
    for job in [job for job in state.jobs.values() if job.expires_at < limit]:
        if job.phase is Phase.ENDED:
            state.kept_bytes -= _output_bytes(job.answer)
            del state.jobs[job.id]
    known = state.jobs
    state.kept_answers = type(state.kept_answers)(
        job for job in state.kept_answers if job in known
    )


def flush_acknowledgements(state):
    """Send each agent one message with the jobs whose results it may drop."""
    for incarnation, jobs in state.acknowledgements.items():
        agent = state.agents.get(incarnation)
        if agent is not None and agent.stream is not None:
            send(state, agent.stream, Acknowledge(jobs))
    state.acknowledgements = {}


def complete_if_done(state, job):
    """End the job as complete if every task has an outcome."""
    if job.phase is not Phase.RUNNING and job.phase is not Phase.INVENTORY:
        return
    if len(job.outcomes) < len(job.spec.tasks):
        return
    complete_job(state, job)


FAILURE_ANSWERS = {
    TaskStatus.FAILED: (JobStatus.FAILED, Reason.TASK_FAILED),
    TaskStatus.STOPPED: (JobStatus.FAILED, Reason.TASK_FAILED),
    TaskStatus.UNKNOWN: (JobStatus.UNKNOWN, Reason.WORKER_LOST),
}


def task_ended(state, job, result):
    """Record the first outcome of a task; any status but OK ends the job."""
    job.may_have_started = True
    job.task_agents.pop(result.index, None)
    if result.index in job.outcomes or job.phase is Phase.ENDED:
        return
    if result.status == TaskStatus.OK:
        job.outcomes[result.index] = result
        complete_if_done(state, job)
        return
    if job.phase is Phase.CANCELLING:
        return
    status, reason = FAILURE_ANSWERS[result.status]
    end_job(state, job, status, reason, f"task {result.index}: {result.error}")
