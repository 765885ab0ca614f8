"""The client of the store against a stand-in with the store's failures."""

import asyncio

import pytest

from turmericknot.core.exceptions import (
    RecordsTrimmed,
    StoreFenced,
    StoreRejected,
    StoreSequenceExpected,
    StoreUnavailable,
)
from turmericknot.platform import store as store_module
from turmericknot.platform.store import JOBS_TOPIC, KeyedRecord


def test_read_newest_value_of_each_key(run_with_store):
    """A shard must be loaded completely, over several pages, without deleted keys."""

    async def test(store, standin):
        records = [KeyedRecord(f"{n:04}", b"v") for n in range(1200)]
        await store.append(JOBS_TOPIC, 0, records)
        await store.append(JOBS_TOPIC, 0, [KeyedRecord("0003", b"")])
        await store.append(JOBS_TOPIC, 0, [KeyedRecord("0005", b"w")])
        _, loaded = await store.read_newest(JOBS_TOPIC, 0)
        assert len(loaded) == 1199
        assert {r.key: r.value for r in loaded}["0005"] == b"w"

    run_with_store(test)


def test_poll_continues_after_the_last_page(run_with_store):
    """Every configuration change must be read exactly once."""

    async def test(store, standin):
        standin.put("keyed.op", "config", b"1")
        offset, _ = await store.read_newest("keyed.op", 0)
        waiting = asyncio.create_task(store.poll("keyed.op", 0, offset, 5))
        await asyncio.sleep(0.05)
        standin.put("keyed.op", "config", b"2")
        page = await waiting
        assert [r.value for r in page.records] == [b"2"]
        page = await store.poll("keyed.op", 0, page.next_offset, 0.05)
        assert page.records == []

    run_with_store(test)


def test_poll_at_a_trimmed_offset(run_with_store):
    """A follower that fell behind the retention must learn that it has to reload."""

    async def test(store, standin):
        standin.partition("keyed.op").first_offset = 10
        with pytest.raises(RecordsTrimmed) as caught:
            await store.poll("keyed.op", 0, 3, 0.05)
        assert caught.value.first_offset == 10

    run_with_store(test)


def test_earlier_epoch_is_fenced(run_with_store):
    """A previous owner must not write after its successor has started."""

    async def test(store, standin):
        await store.append(JOBS_TOPIC, 0, [KeyedRecord("a", b"1")], 4, 0)
        await store.append(JOBS_TOPIC, 0, [], 5, 0)
        with pytest.raises(StoreFenced):
            await store.append(JOBS_TOPIC, 0, [KeyedRecord("a", b"2")], 4, 1)

    run_with_store(test)


def test_sequence_gap_is_refused(run_with_store):
    """A batch must be neither skipped nor written twice."""

    async def test(store, standin):
        await store.append(JOBS_TOPIC, 0, [KeyedRecord("a", b"1")], 4, 0)
        await store.append(JOBS_TOPIC, 0, [KeyedRecord("a", b"1")], 4, 0)
        assert len(standin.partition(JOBS_TOPIC).records) == 1
        with pytest.raises(StoreSequenceExpected) as caught:
            await store.append(JOBS_TOPIC, 0, [KeyedRecord("a", b"2")], 4, 7)
        assert caught.value.expected == 1

    run_with_store(test)


def test_refusal_differs_from_lost_answer(run_with_store, monkeypatch):
    """Only after a refusal is it certain that nothing was written."""
    monkeypatch.setattr(store_module, "CALL_TIMEOUT_S", 0.1)

    async def test(store, standin):
        standin.refuse_calls = True
        with pytest.raises(StoreRejected):
            await store.read_owners()
        standin.refuse_calls = False
        standin.lose_answers = 1
        with pytest.raises(StoreUnavailable) as caught:
            await store.join("m", 0, 1.5)
        assert not isinstance(caught.value, StoreRejected)

    run_with_store(test)


def test_group_hands_over_partitions(run_with_store):
    """Two entries must never own the same partition at the same time."""

    async def test(store, standin):
        first = await store.join("a", 0, 1.5)
        assert first.partitions == list(range(24))
        await store.join("b", 0, 1.5)
        reduced = await store.join("a", first.generation, 1.5)
        assert len(reduced.partitions) == 12
        await store.join("a", reduced.generation, 1.5)
        second = await store.join("b", reduced.generation, 1.5)
        assert set(second.partitions).isdisjoint(reduced.partitions)
        owners = await store.read_owners()
        assert set(owners.values()) == {"a", "b"}

    run_with_store(test)


def test_malformed_records_are_skipped():
    """A malformed record must not stop a follower."""
    records = [b"\x03abcv", b"", b"\x02\xff\xfe", b"\x01ku"]
    body = bytes(16)
    for content in records:
        body += len(content).to_bytes(4, "big") + content
    page = store_module._decode_page(body + b"\0\0", 5)
    assert page.next_offset == 9
    assert [r.key for r in page.records] == ["abc", "k"]


def test_later_records_are_followed_in_batches(run_with_store):
    """Guards against polls that grow with entries x agents.

    Each of 35 entries renews its registration at a time of its own, and each of 160
    agents follows all of them.
    """

    async def test(store, standin):
        received = []

        async def follow():
            async for record in store.follow("keyed.op", 1.0, 0.1, "test", 0.2, 0.3):
                received.append(record.key)

        follower = asyncio.create_task(follow())
        await asyncio.sleep(0.3)
        calls_before = len(standin.received_calls)
        for number in range(20):
            standin.put("keyed.op", f"e{number}", b"v")
            await asyncio.sleep(0.03)
        async with asyncio.timeout(3):
            while len(received) < 20:
                await asyncio.sleep(0.02)
        follower.cancel()
        assert len(standin.received_calls) - calls_before <= 6

    run_with_store(test)
