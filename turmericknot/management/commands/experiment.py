"""``turmericknot experiment``: play a load on a model of a site in virtual time."""

import sys

import msgspec

from turmericknot.core.exceptions import UsageError
from turmericknot.management import exit_codes, output
from turmericknot.management.registry import register_command
from turmericknot.model.description import load_experiment
from turmericknot.model.play import play_experiment
from turmericknot.model.plots import write_plots
from turmericknot.model.summary import mean_and_range

MAX_JOBS = 64


@register_command("experiment", "run")
def run(experiment_file, jobs="1", plots="", json=False):
    """Play EXPERIMENT_FILE and compare its variants.

    The decisions of entries and agents run unchanged; links, workers and callers are
    simulated, so a run depends on the file alone. Runs that have ended are printed
    when the command is interrupted.

    Args:
        experiment_file: sizes, load, troubles and variants (TOML)
        jobs: number of processes that play runs at the same time
        plots: directory for plots (SVG) of the jobs in time and the response times
        json: print one JSON object for each run instead of tables
    """
    if not jobs.isdigit() or not 1 <= int(jobs) <= MAX_JOBS:
        raise UsageError(f"--jobs: found {jobs!r}; allowed: 1 to {MAX_JOBS}")
    experiment = load_experiment(experiment_file)
    total = len(experiment.variants) * len(experiment.seeds)
    played = []
    try:
        for figures in play_experiment(experiment, int(jobs)):
            played.append(figures)
            if json:
                print(msgspec.json.encode(figures).decode(), flush=True)
            print(f"played {len(played)} of {total}", file=sys.stderr)
    except KeyboardInterrupt:
        print(f"interrupted after {len(played)} of {total}", file=sys.stderr)
    if played and not json:
        _print_tables(played)
    if played and plots:
        for path in write_plots(plots, played):
            print(f"wrote {path}", file=sys.stderr)
    return exit_codes.OK if len(played) == total else exit_codes.FAILED


def _print_tables(played):
    by_variant = {}
    for figures in played:
        by_variant.setdefault(figures["variant"], []).append(figures)
    rows, kind_rows = [], []
    for variant, runs in by_variant.items():
        mean, lowest, highest = mean_and_range([r["in_time"] for r in runs])
        rows.append(
            (
                variant,
                len(runs),
                f"{mean:.3f}",
                f"{lowest:.3f} to {highest:.3f}",
                f"{_mean(runs, 'worst_window'):.3f}",
                f"{_mean(runs, 'messages_per_task'):.1f}",
                f"{_mean(runs, 'refused_starts_per_task'):.3f}",
            )
        )
        for kind in runs[0]["kinds"]:
            of_kind = [r["kinds"][kind] for r in runs if kind in r["kinds"]]
            kind_rows.append(
                (
                    variant,
                    kind,
                    sum(figures["jobs"] for figures in of_kind),
                    *(
                        f"{_mean(of_kind, name):.3f}"
                        for name in ("in_time", "late", "refused")
                    ),
                    *(f"{_mean(of_kind, name):.0f}" for name in ("p50_ms", "p99_ms")),
                )
            )
    output.print_table(
        (
            "variant",
            "runs",
            "in_time",
            "range",
            "worst_2s",
            "messages_per_task",
            "refused_per_task",
        ),
        rows,
    )
    output.print_table(
        ("variant", "kind", "jobs", "in_time", "late", "refused", "p50_ms", "p99_ms"),
        kind_rows,
    )


def _mean(rows, name):
    return sum(row[name] for row in rows) / len(rows)
