"""Lease renewals, which return the worker's lists of running and ended runs."""

from turmericknot.wire.shard_messages import EndedRun

from . import worker_health
from .jobs import RunEnd
from .leaving import report_runs_at_risk
from .worker_crashes import worker_answered
from .worker_leases import check_grants, lease_deadline_ms, mark_synced
from .worker_pace import check_progress, stop_companions
from .worker_runs import (
    FENCE_STEP_MS,
    check_refusal,
    inherited_shard,
    log,
    report_end,
    stop_run,
)
from .worker_starts import start_confirmed, start_queued_runs, start_refused
from .worker_types import LeaseRenewal, Run

# The stop of a run without an owner is repeated after this time.
STOP_RETRY_S = 0.3


def next_lease_renewal(state, now):
    """Return the LeaseRenewal to send now, or None without a worker."""
    if state.life is None:
        return None
    check_grants(state, now)
    previous_lease_until = state.lease_until
    # The clock of a later process of the worker is not known yet. A deadline on the
    # clock of the previous one would be cut to the longest lease, which may outlast
    # the grants of the owners.
    deadline_ms = None if state.is_outdated else lease_deadline_ms(state, now)
    # A number that the worker has received is not sent again: a new worker process
    # with the same id would drop ends of its own.
    is_new = state.last_seen > state.last_forgotten_end and not state.is_outdated
    last_seen = state.last_seen if is_new else 0
    return LeaseRenewal(
        state.fence,
        last_seen,
        deadline_ms,
        state.life,
        now,
        previous_lease_until,
        state.lease_until,
    )


def lease_renewal_not_sent(state, call):
    """Handle a renewal that has certainly not reached the worker.

    The lease ends as if it had not been attempted, unless another call extends it.
    """
    if state.lease_until == call.lease_until:
        state.lease_until = call.previous_lease_until


def lease_renewal_answered(state, call, result, now):
    """Handle the worker's lists of running and ended runs."""
    if state.life is None or call.life.key != state.life.key:
        return
    if result.born is not None and result.born != state.life.born:
        _mark_outdated(state, result.born)
        return
    worker_answered(state, now)
    if _is_overtaken(state, call, result):
        return
    state.lists_clock_ms = result.clock_ms
    state.lists_received_at = now
    state.fence_step_ms = FENCE_STEP_MS
    state.last_forgotten_end = max(state.last_forgotten_end, call.last_seen)
    state.life.clock = result.clock_ms / 1000
    state.life.clock_at = now
    listed_runs = {}
    for row in result.running:
        listed_runs[row.name] = row
        if row.name not in state.runs:
            _stop_unknown_run(state, row.name, now)
        start_confirmed(state, row.name, now)
        state.runs[row.name].is_listed = True
        _repeat_inherited_stop(state, state.runs[row.name], now)
        check_progress(state, state.runs[row.name], row.percent, now)
    stop_companions(state, now)
    for row in result.ended:
        _record_end(state, row, now)
    for name, run in list(state.runs.items()):
        if name not in listed_runs and not result.has_more_ends:
            _check_unlisted_run(state, run, call)
    if not state.is_synced and not listed_runs:
        mark_synced(state)
    start_queued_runs(state, now)
    report_runs_at_risk(state, now)


def _is_overtaken(state, call, result):
    """Return whether the lists are older than those of an overlapping renewal.

    They could contain runs whose ends have been handled already.
    """
    return (
        call.sent_at <= state.lists_received_at
        and result.clock_ms < state.lists_clock_ms
    )


def _mark_outdated(state, born):
    """Stop using the worker until the report of its new process arrives."""
    if born > state.life.born and not state.is_outdated:
        state.is_outdated = True
        log(state, "worker.outdated", life=state.life.key, born=born)


def _stop_unknown_run(state, name, now):
    """Stop a run that an earlier agent process started, or whose start was delayed.

    The agent does not offer its worker until all runs of earlier processes have ended.
    """
    shard = inherited_shard(state, name.job)
    run = Run(name, shard, is_confirmed=True, confirmed_at=now, is_inherited=True)
    state.runs[name] = run
    log(state, "run.found", job=name.job, run=name.run)
    check_refusal(state, name)
    stop_run(state, run, now)


def _repeat_inherited_stop(state, run, now):
    """Repeat the stop of an inherited run, which no owner repeats."""
    if run.is_inherited and now - run.stop_sent_at > STOP_RETRY_S:
        stop_run(state, run, now)


def _record_end(state, row, now):
    if row.number <= state.last_listed_end:
        return
    state.last_listed_end = row.number
    run = state.runs.pop(row.name, None)
    if run is None:
        check_refusal(state, row.name)
    run_ms = 0.0
    if run is not None and run.confirmed_at:
        run_ms = (now - run.confirmed_at) * 1000
    how = row.how
    if run is not None and run.is_stuck and how is RunEnd.STOPPED:
        how = RunEnd.STUCK
    if run is not None:
        worker_health.run_ended(state, run, how, run_ms / 1000, now)
    end = EndedRun(row.name, row.number, how, run_ms)
    is_inherited = run is None or run.is_inherited
    shard = inherited_shard(state, row.name.job) if is_inherited else run.shard
    if shard is not None:
        state.ends[row.number] = (shard, end)
        if is_inherited:
            state.inherited_ends.add(row.number)
    report_end(state, shard, end)


def _check_unlisted_run(state, run, call):
    """Decide about a run that the worker listed neither as running nor as ended."""
    if run.is_confirmed:
        if call.sent_at > run.confirmed_at:
            del state.runs[run.name]
            report_end(state, run.shard, EndedRun(run.name, 0, RunEnd.LOST))
    elif (
        run.pending_start is None and run.is_start_unanswered and call.fence > run.fence
    ):
        log(
            state,
            "run.not_listed",
            job=run.name.job,
            task=f"{run.name.step}.{run.name.index}",
            run=run.name.run,
            former_life=run.former_life,
        )
        if run.former_life:
            del state.runs[run.name]
            report_end(state, run.shard, EndedRun(run.name, 0, RunEnd.LOST))
        else:
            start_refused(state, run.name, "answer_lost")
