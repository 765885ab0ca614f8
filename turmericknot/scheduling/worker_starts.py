"""Orders of owners to start and stop runs, and the room for them."""

import math

from turmericknot.wire.shard_messages import EndedRun, RefusedRun, RunName, RunsRefused

from .jobs import RunEnd
from .worker_leases import STOP_LEAD_S, lease_deadline_ms
from .worker_runs import bump_fence, report_end, send, stop_run
from .worker_types import Run, SendToOwner, StartCall

MAX_QUEUED = 16  # runs that may wait for room
TELLING_PERCENT = 5  # of progress: less says little about the end of a run


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
        run.due_at = now + start.due_in_s
        run.expected = start.expected
        if expected_wait(state, run, now) > start.max_queue_wait_s:
            refused.append(RefusedRun(name, "room"))
            continue
        state.runs[name] = run
    if refused:
        message = RunsRefused(order.shard, refused)
        state.commands.append(SendToOwner(stream, message))
    start_queued(state, now)
    return bool(refused)


def start_queued(state, now):
    """Start the runs that wait for room, the most urgent first.

    Answers a worker that several owners fill at the same moment: room that becomes
    free is used at once, and by the most urgent run. Room that is too small for it is
    kept until more becomes free; smaller runs of a lower priority would use it up for
    ever.
    """
    queued = [run for run in state.runs.values() if run.order is not None]
    queued.sort(key=lambda run: (run.order.priority, run.due_at))
    waiting_priority = math.inf  # of the most urgent run that does not fit
    for run in queued:
        known = state.shards.get(run.shard)
        if known is None or now >= known.expires_at - STOP_LEAD_S:
            start_refused(state, run.name, "no_grant")
        elif not state.life.usable or state.is_leaving or state.is_outdated:
            start_refused(state, run.name, "no_worker")
        elif run.order.priority <= waiting_priority and _has_room(state, run):
            _call_start(state, run, now)
        elif now - run.queued_at > run.order.max_queue_wait_s:
            start_refused(state, run.name, "room")
        else:
            waiting_priority = min(waiting_priority, run.order.priority)


def expected_wait(state, run, now):
    """Return the seconds until there should be room for a run that has not begun.

    Answers the crest of a load: an owner tries another worker at once, instead of
    waiting at one that is full of long runs. Infinite: more runs wait than may.
    """
    room = state.life.cpu - run.cpu
    remaining = []  # of the runs that are served before this one
    for other in state.runs.values():
        if other.order is None or other.order.priority <= run.order.priority:
            room -= other.cpu
            remaining.append((_remaining_s(other, now), other.cpu))
    if room >= 0:
        return 0.0
    for seconds, cpu in sorted(remaining):
        room += cpu
        if room >= 0:
            return seconds
    return math.inf


def _remaining_s(run, now):
    """Return the seconds that a run should still take, from its progress."""
    if run.percent >= TELLING_PERCENT:
        elapsed = run.progressed_at - run.confirmed_at
        ends_at = run.progressed_at + elapsed * (100 - run.percent) / run.percent
    elif run.confirmed_at:
        ends_at = run.confirmed_at + run.expected
    else:
        ends_at = now + run.expected
    return max(0.0, ends_at - now)


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
    if life is None or life.key != order.life or not life.usable:
        return "no_worker"
    if state.is_leaving or state.is_outdated:
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
        send(state, run.shard, RunsRefused(run.shard, [RefusedRun(name, reason)]))


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
            report_end(state, order.shard, EndedRun(name, 0, RunEnd.STOPPED))
            continue
        if run is not None:
            stop_run(state, run, now)
            continue
        end = next((end for _, end in state.ends.values() if end.name == name), None)
        report_end(state, order.shard, end or EndedRun(name, 0, RunEnd.STOPPED))


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
