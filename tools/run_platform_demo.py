"""Run a site of the users' platform on loopback and check what it answers.

Starts stand-ins of the store and of four workers, two entries and four agents as
processes. Hands in jobs that are answered at their end and jobs that are stored,
kills an agent under them, and ends with 0 when every answer is whole and no task ran
twice at the same time.
"""

import asyncio
import signal
import sys
import tempfile
import time

from tests.node.platform_site import job_body, platform_site

ENTRIES = 2
AGENTS = 4
JOBS = 20
TASKS = 8
RUN_MS = 120
RESEND_S = 1.3  # as the platform's clients do
MAX_ATTEMPTS = 6
KILL_AFTER_S = 0.3
FINISH_S = 20


async def hand_in(site, number):
    """Hand a job in until it is answered; return its response time in seconds."""
    began = time.monotonic()
    for _ in range(MAX_ATTEMPTS):
        entry = f"entry-{number % ENTRIES}"
        body = job_body(tasks=TASKS, run_ms=RUN_MS)
        status, answer = await site.call(entry, "POST", f"{number:016x}", body)
        if status == 200:
            if answer != {"state": "succeeded"}:
                raise SystemExit(f"job {number}: {answer}")
            return time.monotonic() - began
        await asyncio.sleep(RESEND_S)
    raise SystemExit(f"job {number} was not served")


async def store_job(site, number):
    """Have a job stored and wait until another entry shows its success."""
    job = f"{number:016x}"
    status, _ = await site.call("entry-0", "POST", job, job_body(kept=True))
    if status != 200:
        raise SystemExit(f"stored job {number}: status {status}")

    async def succeeded():
        return await site.call("entry-1", "GET", job) == (200, {"state": "succeeded"})

    await site.until(succeeded, FINISH_S)


async def main():
    """Run the demo and return the exit code."""
    with tempfile.TemporaryDirectory() as directory:
        print(f"starting {ENTRIES} entries and {AGENTS} agents")
        async with platform_site(directory, ENTRIES, AGENTS) as site:
            calls = [asyncio.create_task(hand_in(site, n)) for n in range(JOBS)]
            stored = asyncio.create_task(store_job(site, JOBS))
            await asyncio.sleep(KILL_AFTER_S)
            site.signal("agent-0", signal.SIGKILL)
            print("agent-0 killed under its runs")
            site.start("agent-0")
            times = sorted(await asyncio.gather(*calls))
            await stored
        runs = sum(len(rows) for rows in site.starts.values())
        print(f"{JOBS} jobs answered, 1 stored job shown as succeeded")
        print(f"{len(site.starts)} tasks in {runs} runs")
        print(
            f"response: median {times[len(times) // 2]:.2f} s, worst {times[-1]:.2f} s"
        )
        for violation in site.violations:
            print(violation, file=sys.stderr)
        return 1 if site.violations else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
