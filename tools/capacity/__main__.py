"""Measure the slopes and rewrite the tables of docs/CAPACITY.md.

Run as ``python -m tools.capacity``. The costs of a task come from
``build/bench.json``, so ``make bench`` runs first.
"""

import json
import subprocess
import sys

from tests.federation import ROOT
from tools.capacity import model, slopes

PAGE = ROOT / "docs" / "CAPACITY.md"
BENCH = ROOT / "build" / "bench.json"
BENCH_KEYS = ("entry_cpu_us_per_task", "agent_cpu_us_per_task")


def main():
    """Measure, work out and write."""
    bench = json.loads(BENCH.read_text()) if BENCH.exists() else {}
    missing = [key for key in BENCH_KEYS if key not in bench]
    if missing:
        sys.exit(f"{BENCH.name} lacks {', '.join(missing)}; run make bench first")
    measured = slopes.measure_all()
    values = {name: value for name, (value, _) in measured.items()}
    decisions = _decisions()
    count, entry = model.entry(values, bench, decisions[0]["state_bytes"])
    agent = model.agent(values, bench, count)
    text = PAGE.read_text()
    text = _replace(text, "slopes", _slopes_table(measured))
    text = _replace(text, "decisions", _decisions_table(decisions))
    text = _replace(text, "roles", _roles_table(count, entry, agent))
    text = _replace(text, "log", _plain_table(model.log(values, count)))
    PAGE.write_text(text)
    _add_to_bench(bench, entry, agent)
    print(f"{PAGE.relative_to(ROOT)} rewritten for {count} entries")


def _decisions():
    command = [sys.executable, "-m", "tools.bench_decisions", "--growth"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    return [json.loads(line) for line in done.stdout.splitlines()]


def _add_to_bench(bench, entry, agent):
    """Add the figures that are scaled to the full size."""
    roles = (entry, agent)
    bench["control_bytes_per_s"] = max(role.bytes_per_s for role in roles)
    bench["control_core_share"] = max(role.control_core_share for role in roles)
    bench["process_rss_mb_max"] = max(role.memory_mb for role in roles)
    BENCH.write_text(json.dumps(dict(sorted(bench.items())), indent=1) + "\n")


def _replace(text, name, table):
    begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
    head, rest = text.split(begin)
    _, tail = rest.split(end)
    return f"{head}{begin}\n{table}\n{end}{tail}"


def _table(header, rows):
    lines = ["| " + " | ".join(header) + " |", "|" + " --- |" * len(header)]
    return "\n".join(lines + ["| " + " | ".join(row) + " |" for row in rows])


def _slopes_table(measured):
    rows = [
        (name, f"{value:.4g}", f"{low:.4g} to {high:.4g}")
        for name, (value, (low, high)) in measured.items()
    ]
    return _table(("slope", "median", "lowest to highest"), rows)


def _decisions_table(decisions):
    rows = [
        (
            str(row["agents"]),
            str(row["teams"]),
            f"{row['decisions_per_s']:,}",
            f"{row['state_bytes'] / 1e6:.1f}",
        )
        for row in decisions
    ]
    return _table(("agents", "teams", "decisions/s", "state, MB"), rows)


def _roles_table(count, entry, agent):
    rows = []
    for name, role in ((f"entry (of {count})", entry), ("agent (of 690)", agent)):
        for what, value in role.state_mb.items():
            rows.append((name, f"state: {what}", f"{value:.1f} MB", ""))
        for what, value in role.control_bytes_per_s.items():
            rows.append((name, f"control: {what}", f"{value:,.0f} B/s", ""))
        rows += [
            (name, "control in all", f"{role.bytes_per_s:,.0f} B/s", "9,000 B/s"),
            (
                name,
                "control, share of a core",
                f"{role.control_core_share:.4f}",
                "0.033",
            ),
            (name, "tasks, share of a core", f"{role.task_core_share:.3f}", ""),
            (name, "memory in all", f"{role.memory_mb:.0f} MB", "256 MB"),
        ]
    return _table(("process", "what", "at full size", "bound"), rows)


def _plain_table(figures):
    rows = [(name, f"{value:,.2f}") for name, value in figures.items()]
    return _table(("what", "at the peak"), rows)


if __name__ == "__main__":
    main()
