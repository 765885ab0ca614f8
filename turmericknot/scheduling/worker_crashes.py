"""What the agent observes and reports when its worker crashes.

A task may crash each worker that starts it. No single owner can tell: a best-effort job
is submitted again to another entry, and the shard of a durable job may have a new owner
after each crash. Every entry therefore learns from the agent which tasks had a run on
the worker, and which of these had just started.
"""

import msgspec

from turmericknot.wire.shard_messages import CrashedTask, WorkerCrashed

from .worker_types import AgentLogLine, SendToEntries

# A task that crashes its worker does so when it starts. A run that has been at work for
# this long while the worker still answered is no suspect.
SUSPECT_AGE_S = 0.1
# Crashes are reported to entries that connect within this time.
CRASH_RETENTION_S = 60.0
MAX_RECENT_CRASHES = 16
# Tasks in one report; a worker of the users has 64 connections.
MAX_REPORTED_TASKS = 200
# Runs in one log line.
MAX_LOGGED_RUNS = 40


def worker_unreachable(state, now, is_silent=False):
    """Handle a connection that the worker, on the same VM, did not accept.

    The process has crashed, is just starting, or is cut off. Until it answers, nothing
    starts there: a worker without runs would look like the best choice to every owner.
    A worker that was about to leave has left, so its tasks are not suspected.
    ``is_silent``: the connection was not refused either, so the worker may be cut off.
    Return whether to notify the owners.
    """
    if state.life is None:
        return False
    if not is_silent and state.gone_since is None:
        state.gone_since = now
    if state.unreachable_since is not None:
        return False
    state.unreachable_since = now
    _log(
        state,
        "worker.unreachable",
        life=state.life.key,
        runs=_describe_runs(_started_runs(state), now),
    )
    leaves_at = state.life.leaves_at
    if leaves_at is None or now < leaves_at:
        report_crash(state, now, is_confirmed=False)
    return True


def worker_answered(state, now):
    """Handle any answer of the worker; return whether to notify the owners."""
    state.answered_at = now
    if state.unreachable_since is None or state.life is None:
        return False
    seconds = now - state.unreachable_since
    state.unreachable_since = state.gone_since = None
    _log(state, "worker.reachable", life=state.life.key, seconds=round(seconds, 3))
    _withdraw_crash(state, now)
    return True


def is_suspect_on_probation(state, now):
    """Return whether a run that may crash the worker has started only just now."""
    return any(
        run.is_suspect
        and run.pending_start is None
        and now - run.start_sent_at < SUSPECT_AGE_S
        for run in state.runs.values()
    )


def report_crash(state, now, is_confirmed=True, next_id=""):
    """Report to all entries that the present incarnation of the worker has crashed.

    Must be called before its runs are reported as lost. ``is_confirmed``: a later
    incarnation, with the id ``next_id``, has reported.
    """
    runs = _started_runs(state)[:MAX_REPORTED_TASKS]
    if not runs:
        return
    suspects = _find_suspects(state, runs)
    rows = []
    for run in runs:
        # A start without an answer may have never arrived; a run that was being stopped
        # or had no lease any more may have ended before the crash.
        has_started = (
            run.is_confirmed
            and not _was_stopping(state, run)
            and not _may_have_lapsed(state, run, now)
            and not _may_be_at_next_process(state, run, next_id)
        )
        name = run.name
        rows.append(
            CrashedTask(
                name.job,
                name.step,
                name.index,
                run in suspects,
                has_started,
                run.queue,
                _has_survived_start(state, run),
            )
        )
    _report(state, WorkerCrashed(state.life.key, rows, is_confirmed), now)
    _log(
        state,
        "worker.crashed",
        life=state.life.key,
        confirmed=is_confirmed,
        runs=len(runs),
        suspects=_describe_runs(suspects, now),
    )


def _was_stopping(state, run):
    """Return whether the run was being stopped when the worker was last reachable."""
    return run.is_stopping and (
        state.unreachable_since is None
        or run.first_stop_sent_at < state.unreachable_since
    )


def _may_have_lapsed(state, run, now):
    """Return whether the lease may have ended the run before the crash.

    A worker that is cut off gets no lease. When its process ended is only known from a
    refused connection; else it may have been just now. A task that crashes its worker
    does so at its start, long before.
    """
    crashed_at = now if state.gone_since is None else state.gone_since
    has_lease_ended = crashed_at > state.answered_lease_ends_at
    return has_lease_ended and _has_survived_start(state, run)


def _may_be_at_next_process(state, run, next_id):
    """Return whether the worker's next process may have answered the start of a run.

    It has the id that the call was meant for, no list has shown the run, and no
    connection was refused since the last answer: after one, nothing starts.
    """
    return (
        next_id == state.life.id
        and not run.is_listed
        and state.unreachable_since is None
    )


def _withdraw_crash(state, now):
    """Clear all tasks of a crash that has not happened: the worker was cut off."""
    _, crash = state.recent_crashes.get(state.life.key, (0.0, None))
    if crash is None:
        return
    withdrawal = msgspec.structs.replace(crash, is_withdrawn=True)
    _report(state, withdrawal, now)


def _report(state, message, now):
    state.recent_crashes[message.life] = (now, message)
    if len(state.recent_crashes) > MAX_RECENT_CRASHES:
        state.recent_crashes.popitem(last=False)
    state.commands.append(SendToEntries(message))


def recent_crash_reports(state, now):
    """Return the WorkerCrashed messages for an entry that has just connected."""
    return [
        msgspec.structs.replace(message, age_s=now - reported_at)
        for reported_at, message in state.recent_crashes.values()
        if now - reported_at <= CRASH_RETENTION_S
    ]


def _started_runs(state):
    """Return the runs that the worker has or may have, the newest first."""
    started = [run for run in state.runs.values() if run.pending_start is None]
    started.sort(key=lambda run: -run.start_sent_at)
    return started


def _find_suspects(state, runs):
    """Return the runs that may have crashed the worker.

    The worker was alive when it last answered; runs that were older than
    ``SUSPECT_AGE_S`` then are innocent, unless there are no others. A task that may
    have crashed a worker before is the only suspect, if it has certainly started.
    """
    recent = [run for run in runs if not _has_survived_start(state, run)]
    known_suspects = [run for run in recent if run.is_suspect and run.is_confirmed]
    return known_suspects or recent or runs


def _has_survived_start(state, run):
    """Return whether the worker answered after a task would have crashed it."""
    return run.start_sent_at < state.answered_at - SUSPECT_AGE_S


def _describe_runs(runs, now):
    """Return ``job/step.index:run@age`` of the runs.

    The age is the time since the start call, in milliseconds.
    """
    return ",".join(
        f"{run.name.job}/{run.name.step}.{run.name.index}:{run.name.run}"
        f"@{round((now - run.start_sent_at) * 1000)}"
        for run in runs[:MAX_LOGGED_RUNS]
    )


def _log(state, event, **fields):
    state.commands.append(AgentLogLine(event, fields))
