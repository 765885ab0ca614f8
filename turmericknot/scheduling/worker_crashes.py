"""What the agent observes when its worker crashes."""

from .worker_runs import log

# Runs in one log line.
MAX_LOGGED_RUNS = 40


def worker_unreachable(state, now):
    """Handle a connection that the worker, on the same VM, did not accept.

    Nothing listens at its address: the process has crashed, or is just starting.
    """
    if state.life is None or state.unreachable_since is not None:
        return
    state.unreachable_since = now
    log(
        state,
        "worker.unreachable",
        life=state.life.key,
        runs=_describe_runs(state.runs.values(), now),
    )


def worker_answered(state, now):
    """Handle any answer of the worker."""
    if state.unreachable_since is None:
        return
    seconds = now - state.unreachable_since
    state.unreachable_since = None
    life = state.life.key if state.life is not None else ""
    log(state, "worker.reachable", life=life, seconds=round(seconds, 3))


def _describe_runs(runs, now):
    """Return ``job/step.index:run@age`` of the started runs, the newest first.

    The age is the time since the start call, in milliseconds.
    """
    started = [run for run in runs if run.pending_start is None]
    started.sort(key=lambda run: -run.start_sent_at)
    return ",".join(
        f"{run.name.job}/{run.name.step}.{run.name.index}:{run.name.run}"
        f"@{round((now - run.start_sent_at) * 1000)}"
        for run in started[:MAX_LOGGED_RUNS]
    )
