"""Best-effort jobs: they are not stored, and their caller waits for the end.

The entry that the caller reached owns the job, in a shard of its own. A caller that
loses the entry submits the job again, possibly to another entry, and all runs of the
first submission must have ended by then. They end when the caller disconnects, when
its deadline passes, and when the grants of a dead entry expire.
"""

from . import admission
from .commands import Outcome
from .job_requests import finish_job, job_refusal, work_and_cores
from .jobs import JobState, TaskStatus, create_job
from .owner import Shard, answer, log
from .pending import enqueue_ready_steps

# Shards of best-effort jobs are numbered from here; shards of durable jobs are below.
FIRST_BEST_EFFORT_SHARD = 1 << 20
# Runs are stopped this long before the caller's deadline, so that they have ended
# when the job is submitted again to another entry.
STOP_BEFORE_DEADLINE_S = 0.05
# How long the run numbers of an ended job are kept. Agents resend messages about its
# runs after a reconnect, and forget a lost owner 3 s after its grant expired.
RUN_NUMBER_RETENTION_S = 30.0


def open_best_effort_shard(owner, number):
    """Let the entry own best-effort jobs in a shard with a number of its own."""
    shard = Shard(FIRST_BEST_EFFORT_SHARD + number, epoch=1, is_durable=False)
    owner.shards[shard.number] = shard
    return shard


def run_job(owner, shard, job_id, record, waiter, deadline_at, now):
    """Run a job whose caller waits until ``deadline_at``, or refuse it."""
    previous = shard.jobs.get(job_id)
    if previous is not None:
        if previous.state is JobState.ACTIVE:
            previous.waiters.append(waiter)
            previous.deadline_at = max(previous.deadline_at, deadline_at)
        else:
            _set_next_submission(owner, previous, (record, waiter, deadline_at))
        return
    refusal = job_refusal(owner, shard, record, now, deadline_at - now)
    if refusal is not None:
        outcome, delay, reason = refusal
        owner.count("refused_" + reason)
        log(
            owner,
            "job.refused",
            job=job_id,
            queue=record.queue,
            reason=reason,
            retry_after=round(delay, 1),
        )
        answer(owner, waiter, outcome, delay, reason)
        return
    _start_job(owner, shard, job_id, record, waiter, deadline_at, now)


def _start_job(owner, shard, job_id, record, waiter, deadline_at, now):
    record.accepted_epoch = shard.epoch
    job = create_job(job_id, shard.number, record, now)
    job.is_stored = True  # there is no record whose write has to finish
    job.published_state = JobState.ACTIVE
    job.due_at = now + admission.objective_s(owner.run_times, record)
    job.deadline_at = deadline_at
    job.waiters.append(waiter)
    _continue_run_numbers(shard, job)
    shard.jobs[job_id] = job
    owner.count("accepted")
    log(owner, "job.accepted", job=job_id, queue=record.queue, shard=shard.number)
    enqueue_ready_steps(owner, job)


def _continue_run_numbers(shard, job):
    """Number the runs above those of an earlier submission of the job.

    Otherwise a late message about an earlier run would be taken for one about a current
    run with the same number.
    """
    previous = shard.last_run_numbers.pop(job.id, None)
    if previous is not None:
        for step in job.tasks:
            for task in step:
                task.run = previous[0]


def _remember_run_numbers(shard, job, now):
    highest = max((task.run for step in job.tasks for task in step), default=0)
    if highest:
        shard.last_run_numbers[job.id] = (highest, now)


def forget_run_numbers(shard, now):
    """Forget the run numbers of jobs that ended long ago."""
    run_numbers = shard.last_run_numbers
    while run_numbers:
        # The first entry is that of the job that ended first.
        _, ended_at = run_numbers[next(iter(run_numbers))]
        if now - ended_at < RUN_NUMBER_RETENTION_S:
            return
        run_numbers.popitem(last=False)


def _set_next_submission(owner, job, next_submission):
    if job.next_submission is not None:
        answer(
            owner, job.next_submission[1], Outcome.UNDECIDED, reason="submitted again"
        )
    job.next_submission = next_submission


def abandon_job(owner, shard, job_id, waiter, now):
    """Stop a job when the last of its callers has disconnected."""
    job = shard.jobs.get(job_id)
    if job is None:
        return
    if job.next_submission is not None and job.next_submission[1] is waiter:
        job.next_submission = None
    if waiter not in job.waiters:
        return
    job.waiters.remove(waiter)
    if not job.waiters and job.state is JobState.ACTIVE:
        finish_job(owner, job, JobState.CANCELLED, now)
        remove_finished_job(owner, job, now)


def remove_finished_job(owner, job, now):
    """Remove a finished job without runs, and start its next submission."""
    shard = owner.shards.get(job.shard)
    if shard is None or shard.is_durable or job.state is JobState.ACTIVE:
        return
    if any(task.status is TaskStatus.RUNNING for step in job.tasks for task in step):
        return
    if shard.jobs.get(job.id) is not job:
        return
    del shard.jobs[job.id]
    _remember_run_numbers(shard, job, now)
    if job.next_submission is not None:
        record, waiter, deadline_at = job.next_submission
        run_job(owner, shard, job.id, record, waiter, deadline_at, now)


def end_overdue_jobs(owner, now):
    """End jobs at the deadline of their callers, and refuse jobs that will be too late.

    Under overload, the caller of a job that has not started and cannot be answered in
    time is refused at once instead of at its deadline.
    """
    for shard in owner.shards.values():
        if shard.is_durable:
            continue
        forget_run_numbers(shard, now)
        for job in list(shard.jobs.values()):
            if job.state is not JobState.ACTIVE:
                continue
            if now >= job.deadline_at - STOP_BEFORE_DEADLINE_S:
                _end_unserved_job(owner, job, Outcome.UNDECIDED, "deadline", now)
            elif not job.may_have_started and _will_be_too_late(owner, job, now):
                _end_unserved_job(owner, job, Outcome.REFUSED, "too_late", now)


def _will_be_too_late(owner, job, now):
    ends_at = now + admission.expected_critical_path_s(owner.run_times, job.record)
    objective = job.due_at - job.submitted_at
    latest = job.submitted_at + admission.MAX_OBJECTIVE_MULTIPLE * objective
    return ends_at > min(latest, job.deadline_at)


def _end_unserved_job(owner, job, outcome, reason, now):
    owner.count("unserved_" + reason)
    log(
        owner,
        "job.overdue",
        job=job.id,
        queue=job.record.queue,
        reason=reason,
        started=job.may_have_started,
        sent=job.sent_runs,
        waited=round(now - job.submitted_at, 3),
    )
    waiters, job.waiters = job.waiters, []
    delay = admission.retry_delay_s(*work_and_cores(owner, job.record))
    for waiter in waiters:
        answer(owner, waiter, outcome, delay, reason)
    finish_job(owner, job, JobState.CANCELLED, now)
    remove_finished_job(owner, job, now)
