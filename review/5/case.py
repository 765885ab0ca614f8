"""Accepted jobs never start although nearly all workers are idle.

Twelve jobs of the first priority need a label that one worker has. That worker is lost
for good. Jobs of the next priority, which every worker could run, then wait for ever.
"""

import asyncio
from pathlib import Path

from review.common.site import is_trouble_on, job, run_case, running_site

LABELLED_JOBS = 12
PLAIN_JOBS = 6
FINISH_S = 14  # finish_s of the site: after it, the rule on jobs without runs holds
WINDOW_S = 3.0
CPU = 3100


async def play():
    """Return how the rule was broken."""
    workers = [["a" if n else "b", f"r{n // 3}"] for n in range(11)]
    queues = {"/reserva/": {"prio": 0}, "/lote/": {"prio": 1}}
    record = Path(__file__).with_name("record.txt")
    async with running_site(record, queues, 3, workers) as site:
        labelled = [f"/reserva/{n:016x}" for n in range(1, LABELLED_JOBS + 1)]
        plain = [f"/lote/{n:016x}" for n in range(101, 101 + PLAIN_JOBS)]
        if is_trouble_on():
            site.workers[0].crash()  # the only one with the label, lost for good
            await asyncio.sleep(1.5)
        for path in labelled:
            await site.submit("entry-1", path, job(1, CPU, 1000, requires="b"))
        for path in plain:
            await site.submit("entry-2", path, job(1, CPU, 300))
        site.note("end of the traffic")
        await asyncio.sleep(FINISH_S)
        return await find_starving(site, plain)


async def find_starving(site, paths):
    """Return the jobs without a run for the whole window while workers are idle."""
    begin, most_in_use = site.now, 0.0
    while site.now < begin + WINDOW_S:
        most_in_use = max(most_in_use, share_in_use(site))
        await asyncio.sleep(0.02)
    violations = []
    for path in paths:
        state = await site.state("entry-1", path)
        rows = site.runs_of(path.rsplit("/")[-1])
        if not any(row[4] is None or row[4] > begin for row in rows) and (
            state not in ("succeeded", "failed") and most_in_use < 0.5
        ):
            violations.append(
                f"{path} is {state} and had nothing running for {WINDOW_S} s, "
                f"{len(rows)} runs in all; at most {most_in_use:.0%} of the capacity "
                "was in use"
            )
    for text in violations:
        site.note(text)
    return violations


def share_in_use(site):
    """Return the share of the processors of all living workers that runs use."""
    alive = [worker for worker in site.workers if worker.is_up]
    used = sum(run.cpu for worker in alive for run in worker.runs.values())
    return used / sum(worker.cpu for worker in alive)


if __name__ == "__main__":
    run_case(play)
