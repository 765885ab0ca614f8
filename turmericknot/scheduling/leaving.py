"""The agent's part when its worker leaves at short notice.

This handles workers that leave together within two seconds, while they run tasks of
about that length: without notice, their owners start such a task elsewhere only after
it has run in vain until the worker leaves.
"""

from dataclasses import dataclass

from turmericknot.wire.shard_messages import LeavingRun, WorkerLeaving

from .worker_runs import log
from .worker_starts import expected_remaining_s
from .worker_types import SendToOwner

# Time for the end of a run to be listed and reported before the worker leaves.
END_MARGIN_S = 0.1
# Owners are told again when the time at which the worker leaves changes by this much.
SIGNIFICANT_CHANGE_S = 0.3
MIN_NOTICE_INTERVAL_S = 0.3


@dataclass(slots=True)
class LeaveNotice:
    """What the owner behind a stream was last told."""

    life: str
    leaves_at: float
    names: set
    sent_at: float


def runs_at_risk(state, now):
    """Return (run, expected remaining seconds) of runs that may not end in time.

    Runs that are queued, being stopped, or without an owner are left out.
    """
    time_left_s = state.life.leaves_at - now
    at_risk = []
    for run in state.runs.values():
        if run.pending_start is not None or run.is_stopping or run.is_lapsed:
            continue
        remaining_s = expected_remaining_s(run, now)
        if run.shard is not None and remaining_s + END_MARGIN_S > time_left_s:
            at_risk.append((run, remaining_s))
    return at_risk


def report_runs_at_risk(state, now):
    """Tell each owner which of its runs may not end before the worker leaves.

    An owner is told at once, and again when the time left changes or another of its
    runs turns out too slow.
    """
    life = state.life
    if life is None or life.leaves_at is None:
        state.leave_notices.clear()
        return
    rows_by_stream = {}
    for run, remaining_s in runs_at_risk(state, now):
        shard_grant = state.shards.get(run.shard)
        if shard_grant is not None and shard_grant.stream is not None:
            rows = rows_by_stream.setdefault(shard_grant.stream, [])
            rows.append(LeavingRun(run.name, round(remaining_s, 3)))
    for stream, notice in state.leave_notices.items():
        if notice.names:
            rows_by_stream.setdefault(stream, [])
    for stream, rows in rows_by_stream.items():
        names = {row.name for row in rows}
        if not _is_notice_due(state, stream, names, now):
            continue
        state.leave_notices[stream] = LeaveNotice(life.key, life.leaves_at, names, now)
        time_left_s = round(max(0.0, life.leaves_at - now), 3)
        message = WorkerLeaving(life.key, time_left_s, rows)
        state.commands.append(SendToOwner(stream, message))
        log(state, "worker.leaving", life=life.key, left=time_left_s, runs=len(rows))


def _is_notice_due(state, stream, names, now):
    notice = state.leave_notices.get(stream)
    if notice is None or notice.life != state.life.key:
        return bool(names)
    if now - notice.sent_at < MIN_NOTICE_INTERVAL_S:
        return False
    change_s = abs(state.life.leaves_at - notice.leaves_at)
    return change_s > SIGNIFICANT_CHANGE_S or not names <= notice.names
