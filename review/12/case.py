"""The owner of the jobs is killed; the next one can't reach a rack that they need."""

import asyncio
import hashlib
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.support_3.case import CannotRun, run_case
from review.support_3.site import HEALTH_CONTRACTS, job_body, job_id, running_site

ENTRIES = 14
WORKERS = 30
RACK = "r9-1"
RACK_SIZE = 3
LINKED_ENTRIES = 10  # docs: an agent serves ten entries
SETTLE_S = 14.0
JOBS = 6
RUN_MS = 2000
FINISH_S = 14.0  # after the end of the traffic, jobs are asked for
WATCH_S = 30.0


async def play(has_trouble, record):
    """Submit jobs whose second step needs a rack, kill the owner during the first."""
    contracts = HEALTH_CONTRACTS
    async with running_site(ENTRIES, WORKERS, contracts=contracts) as site:
        owner, successor = site.store.members()[:2]
        for name in _choose_rack(site, owner, successor):
            site.workers[name].labels = ["b", RACK]
            site.note("rack", worker=name)
        await asyncio.sleep(SETTLE_S)
        jobs = [job_id(number) for number in range(JOBS)]
        for job in jobs:
            body = job_body(4, RUN_MS)
            body["steps"].append(body["steps"][0] | {"after": [0], "requires": RACK})
            if await site.submit(job, body) != 200:
                raise CannotRun(f"job {job} was not accepted")
        ended_at = time.monotonic()
        await asyncio.sleep(1.0)
        if has_trouble:
            site.signal(owner, signal.SIGKILL)
        watched_from = ended_at + FINISH_S
        watched_to = watched_from + (WATCH_S if has_trouble else 0.0)
        await asyncio.sleep(watched_to - time.monotonic())
        lines = []
        for job in jobs:
            _, state = await site.state(job)
            rows = [row for row in site.rows if row.task.startswith(job)]
            done = {row.task for row in rows if row.how == "done"}
            first_done = sum(task.split(".")[2] == "0" for task in done)
            if state == "succeeded" or any(
                row.ended_at is None or row.ended_at > watched_from for row in rows
            ):
                continue
            lines.append(
                f"job {job} is {state}, {first_done} of 4 tasks of its first step are "
                f"done, nothing has run for {watched_to - watched_from:.0f} s"
            )
        breaches = [f"LOST: {line}" for line in lines]
        lines.append(f"owner {owner}, then {site.store.holder().split('|')[0]}")
        record(site, lines)
        return breaches


def _choose_rack(site, owner, successor):
    """Return workers whose agents serve the one entry and not the other."""
    names = []
    for agent in site.workers:
        served = sorted(site.addresses, key=lambda entry: _rank(agent, entry))
        served = served[:LINKED_ENTRIES]
        if owner in served and successor not in served:
            names.append(agent)
    if len(names) < RACK_SIZE:
        raise CannotRun("no such rack with these entries")
    return names[:RACK_SIZE]


def _rank(agent, entry):
    return hashlib.blake2b(f"{agent}|{entry}".encode(), digest_size=8).digest()


run_case(play, __file__)
