"""Measure CPU time and messages per task: ``python -m tests.entry.measure_cpu``.

Options are given as ``name=value``: entries, agents, slots, run_ms, jobs, tasks,
callers.
"""

import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.entry.conftest import job_body, small_federation

OPTIONS = {
    "entries": 1,
    "agents": 3,
    "slots": 8,
    "run_ms": 50,
    "jobs": 60,
    "tasks": 100,
    "callers": 8,
}


def read_counters(roles):
    statuses = [role.status() for role in roles]
    cpu_s = sum(status["process"]["cpu_s"] for status in statuses)
    sent = [status["traffic"]["sent"] for status in statuses]
    return {
        "cpu_s": cpu_s,
        "frames": sum(part["frames"] for part in sent),
        "messages": sum(part["messages"] for part in sent),
        "bytes": sum(part["bytes"] for part in sent),
        "events": sum(status["process"]["events"] for status in statuses),
    }


def submit_jobs(entries, options):
    """Submit all jobs; return the number of completed jobs."""

    def submit(number):
        entry = entries[number % len(entries)]
        body = job_body(
            f"cpu-{number}", options["tasks"], options["run_ms"], deadline_s=60
        )
        return entry.call("POST", "/v1/jobs", body, timeout_s=70)[0] == 200

    with ThreadPoolExecutor(options["callers"]) as pool:
        return sum(pool.map(submit, range(options["jobs"])))


def measure_cpu(options, directory):
    with small_federation(directory) as federation:
        for _ in range(options["entries"]):
            federation.add_entry()
        for _ in range(options["agents"]):
            federation.add_agent(options["slots"])
        federation.wait_ready()
        roles_by_name = {"entry": federation.entries, "agent": federation.agents}
        before = {name: read_counters(roles) for name, roles in roles_by_name.items()}
        started_at = time.monotonic()
        complete = submit_jobs(federation.entries, options)
        wall_s = time.monotonic() - started_at
        after = {name: read_counters(roles) for name, roles in roles_by_name.items()}
    tasks = options["jobs"] * options["tasks"]
    slot_s = options["agents"] * options["slots"] * wall_s
    busy_s = tasks * options["run_ms"] / 1000
    print(f"complete {complete}/{options['jobs']}, {tasks / wall_s:.0f} tasks/s")
    print(f"slots in use {busy_s / slot_s:.3f}")
    for name in roles_by_name:
        change = {key: after[name][key] - before[name][key] for key in after[name]}
        print(
            f"{name}: {change['cpu_s'] / tasks * 1e6:.0f} us/task, per task "
            f"{change['frames'] / tasks:.3f} frames, "
            f"{change['messages'] / tasks:.3f} messages, "
            f"{change['bytes'] / tasks:.0f} bytes, "
            f"{change['events'] / tasks:.2f} events"
        )


if __name__ == "__main__":
    arguments = dict(argument.split("=") for argument in sys.argv[1:])
    options = {name: int(arguments.get(name, value)) for name, value in OPTIONS.items()}
    with tempfile.TemporaryDirectory() as name:
        measure_cpu(options, Path(name))
