"""Requests about jobs, and the state changes of jobs."""

import math

from . import admission, confinement, evacuation, workers
from .commands import Outcome, StoreRecord
from .jobs import JobRecord, JobState, create_job, encode_record
from .owner import (
    UnknownJobRequest,
    acknowledge_job_ends,
    answer,
    log,
    record_response,
    stop_run,
    store_job,
)
from .pending import dequeue_job_tasks, enqueue_ready_steps

_OUTCOMES = {
    JobState.SUCCEEDED: Outcome.SUCCEEDED,
    JobState.FAILED: Outcome.FAILED,
    JobState.CANCELLED: Outcome.CANCELLED,
}


def submit_job(owner, shard_number, job_id, record, waiter, now):
    """Accept or refuse a submitted job, or recognize one that is known."""
    shard = owner.shards.get(shard_number)
    if shard is None or shard.is_closing:
        answer(owner, waiter, Outcome.NOT_READY, reason="not_owner")
        return
    job = shard.jobs.get(job_id)
    if job is not None:
        if job.is_stored:
            answer(owner, waiter, Outcome.ACCEPTED, reason="known")
        else:
            job.waiters.append(waiter)
        return
    refusal = job_refusal(owner, shard, record, now)
    if refusal is not None:
        outcome, delay, reason = refusal
        owner.count("refused_" + reason)
        log(owner, "job.refused", job=job_id, queue=record.queue, reason=reason)
        answer(owner, waiter, outcome, delay, reason)
        return
    record.accepted_epoch = shard.epoch
    job = create_job(job_id, shard_number, record, now)
    job.due_at = now + admission.objective_s(owner.run_times, record)
    job.waiters.append(waiter)
    shard.jobs[job_id] = job
    store_job(owner, job, (_acceptance_stored, job))


def job_refusal(owner, shard, record, now, caller_wait_s=math.inf):
    """Return (outcome, delay, reason) if the job cannot be served, else None."""
    owner.confinement.record_submission(record.queue, record.service, now)
    if now >= max(owner.workers_known_at, shard.workers_known_at):
        candidates = [
            agent
            for agent in owner.agents.values()
            if agent.worker is not None and agent.worker.service == record.service
        ]
        awaited = _awaited_labels(owner, shard, candidates, record, now)
        reason = _lack_of_workers(owner, candidates, record, caller_wait_s, awaited)
        if reason:
            return Outcome.REFUSED, admission.RETRY_MAX_S, reason
    work, cores = work_and_cores(owner, record)
    delay = admission.refusal_delay_s(
        work, owner.run_times, record, cores, caller_wait_s
    )
    if delay and now >= owner.workers_known_at:
        return (
            Outcome.REFUSED,
            delay,
            "stopping" if owner.is_shutting_down else "backlog",
        )
    return None


def _awaited_labels(owner, shard, candidates, record, now):
    """Return the labels required by a job whose agents may be about to connect."""
    if shard.is_durable:
        return frozenset()  # its owner is served by all agents
    known = {
        label
        for agent in candidates
        if workers.has_usable_worker(agent)
        for label in agent.worker.labels
    }
    required = {step.required_label for step in record.steps} - {""}
    return frozenset(
        label
        for label in required
        if owner.wanted_labels.require(record.service, label, label in known, now)
    )


def _lack_of_workers(owner, candidates, record, caller_wait_s, awaited_labels):
    """Return why no worker can run a job, or an empty string.

    ``candidates`` are the agents with workers of its service.
    """
    for step in record.steps:
        if not candidates or step.required_label in awaited_labels:
            continue
        if not any(workers.fits_empty_worker(a.worker, step) for a in candidates):
            return "too_large"
    if evacuation.is_refused(owner, candidates, record, caller_wait_s):
        return evacuation.EVACUATED
    return ""


def work_and_cores(owner, record):
    """Return the core-seconds ahead of a job, and the cores that serve them."""
    if record.queue not in owner.confined_queues:
        return owner.backlog.core_seconds_before(record.priority), owner.free_cores
    cell = confinement.cell_agents(owner.agents.values(), record.service)
    views = [owner.agents[agent_id] for agent_id in cell]
    usable = [view for view in views if workers.is_connected_and_usable(view)]
    cores = sum(view.worker.cpu - view.foreign_cpu for view in usable) / 1000
    # When all are down, the next one is back within a second or so.
    one_worker = max((view.worker.cpu for view in views), default=0) / 1000
    return owner.backlog.core_seconds_of_queue(record.queue), max(cores, one_worker)


def _acceptance_stored(owner, job, now):
    """Acknowledge and start a job whose acceptance is stored."""
    job.is_stored = True
    job.published_state = JobState.ACTIVE
    owner.count("accepted")
    log(owner, "job.accepted", job=job.id, queue=job.record.queue, shard=job.shard)
    for waiter in job.waiters:
        answer(owner, waiter, Outcome.ACCEPTED)
    job.waiters = []
    if job.cancel_waiters:
        _store_cancel(owner, job, now)
        return
    enqueue_ready_steps(owner, job)


def answer_job_state(owner, shard_number, job_id, waiter, now):
    """Answer with the stored state of a job."""
    shard = owner.shards.get(shard_number)
    if shard is None:
        answer(owner, waiter, Outcome.NOT_READY, reason="not_owner")
        return
    job = shard.jobs.get(job_id)
    if job is None:
        _deny_unknown_job(owner, shard, answer_job_state, job_id, waiter, now)
    elif not job.is_stored:
        answer(owner, waiter, Outcome.UNDECIDED)
    elif job.published_state in _OUTCOMES:
        answer(owner, waiter, _OUTCOMES[job.published_state])
    else:
        answer(owner, waiter, Outcome.QUEUED if job.is_pending else Outcome.RUNNING)


def cancel_job(owner, shard_number, job_id, waiter, now):
    """Cancel a job; the request is answered once the cancellation is stored."""
    shard = owner.shards.get(shard_number)
    job = shard.jobs.get(job_id) if shard else None
    if shard is None or shard.is_closing:
        answer(owner, waiter, Outcome.NOT_READY, reason="not_owner")
    elif job is None:
        _deny_unknown_job(owner, shard, cancel_job, job_id, waiter, now)
    elif job.published_state is JobState.CANCELLED:
        job.cancel_waiters.append(waiter)
        acknowledge_cancel(owner, job)
    elif job.published_state in _OUTCOMES:
        answer(owner, waiter, Outcome.CANCELLED)
    else:
        job.cancel_waiters.append(waiter)
        if job.is_stored and job.state is JobState.ACTIVE and not job.is_cancelling:
            _store_cancel(owner, job, now)


def _deny_unknown_job(owner, shard, handle, job_id, waiter, now):
    """Answer that a job does not exist, once the ownership has been confirmed.

    The store may give the shard to another entry at any moment, and that entry may have
    accepted the job before this request was sent.
    """
    if shard.confirmed_at >= now:
        answer(owner, waiter, Outcome.GONE)
    elif now - shard.confirmed_at > owner.times.denial_wait_s:
        answer(owner, waiter, Outcome.NOT_READY, reason="unconfirmed")
    else:
        request = UnknownJobRequest(handle, job_id, waiter, now)
        shard.unknown_job_requests.append(request)


def shard_confirmed(owner, shard, confirmed_at):
    """Record that the store has confirmed the ownership of a shard.

    ``confirmed_at`` is the time at which the confirming call was sent. Answers requests
    about unknown jobs that were received before.
    """
    shard.confirmed_at = max(shard.confirmed_at, confirmed_at)
    now = shard.confirmed_at
    requests, shard.unknown_job_requests = shard.unknown_job_requests, []
    for request in requests:
        if request.job_id in shard.jobs:
            request.handle(owner, shard.number, request.job_id, request.waiter, now)
        elif now >= request.received_at:
            answer(owner, request.waiter, Outcome.GONE)
        else:
            shard.unknown_job_requests.append(request)


def end_unknown_job_requests(owner, shard, now):
    """Answer requests about unknown jobs for which no confirmation has come."""
    waiting = []
    for request in shard.unknown_job_requests:
        if now - request.received_at > owner.times.denial_wait_s:
            answer(owner, request.waiter, Outcome.NOT_READY, reason="unconfirmed")
        else:
            waiting.append(request)
    shard.unknown_job_requests = waiting


def _store_cancel(owner, job, now):
    job.is_cancelling = True
    dequeue_job_tasks(owner, job)
    finish_job(owner, job, JobState.CANCELLED, now)


def finish_job(owner, job, state, now):
    """Store the end of a job; it becomes visible once it is stored."""
    job.state = state
    record = job.record
    record.state = int(state)
    job.finished_at = now
    if not owner.shards[job.shard].is_durable:
        _publish_end(owner, job, now)
        return
    value = encode_record(_finished_job_record(record))
    owner.commands.append(StoreRecord(job.shard, job.id, value, (_publish_end, job)))


def _finished_job_record(record):
    """Return the record of a finished job, without its steps and spec."""
    return JobRecord(
        record.queue,
        record.service,
        record.state,
        record.accepted_at,
        record.accepted_epoch,
    )


def _publish_end(owner, job, now):
    """Answer the waiting callers, stop remaining runs and acknowledge the ends."""
    job.published_state = job.state
    owner.waiting.forget_job(job)
    owner.count("finished_" + job.state.name.lower())
    seconds = now - job.submitted_at
    record_response(job.record.queue, job.state.name.lower(), seconds)
    log(
        owner,
        "job.finished",
        job=job.id,
        queue=job.record.queue,
        state=job.state.name.lower(),
        seconds=round(seconds, 3),
        objective=round(job.due_at - job.submitted_at, 3),
    )
    for waiter in job.waiters:
        answer(owner, waiter, _OUTCOMES[job.state])
    job.waiters = []
    dequeue_job_tasks(owner, job)
    for task in job.running_tasks():
        stop_run(owner, task, now)
    acknowledge_job_ends(owner, job)
    acknowledge_cancel(owner, job)


def acknowledge_cancel(owner, job):
    """Answer the callers that cancelled a job, once no task of it can start any more.

    Start requests may still be in transit until the end of each run is reported. During
    a recovery, a previous owner that cannot reach the store may start tasks at agents
    that have not accepted this owner yet.
    """
    shard = owner.shards.get(job.shard)
    if shard is None or shard.is_recovering or job.published_state not in _OUTCOMES:
        return
    if job.running_tasks():
        return
    for waiter in job.cancel_waiters:
        answer(owner, waiter, Outcome.CANCELLED)
    job.cancel_waiters = []


def record_stored(owner, command, epoch, now):
    """Continue after a record was stored under an epoch of its shard."""
    if command.token is None or not _is_owned(owner, command, epoch):
        return
    function, subject = command.token
    function(owner, subject, now)


def record_not_stored(owner, command, epoch, now):
    """Withdraw a job whose record was certainly not stored."""
    if not is_acceptance_token(command.token) or not _is_owned(owner, command, epoch):
        return
    job = command.token[1]
    owner.shards[job.shard].jobs.pop(job.id, None)
    for waiter in job.waiters:
        answer(owner, waiter, Outcome.NOT_READY, 1.0, "store_unavailable")
    for waiter in job.cancel_waiters:
        answer(owner, waiter, Outcome.GONE)


def _is_owned(owner, command, epoch):
    """Return whether the entry still owns the shard of a record under this epoch.

    The store may answer an append after the shard was lost. Its jobs are forgotten and
    their callers told to ask again. If the entry has gained the shard again since, the
    jobs that it has there now come from the store.
    """
    shard = owner.shards.get(command.shard)
    if shard is not None and shard.epoch == epoch:
        return True
    log(owner, "append.outdated", shard=command.shard, epoch=epoch, key=command.key)
    return False


def is_acceptance_token(token):
    """Return whether the token belongs to the record that accepts a job."""
    return token is not None and token[0] is _acceptance_stored


def pop_waiters(token):
    """Return and remove the callers that wait for the acceptance of a job."""
    job = token[1]
    waiters, job.waiters = job.waiters, []
    return waiters
