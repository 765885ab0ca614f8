import asyncio
import signal

import pytest

from tests.standins.leased_worker import LeasedWorker
from turmericknot.aio.client import create_http_client
from turmericknot.core.exceptions import MessageError, WorkerRefused
from turmericknot.node.worker_memory import create_worker_memory, decode_worker
from turmericknot.platform.store import WORKERS_TOPIC
from turmericknot.platform.workers import WorkerCalls
from turmericknot.scheduling.worker_types import HoldCall, WorkerLife


def life(worker_id="i-1", born=7, usable=True):
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


async def store_memory(memory):
    """Give the memory the time to store what it was told."""
    task = asyncio.create_task(memory.run())
    await asyncio.sleep(0.1)
    task.cancel()


def test_next_process_recalls_the_worker(run_with_store):
    """A worker that is not recalled stands idle until its next report."""

    async def test(store, standin):
        memory = create_worker_memory(store, "side-1")
        assert await memory.recall() is None
        memory.remember(life())
        await store_memory(memory)
        recalled = await create_worker_memory(store, "side-1").recall()
        assert (recalled.key, recalled.cpu) == (life().key, 16000)
        assert recalled.sequence < 0
        memory.remember(None)
        await store_memory(memory)
        assert await create_worker_memory(store, "side-1").recall() is None

    run_with_store(test)


def test_only_changes_are_stored(run_with_store):
    """A write for each report would be 460 calls a second at 690 workers."""

    async def test(store, standin):
        writes = []
        append = store.append

        class CountingStore:
            partitions = store.partitions
            newest = store.newest

            async def append(self, topic, partition, records):
                writes.append(topic)
                await append(topic, partition, records)

        memory = create_worker_memory(CountingStore(), "side-1")
        for _ in range(3):
            memory.remember(life())
            await store_memory(memory)
        memory.remember(life(usable=False))
        await store_memory(memory)
        assert writes == [WORKERS_TOPIC] * 2

    run_with_store(test)


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x93\x01\x02\x03"])
def test_damaged_record(data):
    """Bytes that cannot be read name no worker."""
    with pytest.raises(MessageError):
        decode_worker(data)


def test_clock_of_a_worker_that_has_seen_a_fence():
    """The agent needs the clock to raise the fence above that of its predecessor."""

    async def test():
        worker = LeasedWorker("i-1", 4000, {})
        await worker.start()
        calls = WorkerCalls(create_http_client(worker.address))
        present = life(born=worker.born)
        assert await calls.ask_clock(present) <= worker.clock_ms / 1000
        await calls.hold(HoldCall(50, 0, None, present, 0.0), 0.0)
        assert await calls.ask_clock(present) <= worker.clock_ms / 1000
        with pytest.raises(WorkerRefused):
            await calls.ask_clock(life("i-2"))
        worker.server.stop()

    asyncio.run(test())


def test_agent_recalls_a_worker_that_does_not_report(run_site):
    """Guards the whole way: the store, the clock, the lists and the entries."""

    async def test(site):
        async def is_stored():
            return any(
                site.store.newest(WORKERS_TOPIC, number).get("agent-0")
                for number in range(site.store.partitions)
            )

        log = site.directory / "agent-0.log"
        await site.until(is_stored)
        site.workers[0].is_silent = True
        site.signal("agent-0", signal.SIGKILL)
        site.start("agent-0")

        async def recalled():
            return "worker.recalled" in log.read_text()

        await site.until(recalled)

    run_site(test)
