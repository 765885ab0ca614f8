"""Run a site of the users' platform on loopback and check its answers.

Starts stand-ins of the store and of four workers, and two entries and four agents as
processes. Submits best-effort jobs, which are answered when they end, and a durable
job, and kills an agent while they run. Exits with 0 if every job succeeds and no task
ran twice at the same time.
"""

import asyncio
import signal
import sys
import tempfile
import time

from tests.node.platform_site import job_body, platform_site

ENTRIES = 2
AGENTS = 4
BEST_EFFORT_JOBS = 20
TASKS_PER_JOB = 8
TASK_RUN_MS = 120
RETRY_DELAY_S = 1.3  # as the platform's clients do
MAX_ATTEMPTS = 6
AGENT_KILL_DELAY_S = 0.3
COMPLETION_TIMEOUT_S = 20


async def submit_job(site, number):
    """Submit a job until it is answered; return its response time in seconds."""
    started_at = time.monotonic()
    for _ in range(MAX_ATTEMPTS):
        entry = f"entry-{number % ENTRIES}"
        body = job_body(tasks=TASKS_PER_JOB, run_ms=TASK_RUN_MS)
        status, answer = await site.send_request(entry, "POST", f"{number:016x}", body)
        if status == 200:
            if answer != {"state": "succeeded"}:
                raise SystemExit(f"job {number}: {answer}")
            return time.monotonic() - started_at
        await asyncio.sleep(RETRY_DELAY_S)
    raise SystemExit(f"job {number} was not completed")


async def run_durable_job(site, number):
    """Submit a durable job and wait until another entry reports its success."""
    job = f"{number:016x}"
    status, _ = await site.send_request("entry-0", "POST", job, job_body(durable=True))
    if status != 200:
        raise SystemExit(f"durable job {number}: status {status}")

    async def succeeded():
        return await site.send_request("entry-1", "GET", job) == (
            200,
            {"state": "succeeded"},
        )

    await site.wait_until(succeeded, COMPLETION_TIMEOUT_S)


async def main():
    """Run the demo and return the exit code."""
    with tempfile.TemporaryDirectory() as directory:
        print(f"starting {ENTRIES} entries and {AGENTS} agents")
        async with platform_site(directory, ENTRIES, AGENTS) as site:
            submissions = [
                asyncio.create_task(submit_job(site, n))
                for n in range(BEST_EFFORT_JOBS)
            ]
            durable_job = asyncio.create_task(run_durable_job(site, BEST_EFFORT_JOBS))
            await asyncio.sleep(AGENT_KILL_DELAY_S)
            site.signal("agent-0", signal.SIGKILL)
            print("agent-0 was killed while jobs were running")
            site.start("agent-0")
            times = sorted(await asyncio.gather(*submissions))
            await durable_job
        runs = sum(len(task_runs) for task_runs in site.starts.values())
        print(f"{BEST_EFFORT_JOBS} jobs answered, 1 durable job reported as succeeded")
        print(f"{len(site.starts)} tasks in {runs} runs")
        print(
            f"response: median {times[len(times) // 2]:.2f} s, worst {times[-1]:.2f} s"
        )
        for violation in site.violations:
            print(violation, file=sys.stderr)
        return 1 if site.violations else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
