import asyncio
import signal

import pytest

from tests.standins.leased_worker import LeasedWorker
from turmericknot.aio.client import create_http_client
from turmericknot.core.exceptions import MessageError, WorkerRefused
from turmericknot.node.worker_state import create_worker_state_store, decode_worker_life
from turmericknot.platform.store import WORKERS_TOPIC
from turmericknot.platform.workers import WorkerClient
from turmericknot.scheduling.worker_types import LeaseRenewal, WorkerLife


def worker_life(worker_id="i-1", born=7, usable=True):
    return WorkerLife(
        id=worker_id,
        born=born,
        service="s",
        usable=usable,
        cpu=16000,
        memory=32768,
        accelerators=0,
        labels=["a", "r1-1"],
        clock=5.0,
        clock_at=6.0,
    )


async def run_until_stored(state_store):
    """Run the writer long enough to store what was saved."""
    task = asyncio.create_task(state_store.run())
    await asyncio.sleep(0.1)
    task.cancel()


def test_next_process_loads_the_worker(run_with_store):
    """Without its stored state, a worker is idle until its next report."""

    async def test(store, standin):
        state_store = create_worker_state_store(store, "side-1")
        assert await state_store.load() is None
        state_store.save(worker_life())
        await run_until_stored(state_store)
        loaded_life = await create_worker_state_store(store, "side-1").load()
        assert (loaded_life.key, loaded_life.cpu) == (worker_life().key, 16000)
        assert loaded_life.sequence < 0
        state_store.save(None)
        await run_until_stored(state_store)
        assert await create_worker_state_store(store, "side-1").load() is None

    run_with_store(test)


def test_only_changes_are_stored(run_with_store):
    """A write for each report would be 460 calls a second with 690 workers."""

    async def test(store, standin):
        writes = []
        append = store.append

        class CountingStore:
            partitions = store.partitions
            read_newest = store.read_newest

            async def append(self, topic, partition, records):
                writes.append(topic)
                await append(topic, partition, records)

        state_store = create_worker_state_store(CountingStore(), "side-1")
        for _ in range(3):
            state_store.save(worker_life())
            await run_until_stored(state_store)
        state_store.save(worker_life(usable=False))
        await run_until_stored(state_store)
        assert writes == [WORKERS_TOPIC] * 2

    run_with_store(test)


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x93\x01\x02\x03"])
def test_malformed_record(data):
    """A malformed record must raise MessageError."""
    with pytest.raises(MessageError):
        decode_worker_life(data)


def test_read_clock_of_a_worker_with_a_fence():
    """A restarted agent needs the clock to raise the fence above the previous one.

    The worker refuses the low fence of the call but its refusal includes the clock.
    """

    async def test():
        worker = LeasedWorker("i-1", 4000, {})
        await worker.start()
        client = WorkerClient(create_http_client(worker.address))
        current_life = worker_life(born=worker.born)
        assert await client.read_clock(current_life) <= worker.clock_ms / 1000
        await client.renew_lease(
            LeaseRenewal(50, 0, None, current_life, 0.0), 0.0, 0.15
        )
        assert await client.read_clock(current_life) <= worker.clock_ms / 1000
        with pytest.raises(WorkerRefused):
            await client.read_clock(worker_life("i-2"))
        worker.server.stop()

    asyncio.run(test())


def test_clock_of_a_worker_that_has_just_started_is_read(monkeypatch):
    """Guards against a clock of 0 ms that is taken for an unknown one."""
    monkeypatch.setattr(LeasedWorker, "clock_ms", 0)

    async def test():
        worker = LeasedWorker("i-1", 4000, {})
        await worker.start()
        client = WorkerClient(create_http_client(worker.address))
        current_life = worker_life(born=worker.born)
        await client.renew_lease(
            LeaseRenewal(50, 0, None, current_life, 0.0), 0.0, 0.15
        )
        assert await client.read_clock(current_life) == 0.0
        worker.server.stop()

    asyncio.run(test())


def test_restarted_agent_resumes_without_a_report(run_site):
    """Covers the whole restart: stored state, worker clock, run lists and entries."""

    async def test(site):
        async def is_stored():
            return any(
                site.store.newest_values(WORKERS_TOPIC, partition).get("agent-0")
                for partition in range(site.store.partitions)
            )

        log = site.directory / "agent-0.log"
        await site.wait_until(is_stored)
        site.workers[0].is_silent = True
        site.signal("agent-0", signal.SIGKILL)
        site.start("agent-0")

        async def is_recalled():
            return "worker.recalled" in log.read_text()

        await site.wait_until(is_recalled)

    run_site(test)
