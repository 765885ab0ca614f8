"""Checks of what the workers and clients of a site have seen against the rules."""


def find_twice(rows, overlap_s=0.0):
    """Return the breaches of TWICE for durable jobs, as texts.

    Two runs of a task at the same time on workers that are up, or a start after an end
    ``done`` that is taken note of, unless the lease of the worker lapsed before that.
    """
    texts = []
    by_task = {}
    for row in rows:
        by_task.setdefault(row.task, []).append(row)
    for task, runs in by_task.items():
        runs.sort(key=lambda row: row.started_at)
        for number, first in enumerate(runs):
            for second in runs[number + 1 :]:
                texts += _compare(task, first, second, overlap_s)
    return texts


def _compare(task, first, second, overlap_s):
    ended_at = first.ended_at if first.ended_at is not None else float("inf")
    pair = f"{task}: run {first.run} on {first.worker}, run {second.run} on"
    pair = f"{pair} {second.worker}"
    if second.started_at + overlap_s < ended_at:
        yield f"{pair}: at the same time"
    elif (
        first.how == "done"
        and first.noted_at is not None
        and not first.has_lapsed_before_note
    ):
        yield f"{pair}: started after the first had ended done"


def find_over_budget(rows, attempts):
    """Return the breaches of BUDGET, as texts."""
    texts = []
    for row in rows:
        failed = [
            other
            for other in rows
            if other.task == row.task
            and other.how == "failed"
            and other.ended_at <= row.started_at
            and other.noted_at is not None
            and not other.has_lapsed_before_note
        ]
        if len(failed) >= attempts:
            texts.append(f"{row.task}: run {row.run} after {len(failed)} failed runs")
    return texts
