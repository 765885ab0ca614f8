"""Figures of a played experiment, and their means over several seeds."""

from turmericknot.scheduling.commands import Outcome

LATE_FACTOR = 3.0  # answers up to this many objectives are late, later ones useless
WINDOW_S = 2.0


def summarize(results, messages, experiment):
    """Return the figures of one run as a dict."""
    crashes = sum(result.crashes for result in results)
    results = [result for result in results if not result.is_deadly]
    by_kind = {}
    for result in results:
        by_kind.setdefault(result.kind, []).append(result)
    tasks = sum(
        len(by_kind.get(kind.name, ())) * kind.tasks for kind in experiment.kinds
    )
    return {
        "in_time": _share(results, _is_in_time),
        "worst_window": _worst_window(results),
        "crashes": crashes,
        "windows": _windows(results),
        "messages_per_task": sum(messages.values()) / max(tasks, 1),
        "refused_starts_per_task": messages.get("RunsRefused", 0) / max(tasks, 1),
        "kinds": {
            name: _summarize_kind(kind_results)
            for name, kind_results in sorted(by_kind.items())
        },
        "messages": dict(sorted(messages.items())),
    }


def _summarize_kind(results):
    seconds = sorted(r.seconds for r in results if r.outcome is Outcome.SUCCEEDED)
    return {
        "jobs": len(results),
        "in_time": _share(results, _is_in_time),
        "late": _share(results, _is_late),
        "refused": _share(results, _is_refused),
        "refused_late": _share(results, _is_refused_late),
        "p50_ms": _quantile_ms(seconds, 0.5),
        "p99_ms": _quantile_ms(seconds, 0.99),
    }


def _is_in_time(result):
    return result.seconds <= result.objective_s


def _is_late(result):
    return result.objective_s < result.seconds <= LATE_FACTOR * result.objective_s


def _is_refused(result):
    return result.outcome is Outcome.REFUSED


def _is_refused_late(result):
    """Return whether the caller has lost a good part of its time by the refusal."""
    return _is_refused(result) and result.answered_s > result.objective_s / 4


def _share(results, condition):
    return sum(map(condition, results)) / len(results) if results else 0.0


def _group_by_window(results):
    windows = {}
    for result in results:
        windows.setdefault(int(result.submitted_at // WINDOW_S), []).append(result)
    return windows


def _windows(results):
    """Return rows (start in seconds, jobs, share in time, p99 in ms by kind)."""
    rows = []
    for number, window in sorted(_group_by_window(results).items()):
        p99_by_kind = {}
        for kind in sorted({result.kind for result in window}):
            seconds = sorted(
                result.seconds
                for result in window
                if result.kind == kind and result.outcome is Outcome.SUCCEEDED
            )
            p99_by_kind[kind] = round(_quantile_ms(seconds, 0.99), 1)
        in_time = round(_share(window, _is_in_time), 4)
        rows.append((number * WINDOW_S, len(window), in_time, p99_by_kind))
    return rows


def _worst_window(results):
    """Return the lowest share in time of the windows with a tenth of the mean jobs."""
    windows = _group_by_window(results)
    mean_jobs = len(results) / max(len(windows), 1)
    shares = [
        _share(window, _is_in_time)
        for window in windows.values()
        if len(window) >= mean_jobs / 10
    ]
    return min(shares, default=0.0)


def _quantile_ms(sorted_seconds, quantile):
    if not sorted_seconds:
        return 0.0
    position = min(int(quantile * len(sorted_seconds)), len(sorted_seconds) - 1)
    return 1000 * sorted_seconds[position]


def mean_and_range(values):
    """Return (mean, lowest, highest)."""
    return sum(values) / len(values), min(values), max(values)
