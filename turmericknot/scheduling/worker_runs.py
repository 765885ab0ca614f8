"""The agent's state of its worker: identity, fence, runs, and reports to owners.

The decisions on this state are in ``worker_leases``, ``worker_starts``,
``worker_lists`` and ``worker_pace``.
"""

from collections import OrderedDict

from turmericknot.core.ids import shard_of_job
from turmericknot.wire.shard_messages import EndedRun, RunsEnded, WorkerReport

from . import evacuation, worker_crashes
from .jobs import RunEnd
from .worker_types import AgentLogLine, SendToOwner, StopCall

# How long an agent acts on a grant. The platform's clients submit a job again 1.3 s
# after they lost its entry; all of its runs must have ended by then.
GRANT_S = 1.1
# Longest lease that is asked for. The grants of active owners, renewed every 0.25 s,
# outlast a lease of this length, which their runs need to start.
LEASE_S = 0.8
# A lease on the worker's clock may last 2% longer in real time.
WORKER_CLOCK_ERROR_FACTOR = 1.02
# Time after the end of a lease until it is treated as lapsed.
LEASE_LAPSE_MARGIN_S = 0.1
# First step above a refused fence, in milliseconds of the worker's clock.
FENCE_STEP_MS = 1000
# How long a recalled worker is used without a report. Workers report every 1.5 s, and
# a draining worker must get no runs from 2 s after it has reported that.
RECALLED_WORKER_TIMEOUT_S = 1.9
# Refused starts that are remembered, to notice a worker that began one all the same.
MAX_REFUSED_RUNS = 200
# Owners count the time down that a worker remains cold. They are told when its report
# differs from that by more than this.
COLD_STEP_S = 0.5


class WorkerRuns:
    """Runs, ends, grants and the fence of one worker."""

    __slots__ = (
        "shard_count",
        "grant_s",
        "lease_s",
        "life",
        "fence",
        "fence_step_ms",
        "shards",
        "runs",
        "ends",
        "last_listed_end",
        "lists_clock_ms",
        "lists_received_at",
        "last_forgotten_end",
        "lease_until",
        "is_shutting_down",
        "is_synced",
        "previous_lease_ends_at",
        "inherited_ends",
        "inherited_shards",
        "is_outdated",
        "has_report",
        "recalled_until",
        "unreachable_since",
        "gone_since",
        "answered_at",
        "recent_crashes",
        "refused_runs",
        "contradicted_refusals",
        "evacuation",
        "leave_notices",
        "health",
        "commands",
    )

    def __init__(self, shard_count, grant_s, max_lease_s, now):
        self.shard_count = shard_count
        self.grant_s = grant_s
        self.lease_s = min(LEASE_S, max_lease_s)
        self.life = None  # WorkerLife of the current incarnation of the worker
        self.fence = 0
        self.fence_step_ms = FENCE_STEP_MS
        self.shards = {}
        self.runs = {}
        self.ends = {}  # number -> (shard, EndedRun), until acknowledged
        self.last_listed_end = 0  # number of the last end the worker listed
        self.lists_clock_ms = 0  # worker's clock when it made the last lists
        self.lists_received_at = 0.0
        self.last_forgotten_end = 0  # number of the last end the worker dropped
        self.lease_until = 0.0
        self.is_shutting_down = False
        # Whether all runs of earlier agent processes have ended: the worker no longer
        # lists any of them, or its lease has lapsed.
        self.is_synced = False
        self.previous_lease_ends_at = (
            now + max_lease_s * WORKER_CLOCK_ERROR_FACTOR + LEASE_LAPSE_MARGIN_S
        )
        self.inherited_ends = set()  # numbers of ends of inherited runs
        # Shards of durable jobs of which earlier agent processes may have started runs
        # here; None until read from the store.
        self.inherited_shards = None
        self.is_outdated = False  # a later incarnation of the worker has answered
        self.has_report = False  # the worker has reported itself
        self.recalled_until = 0.0  # how long a recalled worker may be used
        # When the worker first did not accept a connection; None once it answers.
        self.unreachable_since = None
        # When a refused connection first showed that its process has ended.
        self.gone_since = None
        self.answered_at = now  # when the worker last answered a call
        self.recent_crashes = OrderedDict()  # life -> (time, WorkerCrashed)
        self.refused_runs = OrderedDict()  # RunName -> reason, the latest refused runs
        self.contradicted_refusals = 0  # refused runs that the worker has listed
        self.evacuation = evacuation.create_agent_evacuation()
        self.leave_notices = {}  # stream of an owner -> last LeaveNotice
        self.health = None  # WorkerHealth, if the agent judges its worker
        self.commands = []

    @property
    def first_durable_end(self):
        """Return the lowest number of an unacknowledged end that must not be lost.

        None if there is none. Ends of best-effort jobs are kept here until their owner
        has them; the worker need not list them again, because a job whose end is lost
        with this process may run again.
        """
        return min(
            (
                number
                for number, (shard, _) in self.ends.items()
                if shard < self.shard_count
            ),
            default=None,
        )

    @property
    def last_seen(self):
        """Return the number up to which the worker may forget its ends."""
        first = self.first_durable_end
        return self.last_listed_end if first is None else first - 1

    @property
    def answered_lease_ends_at(self):
        """Return when the lease of the worker's last answer has lapsed, at the latest.

        Calls without an answer may have prolonged it.
        """
        lease_s = self.lease_s * WORKER_CLOCK_ERROR_FACTOR
        return self.answered_at + lease_s + LEASE_LAPSE_MARGIN_S

    @property
    def has_unanswered_starts(self):
        """Return whether a renewal can settle starts whose answers were lost."""
        return not self.is_outdated and any(
            run.is_start_unanswered for run in self.runs.values()
        )

    @property
    def needs_inherited_shards(self):
        """Return whether the shards of earlier agent processes must be read.

        They tell which runs of an earlier process belong to durable jobs.
        """
        if self.inherited_shards is not None:
            return False
        return bool(self.inherited_ends) or any(
            r.is_inherited for r in self.runs.values()
        )

    def pop_commands(self):
        """Return the commands decided since the last call."""
        commands, self.commands = self.commands, []
        return commands


def create_worker_runs(shard_count, grant_s, max_lease_s, now):
    """Return the state of an agent that has not heard from its worker yet."""
    return WorkerRuns(shard_count, grant_s, max_lease_s, now)


def worker_report(state):
    """Return the WorkerReport for the entries, or None without a worker."""
    life = state.life
    if life is None or not state.is_synced:
        return None
    usable = (
        life.usable
        and not state.is_shutting_down
        and not state.is_outdated
        and state.unreachable_since is None
    )
    return WorkerReport(
        life.key,
        life.service,
        usable,
        life.cpu,
        life.memory,
        life.accelerators,
        life.labels,
        life.cold_s,
    )


def worker_recalled(state, life, now):
    """Use the worker as an earlier agent process knew it, until it reports itself.

    ``life`` holds the clock that the worker has just returned. Return whether it is
    used.

    Workers report only every 1.5 s, so after a restart of all processes, an agent that
    waited for the report would start its first runs that much later.
    """
    if state.has_report or state.life is not None:
        return False
    state.life = life
    state.recalled_until = now + RECALLED_WORKER_TIMEOUT_S
    raise_fence(state, now)
    log(state, "worker.recalled", life=life.key, service=life.service)
    return True


def expire_recalled_worker(state, now):
    """Stop using a recalled worker that has not reported in time.

    Return whether the worker was usable until now.
    """
    life = state.life
    if state.has_report or life is None or not life.usable:
        return False
    if now < state.recalled_until:
        return False
    life.usable = False
    log(state, "worker.silent", life=life.key)
    return True


def worker_reported(state, life, now):
    """Handle a report of the worker; return whether to notify the owners."""
    previous = state.life
    if previous is not None and previous.key == life.key:
        if life.sequence <= previous.sequence:
            return False
        state.has_report = True
        changed = _described_state(previous) != _described_state(life)
        changed |= abs(life.cold_s - _cold_s_at(previous, life.clock_at)) > COLD_STEP_S
        state.life = life
        return changed
    if previous is not None and life.born < previous.born:
        return False  # a delayed report of an earlier incarnation
    state.has_report = True
    if previous is not None and previous.usable:
        worker_crashes.report_crash(state, now, next_id=life.id)
    _end_life(state, "worker restarted", life.id)
    state.life = life
    raise_fence(state, now)
    log(state, "worker.started", life=life.key, service=life.service)
    return True


def _described_state(life):
    """Return what the owners are told about a worker."""
    return (life.usable, life.cpu, life.memory, life.accelerators, life.labels)


def _cold_s_at(life, now):
    return max(0.0, life.cold_s - (now - life.clock_at))


def worker_left(state, life_id, now):
    """Handle the exit of a worker; return whether it was the current one."""
    if state.life is None or state.life.id != life_id:
        return False
    state.has_report = True
    _end_life(state, "worker left", "")
    state.life = None
    return True


def _end_life(state, reason, next_id):
    """Report the runs of an ended incarnation of the worker as lost.

    A worker process that starts under the same id accepts calls meant for the previous
    one. A run that no list has shown yet may therefore exist in the new process; the
    next lease renewal shows it.
    """
    if state.life is None:
        return
    log(state, "worker.ended", life=state.life.key, reason=reason)
    for name, run in list(state.runs.items()):
        if run.is_lapsed:
            del state.runs[name]  # reported when the lease lapsed
            continue
        if next_id == state.life.id and run.pending_start is None and not run.is_listed:
            run.is_confirmed = False
            run.is_start_unanswered = True
            run.former_life = state.life.key
            run.fence = state.fence
            continue
        del state.runs[name]
        report_end(state, run.shard, EndedRun(name, 0, RunEnd.LOST))
    state.ends.clear()
    state.inherited_ends.clear()
    state.last_listed_end = 0
    state.lists_clock_ms = 0
    state.last_forgotten_end = 0
    state.is_outdated = False
    state.unreachable_since = None
    state.gone_since = None
    state.lease_until = 0.0


def raise_fence(state, now):
    """Raise the fence, so that no call that was sent before can be carried out.

    The fence follows the worker's clock, so a later agent process starts with a higher
    one although no fence is stored.
    """
    state.fence = max(state.fence + 1, int(worker_clock(state, now) * 1000))


def fence_refused(state, now):
    """Raise the fence above an unknown higher one that the worker has seen.

    A worker that has restarted under its id, and with it its clock, has seen a fence
    from its previous clock. The step doubles until a call is accepted.
    """
    raise_fence(state, now)
    state.fence += state.fence_step_ms
    state.fence_step_ms *= 2


def worker_clock(state, now):
    """Return a time in seconds that the worker's clock has certainly reached."""
    return state.life.clock + (now - state.life.clock_at)


def stop_run(state, run, now):
    """Add a command that stops a run on the worker."""
    if not run.is_stopping:
        run.is_stopping = True
        run.first_stop_sent_at = now
    run.stop_sent_at = now
    state.commands.append(StopCall(run.name, state.fence, state.life))


def report_end(state, shard, end):
    """Report the end of a run to the owner of the shard, and log it."""
    log(
        state,
        "run.ended",
        job=end.name.job,
        task=f"{end.name.step}.{end.name.index}",
        run=end.name.run,
        how=RunEnd(end.how).name.lower(),
        number=end.number,
        ran_ms=round(end.run_ms),
    )
    # Without a worker, the end has no number that could be acknowledged.
    life = state.life.key if state.life is not None else ""
    send(state, shard, RunsEnded(shard, life, [end]))


def send(state, shard, message):
    """Send a message to the owner of a shard, if the owner is connected."""
    shard_grant = state.shards.get(shard)
    if shard_grant is not None and shard_grant.stream is not None:
        state.commands.append(SendToOwner(shard_grant.stream, message))


def remember_refusal(state, name, reason):
    """Remember a run whose owner is told that it was refused."""
    state.refused_runs[name] = reason
    if len(state.refused_runs) > MAX_REFUSED_RUNS:
        state.refused_runs.popitem(last=False)


def check_refusal(state, name):
    """Log and count a listed run whose start was reported as refused."""
    reason = state.refused_runs.pop(name, None)
    if reason is None:
        return
    state.contradicted_refusals += 1
    log(
        state,
        "refusal.contradicted",
        job=name.job,
        task=f"{name.step}.{name.index}",
        run=name.run,
        reason=reason,
    )


def inherited_shard(state, job_id):
    """Return the shard of a job that an earlier agent process served.

    None means that the job is a best-effort job: the records of its shard do not name
    this agent.
    """
    shard = shard_of_job(job_id, state.shard_count)
    if state.inherited_shards is None or shard in state.inherited_shards:
        return shard
    return None


def log(state, event, **fields):
    """Add a command that writes a log line."""
    state.commands.append(AgentLogLine(event, fields))
