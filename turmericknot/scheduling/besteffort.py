"""Jobs that are not stored: their caller waits for the end, then hands them in again.

The entry that the caller reached owns the job, in a shard of its own. A job that is
handed in again may reach another entry, so all runs of the first one must be over by
then: they end when the caller leaves, when its time is over, and when the grants of
an entry that has died run out.
"""

from . import admission
from .commands import Outcome
from .job_requests import finish_job, job_refusal
from .jobs import JobState, TaskStatus, create_job
from .owner import Shard, answer, log
from .pending import release_steps

# Numbers from here on name the shards of entries for jobs that are not stored.
FIRST_BEST_EFFORT_SHARD = 1 << 20
# Runs are stopped this long before the caller's time is over, so that they have
# ended when the job is handed in again elsewhere.
STOP_BEFORE_DEADLINE_S = 0.05
# How long the runs of an ended job are remembered. Agents repeat what concerns them
# when they come back, and give up 3 s after the grant of a lost owner.
REMEMBER_RUNS_S = 30.0


def open_best_effort_shard(owner, number):
    """Let the entry own jobs that are not stored, under a number of its own."""
    shard = Shard(FIRST_BEST_EFFORT_SHARD + number, epoch=1, is_persistent=False)
    owner.shards[shard.number] = shard
    return shard


def run_job(owner, shard, job_id, record, waiter, deadline_at, now):
    """Run a job whose caller waits until ``deadline_at``, or refuse it."""
    former = shard.jobs.get(job_id)
    if former is not None:
        if former.state is JobState.ACTIVE:
            former.waiters.append(waiter)
            former.deadline_at = max(former.deadline_at, deadline_at)
        else:
            _replace_successor(owner, former, (record, waiter, deadline_at))
        return
    refusal = job_refusal(owner, record, now, deadline_at - now)
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
    _begin(owner, shard, job_id, record, waiter, deadline_at, now)


def _begin(owner, shard, job_id, record, waiter, deadline_at, now):
    record.accepted_epoch = shard.epoch
    job = create_job(job_id, shard.number, record, now)
    job.is_stored = True  # nothing has to be waited for
    job.published_state = JobState.ACTIVE
    job.due_at = now + admission.objective_s(owner.run_times, record)
    job.deadline_at = deadline_at
    job.waiters.append(waiter)
    _number_after_former(shard, job)
    shard.jobs[job_id] = job
    owner.count("accepted")
    log(owner, "job.accepted", job=job_id, queue=record.queue, shard=shard.number)
    release_steps(owner, job)


def _number_after_former(shard, job):
    """Number the runs above those of an earlier submission.

    Late messages about a run of that number would be taken for the present one's.
    """
    former = shard.last_runs.pop(job.id, None)
    if former is not None:
        for step in job.tasks:
            for task in step:
                task.run = former[0]


def _remember_runs(shard, job, now):
    highest = max((task.run for step in job.tasks for task in step), default=0)
    if highest:
        shard.last_runs[job.id] = (highest, now)


def forget_runs(shard, now):
    """Drop what is remembered of jobs that ended long ago."""
    for job_id, (_, ended_at) in list(shard.last_runs.items()):
        if now - ended_at < REMEMBER_RUNS_S:
            return  # the order is that of the ends
        del shard.last_runs[job_id]


def _replace_successor(owner, job, successor):
    if job.successor is not None:
        answer(owner, job.successor[1], Outcome.UNDECIDED, reason="handed in again")
    job.successor = successor


def abandon_job(owner, shard, job_id, waiter, now):
    """Stop a job whose caller has left."""
    job = shard.jobs.get(job_id)
    if job is None:
        return
    if job.successor is not None and job.successor[1] is waiter:
        job.successor = None
    if waiter not in job.waiters:
        return
    job.waiters.remove(waiter)
    if not job.waiters and job.state is JobState.ACTIVE:
        finish_job(owner, job, JobState.CANCELLED, now)
        clear_up(owner, job, now)


def clear_up(owner, job, now):
    """Forget an ended job without runs, and begin with its successor."""
    shard = owner.shards.get(job.shard)
    if shard is None or shard.is_persistent or job.state is JobState.ACTIVE:
        return
    if any(task.status is TaskStatus.RUNNING for step in job.tasks for task in step):
        return
    if shard.jobs.get(job.id) is not job:
        return
    del shard.jobs[job.id]
    _remember_runs(shard, job, now)
    if job.successor is not None:
        record, waiter, deadline_at = job.successor
        run_job(owner, shard, job.id, record, waiter, deadline_at, now)


def end_overdue(owner, now):
    """Stop jobs whose callers have given up by now, and refuse hopeless ones.

    Answers a load beyond the room of the workers: a caller whose job has not begun
    and would be answered too late learns that at once, not at its deadline.
    """
    for shard in owner.shards.values():
        if shard.is_persistent:
            continue
        forget_runs(shard, now)
        for job in list(shard.jobs.values()):
            if job.state is not JobState.ACTIVE:
                continue
            if now >= job.deadline_at - STOP_BEFORE_DEADLINE_S:
                _end_unserved(owner, job, Outcome.UNDECIDED, "deadline", now)
            elif not job.started and _is_hopeless(owner, job, now):
                _end_unserved(owner, job, Outcome.REFUSED, "too_late", now)


def _is_hopeless(owner, job, now):
    ends_at = now + admission.expected_chain(owner.run_times, job.record)
    objective = job.due_at - job.submitted_at
    latest = job.submitted_at + admission.LATEST_OBJECTIVES * objective
    return ends_at > min(latest, job.deadline_at)


def _end_unserved(owner, job, outcome, reason, now):
    owner.count("unserved_" + reason)
    log(
        owner,
        "job.overdue",
        job=job.id,
        queue=job.record.queue,
        reason=reason,
        started=job.started,
        waited=round(now - job.submitted_at, 3),
    )
    waiters, job.waiters = job.waiters, []
    delay = admission.retry_delay(owner.backlog, job.record, owner.free_cores)
    for waiter in waiters:
        answer(owner, waiter, outcome, delay, reason)
    finish_job(owner, job, JobState.CANCELLED, now)
    clear_up(owner, job, now)
