"""What an agent knows of its worker: the life, the fence, and how owners hear of ends.

The decisions on it lie in ``worker_leases``, ``worker_starts``, ``worker_lists`` and
``worker_pace``.
"""

from turmericknot.core.ids import shard_of_job
from turmericknot.wire.shard_messages import EndedRun, RunsEnded, WorkerReport

from .jobs import RunEnd
from .worker_types import LogRun, SendToOwner, StopCall

# How long an agent acts on a grant, in seconds. The platform's clients hand a job in
# again 1.3 s after they lost its entry; all its runs must be over by then.
GRANT_S = 1.1
# A lease on the worker's clock may last 2% longer in true time.
WORKER_CLOCK_ERROR = 1.02
# Between the end of a lease and the moment from which it is taken as over.
LAPSE_MARGIN_S = 0.1
# First step, in ms of the worker's clock, above a fence that was refused.
FENCE_STEP = 1000
# How long a worker that has not reported itself is taken as it last was. Reports come
# every 1.5 s; a worker that drains must get nothing 2 s after it has said so.
RECALL_S = 1.9


class WorkerRuns:
    """Runs, ends, grants and the fence of one worker."""

    __slots__ = (
        "shard_count",
        "grant_s",
        "hold_max_s",
        "life",
        "fence",
        "fence_step",
        "shards",
        "runs",
        "ends",
        "highest_end",
        "forgotten_to",
        "lease_until",
        "is_leaving",
        "is_synced",
        "synced_after",
        "found_ends",
        "former_shards",
        "is_outdated",
        "has_heard",
        "recalled_until",
        "commands",
    )

    def __init__(self, shard_count, grant_s, hold_max_s, now):
        self.shard_count = shard_count
        self.grant_s = grant_s
        self.hold_max_s = hold_max_s
        self.life = None
        self.fence = 0
        self.fence_step = FENCE_STEP
        self.shards = {}
        self.runs = {}
        self.ends = {}  # number -> (shard, EndedRun), until it is noted
        self.highest_end = 0  # number of the last end that the worker listed
        self.forgotten_to = 0  # number of the last end that the worker has forgotten
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
        self.is_outdated = False  # a later life of the worker has answered
        self.has_heard = False  # of the worker, by a report of its own
        self.recalled_until = 0.0  # how long a recalled worker is taken as it was
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
    usable = life.usable and not state.is_leaving and not state.is_outdated
    return WorkerReport(
        life.key,
        life.service,
        usable,
        life.cpu,
        life.memory,
        life.accelerators,
        life.labels,
    )


def worker_recalled(state, life, now):
    """Take what a former process knew of the worker, until it reports itself.

    ``life`` holds the clock that the worker has just told. Return whether it is used.

    Answers the restart of all processes at once: workers report themselves every
    1.5 s only, and what is known late starts late.
    """
    if state.has_heard or state.life is not None:
        return False
    state.life = life
    state.recalled_until = now + RECALL_S
    bump_fence(state, now)
    log(state, "worker.recalled", life=life.key, service=life.service)
    return True


def recall_ended(state, now):
    """Stop using a recalled worker that has not reported; return whether it was."""
    life = state.life
    if state.has_heard or life is None or not life.usable:
        return False
    if now < state.recalled_until:
        return False
    life.usable = False
    log(state, "worker.silent", life=life.key)
    return True


def worker_reported(state, life, now):
    """Take what the worker says of itself; return whether owners must hear it."""
    former = state.life
    if former is not None and former.key == life.key:
        if life.sequence <= former.sequence:
            return False
        state.has_heard = True
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
    state.has_heard = True
    _end_life(state, "worker restarted", life.id)
    state.life = life
    bump_fence(state, now)
    log(state, "worker.started", life=life.key, service=life.service)
    return True


def worker_left(state, life_id, now):
    """Note that the worker has ended; return whether it was the present one."""
    if state.life is None or state.life.id != life_id:
        return False
    state.has_heard = True
    _end_life(state, "worker left", "")
    state.life = None
    return True


def _end_life(state, reason, next_id):
    """Report the runs of a life of the worker that is over.

    A life that begins under the same id takes orders for the former one. A run that
    no list has shown yet may be there; the next look tells.
    """
    if state.life is None:
        return
    log(state, "worker.ended", life=state.life.key, reason=reason)
    for name, run in list(state.runs.items()):
        if next_id == state.life.id and run.order is None and not run.is_listed:
            run.is_confirmed = False
            run.is_doubtful = True
            run.fence = state.fence
            continue
        del state.runs[name]
        report_end(state, run.shard, EndedRun(name, 0, RunEnd.LOST))
    state.ends.clear()
    state.found_ends.clear()
    state.highest_end = 0
    state.forgotten_to = 0
    state.is_outdated = False
    state.lease_until = 0.0


def bump_fence(state, now):
    """Raise the fence, so that no order sent before can be carried out.

    The fence follows the worker's clock: that of a later process of the agent is
    higher without having been stored.
    """
    state.fence = max(state.fence + 1, int(worker_clock(state, now) * 1000))


def fence_refused(state, now):
    """Raise the fence above one that the worker has seen and does not tell.

    Answers a worker that has restarted under its id, and with it its clock: it has
    seen a fence from the clock of its former life. The steps double until it answers.
    """
    bump_fence(state, now)
    state.fence += state.fence_step
    state.fence_step *= 2


def worker_clock(state, now):
    """Return a time on the worker's clock that has certainly come, in seconds."""
    return state.life.clock + (now - state.life.clock_at)


def stop_run(state, run, now):
    """Order the worker to stop a run."""
    run.is_stopping = True
    run.stop_sent_at = now
    state.commands.append(StopCall(run.name, state.fence, state.life))


def report_end(state, shard, end):
    """Tell the owner of a shard of an end, and write a log line."""
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
    # Without a worker the end has no number that could be noted.
    life = state.life.key if state.life is not None else ""
    send(state, shard, RunsEnded(shard, life, [end]))


def send(state, shard, message):
    """Send a message to the owner of a shard, if it has a stream."""
    known = state.shards.get(shard)
    if known is not None and known.stream is not None:
        state.commands.append(SendToOwner(known.stream, message))


def former_shard(state, job_id):
    """Return the shard of a job that a former process of the agent served.

    None: the job is not kept, because the shard's records do not name this agent.
    """
    shard = shard_of_job(job_id, state.shard_count)
    if state.former_shards is None or shard in state.former_shards:
        return shard
    return None


def log(state, event, **fields):
    """Ask the shell for a log line."""
    state.commands.append(LogRun(event, fields))
