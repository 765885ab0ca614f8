"""Plots of played experiments over virtual time, as SVG files."""

from pathlib import Path

import pygal


def write_plots(directory, played):
    """Write plots of the figures of played runs; return the paths of the files.

    One plot shows the share of the jobs in time for each variant, the others the p99
    response time by kind of job for one variant each. All are means over the seeds.
    """
    directory = Path(directory)
    directory.mkdir(parents=True, exist_ok=True)
    by_variant = {}
    for figures in played:
        by_variant.setdefault(figures["variant"], []).append(figures)
    paths = [directory / "in-time.svg"]
    _plot_in_time(paths[0], by_variant)
    for number, (variant, runs) in enumerate(by_variant.items()):
        path = directory / f"response-{number}.svg"
        _plot_response_times(path, variant, runs)
        paths.append(path)
    return paths


def _plot_in_time(path, by_variant):
    chart = pygal.Line(
        title="Jobs in time",
        x_title="seconds",
        y_title="share",
        range=(0, 1),
        js=[],
    )
    starts = _window_starts([run for runs in by_variant.values() for run in runs])
    chart.x_labels = [f"{start:g}" for start in starts]
    for variant, runs in by_variant.items():
        chart.add(variant, _mean_by_window(runs, starts, lambda row: row[2]))
    chart.render_to_file(str(path))


def _plot_response_times(path, variant, runs):
    chart = pygal.Line(
        title=f"Response time, p99: {variant}",
        x_title="seconds",
        y_title="ms",
        js=[],
    )
    starts = _window_starts(runs)
    chart.x_labels = [f"{start:g}" for start in starts]
    for kind in runs[0]["kinds"]:
        chart.add(kind, _mean_by_window(runs, starts, _response_time_reader(kind)))
    chart.render_to_file(str(path))


def _response_time_reader(kind):
    return lambda row: row[3].get(kind)


def _window_starts(runs):
    return sorted({row[0] for run in runs for row in run["windows"]})


def _mean_by_window(runs, starts, read_value):
    """Return the mean of a value over the runs for each window, None without any."""
    values_by_start = {start: [] for start in starts}
    for run in runs:
        for row in run["windows"]:
            value = read_value(row)
            if value is not None:
                values_by_start[row[0]].append(value)
    return [
        sum(values) / len(values) if values else None
        for values in values_by_start.values()
    ]
