"""Entries end by themselves again and again once they have been killed and restarted.

The jobs of one queue use memory and accelerators, but no processors. As long as an
entry has seen other jobs end, it serves them; a fresh process does not.
"""

import asyncio
import contextlib
from pathlib import Path

from review.common.site import (
    ConnectionEnded,
    is_trouble_on,
    job,
    run_case,
    running_site,
)

ENTRIES = 3
WARM_UP_JOBS = 4  # with processors, at each entry
RUN_MS = 300
JOBS_PER_S = 6.0  # at each entry, of which one in three is stored
TRAFFIC_S = 75.0
RESEND_S = 1.3  # resend_ms of the site
KILL_AT_S = 5.0  # of the traffic
KILL_GAP_S = 4.0
RESTART_S = 2.0  # how soon the platform restarts a process that has ended
NEAR_DISRUPTION_S = 1.0  # an end within a second of a disruption does not count
MAX_OWN_ENDS = 3  # of the processes of one machine
MIN_MACHINES = 2  # a tenth of the 14 machines in use, two at least


async def play():
    """Return how the rule was broken."""
    workers = [["a", f"r{number // 3}"] for number in range(11)]
    record = Path(__file__).with_name("record.txt")
    queues = {"/lote/": {}, "/tono/": {}}
    async with running_site(record, queues, ENTRIES, workers) as site:
        entries = [f"entry-{number}" for number in range(ENTRIES)]
        for number, entry in enumerate(entries):
            for n in range(WARM_UP_JOBS):
                path = f"/lote/{100 * number + n + 1:016x}"
                body = job(2, 3100, RUN_MS, best_effort=True)
                await site.request(entry, "POST", path, body)
        ends = {entry: [] for entry in entries}
        killed_at = {}
        watch = asyncio.create_task(restart_ended(site, ends, killed_at))
        traffic = [
            asyncio.create_task(send_jobs(site, entry, 1000 * (number + 1)))
            for number, entry in enumerate(entries)
        ]
        if is_trouble_on():
            await asyncio.sleep(KILL_AT_S)
            for entry in entries:
                killed_at[entry] = site.now
                site.kill(entry)
                await asyncio.sleep(KILL_GAP_S)
        answers = [answer for rows in await asyncio.gather(*traffic) for answer in rows]
        watch.cancel()
        site.note(f"{answers.count(200)} of {len(answers)} jobs answered with 200")
        return judge(site, ends, killed_at)


async def restart_ended(site, ends, killed_at):
    """Restart each process that ends, as the platform does, and note its end."""
    while True:
        await asyncio.sleep(0.05)
        for entry in ends:
            code = site.processes[entry].poll()
            if code is None:
                continue
            site.note(f"{entry} has ended with {code}")
            if site.now - killed_at.get(entry, -100.0) > NEAR_DISRUPTION_S:
                ends[entry].append(round(site.now, 1))
            await asyncio.sleep(RESTART_S)
            site.start(entry)


async def send_jobs(site, entry, first):
    """Send jobs without processors to an entry; return the status of each."""
    until, jobs, number = site.now + TRAFFIC_S, [], first
    while site.now < until:
        number += 1
        path, is_stored = f"/tono/{number:016x}", number % 3 == 0
        jobs.append(asyncio.create_task(send_job(site, entry, path, is_stored)))
        await asyncio.sleep(1 / JOBS_PER_S)
    return await asyncio.gather(*jobs)


async def send_job(site, entry, path, is_stored):
    """Send a job up to three times; return the last status, None without an answer."""
    body = job(3, 0, RUN_MS, best_effort=not is_stored)
    del body["steps"][0]["cpu"]  # a field whose value is 0 is left out
    status = None
    for _ in range(3):
        with contextlib.suppress(ConnectionEnded, OSError, TimeoutError):
            status, _ = await site.request(entry, "POST", path, body)
        if status not in (None, 502, 504):
            break
        await asyncio.sleep(RESEND_S)
    return status


def judge(site, ends, killed_at):
    """Return how the rule on processes that end by themselves was broken."""
    for entry, times in ends.items():
        site.note(
            f"{entry}: killed at {killed_at.get(entry)}, ended by itself at {times}"
        )
    often = [entry for entry, times in ends.items() if len(times) >= MAX_OWN_ENDS]
    if len(often) < MIN_MACHINES:
        return []
    return [
        f"{entry} has ended by itself {len(ends[entry])} times, at {ends[entry]} s"
        for entry in often
    ]


if __name__ == "__main__":
    run_case(play)
