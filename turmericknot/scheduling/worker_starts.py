"""Requests of owners to start and stop runs, and the queue of runs at the agent."""

import math

from turmericknot.wire.shard_messages import EndedRun, RefusedRun, RunName, RunsRefused

from . import worker_health
from .evacuation import EVACUATED
from .jobs import RunEnd
from .worker_crashes import is_suspect_on_probation
from .worker_leases import has_valid_grant, lease_deadline_ms, may_start_runs
from .worker_runs import raise_fence, remember_refusal, report_end, send, stop_run
from .worker_types import Run, SendToOwner, StartCall

MAX_QUEUED_RUNS = 16  # runs that may wait for capacity
# How long a queued run waits for the answer to a grant request. The owner gives the run
# up after about the same time.
GRANT_WAIT_S = 0.3
# Limits of the wait for the answer to a start. The worker, on the same VM, answers
# within milliseconds; an agent that is short of processor time needs some more.
MIN_START_ANSWER_S = 0.03
MAX_START_ANSWER_S = 0.2
MIN_PROGRESS_PERCENT = 5  # less progress predicts the end of a run poorly


def start_runs(state, stream, request, now):
    """Queue or refuse the requested runs; return whether any was refused.

    Runs without a valid grant are queued as well: ``needs_grant`` then tells that a
    grant must be requested at once.
    """
    refused = []
    shard_grant = state.shards.get(request.shard)
    for start in worker_health.probe_order(state, request.runs):
        name = RunName(start.job, start.step, start.index, start.run)
        reason = _refusal_reason(state, shard_grant, stream, request, start, now)
        if not reason and name not in state.runs:
            reason = worker_health.gate_reason(state, now)
        if reason:
            refused.append(RefusedRun(name, reason))
            continue
        if name in state.runs:
            continue
        run = Run(name, request.shard, start.cpu, start.memory, start.accelerators)
        run.pending_start = start
        run.queued_at = now
        run.due_at = now + start.due_in_s
        run.expected = start.expected
        run.is_suspect = start.is_suspect
        run.queue = start.queue
        run.failures = start.failures
        if expected_wait_s(state, run, now) > start.max_queue_wait_s:
            refused.append(RefusedRun(name, "room"))
            continue
        state.runs[name] = run
    if refused:
        message = RunsRefused(request.shard, refused)
        state.commands.append(SendToOwner(stream, message))
    start_queued_runs(state, now)
    return bool(refused)


def start_queued_runs(state, now):
    """Start queued runs for which the worker has capacity, the most urgent first.

    Several owners may fill a worker at the same moment, so capacity that becomes free
    is used at once, by the most urgent run. Free capacity that is too small for that
    run is reserved until more becomes free; otherwise smaller runs of a lower priority
    would starve it. Nothing starts beside a suspect until it has survived its start.
    """
    queued = [run for run in state.runs.values() if run.pending_start is not None]
    queued.sort(key=lambda run: (run.pending_start.priority, run.due_at))
    waiting_priority = math.inf  # of the most urgent run without capacity
    is_guarded = is_suspect_on_probation(state, now)
    is_suspended = worker_health.is_suspended(state, now)
    for run in queued:
        reason = _unusable_reason(state, is_suspended)
        if reason:
            start_refused(state, run.name, reason)
            continue
        if not may_start_runs(state, run.shard, now):
            if now - run.queued_at > GRANT_WAIT_S:
                start_refused(state, run.name, "no_grant")
            run.has_waited_for_grant = True
            continue
        if run.has_waited_for_grant:
            run.has_waited_for_grant = False
            run.queued_at = now
        if (
            not is_guarded
            and run.pending_start.priority <= waiting_priority
            and _has_capacity(state, run)
        ):
            _request_start(state, run, now)
            is_guarded = run.is_suspect
        elif now - run.queued_at > run.pending_start.max_queue_wait_s:
            start_refused(state, run.name, "room")
        else:
            waiting_priority = min(waiting_priority, run.pending_start.priority)


def _unusable_reason(state, is_suspended):
    """Return why no queued run may start on the worker, or an empty string."""
    if state.evacuation.is_evacuated:
        return EVACUATED
    if not is_worker_usable(state):
        return "no_worker"
    return "suspended" if is_suspended else ""


def needs_grant(state, stream, now):
    """Return whether a queued run of the entry on this stream waits for a grant."""
    return any(
        run.pending_start is not None
        and not may_start_runs(state, run.shard, now)
        and run.shard in state.shards
        and state.shards[run.shard].stream == stream
        for run in state.runs.values()
    )


def may_send_start(state, call, now):
    """Return whether a start may still be sent to the worker.

    The process may have been paused, or a connection may have taken long to open, since
    the start was decided. The owner may have started the task elsewhere by then, or the
    worker may have said that it leaves, or its failure domain may be evacuated.
    """
    run = state.runs.get(call.name)
    return (
        run is not None
        and state.life.usable
        and has_valid_grant(state, run.shard, now)
        and not state.evacuation.is_evacuated
    )


def expected_wait_s(state, run, now):
    """Return the seconds until the worker should have capacity for a queued run.

    At peak load, an owner then tries another worker at once, instead of queueing a run
    at a worker that is full of long runs. The result is infinite if the run needs more
    processors than the worker has.
    """
    free_cpu = state.life.cpu - run.cpu
    remaining = []  # of the runs that are served before this one
    for other in state.runs.values():
        if (
            other.pending_start is None
            or other.pending_start.priority <= run.pending_start.priority
        ):
            free_cpu -= other.cpu
            remaining.append((expected_remaining_s(other, now), other.cpu))
    if free_cpu >= 0:
        return 0.0
    for seconds, cpu in sorted(remaining):
        free_cpu += cpu
        if free_cpu >= 0:
            return seconds
    return math.inf


def expected_remaining_s(run, now):
    """Return the expected remaining seconds of a run, from its progress."""
    if run.percent >= MIN_PROGRESS_PERCENT:
        elapsed = run.progressed_at - run.confirmed_at
        ends_at = run.progressed_at + elapsed * (100 - run.percent) / run.percent
    elif run.confirmed_at:
        ends_at = run.confirmed_at + run.expected
    else:
        ends_at = now + run.expected
    return max(0.0, ends_at - now)


def is_worker_usable(state):
    """Return whether the worker, of which a life is known, may get new runs."""
    return (
        state.life.usable
        and not state.is_shutting_down
        and not state.is_outdated
        and state.unreachable_since is None
    )


def _has_capacity(state, run):
    cpu, memory, accelerators = run.cpu, run.memory, run.accelerators
    for other in state.runs.values():
        if other.pending_start is None:
            cpu += other.cpu
            memory += other.memory
            accelerators += other.accelerators
    life = state.life
    return (
        cpu <= life.cpu and memory <= life.memory and accelerators <= life.accelerators
    )


def _request_start(state, run, now):
    spec, run.pending_start = run.pending_start.spec, None
    run.fence = state.fence
    run.start_sent_at = now
    deadline_ms = lease_deadline_ms(state, now)
    if deadline_ms is None:
        start_refused(state, run.name, "no_lease")
        return
    timeout_s = start_answer_timeout_s(run, now)
    state.commands.append(
        StartCall(run.name, spec, state.fence, deadline_ms, state.life, timeout_s)
    )


def start_answer_timeout_s(run, now):
    """Return how long to wait for the answer to a start.

    When workers leave a few starts in a hundred unanswered, a wide job nearly always
    has one of them. An urgent task can still be answered in time if it starts
    elsewhere within half of its slack, so the call is given up by then. Giving up too
    early costs one renewal, which shows whether the worker has the run.
    """
    slack_s = run.due_at - run.expected - now
    return min(max(slack_s / 2, MIN_START_ANSWER_S), MAX_START_ANSWER_S)


def _refusal_reason(state, shard_grant, stream, request, start, now):
    """Return why a run cannot start here, or an empty string."""
    if (
        shard_grant is None
        or shard_grant.epoch != request.epoch
        or shard_grant.stream != stream
    ):
        return "fenced"
    if state.evacuation.is_evacuated:
        state.evacuation.refused_starts += 1
        return EVACUATED
    life = state.life
    if life is None or life.key != request.life or not is_worker_usable(state):
        return "no_worker"
    queued = sum(1 for run in state.runs.values() if run.pending_start is not None)
    return "room" if queued >= MAX_QUEUED_RUNS else ""


def start_confirmed(state, name, now):
    """Record that the worker has the run."""
    run = state.runs.get(name)
    if run is not None and not run.is_confirmed:
        run.is_confirmed = True
        run.is_start_unanswered = False
        run.confirmed_at = now
        run.progressed_at = now


def start_refused(state, name, reason):
    """Remove a run that the worker did not start, and notify its owner."""
    run = state.runs.pop(name, None)
    if run is not None:
        if run.pending_start is None:
            remember_refusal(state, name, reason)
        if state.evacuation.is_evacuated and reason in ("no_grant", EVACUATED):
            reason = EVACUATED  # also of a call that was not sent for this
            state.evacuation.refused_starts += 1
        send(state, run.shard, RunsRefused(run.shard, [RefusedRun(name, reason)]))


def start_unanswered(state, name, now):
    """Mark a run whose start got no response, until the next renewal settles it.

    The raised fence prevents the start from being carried out after that renewal.
    """
    run = state.runs.get(name)
    if run is not None and not run.is_confirmed:
        run.is_start_unanswered = True
        if run.fence == state.fence:
            raise_fence(state, now)


def stop_runs(state, stream, request, now):
    """Stop runs at the owner's request.

    Until the runs of earlier agent processes are known, a run that is not known may be
    at work; its owner repeats the request.
    """
    shard_grant = state.shards.get(request.shard)
    if (
        shard_grant is None
        or shard_grant.epoch != request.epoch
        or shard_grant.stream != stream
    ):
        return
    for name in request.runs:
        run = state.runs.get(name)
        if run is not None and run.pending_start is not None:
            del state.runs[name]
            report_end(state, request.shard, EndedRun(name, 0, RunEnd.STOPPED))
            continue
        if run is not None:
            stop_run(state, run, now)
            continue
        end = next((end for _, end in state.ends.values() if end.name == name), None)
        if end is not None:
            report_end(state, request.shard, end)
        elif state.is_synced:
            report_end(state, request.shard, EndedRun(name, 0, RunEnd.STOPPED))
