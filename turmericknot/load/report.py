"""Reports of a run: statistics and histograms per team and task class, and plots."""

import json
from collections import Counter, defaultdict
from pathlib import Path

import pygal
from hdrh.histogram import HdrHistogram

HISTOGRAM_MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 3


def percentile(values, fraction):
    """Return the nearest-rank percentile of a list; ``fraction`` is within 0..1."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def faulty_outcomes(outcomes):
    """Return the outcomes with a lost, partial, wrong or contradictory answer."""
    return [o for o in outcomes if o.fault or o.status in ("lost", "error")]


def summarize_run(trace, outcomes, ideal_times_s):
    """Return the statistics of a run as nested dicts, with times in milliseconds."""
    groups = defaultdict(list)
    for job, outcome, ideal_time_s in zip(
        trace.jobs, outcomes, ideal_times_s, strict=True
    ):
        job_result = (outcome, ideal_time_s)
        for group in ("all", f"{job.team}/{job.task_class}"):
            groups[group].append(job_result)
    return {
        "jobs": len(trace.jobs),
        "tasks": sum(len(job.run_ms) for job in trace.jobs),
        "statuses": dict(Counter(o.status for o in outcomes)),
        "reasons": dict(Counter(o.reason for o in outcomes if o.reason)),
        "faults": len(faulty_outcomes(outcomes)),
        "unclaimed": sum(not o.claimed for o in outcomes),
        "sent_late_ms_p99": percentile([o.sent_late_s for o in outcomes], 0.99) * 1e3,
        "groups": {
            name: _group_statistics(job_results)
            for name, job_results in sorted(groups.items())
        },
    }


def write_report(directory, title, summary, trace, outcomes, ideal_times_s):
    """Write summary.json, report.md and plots into a directory."""
    directory = Path(directory)
    directory.mkdir(parents=True, exist_ok=True)
    (directory / "summary.json").write_text(json.dumps(summary, indent=1))
    (directory / "report.md").write_text(_markdown(title, summary))
    _plot_percentiles(directory / "percentiles.svg", title, outcomes, ideal_times_s)
    _plot_timeline(directory / "timeline.svg", title, trace, outcomes)


def _group_statistics(job_results):
    complete = [(o, i) for o, i in job_results if o.status == "complete"]
    histogram = HdrHistogram(1, HISTOGRAM_MAX_US, SIGNIFICANT_DIGITS)
    for outcome, _ in complete:
        histogram.record_value(max(1, int(outcome.response_s * 1e6)))
    ratios = [o.response_s / i for o, i in complete if i > 0]
    return {
        "jobs": len(job_results),
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
    for name, stats in summary["groups"].items():
        lines.append(
            f"| {name} | {stats['jobs']} | {stats['complete']} | "
            f"{stats['response_ms_p50']:.1f} | {stats['response_ms_p99']:.1f} | "
            f"{stats['ratio_p50']:.3f} | {stats['ratio_p99']:.3f} |"
        )
    lines += ["", "![percentiles](percentiles.svg)", "", "![timeline](timeline.svg)"]
    return "\n".join(lines) + "\n"


def _plot_percentiles(path, title, outcomes, ideal_times_s):
    fractions = [0.5, 0.75, 0.9, 0.95, 0.99, 0.999]
    measured_ms = [o.response_s * 1e3 for o in outcomes if o.status == "complete"]
    chart = pygal.Line(title=title, y_title="response, ms", js=[])
    chart.x_labels = [f"p{fraction * 100:g}" for fraction in fractions]
    chart.add("measured", [percentile(measured_ms, fraction) for fraction in fractions])
    ideal_times_ms = [value * 1e3 for value in ideal_times_s]
    chart.add("ideal", [percentile(ideal_times_ms, fraction) for fraction in fractions])
    chart.render_to_file(str(path))


def _plot_timeline(path, title, trace, outcomes):
    seconds = range(int(trace.duration_s) + 1)
    counts_by_second = defaultdict(Counter)
    for job, outcome in zip(trace.jobs, outcomes, strict=True):
        counts_by_second[int(job.at_s)][outcome.status] += 1
    chart = pygal.StackedBar(title=title, y_title="jobs submitted per second", js=[])
    chart.x_labels = [str(second) for second in seconds]
    for status in sorted({o.status for o in outcomes}):
        chart.add(status, [counts_by_second[second][status] for second in seconds])
    chart.render_to_file(str(path))
