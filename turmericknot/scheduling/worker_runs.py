"""An agent's decisions on the runs of its worker: grants, leases, starts and ends.

The worker's lease is never longer than the shortest grant among the owners whose
runs or unreported ends it carries. An owner that has not been able to renew its
grant therefore knows when its runs here are over, whatever the agent does.
"""

from dataclasses import dataclass, field

from turmericknot.core.ids import shard_of
from turmericknot.wire.shard_messages import (
    EndedRun,
    RefusedRun,
    RunName,
    RunProgress,
    RunsEnded,
    RunsProgress,
    RunsRefused,
    ShardInventory,
    WorkerReport,
)

from .jobs import RunEnd

# How long an agent acts on a grant, in seconds. The platform's clients hand a job in
# again 1.3 s after they lost its entry; all its runs must be over by then.
GRANT_S = 1.1
# A lease on the worker's clock may last 2% longer in true time.
WORKER_CLOCK_ERROR = 1.02
# Between the end of a lease and the moment from which it is taken as over.
LAPSE_MARGIN_S = 0.1
# Runs are stopped this long before the grant of their owner ends, so that the lease
# can go on for those of other owners.
STOP_LEAD_S = 0.3
# An owner whose grant ended this long ago is forgotten.
FORGET_S = 3.0
# The stop of a run that no owner knows is sent again after this time.
RESEND_STOP_S = 0.3
MAX_QUEUED = 16  # runs that may wait for room
# A run whose percentage does not change for this long stands still. A run of the
# longest tail on a worker several times too slow needs 0.7 s for one percent.
STUCK_S = 1.0
# A run is reported when it takes this many times as long as expected.
OVERDUE_FACTOR = 1.3
PROGRESS_INTERVAL_S = 0.4
# Runs that have gone at least this far tell the pace of the worker.
PACE_MIN_PERCENT = 3
PACE_MIN_RUNS = 3
PACE_MIN_S = 0.1  # of a run: before that a percent says little


@dataclass(slots=True)
class WorkerLife:
    """One start of the worker, as it reports itself.

    ``clock`` is the worker's clock in seconds at the agent's time ``clock_at``.
    """

    id: str
    born: int
    service: str
    usable: bool
    cpu: int
    memory: int
    accelerators: int
    labels: list
    clock: float
    clock_at: float
    sequence: int = 0

    @property
    def key(self):
        """Return what tells this life from the others."""
        return f"{self.id}@{self.born}"


@dataclass(slots=True)
class ShardGrant:
    """What the agent knows of the owner of a shard."""

    epoch: int
    stream: object
    expires_at: float = 0.0
    is_lapsed: bool = False  # the worker's lease ended after the grant did


@dataclass(slots=True)
class Run:
    """A run that the worker has, or may have.

    ``shard`` is None for a run that a former process of the agent started for a job
    that is not kept: nobody asks for its end.
    """

    name: RunName
    shard: int | None
    cpu: int = 0
    memory: int = 0
    accelerators: int = 0
    fence: int = 0
    is_confirmed: bool = False
    confirmed_at: float = 0.0
    is_doubtful: bool = False  # the answer to its start was lost
    is_stopping: bool = False
    stop_sent_at: float = 0.0
    is_found: bool = False  # a former process of the agent started it
    order: object = None  # the RunStart while the run waits for room
    queued_at: float = 0.0
    due_at: float = 0.0
    expected: float = 0.0  # seconds
    percent: int = 0
    progressed_at: float = 0.0  # when the percentage last changed
    is_stuck: bool = False


@dataclass(slots=True)
class StartCall:
    """Ask the worker to start a run; the deadline is on the worker's clock."""

    name: RunName
    spec: str
    fence: int
    deadline_ms: int
    life: WorkerLife


@dataclass(slots=True)
class StopCall:
    """Ask the worker to stop a run."""

    name: RunName
    fence: int
    life: WorkerLife


@dataclass(slots=True)
class HoldCall:
    """Ask the worker for its runs and renew its lease.

    ``deadline_ms`` is None to leave the lease as it is.
    """

    fence: int
    last_seen: int
    deadline_ms: int | None
    life: WorkerLife
    sent_at: float


@dataclass(slots=True)
class SendToOwner:
    """Send a message on the stream of an entry."""

    stream: object
    message: object


@dataclass(slots=True)
class LogRun:
    """Write a log line."""

    event: str
    fields: dict


@dataclass(slots=True)
class HeldRun:
    """One row of a worker's running list."""

    name: RunName
    percent: int


@dataclass(slots=True)
class HeldEnd:
    """One row of a worker's list of ends."""

    number: int
    name: RunName
    how: RunEnd


@dataclass(slots=True)
class HoldResult:
    """Answer of a worker to HoldCall; ``clock_ms`` is the worker's clock."""

    clock_ms: int
    born: int | None
    running: list = field(default_factory=list)
    ended: list = field(default_factory=list)


class WorkerRuns:
    """Runs, ends, grants and the fence of one worker."""

    __slots__ = (
        "shard_count",
        "grant_s",
        "hold_max_s",
        "life",
        "fence",
        "shards",
        "runs",
        "ends",
        "highest_end",
        "lease_until",
        "is_leaving",
        "is_synced",
        "synced_after",
        "found_ends",
        "former_shards",
        "commands",
    )

    def __init__(self, shard_count, grant_s, hold_max_s, now):
        self.shard_count = shard_count
        self.grant_s = grant_s
        self.hold_max_s = hold_max_s
        self.life = None
        self.fence = 0
        self.shards = {}
        self.runs = {}
        self.ends = {}  # number -> (shard, EndedRun), until it is noted
        self.highest_end = 0  # number of the last end that the worker listed
        self.lease_until = 0.0
        self.is_leaving = False
        # Whether all runs that a former process of the agent left have ended: the
        # worker lists none any more, or its lease has lapsed.
        self.is_synced = False
        self.synced_after = now + hold_max_s * WORKER_CLOCK_ERROR + LAPSE_MARGIN_S
        self.found_ends = set()  # numbers of ends of runs that were found
        # Shards of stored jobs of which former processes may have started runs here;
        # None until the store has told.
        self.former_shards = None
        self.commands = []

    @property
    def last_seen(self):
        """Return the number up to which the worker may forget its ends."""
        return min(self.ends) - 1 if self.ends else self.highest_end

    @property
    def asks_for_former_shards(self):
        """Return whether it matters whose runs a former process started."""
        if self.former_shards is not None:
            return False
        return bool(self.found_ends) or any(r.is_found for r in self.runs.values())

    def take_commands(self):
        """Return the commands decided since the last call."""
        commands, self.commands = self.commands, []
        return commands


def create_worker_runs(shard_count, grant_s, hold_max_s, now):
    """Return the state of an agent that has not heard of its worker."""
    return WorkerRuns(shard_count, grant_s, hold_max_s, now)


def worker_report(state):
    """Return the WorkerReport for the entries, or None without a worker."""
    life = state.life
    if life is None or not state.is_synced:
        return None
    usable = life.usable and not state.is_leaving
    return WorkerReport(
        life.key,
        life.service,
        usable,
        life.cpu,
        life.memory,
        life.accelerators,
        life.labels,
    )


def worker_reported(state, life, now):
    """Take what the worker says of itself; return whether owners must hear it."""
    former = state.life
    if former is not None and former.key == life.key:
        if life.sequence <= former.sequence:
            return False
        changed = (former.usable, former.cpu, former.memory, former.labels) != (
            life.usable,
            life.cpu,
            life.memory,
            life.labels,
        )
        state.life = life
        return changed
    if former is not None and life.born < former.born:
        return False  # a late report of an earlier life
    _end_life(state, "worker restarted")
    state.life = life
    bump_fence(state, now)
    _log(state, "worker.started", life=life.key, service=life.service)
    return True


def worker_left(state, life_id, now):
    """Note that the worker has ended; return whether it was the present one."""
    if state.life is None or state.life.id != life_id:
        return False
    _end_life(state, "worker left")
    state.life = None
    return True


def _end_life(state, reason):
    """Report the runs of a life of the worker that is over."""
    if state.life is None:
        return
    _log(state, "worker.ended", life=state.life.key, reason=reason)
    for run in list(state.runs.values()):
        _report_end(state, run.shard, EndedRun(run.name, 0, RunEnd.LOST))
    state.runs.clear()
    state.ends.clear()
    state.found_ends.clear()
    state.highest_end = 0
    state.lease_until = 0.0


def bump_fence(state, now):
    """Raise the fence, so that no order sent before can be carried out."""
    state.fence = max(state.fence + 1, int(worker_clock(state, now) * 1000))


def worker_clock(state, now):
    """Return a time on the worker's clock that has certainly come, in seconds."""
    return state.life.clock + (now - state.life.clock_at)


def granted(state, stream, grant, sent_at, now):
    """Take the answer to a grant request that was sent at ``sent_at``.

    ``sent_at`` is None for an announcement, which extends nothing.
    """
    check_grants(state, now)
    for shard in grant.shards:
        known = state.shards.get(shard.shard)
        if known is not None and shard.epoch < known.epoch:
            continue
        if known is None:
            known = state.shards[shard.shard] = ShardGrant(shard.epoch, stream)
            _adopt(state, shard.shard, known)
        elif shard.epoch > known.epoch or known.stream != stream:
            known.epoch = shard.epoch
            known.stream = stream
            _adopt(state, shard.shard, known)
        if sent_at is not None:
            known.expires_at = max(known.expires_at, sent_at + state.grant_s)
            known.is_lapsed = False


def _adopt(state, number, known):
    """Tell a new owner, or one on a new stream, all runs and ends of its shard."""
    if not state.is_synced:
        return  # what the worker runs is not known: the lists follow
    _log(state, "owner.accepted", shard=number, epoch=known.epoch)
    ends = [end for shard, end in state.ends.values() if shard == number]
    if ends and state.life:
        message = RunsEnded(number, state.life.key, ends)
        state.commands.append(SendToOwner(known.stream, message))
    names = [run.name for run in state.runs.values() if run.shard == number]
    message = ShardInventory(number, known.epoch, names)
    state.commands.append(SendToOwner(known.stream, message))


def stream_closed(state, stream):
    """Forget the stream to an owner; its grant runs on until it expires."""
    for known in state.shards.values():
        if known.stream == stream:
            known.stream = None


def check_grants(state, now):
    """Stop the runs of owners whose grant runs out, and forget lost owners."""
    if now > state.synced_after and not state.lease_until:
        _former_lease_lapsed(state)
    lease_over = now > state.lease_until
    for number, known in list(state.shards.items()):
        if now < known.expires_at - STOP_LEAD_S or not known.expires_at:
            continue
        for run in state.runs.values():
            if run.shard == number and not run.is_stopping and run.order is None:
                _log(state, "run.grant_ends", job=run.name.job, shard=number)
                _stop(state, run, now)
        known.is_lapsed = lease_over and now >= known.expires_at
        if now > known.expires_at + FORGET_S and known.stream is None:
            _forget_owner(state, number)


def _former_lease_lapsed(state):
    """Go on without the owners of what a former process of the agent started.

    Its lease has lapsed and none has been given since. The ends listed before count
    as lost for good, so that noting them later cannot make a task's second run one
    that began after its end.
    """
    if not state.is_synced and state.life is None:
        _synced(state)
    for number in list(state.found_ends):
        shard, _ = state.ends.get(number, (None, None))
        if shard not in state.shards:
            _forget_found_end(state, number)


def _forget_found_end(state, number):
    state.found_ends.discard(number)
    state.ends.pop(number, None)


def former_shards_learned(state, shards):
    """Take the shards of stored jobs whose records name this agent.

    Answers the restart of all processes at once: what former entries started for jobs
    that are not kept has no owner any more, and must not hold up the lease until the
    shards of stored jobs have new owners.
    """
    state.former_shards = frozenset(shards)
    for run in state.runs.values():
        if run.is_found and run.shard not in state.former_shards:
            run.shard = None
    for number in list(state.found_ends):
        shard, _ = state.ends.get(number, (None, None))
        if shard not in state.former_shards:
            _forget_found_end(state, number)


def _forget_owner(state, number):
    """Note the ends of an owner that is gone, unless a successor will ask."""
    if number < state.shard_count:
        return
    del state.shards[number]
    numbers = [end for end, (shard, _) in state.ends.items() if shard == number]
    if numbers:
        note_ends(state, state.life.key, numbers)


def lease_deadline_ms(state, now):
    """Return the deadline for the worker's lease, or None to leave it alone."""
    shortest = now + state.hold_max_s
    is_needed = False
    for number in _holding_shards(state):
        known = state.shards.get(number)
        if known is not None and known.is_lapsed and now >= known.expires_at:
            continue
        expires_at = known.expires_at if known is not None else 0.0
        shortest = min(shortest, expires_at)
        is_needed = True
    if not is_needed or shortest <= now:
        return None
    # A run that lasts until the end of the lease is stopped within the margin.
    length = (shortest - now) / WORKER_CLOCK_ERROR
    state.lease_until = max(state.lease_until, shortest + LAPSE_MARGIN_S)
    return int((worker_clock(state, now) + length) * 1000)


def _holding_shards(state):
    """Return the shards with runs or with ends that are not noted."""
    held = {run.shard for run in state.runs.values() if run.order is None}
    held.discard(None)
    # Ends of jobs that are not kept need no lease: nobody asks for them twice.
    for shard, _ in state.ends.values():
        if shard < state.shard_count:
            held.add(shard)
    return held


def start_runs(state, stream, order, now):
    """Start the ordered runs, or refuse them; return whether any was refused."""
    refused = []
    known = state.shards.get(order.shard)
    for start in order.runs:
        name = RunName(start.job, start.step, start.index, start.run)
        reason = _refusal(state, known, stream, order, start, now)
        if reason:
            refused.append(RefusedRun(name, reason))
            continue
        if name in state.runs:
            continue
        run = Run(name, order.shard, start.cpu, start.memory, start.accelerators)
        run.order = start
        run.queued_at = now
        run.due_at = now + start.due_in
        run.expected = start.expected
        state.runs[name] = run
    if refused:
        message = RunsRefused(order.shard, refused)
        state.commands.append(SendToOwner(stream, message))
    start_queued(state, now)
    return bool(refused)


def start_queued(state, now):
    """Start the runs that wait for room, the most urgent first.

    Answers a worker that several owners fill at the same moment: room that becomes
    free is used at once, and by the most urgent run.
    """
    queued = [run for run in state.runs.values() if run.order is not None]
    queued.sort(key=lambda run: (run.order.priority, run.due_at))
    for run in queued:
        known = state.shards.get(run.shard)
        if known is None or now >= known.expires_at - STOP_LEAD_S:
            start_refused(state, run.name, "no_grant")
        elif not state.life.usable or state.is_leaving:
            start_refused(state, run.name, "no_worker")
        elif _has_room(state, run):
            _call_start(state, run, now)
        elif now - run.queued_at > run.order.patience:
            start_refused(state, run.name, "room")


def _has_room(state, run):
    cpu, memory, accelerators = run.cpu, run.memory, run.accelerators
    for other in state.runs.values():
        if other.order is None:
            cpu += other.cpu
            memory += other.memory
            accelerators += other.accelerators
    life = state.life
    return (
        cpu <= life.cpu and memory <= life.memory and accelerators <= life.accelerators
    )


def _call_start(state, run, now):
    spec, run.order = run.order.spec, None
    run.fence = state.fence
    deadline_ms = lease_deadline_ms(state, now)
    if deadline_ms is None:
        start_refused(state, run.name, "no_lease")
        return
    state.commands.append(
        StartCall(run.name, spec, state.fence, deadline_ms, state.life)
    )


def _refusal(state, known, stream, order, start, now):
    """Return why a run cannot start here, or an empty string."""
    if known is None or known.epoch != order.epoch or known.stream != stream:
        return "fenced"
    if now >= known.expires_at - STOP_LEAD_S:
        return "no_grant"
    life = state.life
    if life is None or life.key != order.life or not life.usable or state.is_leaving:
        return "no_worker"
    queued = sum(1 for run in state.runs.values() if run.order is not None)
    return "room" if queued >= MAX_QUEUED else ""


def start_confirmed(state, name, now):
    """Note that the worker has the run."""
    run = state.runs.get(name)
    if run is not None and not run.is_confirmed:
        run.is_confirmed = True
        run.confirmed_at = now
        run.progressed_at = now


def start_refused(state, name, reason):
    """Note that the worker did not start the run."""
    run = state.runs.pop(name, None)
    if run is not None:
        _send(state, run.shard, RunsRefused(run.shard, [RefusedRun(name, reason)]))


def start_unanswered(state, name, now):
    """Find out by the next look whether a start was carried out.

    The raised fence keeps the order from being carried out after that look.
    """
    run = state.runs.get(name)
    if run is not None and not run.is_confirmed:
        run.is_doubtful = True
        if run.fence == state.fence:
            bump_fence(state, now)


def stop_runs(state, stream, order, now):
    """Stop runs on the order of the owner."""
    known = state.shards.get(order.shard)
    if known is None or known.epoch != order.epoch or known.stream != stream:
        return
    for name in order.runs:
        run = state.runs.get(name)
        if run is not None and run.order is not None:
            del state.runs[name]
            _report_end(state, order.shard, EndedRun(name, 0, RunEnd.STOPPED))
            continue
        if run is not None:
            _stop(state, run, now)
            continue
        end = next((end for _, end in state.ends.values() if end.name == name), None)
        _report_end(state, order.shard, end or EndedRun(name, 0, RunEnd.STOPPED))


def _stop(state, run, now):
    run.is_stopping = True
    run.stop_sent_at = now
    state.commands.append(StopCall(run.name, state.fence, state.life))


def note_ends(state, life, numbers):
    """Let the worker forget ends; takes effect with the next look."""
    if state.life is None or state.life.key != life:
        return
    for number in numbers:
        state.ends.pop(number, None)
        state.found_ends.discard(number)


def next_hold(state, now):
    """Return the HoldCall to make now, or None without a worker."""
    if state.life is None:
        return None
    check_grants(state, now)
    deadline_ms = lease_deadline_ms(state, now)
    return HoldCall(state.fence, state.last_seen, deadline_ms, state.life, now)


def held(state, call, result, now):
    """Take the lists of runs and ends of the worker."""
    if state.life is None or call.life.key != state.life.key:
        return
    if result.born is not None and result.born != state.life.born:
        return  # the worker has restarted: its next report tells more
    state.life.clock = result.clock_ms / 1000
    state.life.clock_at = now
    present = {}
    for row in result.running:
        present[row.name] = row
        if row.name not in state.runs:
            _take_unknown_run(state, row.name, now)
        start_confirmed(state, row.name, now)
        _stop_found_again(state, state.runs[row.name], now)
        _check_progress(state, state.runs[row.name], row.percent, now)
    for row in result.ended:
        _take_end(state, row, now)
    for name, run in list(state.runs.items()):
        if name not in present:
            _check_absent(state, run, call)
    if not state.is_synced and not present:
        _synced(state)
    start_queued(state, now)


def _synced(state):
    """Tell the owners of all runs, now that they are known."""
    state.is_synced = True
    for number, known in state.shards.items():
        if known.stream is not None:
            _adopt(state, number, known)


def _take_unknown_run(state, name, now):
    """Stop a run that a former process of this agent has started, or a late one.

    Until all of the former ones have ended, the agent does not offer its worker.
    """
    shard = _former_shard(state, name.job)
    run = Run(name, shard, is_confirmed=True, confirmed_at=now, is_found=True)
    state.runs[name] = run
    _log(state, "run.found", job=name.job, run=name.run)
    _stop(state, run, now)


def _stop_found_again(state, run, now):
    """Repeat a stop that no owner repeats."""
    if run.is_found and now - run.stop_sent_at > RESEND_STOP_S:
        _stop(state, run, now)


def _check_progress(state, run, percent, now):
    """Stop a run that stands still: its worker would never end it.

    Answers workers on which tasks hang while their reports are good.
    """
    if percent != run.percent:
        run.percent = percent
        run.progressed_at = now
    elif now - run.progressed_at > STUCK_S and not run.is_stopping and percent < 100:
        run.is_stuck = True
        _log(state, "run.stuck", job=run.name.job, percent=percent)
        _stop(state, run, now)


def worker_pace(state, now):
    """Return the speed of the worker over the expected one, or 0 if unknown.

    It is the median over the runs: a task that is long by itself says nothing.
    """
    paces = []
    for run in state.runs.values():
        elapsed = now - run.confirmed_at
        if not run.is_confirmed or elapsed < PACE_MIN_S:
            continue
        if run.percent >= PACE_MIN_PERCENT:
            paces.append(run.expected * run.percent / 100 / elapsed)
    if len(paces) < PACE_MIN_RUNS:
        return 0.0
    return sorted(paces)[len(paces) // 2]


def report_progress(state, now):
    """Tell owners of runs that take longer than expected."""
    pace = worker_pace(state, now)
    overdue = {}
    for run in state.runs.values():
        if not run.is_confirmed or run.is_stopping or not run.expected:
            continue
        if now - run.confirmed_at > OVERDUE_FACTOR * run.expected:
            rows = overdue.setdefault(run.shard, [])
            rows.append(RunProgress(run.name, run.percent))
    for shard, rows in overdue.items():
        _send(state, shard, RunsProgress(shard, pace, rows))


def _take_end(state, row, now):
    if row.number <= state.highest_end:
        return
    state.highest_end = row.number
    run = state.runs.pop(row.name, None)
    run_ms = 0.0
    if run is not None and run.confirmed_at:
        run_ms = (now - run.confirmed_at) * 1000
    how = row.how
    if run is not None and run.is_stuck and how is RunEnd.STOPPED:
        how = RunEnd.STUCK
    end = EndedRun(row.name, row.number, how, run_ms)
    is_found = run is None or run.is_found
    shard = _former_shard(state, row.name.job) if is_found else run.shard
    if shard is not None:
        state.ends[row.number] = (shard, end)
        if is_found:
            state.found_ends.add(row.number)
    _report_end(state, shard, end)


def _check_absent(state, run, call):
    """Decide on a run that the worker listed neither as running nor as ended."""
    if run.is_confirmed:
        if call.sent_at > run.confirmed_at:
            del state.runs[run.name]
            _report_end(state, run.shard, EndedRun(run.name, 0, RunEnd.LOST))
    elif run.order is None and run.is_doubtful and call.fence > run.fence:
        start_refused(state, run.name, "answer_lost")


def foreign_use(state, stream):
    """Return (cpu, memory, accelerators) of the runs of other owners."""
    own = {number for number, known in state.shards.items() if known.stream == stream}
    cpu = memory = accelerators = 0
    for run in state.runs.values():
        if run.shard not in own:
            cpu += run.cpu
            memory += run.memory
            accelerators += run.accelerators
    return cpu, memory, accelerators


def _report_end(state, shard, end):
    _log(
        state,
        "run.ended",
        job=end.name.job,
        task=f"{end.name.step}.{end.name.index}",
        run=end.name.run,
        how=RunEnd(end.how).name.lower(),
        number=end.number,
    )
    _send(state, shard, RunsEnded(shard, state.life.key, [end]))


def _send(state, shard, message):
    known = state.shards.get(shard)
    if known is not None and known.stream is not None:
        state.commands.append(SendToOwner(known.stream, message))


def _former_shard(state, job_id):
    """Return the shard of a job that a former process of the agent served.

    None: the job is not kept, because the shard's records do not name this agent.
    """
    shard = shard_of(job_id, state.shard_count)
    if state.former_shards is None or shard in state.former_shards:
        return shard
    return None


def _log(state, event, **fields):
    state.commands.append(LogRun(event, fields))
