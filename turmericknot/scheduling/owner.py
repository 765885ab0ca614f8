"""State of an entry as the owner of shards, and what it asks the shell to do."""

from dataclasses import dataclass, field
from random import Random

from turmericknot.utils import histograms
from turmericknot.wire.shard_messages import NoteEnds, RunName, ShardEpoch, StopRuns

from . import admission
from .commands import AnswerRequest, OwnerLogLine, SendMessage, StoreRecord
from .estimates import create_run_times
from .jobs import FailedRun, JobState, TaskStatus, encode_record
from .waiting import create_waiting_jobs
from .worker_runs import GRANT_S

# Runs of a later owner are numbered above those of an earlier one.
RUNS_PER_EPOCH = 1000


@dataclass(slots=True)
class OwnerTimes:
    """Times of the owner in seconds.

    ``grant_s``: how long an agent acts on a grant. ``grant_margin_s``: added before the
    owner gives up the runs of a silent agent, for a steady clock that is 2% slow and
    for the stop of a run. ``blind``: how long an owner goes on granting without a
    word from the store. ``certain``: how long no other entry can have become owner
    after such a word. ``finished_job_retention_s``: how long a finished job is shown
    after its end.
    ``note_after``: ends of unfinished jobs are stored after this time.
    ``learn_workers``: how long after the start an entry may not know all workers,
    which report themselves every 1.5 s.
    """

    grant_s: float = GRANT_S
    grant_margin_s: float = 0.15
    blind: float = 6.0
    certain: float = 1.4
    finished_job_retention_s: float = 120.0
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
    is_persistent: bool = True  # its jobs are stored
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
        "ownership_confirmed_at",
        "stopping",
        "counts",
        "paused_until",
        "rng",
        "knows_workers_at",
        "is_shutting_down",
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
        self.ownership_confirmed_at = 0.0  # when the store last confirmed the ownership
        self.stopping = {}  # run name -> (agent id, shard, time of the last order)
        self.counts = {}
        self.paused_until = 0.0  # nothing starts before this time
        self.is_shutting_down = False  # the process is about to end

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
    owner.commands.append(OwnerLogLine(event, fields))


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


def send_acknowledgements(owner, ends):
    """Tell agents which ends their workers may forget."""
    by_life = {}
    for agent_id, life, number in ends:
        if number:
            by_life.setdefault((agent_id, life), []).append(number)
    for (agent_id, life), numbers in by_life.items():
        owner.commands.append(SendMessage(agent_id, NoteEnds(life, numbers)))


def note_ends(owner, job):
    """Allow the agents to forget the ends of a job that are stored now."""
    ends, job.unnoted = job.unnoted, []
    send_acknowledgements(owner, ends)


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


def granted_shards(owner, now, view=None):
    """Return the shards for which an agent may be granted, as ShardEpoch.

    Shards of stored jobs are granted only if the store has confirmed the ownership
    since the process of the agent first connected: a former owner that the store does
    not reach would find an agent that knows nothing of its successor.
    """
    is_confirmed = now - owner.ownership_confirmed_at <= owner.times.blind
    if view is not None and owner.ownership_confirmed_at < view.boot_at:
        is_confirmed = False
    return [
        ShardEpoch(shard.number, shard.epoch)
        for shard in owner.shards.values()
        if is_confirmed or not shard.is_persistent
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


def count_failure(task, run):
    """Count a failed run of a task; return whether it is a new one."""
    failed = FailedRun(task.step, task.index, run)
    if failed in task.job.record.failed_runs:
        return False
    task.job.record.failed_runs.append(failed)
    task.failures += 1
    return True


def record_progress(job):
    """Bring the record up to date with the tasks that have ended."""
    job.record.done = [
        [task.index for task in step if task.status is TaskStatus.DONE]
        for step in job.tasks
    ]
