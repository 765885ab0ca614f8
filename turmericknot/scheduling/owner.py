"""State of an entry as the owner of shards, and helpers that issue its commands."""

from collections import OrderedDict
from dataclasses import dataclass, field
from random import Random

from turmericknot.utils import histograms
from turmericknot.wire.shard_messages import NoteEnds, RunName, ShardEpoch, StopRuns

from . import admission, evacuation, workers
from .commands import AnswerRequest, OwnerLogLine, SendMessage, StoreRecord
from .confinement import create_confinement
from .crash_history import create_crash_history
from .estimates import create_run_times
from .jobs import FailedRun, JobState, TaskStatus, encode_record
from .placement_events import create_placement_events
from .places import create_places
from .waiting import create_waiting_jobs
from .wanted_labels import create_wanted_labels
from .worker_fits import create_worker_fits
from .worker_runs import GRANT_S

# Each epoch has a range of run numbers above those of the previous owners.
RUN_NUMBERS_PER_EPOCH = 1000


@dataclass(slots=True)
class OwnerTimes:
    """Durations of the owner's decisions, in seconds.

    ``grant_s``: how long an agent acts on a grant.
    ``grant_margin_s``: wait on top of that before the owner gives up the runs of a
    silent agent; covers a steady clock that is 2% slow and the stop of a run.
    ``start_without_grant_s``: how long a run at an agent without a grant may wait for
    the agent to request one, before the owner gives the run up.
    ``unconfirmed_grants_s``: how long the owner keeps granting after the store last
    confirmed its ownership.
    ``denial_wait_s``: how long a request about an unknown job waits for the store to
    confirm the ownership.
    ``finished_job_retention_s``: how long a finished job remains visible.
    ``store_progress_after_s``: ends of an unfinished job's tasks are stored after this
    time.
    ``defer_acknowledgements_s``: ends of best-effort jobs are acknowledged within this
    time.
    ``worker_discovery_s``: how long after its start an entry may not know all workers,
    which report every 1.5 s.
    ``stop_retry_s``: interval at which a stop request is repeated.
    """

    grant_s: float = GRANT_S
    grant_margin_s: float = 0.15
    start_without_grant_s: float = 0.3
    unconfirmed_grants_s: float = 6.0
    denial_wait_s: float = 1.0
    finished_job_retention_s: float = 120.0
    store_progress_after_s: float = 1.0
    defer_acknowledgements_s: float = 1.0
    worker_discovery_s: float = 3.0
    stop_retry_s: float = 0.3


@dataclass(slots=True)
class UnknownJobRequest:
    """A request about a job that the owner does not know."""

    handle: object  # function that handles the request again
    job_id: str
    waiter: object
    received_at: float


@dataclass(slots=True)
class Shard:
    """A shard that this entry owns."""

    number: int
    epoch: int
    jobs: dict = field(default_factory=dict)
    # Agents that a previous owner may have used and that have not accepted this one.
    awaited_agents: set = field(default_factory=set)
    recovering_until: float = 0.0
    # Agents whose record in the shard is stored or being stored.
    recorded_agents: set = field(default_factory=set)
    usable_agents: set = field(default_factory=set)  # agents whose record is stored
    is_closing: bool = False  # being handed over: nothing new starts
    is_durable: bool = True  # holds durable jobs; False: best-effort jobs
    confirmed_at: float = 0.0  # when the store last confirmed its ownership
    # Before this time, agents that serve the owner alone may not have connected yet.
    workers_known_at: float = 0.0
    unknown_job_requests: list = field(default_factory=list)  # UnknownJobRequest
    # Ended best-effort jobs: id -> (highest run number of a task, time of the end).
    last_run_numbers: OrderedDict = field(default_factory=OrderedDict)

    @property
    def is_recovering(self):
        """Return whether runs of a previous owner may be unknown."""
        return bool(self.awaited_agents)


class Owner:
    """Jobs of the owned shards, the agents, and commands to be carried out."""

    __slots__ = (
        "times",
        "shards",
        "agents",
        "waiting",
        "placement_events",
        "places",
        "backlog",
        "run_times",
        "evacuations",
        "worker_fits",
        "wanted_labels",
        "crash_history",
        "confinement",
        "confined_queues",
        "commands",
        "_deferred_acknowledgements",
        "_flush_acknowledgements_at",
        "pending_stops",
        "leaving_workers",
        "moving_runs",
        "counts",
        "paused_until",
        "rng",
        "workers_known_at",
        "is_shutting_down",
    )

    def __init__(self, times, rng, now, far_factor):
        self.times = times
        self.rng = rng
        # Before this time, some workers may not have been reported yet.
        self.workers_known_at = now + times.worker_discovery_s
        self.shards = {}
        self.agents = {}
        self.waiting = create_waiting_jobs()
        self.placement_events = create_placement_events()
        self.places = create_places(far_factor)
        self.backlog = admission.Backlog()
        self.run_times = create_run_times()
        self.evacuations = evacuation.create_evacuations()
        self.worker_fits = create_worker_fits()
        self.wanted_labels = create_wanted_labels()
        self.crash_history = create_crash_history()
        self.confinement = create_confinement()
        self.confined_queues = ()  # names of the queues that may use a cell only
        self.commands = []
        # (agent id, life of its worker) -> numbers of ends to acknowledge
        self._deferred_acknowledgements = {}
        self._flush_acknowledgements_at = 0.0
        self.pending_stops = {}  # run name -> (agent id, shard, time of last request)
        self.leaving_workers = {}  # agent id -> LeavingWorker
        # Runs being moved off them: run name -> (agent id, StepSpec) of the capacity
        # elsewhere that the move counts on.
        self.moving_runs = {}
        self.counts = {}
        self.paused_until = 0.0  # nothing starts before this time
        self.is_shutting_down = False  # the process is about to end

    @property
    def free_cores(self):
        """Return the processors of usable workers that other owners do not use."""
        cpu = sum(
            agent.worker.cpu - agent.foreign_cpu
            for agent in self.agents.values()
            if agent.worker is not None
            and agent.worker.usable
            and not agent.is_evacuated
        )
        return cpu / 1000

    def pop_commands(self):
        """Return the commands decided since the last call.

        Deferred acknowledgements accompany other messages to their agents.
        """
        commands, self.commands = self.commands, []
        if self._deferred_acknowledgements and commands:
            addressed = {c.agent for c in commands if isinstance(c, SendMessage)}
            commands.extend(self._pop_acknowledgements(addressed))
        return commands

    def _pop_acknowledgements(self, agents):
        deferred = self._deferred_acknowledgements
        return [
            SendMessage(key[0], NoteEnds(key[1], deferred.pop(key)))
            for key in [key for key in deferred if key[0] in agents]
        ]

    def defer_acknowledgement(self, agent, life, number, flush_at):
        """Acknowledge an end with the next message to its agent, or at ``flush_at``."""
        if not self._deferred_acknowledgements:
            self._flush_acknowledgements_at = flush_at
        numbers = self._deferred_acknowledgements.setdefault((agent, life), [])
        numbers.append(number)

    def flush_acknowledgements(self, now):
        """Add the commands that send all deferred acknowledgements, if it is time."""
        if self._deferred_acknowledgements and now >= self._flush_acknowledgements_at:
            self.commands.extend(self._pop_acknowledgements(set(self.agents)))

    def count(self, name, amount=1):
        """Increase a counter of the metrics."""
        self.counts[name] = self.counts.get(name, 0) + amount


def create_owner(times=None, rng=None, now=0.0, far_factor=1.0):
    """Return an owner without shards, started at ``now``.

    ``far_factor`` is the factor by which tasks run longer away from their data.
    """
    return Owner(times or OwnerTimes(), rng or Random(0), now, far_factor)


def log(owner, event, **fields):
    """Add a command that writes a log line."""
    owner.commands.append(OwnerLogLine(event, fields))


def answer(owner, waiter, outcome, retry_after=0.0, reason=""):
    """Add a command that answers a request."""
    owner.commands.append(AnswerRequest(waiter, outcome, retry_after, reason))


def record_response(queue, outcome, seconds):
    """Add the response time of a job to the histogram of its queue and outcome."""
    histograms.record_duration("response", queue, outcome, seconds * 1000)


def store_job(owner, job, token):
    """Add a command that stores the current record of a job."""
    value = encode_record(job.record)
    owner.commands.append(StoreRecord(job.shard, job.id, value, token))


def send_acknowledgements(owner, ends):
    """Acknowledge ends to the agents, so that their workers may forget them."""
    by_life = {}
    for agent_id, life, number in ends:
        if number:
            by_life.setdefault((agent_id, life), []).append(number)
    for (agent_id, life), numbers in by_life.items():
        owner.commands.append(SendMessage(agent_id, NoteEnds(life, numbers)))


def defer_acknowledgement(owner, end, now):
    """Acknowledge the end of a run of a best-effort job some time later.

    The agent keeps such an end until then, but its worker does not have to.
    """
    agent_id, life, number = end
    if number:
        flush_at = now + owner.times.defer_acknowledgements_s
        owner.defer_acknowledgement(agent_id, life, number, flush_at)


def flush_deferred_acknowledgements(owner, now):
    """Send the acknowledgements that no other message has taken along in time."""
    owner.flush_acknowledgements(now)


def acknowledge_job_ends(owner, job):
    """Let the agents forget the ends of a job that are now stored."""
    ends, job.unacknowledged_ends = job.unacknowledged_ends, []
    send_acknowledgements(owner, ends)


def stop_run(owner, task, now):
    """Request the stop of a run; repeated until its end is reported."""
    name = RunName(task.job.id, task.step, task.index, task.run)
    owner.pending_stops[name] = (task.agent, task.job.shard, now)
    send_stop(owner, task.agent, task.job.shard, name)


def send_stop(owner, agent_id, shard_number, name):
    """Send a stop request for a run."""
    shard = owner.shards.get(shard_number)
    if shard is not None:
        message = StopRuns(shard_number, shard.epoch, [name])
        owner.commands.append(SendMessage(agent_id, message))


def release_capacity(owner, view, task):
    """Release the capacity of a task's run and offer it to waiting tasks."""
    workers.release_capacity(view, task)
    owner.placement_events.capacity_freed(view.id)


def granted_shards(owner, now, view=None):
    """Return the shards that may be granted to an agent, as ShardEpoch.

    Shards of durable jobs are granted only if the store has confirmed the ownership
    since the agent process first connected. Otherwise a restarted agent, which does
    not know a later owner, would accept a previous one that cannot reach the store.
    """
    confirmed_after = now - owner.times.unconfirmed_grants_s
    if view is not None:
        confirmed_after = max(confirmed_after, view.boot_at)
    return [
        ShardEpoch(shard.number, shard.epoch)
        for shard in owner.shards.values()
        if shard.confirmed_at >= confirmed_after or not shard.is_durable
    ]


def pending_by_queue(owner):
    """Return the number of accepted jobs without a started task by queue."""
    pending = {}
    for shard in owner.shards.values():
        for job in shard.jobs.values():
            if job.is_stored and job.is_pending and job.state is JobState.ACTIVE:
                queue = job.record.queue
                pending[queue] = pending.get(queue, 0) + 1
    return pending


def count_failure(task, run):
    """Count a failed run of a task; return whether it was not counted before."""
    failed = FailedRun(task.step, task.index, run)
    if failed in task.job.record.failed_runs:
        return False
    task.job.record.failed_runs.append(failed)
    task.failures += 1
    return True


def record_progress(job):
    """Update the record with the tasks that have ended."""
    job.record.done = [
        [task.index for task in step if task.status is TaskStatus.DONE]
        for step in job.tasks
    ]
