"""State of an entry as the owner of shards, and requests about their jobs."""

import math
from dataclasses import dataclass, field
from random import Random

from turmericknot.utils import histograms
from turmericknot.wire.shard_messages import NoteEnds, RunName, ShardEpoch, StopRuns

from . import admission, workers
from .commands import AnswerRequest, LogDecision, Outcome, SendMessage, StoreRecord
from .estimates import create_run_times
from .jobs import (
    FailedRun,
    JobRecord,
    JobState,
    TaskStatus,
    create_job,
    encode_record,
)
from .waiting import create_waiting_jobs
from .worker_runs import GRANT_S

# Runs of a later owner are numbered above those of an earlier one.
RUNS_PER_EPOCH = 1000

_OUTCOMES = {
    JobState.SUCCEEDED: Outcome.SUCCEEDED,
    JobState.FAILED: Outcome.FAILED,
    JobState.CANCELLED: Outcome.CANCELLED,
}


@dataclass(slots=True)
class OwnerTimes:
    """Times of the owner in seconds.

    ``grant``: how long an agent acts on a grant. ``grant_margin``: added before the
    owner gives up the runs of a silent agent, for a steady clock that is 2% slow and
    for the stop of a run. ``blind``: how long an owner goes on granting without a
    word from the store. ``certain``: how long no other entry can have become owner
    after such a word. ``keep``: how long a finished job is shown
    after its end.
    ``note_after``: ends of unfinished jobs are stored after this time.
    ``learn_workers``: how long after the start an entry may not know all workers,
    which report themselves every 1.5 s.
    """

    grant: float = GRANT_S
    grant_margin: float = 0.15
    blind: float = 6.0
    certain: float = 1.4
    keep: float = 120.0
    note_after: float = 1.0
    learn_workers: float = 3.0
    resend_stop: float = 0.3


@dataclass(slots=True)
class Shard:
    """A shard that this entry owns."""

    number: int
    epoch: int
    jobs: dict = field(default_factory=dict)
    # Agents that a former owner may have used and that have not accepted this one.
    awaited: set = field(default_factory=set)
    recovering_until: float = 0.0
    recorded_agents: set = field(default_factory=set)  # stored, or being stored
    usable_agents: set = field(default_factory=set)  # stored
    is_closing: bool = False  # about to be handed over: nothing new begins
    is_kept: bool = True  # its jobs are stored
    # Of jobs that are not kept: id -> (highest run of a task, time of the end).
    last_runs: dict = field(default_factory=dict)

    @property
    def is_recovering(self):
        """Return whether runs of a former owner may be unaccounted for."""
        return bool(self.awaited)


class Owner:
    """Jobs of the owned shards, agents, and the commands not carried out yet."""

    __slots__ = (
        "times",
        "shards",
        "agents",
        "waiting",
        "backlog",
        "run_times",
        "commands",
        "confirmed_at",
        "stopping",
        "counts",
        "paused_until",
        "rng",
        "knows_workers_at",
    )

    def __init__(self, times, rng, now):
        self.times = times
        self.rng = rng
        # Until then the workers may not have been heard of yet.
        self.knows_workers_at = now + times.learn_workers
        self.shards = {}
        self.agents = {}
        self.waiting = create_waiting_jobs()
        self.backlog = admission.Backlog()
        self.run_times = create_run_times()
        self.commands = []
        self.confirmed_at = 0.0  # when the store last confirmed the ownership
        self.stopping = {}  # run name -> (agent id, shard, time of the last order)
        self.counts = {}
        self.paused_until = 0.0  # nothing starts before this time

    @property
    def free_cores(self):
        """Return the processors of usable workers that no other owner uses."""
        cpu = sum(
            agent.worker.cpu - agent.foreign_cpu
            for agent in self.agents.values()
            if agent.worker is not None and agent.worker.usable
        )
        return cpu / 1000

    def take_commands(self):
        """Return the commands decided since the last call."""
        commands, self.commands = self.commands, []
        return commands

    def count(self, name, amount=1):
        """Increase a counter of the metrics."""
        self.counts[name] = self.counts.get(name, 0) + amount


def create_owner(times=None, rng=None, now=0.0):
    """Return an owner without shards that begins at ``now``."""
    return Owner(times or OwnerTimes(), rng or Random(0), now)


def log(owner, event, **fields):
    """Ask the shell for a log line."""
    owner.commands.append(LogDecision(event, fields))


def answer(owner, waiter, outcome, retry_after=0.0, reason=""):
    """Ask the shell to answer a request."""
    owner.commands.append(AnswerRequest(waiter, outcome, retry_after, reason))


def record_response(queue, outcome, seconds):
    """Add the response time of a job to the histogram of its queue and outcome."""
    histograms.record("response", queue, outcome, seconds * 1000)


def store_job(owner, job, token):
    """Ask the shell to store the present record of a job."""
    value = encode_record(job.record)
    owner.commands.append(StoreRecord(job.shard, job.id, value, token))


def submit(owner, shard_number, job_id, record, waiter, now):
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
    store_job(owner, job, (_submitted, job))


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
        return Outcome.REFUSED, delay, "backlog"
    return None


def _submitted(owner, job, now):
    """Go on with a job whose acceptance is stored."""
    job.is_stored = True
    job.shown = JobState.ACTIVE
    owner.count("accepted")
    log(owner, "job.accepted", job=job.id, queue=job.record.queue, shard=job.shard)
    for waiter in job.waiters:
        answer(owner, waiter, Outcome.ACCEPTED)
    job.waiters = []
    if job.cancel_waiters:
        _store_cancel(owner, job, now)
        return
    release_steps(owner, job)


def status(owner, shard_number, job_id, waiter, now):
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
        is_current = now - owner.confirmed_at < owner.times.certain
        answer(owner, waiter, Outcome.GONE if is_current else Outcome.NOT_READY)
    elif not job.is_stored:
        answer(owner, waiter, Outcome.UNDECIDED)
    elif job.shown in _OUTCOMES:
        answer(owner, waiter, _OUTCOMES[job.shown])
    else:
        answer(owner, waiter, Outcome.RUNNING if job.started else Outcome.QUEUED)


def cancel(owner, shard_number, job_id, waiter, now):
    """Cancel a job; the answer follows once that is stored."""
    shard = owner.shards.get(shard_number)
    job = shard.jobs.get(job_id) if shard else None
    if shard is None or shard.is_closing:
        answer(owner, waiter, Outcome.NOT_READY, reason="not_owner")
    elif job is None:
        is_current = now - owner.confirmed_at < owner.times.certain
        answer(owner, waiter, Outcome.GONE if is_current else Outcome.NOT_READY)
    elif job.shown is JobState.CANCELLED and shard.is_recovering:
        job.cancel_waiters.append(waiter)
    elif job.shown in _OUTCOMES:
        answer(owner, waiter, Outcome.CANCELLED)
    else:
        job.cancel_waiters.append(waiter)
        if job.is_stored and job.state is JobState.ACTIVE and not job.cancelling:
            _store_cancel(owner, job, now)


def _store_cancel(owner, job, now):
    job.cancelling = True
    drop_waiting(owner, job)
    finish_job(owner, job, JobState.CANCELLED, now)


def finish_job(owner, job, state, now):
    """Store the end of a job; it is shown once it is stored."""
    job.state = state
    record = job.record
    record.state = int(state)
    job.finished_at = now
    if not owner.shards[job.shard].is_kept:
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
    job.shown = job.state
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
    if not owner.shards[job.shard].is_recovering:
        acknowledge_cancel(owner, job)
    drop_waiting(owner, job)
    for task in job.running_tasks():
        stop_run(owner, task, now)
    note_ends(owner, job)


def acknowledge_cancel(owner, job):
    """Answer those who cancelled a job of which nothing more can start.

    During a recovery a former owner that the store does not reach may still start
    tasks, at agents that have not accepted this one.
    """
    for waiter in job.cancel_waiters:
        answer(owner, waiter, Outcome.CANCELLED)
    job.cancel_waiters = []


def note_ends(owner, job):
    """Allow the agents to forget the ends of a job that are stored now."""
    ends, job.unnoted = job.unnoted, []
    send_notes(owner, ends)


def send_notes(owner, ends):
    """Tell agents which ends their workers may forget."""
    by_life = {}
    for agent_id, life, number in ends:
        if number:
            by_life.setdefault((agent_id, life), []).append(number)
    for (agent_id, life), numbers in by_life.items():
        owner.commands.append(SendMessage(agent_id, NoteEnds(life, numbers)))


def stop_run(owner, task, now):
    """Order a stop, to be repeated until the end is reported."""
    name = RunName(task.job.id, task.step, task.index, task.run)
    owner.stopping[name] = (task.agent, task.job.shard, now)
    send_stop(owner, task.agent, task.job.shard, name)


def send_stop(owner, agent_id, shard_number, name):
    """Send the order to stop a run."""
    shard = owner.shards.get(shard_number)
    if shard is not None:
        message = StopRuns(shard_number, shard.epoch, [name])
        owner.commands.append(SendMessage(agent_id, message))


def release_steps(owner, job):
    """Let the tasks wait whose earlier steps have all ended."""
    for number, step in enumerate(job.record.steps):
        tasks = job.tasks[number]
        if not job.remaining[number]:
            continue
        if any(job.remaining[earlier] for earlier in step.after):
            continue
        for task in tasks:
            if task.status is TaskStatus.BLOCKED:
                wait(owner, task)


def wait(owner, task):
    """Put a task into the list of those that wait for a worker."""
    task.status = TaskStatus.WAITING
    task.agent = None
    if task.job.is_active:
        owner.waiting.add(task)
        owner.backlog.add(task.job.record.priority, expected_work(owner, task))


def stop_waiting(owner, task):
    """Take a task out of the list."""
    owner.waiting.remove(task)
    owner.backlog.add(task.job.record.priority, -expected_work(owner, task))


def put_back_late(owner, now):
    """Put back the waiting jobs that can no longer be in time."""
    for job in owner.waiting.jobs():
        if owner.waiting.is_late(job):
            continue
        durations = admission.expected_durations(owner.run_times, job.record)
        if now + min(durations) > job.due_at:
            owner.waiting.put_back(job)


def drop_waiting(owner, job):
    """Take all tasks of a job out of the list."""
    for task in list(owner.waiting.tasks(job)):
        stop_waiting(owner, task)


def expected_work(owner, task):
    """Return the declared core-seconds of a task.

    It is not corrected by what is learned, so that the sum stays exact.
    """
    return task.spec.cpu / 1000 * (task.spec.estimate or 0.1)


def record_progress(job):
    """Bring the record up to date with the tasks that have ended."""
    job.record.done = [
        [task.index for task in step if task.status is TaskStatus.DONE]
        for step in job.tasks
    ]


def count_failure(task, run):
    """Count a failed run of a task; return whether it is a new one."""
    failed = FailedRun(task.step, task.index, run)
    if failed in task.job.record.failed_runs:
        return False
    task.job.record.failed_runs.append(failed)
    task.failures += 1
    return True


def stored(owner, token, now):
    """Go on after a record was stored."""
    if token is not None:
        function, subject = token
        function(owner, subject, now)


def not_stored(owner, token, now):
    """Take back a job whose record was certainly not stored."""
    if token is None or token[0] is not _submitted:
        return
    job = token[1]
    shard = owner.shards.get(job.shard)
    if shard is not None:
        shard.jobs.pop(job.id, None)
    for waiter in job.waiters:
        answer(owner, waiter, Outcome.NOT_READY, 1.0, "store_unavailable")
    for waiter in job.cancel_waiters:
        answer(owner, waiter, Outcome.GONE)


def is_submission(token):
    """Return whether the token is that of a job's acceptance."""
    return token is not None and token[0] is _submitted


def waiters_of(token):
    """Return and clear the callers that wait for a job's acceptance."""
    job = token[1]
    waiters, job.waiters = job.waiters, []
    return waiters


def granted_shards(owner, now, view=None):
    """Return the shards for which an agent may be granted, as ShardEpoch.

    Shards of stored jobs are granted only if the store has confirmed the ownership
    since the process of the agent first connected: a former owner that the store does
    not reach would find an agent that knows nothing of its successor.
    """
    is_confirmed = now - owner.confirmed_at <= owner.times.blind
    if view is not None and owner.confirmed_at < view.boot_at:
        is_confirmed = False
    return [
        ShardEpoch(shard.number, shard.epoch)
        for shard in owner.shards.values()
        if is_confirmed or not shard.is_kept
    ]


def pending_by_queue(owner):
    """Return the accepted jobs of each queue without a started task."""
    pending = {}
    for shard in owner.shards.values():
        for job in shard.jobs.values():
            if job.is_stored and not job.started and job.state is JobState.ACTIVE:
                queue = job.record.queue
                pending[queue] = pending.get(queue, 0) + 1
    return pending
