"""Reports of a run: figures, histograms per team and class, and plots."""

import json
from collections import Counter, defaultdict
from pathlib import Path

import pygal
from hdrh.histogram import HdrHistogram

HISTOGRAM_MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 3


def percentile(values, share):
    """Return the nearest-rank percentile of a list; ``share`` is within 0..1."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def faults(outcomes):
    """Return the jobs that were lost, doubled or answered in part or wrongly."""
    return [o for o in outcomes if o.fault or o.status in ("lost", "error")]


def summarize(trace, outcomes, ideal):
    """Return the figures of a run as nested dicts, times in milliseconds."""
    groups = defaultdict(list)
    for job, outcome, ideal_s in zip(trace.jobs, outcomes, ideal, strict=True):
        row = (outcome, ideal_s)
        for group in ("all", f"{job.team}/{job.task_class}"):
            groups[group].append(row)
    return {
        "jobs": len(trace.jobs),
        "tasks": sum(len(job.run_ms) for job in trace.jobs),
        "statuses": dict(Counter(o.status for o in outcomes)),
        "reasons": dict(Counter(o.reason for o in outcomes if o.reason)),
        "faults": len(faults(outcomes)),
        "unclaimed": sum(not o.claimed for o in outcomes),
        "sent_late_ms_p99": percentile([o.sent_late_s for o in outcomes], 0.99) * 1e3,
        "groups": {name: _figures(rows) for name, rows in sorted(groups.items())},
    }


def write_report(directory, title, summary, trace, outcomes, ideal):
    """Write summary.json, report.md and plots into a directory."""
    directory = Path(directory)
    directory.mkdir(parents=True, exist_ok=True)
    (directory / "summary.json").write_text(json.dumps(summary, indent=1))
    (directory / "report.md").write_text(_markdown(title, summary))
    _plot_percentiles(directory / "percentiles.svg", title, outcomes, ideal)
    _plot_over_time(directory / "timeline.svg", title, trace, outcomes)


def _figures(rows):
    complete = [(o, i) for o, i in rows if o.status == "complete"]
    histogram = HdrHistogram(1, HISTOGRAM_MAX_US, SIGNIFICANT_DIGITS)
    for outcome, _ in complete:
        histogram.record_value(max(1, int(outcome.response_s * 1e6)))
    ratios = [o.response_s / i for o, i in complete if i > 0]
    return {
        "jobs": len(rows),
        "complete": len(complete),
        "response_ms_p50": histogram.get_value_at_percentile(50) / 1e3,
        "response_ms_p99": histogram.get_value_at_percentile(99) / 1e3,
        "response_ms_max": histogram.get_max_value() / 1e3,
        "ratio_p50": percentile(ratios, 0.50),
        "ratio_p99": percentile(ratios, 0.99),
        "histogram": histogram.encode().decode(),
    }


def _markdown(title, summary):
    lines = [
        f"# {title}",
        "",
        f"{summary['jobs']} jobs, {summary['tasks']} tasks; statuses "
        f"{summary['statuses']}; faults {summary['faults']}.",
        "",
        "| group | jobs | complete | p50 ms | p99 ms | ratio p50 | ratio p99 |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for name, figures in summary["groups"].items():
        lines.append(
            f"| {name} | {figures['jobs']} | {figures['complete']} | "
            f"{figures['response_ms_p50']:.1f} | {figures['response_ms_p99']:.1f} | "
            f"{figures['ratio_p50']:.3f} | {figures['ratio_p99']:.3f} |"
        )
    lines += ["", "![percentiles](percentiles.svg)", "", "![timeline](timeline.svg)"]
    return "\n".join(lines) + "\n"


def _plot_percentiles(path, title, outcomes, ideal):
    shares = [0.5, 0.75, 0.9, 0.95, 0.99, 0.999]
    measured = [o.response_s * 1e3 for o in outcomes if o.status == "complete"]
    chart = pygal.Line(title=title, y_title="response, ms", js=[])
    chart.x_labels = [f"p{share * 100:g}" for share in shares]
    chart.add("measured", [percentile(measured, share) for share in shares])
    ideal_ms = [value * 1e3 for value in ideal]
    chart.add("ideal", [percentile(ideal_ms, share) for share in shares])
    chart.render_to_file(str(path))


def _plot_over_time(path, title, trace, outcomes):
    seconds = range(int(trace.duration_s) + 1)
    by_second = defaultdict(Counter)
    for job, outcome in zip(trace.jobs, outcomes, strict=True):
        by_second[int(job.at_s)][outcome.status] += 1
    chart = pygal.StackedBar(title=title, y_title="jobs submitted per second", js=[])
    chart.x_labels = [str(second) for second in seconds]
    for status in sorted({o.status for o in outcomes}):
        chart.add(status, [by_second[second][status] for second in seconds])
    chart.render_to_file(str(path))
