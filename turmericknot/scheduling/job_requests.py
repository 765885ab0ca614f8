"""Requests about jobs, and the states that they go through."""

import math

from . import admission, workers
from .commands import Outcome, StoreRecord
from .jobs import JobRecord, JobState, create_job, encode_record
from .owner import answer, log, note_ends, record_response, stop_run, store_job
from .pending import drop_waiting, release_steps

_OUTCOMES = {
    JobState.SUCCEEDED: Outcome.SUCCEEDED,
    JobState.FAILED: Outcome.FAILED,
    JobState.CANCELLED: Outcome.CANCELLED,
}


def submit_job(owner, shard_number, job_id, record, waiter, now):
    """Accept, refuse or recognise a job that a caller hands in."""
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
    refusal = job_refusal(owner, record, now)
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


def job_refusal(owner, record, now, patience_s=math.inf):
    """Return (outcome, delay, reason) when the job cannot be served, else None."""
    able = [
        agent
        for agent in owner.agents.values()
        if agent.worker is not None and agent.worker.service == record.service
    ]
    for step in record.steps:
        if able and not any(workers.could_fit(a.worker, step) for a in able):
            return Outcome.REFUSED, admission.RETRY_MAX_S, "too_large"
    delay = admission.refusal_delay(
        owner.backlog, owner.run_times, record, owner.free_cores, patience_s
    )
    if delay and now >= owner.knows_workers_at:
        return (
            Outcome.REFUSED,
            delay,
            "stopping" if owner.is_shutting_down else "backlog",
        )
    return None


def _acceptance_stored(owner, job, now):
    """Go on with a job whose acceptance is stored."""
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
    release_steps(owner, job)


def answer_job_state(owner, shard_number, job_id, waiter, now):
    """Answer with the stored state of a job.

    Another entry may have accepted a job that is not known here when the store has
    not confirmed the ownership for a while.
    """
    shard = owner.shards.get(shard_number)
    if shard is None:
        answer(owner, waiter, Outcome.NOT_READY, reason="not_owner")
        return
    job = shard.jobs.get(job_id)
    if job is None:
        is_current = now - owner.ownership_confirmed_at < owner.times.certain
        answer(owner, waiter, Outcome.GONE if is_current else Outcome.NOT_READY)
    elif not job.is_stored:
        answer(owner, waiter, Outcome.UNDECIDED)
    elif job.published_state in _OUTCOMES:
        answer(owner, waiter, _OUTCOMES[job.published_state])
    else:
        answer(owner, waiter, Outcome.RUNNING if job.started else Outcome.QUEUED)


def cancel_job(owner, shard_number, job_id, waiter, now):
    """Cancel a job; the answer follows once that is stored."""
    shard = owner.shards.get(shard_number)
    job = shard.jobs.get(job_id) if shard else None
    if shard is None or shard.is_closing:
        answer(owner, waiter, Outcome.NOT_READY, reason="not_owner")
    elif job is None:
        is_current = now - owner.ownership_confirmed_at < owner.times.certain
        answer(owner, waiter, Outcome.GONE if is_current else Outcome.NOT_READY)
    elif job.published_state is JobState.CANCELLED:
        job.cancel_waiters.append(waiter)
        acknowledge_cancel(owner, job)
    elif job.published_state in _OUTCOMES:
        answer(owner, waiter, Outcome.CANCELLED)
    else:
        job.cancel_waiters.append(waiter)
        if job.is_stored and job.state is JobState.ACTIVE and not job.is_cancelling:
            _store_cancel(owner, job, now)


def _store_cancel(owner, job, now):
    job.is_cancelling = True
    drop_waiting(owner, job)
    finish_job(owner, job, JobState.CANCELLED, now)


def finish_job(owner, job, state, now):
    """Store the end of a job; it is shown once it is stored."""
    job.state = state
    record = job.record
    record.state = int(state)
    job.finished_at = now
    if not owner.shards[job.shard].is_persistent:
        _finished(owner, job, now)
        return
    value = encode_record(_short_record(record))
    owner.commands.append(StoreRecord(job.shard, job.id, value, (_finished, job)))


def _short_record(record):
    """Return the record of a finished job: what it was made of is not needed."""
    return JobRecord(
        record.queue,
        record.service,
        record.state,
        record.accepted_at,
        record.accepted_epoch,
    )


def _finished(owner, job, now):
    """Show the end of a job, and stop and note what is left of it."""
    job.published_state = job.state
    owner.waiting.forget(job)
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
    drop_waiting(owner, job)
    for task in job.running_tasks():
        stop_run(owner, task, now)
    note_ends(owner, job)
    acknowledge_cancel(owner, job)


def acknowledge_cancel(owner, job):
    """Answer those who cancelled a job, once nothing more of it can start.

    Orders to start may still be on their way until the end of each run is reported.
    During a recovery a former owner that the store does not reach may start tasks, at
    agents that have not accepted this one.
    """
    shard = owner.shards.get(job.shard)
    if shard is None or shard.is_recovering or job.published_state not in _OUTCOMES:
        return
    if job.running_tasks():
        return
    for waiter in job.cancel_waiters:
        answer(owner, waiter, Outcome.CANCELLED)
    job.cancel_waiters = []


def record_stored(owner, token, now):
    """Go on after a record was stored."""
    if token is not None:
        function, subject = token
        function(owner, subject, now)


def record_not_stored(owner, token, now):
    """Take back a job whose record was certainly not stored."""
    if token is None or token[0] is not _acceptance_stored:
        return
    job = token[1]
    shard = owner.shards.get(job.shard)
    if shard is not None:
        shard.jobs.pop(job.id, None)
    for waiter in job.waiters:
        answer(owner, waiter, Outcome.NOT_READY, 1.0, "store_unavailable")
    for waiter in job.cancel_waiters:
        answer(owner, waiter, Outcome.GONE)


def is_acceptance_token(token):
    """Return whether the token is that of a job's acceptance."""
    return token is not None and token[0] is _acceptance_stored


def take_waiters(token):
    """Return and clear the callers that wait for a job's acceptance."""
    job = token[1]
    waiters, job.waiters = job.waiters, []
    return waiters
