"""Measure the slopes and rewrite the tables of docs/CAPACITY.md.

Run with ``python -m tools.capacity``. The CPU costs of a task are read from
``build/bench.json``, so run ``make bench`` first.
"""

import json
import subprocess
import sys

from tests.federation import ROOT
from tools.capacity import model, slopes

CAPACITY_PAGE = ROOT / "docs" / "CAPACITY.md"
BENCH_PATH = ROOT / "build" / "bench.json"
REQUIRED_BENCH_KEYS = ("entry_cpu_us_per_task", "agent_cpu_us_per_task")


def main():
    """Measure the slopes, estimate the full-size load, and write page and figures."""
    bench_figures = json.loads(BENCH_PATH.read_text()) if BENCH_PATH.exists() else {}
    missing = [key for key in REQUIRED_BENCH_KEYS if key not in bench_figures]
    if missing:
        sys.exit(f"{BENCH_PATH.name} lacks {', '.join(missing)}; run make bench first")
    measured_slopes = slopes.measure_all_slopes()
    medians = {name: value for name, (value, _) in measured_slopes.items()}
    decisions = _run_decision_benchmark()
    entry_count, entry = model.estimate_entry(
        medians, bench_figures, decisions[0]["state_bytes"]
    )
    agent = model.estimate_agent(medians, bench_figures, entry_count)
    text = CAPACITY_PAGE.read_text()
    text = _replace_table(text, "slopes", _format_slopes_table(measured_slopes))
    text = _replace_table(text, "decisions", _format_decisions_table(decisions))
    text = _replace_table(text, "roles", _format_roles_table(entry_count, entry, agent))
    text = _replace_table(
        text, "log", _format_log_table(model.estimate_log_load(medians, entry_count))
    )
    CAPACITY_PAGE.write_text(text)
    _write_full_size_figures(bench_figures, entry, agent)
    print(f"{CAPACITY_PAGE.relative_to(ROOT)} rewritten for {entry_count} entries")


def _run_decision_benchmark():
    command = [sys.executable, "-m", "tools.bench_decisions", "--growth"]
    completed = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, check=True
    )
    return [json.loads(line) for line in completed.stdout.splitlines()]


def _write_full_size_figures(bench_figures, entry, agent):
    """Add the figures estimated for full size to build/bench.json."""
    roles = (entry, agent)
    bench_figures["control_bytes_per_s"] = max(
        role.total_control_bytes_per_s for role in roles
    )
    bench_figures["control_core_share"] = max(role.control_core_share for role in roles)
    bench_figures["process_rss_mb_max"] = max(role.memory_mb for role in roles)
    BENCH_PATH.write_text(
        json.dumps(dict(sorted(bench_figures.items())), indent=1) + "\n"
    )


def _replace_table(text, name, table):
    begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
    head, rest = text.split(begin)
    _, tail = rest.split(end)
    return f"{head}{begin}\n{table}\n{end}{tail}"


def _format_table(header, rows):
    lines = ["| " + " | ".join(header) + " |", "|" + " --- |" * len(header)]
    return "\n".join(lines + ["| " + " | ".join(row) + " |" for row in rows])


def _format_slopes_table(measured_slopes):
    rows = [
        (name, f"{value:.4g}", f"{low:.4g} to {high:.4g}")
        for name, (value, (low, high)) in measured_slopes.items()
    ]
    return _format_table(("slope", "median", "lowest to highest"), rows)


def _format_decisions_table(decisions):
    rows = [
        (
            str(row["agents"]),
            str(row["teams"]),
            f"{row['decisions_per_s']:,}",
            f"{row['state_bytes'] / 1e6:.1f}",
        )
        for row in decisions
    ]
    return _format_table(("agents", "teams", "decisions/s", "state, MB"), rows)


def _format_roles_table(entry_count, entry, agent):
    rows = []
    for name, role in ((f"entry (of {entry_count})", entry), ("agent (of 690)", agent)):
        for item, value in role.state_mb.items():
            rows.append((name, f"state: {item}", f"{value:.1f} MB", ""))
        for item, value in role.control_bytes_per_s.items():
            rows.append((name, f"control: {item}", f"{value:,.0f} B/s", ""))
        rows += [
            (
                name,
                "control in all",
                f"{role.total_control_bytes_per_s:,.0f} B/s",
                "9,000 B/s",
            ),
            (
                name,
                "control, share of a core",
                f"{role.control_core_share:.4f}",
                "0.033",
            ),
            (name, "tasks, share of a core", f"{role.task_core_share:.3f}", ""),
            (name, "memory in all", f"{role.memory_mb:.0f} MB", "256 MB"),
        ]
    return _format_table(("process", "what", "at full size", "bound"), rows)


def _format_log_table(figures):
    rows = [(name, f"{value:,.2f}") for name, value in figures.items()]
    return _format_table(("what", "at the peak"), rows)


if __name__ == "__main__":
    main()
