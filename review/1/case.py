"""Tasks run twice at the same time after one unusable heartbeat.

A heartbeat of another writer, which lacks fields, reaches the agent of a worker that is
at work. The agent takes it for the worker's next process.
"""

import asyncio
import contextlib
import json
import time
from pathlib import Path

from review.common.site import (
    ConnectionEnded,
    CouldNotRun,
    call,
    is_trouble_on,
    job,
    run_case,
    running_site,
)

JOBS = 12
TASKS = 4
CPU = 3100
RUN_MS = 3_000
LATER_S = 10.0
HEARTBEAT_AFTER_S = 1.0  # from the submission of the jobs
DEADLINE_MS = 20_000
MISSING_FIELDS = "addr", "zone", "version", "slots"


async def play():
    """Return how the rule was broken."""
    workers = [["a", f"r{number // 3}"] for number in range(11)]
    record = Path(__file__).with_name("record.txt")
    async with running_site(record, {"/lote/": {}}, 3, workers) as site:
        jobs = [
            asyncio.create_task(submit(site, f"entry-{number % 3}", number))
            for number in range(1, JOBS + 1)
        ]
        await asyncio.sleep(HEARTBEAT_AFTER_S)
        worker = max(site.workers, key=lambda worker: len(worker.runs))
        if not worker.runs:
            raise CouldNotRun("no task is at work")
        if is_trouble_on():
            await send_unusable_heartbeat(site, worker)
        await asyncio.gather(*jobs)
        violations = find_overlaps(site)
        await note_use(site, worker)
        return violations


async def submit(site, entry, number):
    """Submit a best-effort job and wait for its end."""
    body = job(TASKS, CPU, RUN_MS, best_effort=True)
    with contextlib.suppress(ConnectionEnded, OSError, TimeoutError):
        await site.request(entry, "POST", f"/lote/{number:016x}", body, DEADLINE_MS)


async def send_unusable_heartbeat(site, worker):
    """Send a heartbeat of another writer, with fields missing, to a worker's agent."""
    body = {
        "service": site.service,
        "state": "ready",
        "cold_left_ms": 0,
        "capacity": {"cpu": worker.cpu, "mem_mb": 65536, "gpu": 0},
        "labels": worker.labels,
        "clock_ms": 1000,
        "seq": 1,
        "born": int(time.time() * 1000),
    }
    site.note(f"heartbeat without {', '.join(MISSING_FIELDS)}: {json.dumps(body)}")
    status, _ = await call(worker.reports_address, "PUT", "/instances/i-other", body)
    site.note(f"the agent of {worker.id} answers the heartbeat with {status}")


async def note_use(site, worker):
    """Note whether the worker, which goes on reporting, still gets runs."""
    await asyncio.sleep(LATER_S)
    sent_at = site.now
    jobs = [submit(site, f"entry-{n % 3}", 100 + n) for n in range(JOBS)]
    await asyncio.gather(*jobs)
    later = [row for row in site.runs if row[3] > sent_at]
    count = sum(row[2] == worker.id for row in later)
    site.note(f"{LATER_S} s later {worker.id} gets {count} of {len(later)} runs")


def find_overlaps(site):
    """Return the pairs of runs of a task that were at work at the same time."""
    violations = []
    for n, row in enumerate(site.runs):
        for other in site.runs[n + 1 :]:
            if other[0] != row[0] or (row[4] is not None and row[4] <= other[3]):
                continue
            end = min(run[4] or site.now for run in (row, other))
            violations.append(
                f"{row[0]}: run {row[1]} on {row[2]} and run {other[1]} on {other[2]} "
                f"at the same time for {end - other[3]:.2f} s"
            )
    for text in violations:
        site.note(text)
    return violations


if __name__ == "__main__":
    run_case(play)
