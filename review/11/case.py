"""An owner that the store turns away starts tasks again whose ends were noted."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.support_3 import rules
from review.support_3.case import CannotRun, run_case
from review.support_3.site import HEALTH_CONTRACTS, job_body, job_id, running_site

ENTRIES = 14
WORKERS = 30
SETTLE_S = 12.0
JOBS = 60
RUN_MS = 3000
TURNED_AWAY_S = 7.0
END_S = 12.0


async def play(has_trouble, record):
    """Submit durable jobs, turn their owner away for a time, and look at all runs."""
    contracts = HEALTH_CONTRACTS
    async with running_site(ENTRIES, WORKERS, contracts=contracts) as site:
        await asyncio.sleep(SETTLE_S)
        owner, successor = site.store.members()[:2]
        jobs = [job_id(number) for number in range(JOBS)]
        statuses = await asyncio.gather(
            *(site.submit(job, job_body(1, RUN_MS), [owner]) for job in jobs)
        )
        if set(statuses) != {200}:
            raise CannotRun(f"not all jobs were accepted: {statuses}")
        await asyncio.sleep(0.3)
        if has_trouble:
            site.store.turned_away.add(owner)
            site.note("store.turns_away", process=owner)
            await asyncio.sleep(TURNED_AWAY_S)
            site.store.turned_away.clear()
            site.note("store.serves", process=owner)
        await asyncio.sleep(END_S)
        breaches = [f"TWICE: {text}" for text in rules.find_twice(site.rows)]
        record(site, [*breaches, f"owner {owner}, then {successor}"])
        return breaches


run_case(play, __file__)
