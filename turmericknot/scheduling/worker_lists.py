"""Looks at the worker: what it runs, and what has ended."""

from turmericknot.wire.shard_messages import EndedRun

from .jobs import RunEnd
from .worker_leases import check_grants, lease_deadline_ms, runs_known
from .worker_pace import check_progress
from .worker_runs import FENCE_STEP, former_shard, log, report_end, stop_run
from .worker_starts import start_confirmed, start_queued_runs, start_refused
from .worker_types import HoldCall, Run

# The stop of a run that no owner knows is sent again after this time.
RESEND_STOP_S = 0.3


def next_hold_call(state, now):
    """Return the HoldCall to make now, or None without a worker."""
    if state.life is None:
        return None
    check_grants(state, now)
    deadline_ms = lease_deadline_ms(state, now)
    # A number that the worker has heard is not sent again: a life that has begun
    # under the same id would forget ends of its own.
    is_news = state.last_seen > state.forgotten_to and not state.is_outdated
    last_seen = state.last_seen if is_news else 0
    return HoldCall(state.fence, last_seen, deadline_ms, state.life, now)


def hold_answered(state, call, result, now):
    """Take the lists of runs and ends of the worker."""
    if state.life is None or call.life.key != state.life.key:
        return
    if result.born is not None and result.born != state.life.born:
        _note_restart(state, result.born)
        return
    state.fence_step = FENCE_STEP
    state.forgotten_to = max(state.forgotten_to, call.last_seen)
    state.life.clock = result.clock_ms / 1000
    state.life.clock_at = now
    present = {}
    for row in result.running:
        present[row.name] = row
        if row.name not in state.runs:
            _take_unknown_run(state, row.name, now)
        start_confirmed(state, row.name, now)
        state.runs[row.name].is_listed = True
        _stop_found_again(state, state.runs[row.name], now)
        check_progress(state, state.runs[row.name], row.percent, now)
    for row in result.ended:
        _take_end(state, row, now)
    for name, run in list(state.runs.items()):
        if name not in present:
            _check_absent(state, run, call)
    if not state.is_synced and not present:
        runs_known(state)
    start_queued_runs(state, now)


def _note_restart(state, born):
    """Use the worker no more until its report tells of the life that has begun."""
    if born > state.life.born and not state.is_outdated:
        state.is_outdated = True
        log(state, "worker.outdated", life=state.life.key, born=born)


def _take_unknown_run(state, name, now):
    """Stop a run that a former process of this agent has started, or a late one.

    Until all of the former ones have ended, the agent does not offer its worker.
    """
    shard = former_shard(state, name.job)
    run = Run(name, shard, is_confirmed=True, confirmed_at=now, is_found=True)
    state.runs[name] = run
    log(state, "run.found", job=name.job, run=name.run)
    stop_run(state, run, now)


def _stop_found_again(state, run, now):
    """Repeat a stop that no owner repeats."""
    if run.is_found and now - run.stop_sent_at > RESEND_STOP_S:
        stop_run(state, run, now)


def _take_end(state, row, now):
    if row.number <= state.last_listed_end:
        return
    state.last_listed_end = row.number
    run = state.runs.pop(row.name, None)
    run_ms = 0.0
    if run is not None and run.confirmed_at:
        run_ms = (now - run.confirmed_at) * 1000
    how = row.how
    if run is not None and run.is_stuck and how is RunEnd.STOPPED:
        how = RunEnd.STUCK
    end = EndedRun(row.name, row.number, how, run_ms)
    is_found = run is None or run.is_found
    shard = former_shard(state, row.name.job) if is_found else run.shard
    if shard is not None:
        state.ends[row.number] = (shard, end)
        if is_found:
            state.found_ends.add(row.number)
    report_end(state, shard, end)


def _check_absent(state, run, call):
    """Decide on a run that the worker listed neither as running nor as ended."""
    if run.is_confirmed:
        if call.sent_at > run.confirmed_at:
            del state.runs[run.name]
            report_end(state, run.shard, EndedRun(run.name, 0, RunEnd.LOST))
    elif run.order is None and run.is_doubtful and call.fence > run.fence:
        start_refused(state, run.name, "answer_lost")
