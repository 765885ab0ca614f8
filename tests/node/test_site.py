"""The whole path over real processes, against deaths, pauses and outages."""

import asyncio
import signal
import time

import pytest

from turmericknot.core.exceptions import CallAnswerLost

from .platform_site import job_body


def job(number):
    return f"{number:016x}"


async def serve(site, entry, number, **body):
    """Hand a job in until it is served, as clients of the platform do."""
    for _ in range(6):
        try:
            status, answer = await site.call(
                entry, "POST", job(number), job_body(**body)
            )
        except Exception:
            status = None
        if status == 200:
            return answer
        await asyncio.sleep(1.3)
    raise AssertionError(f"job {number} was not served")


def test_job_that_is_not_kept(run_site):
    """The answer must come with the last task, whichever entry is asked."""

    async def test(site):
        calls = [serve(site, f"entry-{n % 2}", n, tasks=5) for n in range(8)]
        answers = await asyncio.gather(*calls)
        assert answers == [{"state": "succeeded"}] * 8
        assert len(site.starts) == 40
        assert all(len(rows) == 1 for rows in site.starts.values())

    run_site(test)


def test_failing_job(run_site):
    """A job that cannot succeed must be said to have failed, in bounded attempts."""

    async def test(site):
        answer = await serve(site, "entry-0", 1, tasks=1, run_ms=20, spec="fail 20")
        assert answer == {"state": "failed"}
        assert [len(rows) for rows in site.starts.values()] == [3]

    run_site(test)


def test_stored_job_from_any_entry(run_site):
    """A job accepted at one entry must be known and finished for every other."""

    async def test(site):
        body = job_body(kept=True)
        assert (await site.call("entry-0", "POST", job(1), body))[0] == 200
        assert (await site.call("entry-1", "POST", job(1), body))[0] == 200

        async def succeeded():
            seen = [
                await site.call(entry, "GET", job(1))
                for entry in ("entry-0", "entry-1")
            ]
            return all(answer == (200, {"state": "succeeded"}) for answer in seen)

        await site.until(succeeded)
        assert all(len(rows) == 1 for rows in site.starts.values())
        assert (await site.call("entry-0", "GET", job(2)))[0] == 410
        assert (await site.call("entry-1", "DELETE", job(1)))[0] == 200

    run_site(test)


def test_stored_job_outlives_every_process(run_site):
    """An accepted job must be finished although everything loses power."""

    async def test(site):
        body = job_body(kept=True, run_ms=600)
        assert (await site.call("entry-0", "POST", job(1), body))[0] == 200
        for name in list(site.processes):
            site.signal(name, signal.SIGKILL)
        await asyncio.sleep(0.3)
        for name in list(site.processes):
            site.start(name)

        async def succeeded():
            try:
                answer = await site.call("entry-1", "GET", job(1))
            except Exception:
                return False
            return answer == (200, {"state": "succeeded"})

        await site.until(succeeded, 25)
        done = [
            row for rows in site.starts.values() for row in rows if row[4] == "done"
        ]
        assert len(done) == 4

    run_site(test)


def test_entry_killed_under_its_jobs(run_site):
    """The runs of a killed entry must be over when its jobs come again."""

    async def test(site):
        calls = [
            asyncio.create_task(
                site.call("entry-0", "POST", job(n), job_body(run_ms=900))
            )
            for n in range(2)
        ]
        await asyncio.sleep(0.5)
        site.signal("entry-0", signal.SIGKILL)
        await asyncio.gather(*calls, return_exceptions=True)
        await asyncio.sleep(1.3)
        await asyncio.gather(*(serve(site, "entry-1", n, run_ms=300) for n in range(2)))

    run_site(test)


def test_agent_killed_under_its_runs(run_site):
    """The tasks of a killed agent must run again, but not beside their former runs."""

    async def test(site):
        call = asyncio.create_task(serve(site, "entry-0", 1, tasks=6, run_ms=700))
        await asyncio.sleep(0.4)
        site.signal("agent-0", signal.SIGKILL)
        await asyncio.sleep(0.5)
        site.start("agent-0")
        assert await call == {"state": "succeeded"}

    run_site(test)


def test_agent_paused_past_its_lease(run_site):
    """An agent that wakes up must not go on with runs that were given away."""

    async def test(site):
        call = asyncio.create_task(serve(site, "entry-0", 1, tasks=6, run_ms=900))
        await asyncio.sleep(0.4)
        site.signal("agent-0", signal.SIGSTOP)
        await asyncio.sleep(2.5)
        site.signal("agent-0", signal.SIGCONT)
        assert await call == {"state": "succeeded"}

    run_site(test)


def test_jobs_that_are_not_kept_need_no_store(run_site):
    """An outage of the store must not touch work that it does not keep."""

    async def test(site):
        site.store.refuse = True
        await asyncio.sleep(2)
        assert await serve(site, "entry-0", 1) == {"state": "succeeded"}
        status, _ = await site.call("entry-1", "POST", job(2), job_body(kept=True))
        assert status == 503
        site.store.refuse = False

        async def accepted():
            body = job_body(kept=True)
            return (await site.call("entry-1", "POST", job(3), body))[0] == 200

        await site.until(accepted)

    run_site(test)


def test_planned_stop_cuts_no_request(run_site):
    """A request in progress, or one that comes before the exit, must be answered."""

    async def test(site):
        first = asyncio.create_task(
            site.call("entry-0", "POST", job(1), job_body(run_ms=1500))
        )
        await asyncio.sleep(0.3)
        site.signal("entry-0", signal.SIGTERM)
        await asyncio.sleep(0.3)
        second = asyncio.create_task(
            site.call("entry-0", "POST", job(2), job_body(run_ms=200))
        )
        assert (await first)[1] == {"state": "succeeded"}
        assert (await second)[1] == {"state": "succeeded"}
        assert not await site.is_ready("entry-0")

    run_site(test)


def test_request_long_after_the_stop_signal_is_refused(run_site):
    """A job begun shortly before the exit would be given up; it must not begin."""

    async def test(site):
        in_progress = asyncio.create_task(
            site.call("entry-0", "POST", job(1), job_body(tasks=1, run_ms=4500))
        )
        await asyncio.sleep(0.3)
        site.signal("entry-0", signal.SIGTERM)
        await asyncio.sleep(3.2)
        began = time.monotonic()
        body = job_body(run_ms=3000)
        status, _ = await site.call("entry-0", "POST", job(2), body)
        assert status == 503
        assert time.monotonic() - began < 0.5
        assert len(site.starts) == 1
        assert (await in_progress)[1] == {"state": "succeeded"}

    run_site(test)


def test_client_that_leaves(run_site):
    """The runs of a caller that has gone must stop at once."""

    async def test(site):
        with pytest.raises(CallAnswerLost):
            body = job_body(run_ms=3000)
            await site.call("entry-0", "POST", job(1), body, timeout_s=0.4)
        await asyncio.sleep(0.6)
        assert all(not worker.running for worker in site.workers)

    run_site(test)
