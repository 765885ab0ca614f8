"""The client of the store against a stand-in that fails in the store's ways."""

import asyncio

import pytest

from turmericknot.core.exceptions import (
    RecordsTrimmed,
    StoreFenced,
    StoreRejected,
    StoreSequenceExpected,
    StoreUnavailable,
)
from turmericknot.platform import store as module
from turmericknot.platform.store import JOBS_TOPIC, KeyedRecord


def test_newest_value_of_each_key(run_with_store):
    """A shard must be loaded whole, over several pages, without dropped keys."""

    async def test(store, standin):
        records = [KeyedRecord(f"{n:04}", b"v") for n in range(1200)]
        await store.append(JOBS_TOPIC, 0, records)
        await store.append(JOBS_TOPIC, 0, [KeyedRecord("0003", b"")])
        await store.append(JOBS_TOPIC, 0, [KeyedRecord("0005", b"w")])
        _, loaded = await store.newest(JOBS_TOPIC, 0)
        assert len(loaded) == 1199
        assert {r.key: r.value for r in loaded}["0005"] == b"w"

    run_with_store(test)


def test_watch_continues_where_it_ended(run_with_store):
    """A configuration change must be seen once, and none may be skipped."""

    async def test(store, standin):
        standin.put("keyed.op", "config", b"1")
        offset, _ = await store.newest("keyed.op", 0)
        waiting = asyncio.create_task(store.watch("keyed.op", 0, offset, 5))
        await asyncio.sleep(0.05)
        standin.put("keyed.op", "config", b"2")
        page = await waiting
        assert [r.value for r in page.records] == [b"2"]
        page = await store.watch("keyed.op", 0, page.next_offset, 0.05)
        assert page.records == []

    run_with_store(test)


def test_watch_of_a_trimmed_offset(run_with_store):
    """A follower that fell behind the retention has to load anew."""

    async def test(store, standin):
        standin.partition("keyed.op").first = 10
        with pytest.raises(RecordsTrimmed) as caught:
            await store.watch("keyed.op", 0, 3, 0.05)
        assert caught.value.first_offset == 10

    run_with_store(test)


def test_earlier_epoch_is_fenced(run_with_store):
    """A former owner must not write after its successor has begun."""

    async def test(store, standin):
        await store.append(JOBS_TOPIC, 0, [KeyedRecord("a", b"1")], 4, 0)
        await store.append(JOBS_TOPIC, 0, [], 5, 0)
        with pytest.raises(StoreFenced):
            await store.append(JOBS_TOPIC, 0, [KeyedRecord("a", b"2")], 4, 1)

    run_with_store(test)


def test_sequence_has_to_follow(run_with_store):
    """A batch must be neither skipped nor written twice."""

    async def test(store, standin):
        await store.append(JOBS_TOPIC, 0, [KeyedRecord("a", b"1")], 4, 0)
        await store.append(JOBS_TOPIC, 0, [KeyedRecord("a", b"1")], 4, 0)
        assert len(standin.partition(JOBS_TOPIC).records) == 1
        with pytest.raises(StoreSequenceExpected) as caught:
            await store.append(JOBS_TOPIC, 0, [KeyedRecord("a", b"2")], 4, 7)
        assert caught.value.expected == 1

    run_with_store(test)


def test_refusal_and_lost_answer_differ(run_with_store, monkeypatch):
    """Only a refusal allows the statement that nothing was written."""
    monkeypatch.setattr(module, "CALL_TIMEOUT_S", 0.1)

    async def test(store, standin):
        standin.refuse = True
        with pytest.raises(StoreRejected):
            await store.owners()
        standin.refuse = False
        standin.lose = 1
        with pytest.raises(StoreUnavailable) as caught:
            await store.join("m", 0, 1.5)
        assert not isinstance(caught.value, StoreRejected)

    run_with_store(test)


def test_group_hands_shards_over(run_with_store):
    """Two entries must never hold one shard at the same time."""

    async def test(store, standin):
        first = await store.join("a", 0, 1.5)
        assert first.shards == list(range(24))
        await store.join("b", 0, 1.5)
        seen = await store.join("a", first.generation, 1.5)
        assert len(seen.shards) == 12
        await store.join("a", seen.generation, 1.5)
        second = await store.join("b", seen.generation, 1.5)
        assert set(second.shards).isdisjoint(seen.shards)
        owners = await store.owners()
        assert set(owners.values()) == {"a", "b"}

    run_with_store(test)


def test_bytes_of_another_writer_are_skipped():
    """One record that cannot be read must not stop a follower."""
    records = [b"\x03abcv", b"", b"\x02\xff\xfe", b"\x01ku"]
    body = bytes(16)
    for content in records:
        body += len(content).to_bytes(4, "big") + content
    page = module._decode_page(body + b"\0\0", 5)
    assert page.next_offset == 9
    assert [r.key for r in page.records] == ["abc", "k"]
