"""Run the benchmark cases and write build/bench.json: ``python -m tools.bench``.

All policies run with the same seeds. Figures are medians over the seeds; the lowest
and highest values are written to build/bench_spread.json. A case that fails is
reported, its figures are left out, and the exit code is 1.
"""

import json
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import fire

from tests.federation import ROOT, federation
from tools.bench import cases, measures, workloads

BUILD_DIRECTORY = ROOT / "build"
POLICIES = ("windows", "random", "least_outstanding")
ENTRIES = 3


def main(seeds=(1, 2), policies=POLICIES, quick=False, only=""):
    """Run the benchmark; ``quick`` runs only the windows policy with the first seed.

    ``only`` names a single case to run with the windows policy. Its figures replace
    the previous ones in the files; all others are kept.
    """
    if quick:
        seeds = tuple(seeds)[:1]
    if quick or only:
        policies = POLICIES[:1]
    started_at = time.monotonic()
    samples, failures = {}, []
    for seed in seeds:
        # The baseline policies run with the first seed only, which keeps the whole
        # benchmark within ten minutes.
        for policy in policies if seed == seeds[0] else policies[:1]:
            prefix = "" if policy == "windows" else f"{policy}_"
            _print_elapsed(started_at, f"policy {policy}, seed {seed}")
            for key, value in _run_policy(policy, seed, failures, only).items():
                samples.setdefault(prefix + key, []).append(value)
    if not only:
        _run_decision_benchmark(samples, failures)
    _write_figures(samples, keep_existing=bool(only))
    _print_elapsed(
        started_at,
        f"{len(samples)} figures written to {BUILD_DIRECTORY / 'bench.json'}",
    )
    for failure in failures:
        print(f"FAILED {failure}")
    return sys.exit(1 if failures else 0)


def _run_policy(policy, seed, failures, only):
    figures = {}
    with (
        tempfile.TemporaryDirectory() as directory,
        _create_federation(directory, policy) as fed,
    ):
        planned_cases = _cases_for_every_policy(fed, seed)
        if policy == "windows":
            planned_cases += _cases_for_windows_policy(fed, seed)
        for name, case in planned_cases:
            if only not in ("", name):
                continue
            try:
                case_figures = case()
                cases.wait_until_idle(fed)
            except Exception as error:
                failures.append(f"{policy} seed {seed} {name}: {error!r}"[:500])
                continue
            print(f"    {name}: {_format_figures(case_figures)}", flush=True)
            figures.update(case_figures)
        if only:
            return figures
        pids = measures.running_pids(fed, [*fed.entry_urls, *fed.agent_urls])
        figures["process_rss_mb_max"] = max(map(measures.rss_mb, pids))
    return figures


def _create_federation(directory, policy):
    return federation(
        directory,
        entries=ENTRIES,
        agents=workloads.WORKERS,
        slots=workloads.SLOTS_PER_WORKER,
        teams=workloads.TEAMS,
        entry_settings={"policy": {"policy": policy}, "http_threads": 512},
    )


def _cases_for_every_policy(fed, seed):
    return [
        ("steady", lambda: cases.measure_steady_load(fed, seed, 10.0)),
        ("short_and_long", lambda: cases.measure_short_with_long(fed, seed, 7.0)),
        ("swing", lambda: cases.measure_load_swing(fed, seed, 4.0, 10.0, 4.0)),
        ("flood", lambda: cases.measure_flooding_team(fed, seed, 7.0)),
        ("faulty_worker", lambda: cases.measure_faulty_worker(fed, seed, 6.0)),
    ]


def _cases_for_windows_policy(fed, seed):
    return [
        ("cost", lambda: cases.measure_cpu_per_task(fed, seed, 5.0)),
        ("configuration", lambda: cases.measure_configuration_delay(fed)),
        (
            "kill_entry",
            lambda: cases.measure_process_kill(fed, seed, "e2", "kill_entry_goodput"),
        ),
        (
            "kill_agent",
            lambda: cases.measure_process_kill(fed, seed, "a2", "kill_agent_goodput"),
        ),
        ("leaving_target", lambda: cases.measure_leaving_target(fed, seed)),
        ("silent_agents", lambda: cases.measure_silent_agents(fed)),
    ]


def _run_decision_benchmark(samples, failures):
    """Measure scheduler decisions per second at full size in a separate process."""
    command = [sys.executable, "-m", "tools.bench_decisions"]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    try:
        figures = json.loads(completed.stdout)
        samples["decisions_per_s_690"] = [figures["decisions_per_s"]]
    except (ValueError, KeyError):
        failures.append(
            f"decisions: {completed.stdout[-200:]}{completed.stderr[-200:]}"
        )


def _write_figures(samples, keep_existing):
    BUILD_DIRECTORY.mkdir(exist_ok=True)
    medians = {key: statistics.median(values) for key, values in samples.items()}
    spread = {key: [min(values), max(values)] for key, values in samples.items()}
    for name, content in (("bench", medians), ("bench_spread", spread)):
        path = Path(BUILD_DIRECTORY / f"{name}.json")
        if keep_existing and path.exists():
            content = {**json.loads(path.read_text()), **content}
        text = json.dumps(dict(sorted(content.items())), indent=1, allow_nan=False)
        path.write_text(text + "\n")


def _format_figures(figures):
    return ", ".join(f"{key} {value:.3f}" for key, value in figures.items())


def _print_elapsed(started_at, text):
    print(f"{time.monotonic() - started_at:6.0f} s  {text}", flush=True)


if __name__ == "__main__":
    fire.Fire(main)
