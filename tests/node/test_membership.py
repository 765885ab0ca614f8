"""Membership of an entry, with a store in memory."""

import asyncio
from types import SimpleNamespace

import pytest

from turmericknot.core.exceptions import StoreFenced, StoreUnavailable
from turmericknot.node import membership as memberships
from turmericknot.platform.store import GroupAssignment, KeyedRecord
from turmericknot.scheduling.owner import create_owner

SHARD = 0


class Store:
    """A store with one shard, whose group the test changes; reads may be held back."""

    def __init__(self):
        self.group = GroupAssignment(1, [SHARD])
        self.joined_generation = None  # as the member last named it
        self.epoch = 0
        self.records = []
        self.may_answer_reads = asyncio.Event()
        self.is_available = True  # whether appends are answered

    def shard_partition(self, shard, shard_count):
        return shard

    async def join(self, member, generation, ttl_s):
        self.joined_generation = generation
        return self.group

    async def read_owners(self):
        return {}

    async def append(self, topic, partition, records, epoch, sequence):
        if not self.is_available:
            raise StoreUnavailable("silent")
        if epoch < self.epoch:
            raise StoreFenced("fenced")
        self.epoch = epoch

    async def read_newest(self, topic, partition):
        records = list(self.records)
        await self.may_answer_reads.wait()
        return len(records), records


@pytest.fixture
def run_member(monkeypatch):
    """Run ``test(owner, store, change_group)`` beside a member of the group."""
    monkeypatch.setattr(memberships, "JOIN_INTERVAL_S", 0.01)
    monkeypatch.setattr(memberships, "RETRY_DELAY_S", 0.01)

    async def main(test):
        owner, store = create_owner(), Store()
        node = SimpleNamespace(
            owner=owner,
            append_listener=None,
            on_task_failure=None,
            execute_commands=lambda: None,
            update_peers=lambda: None,
        )

        async def change_group(generation, shards):
            store.group = GroupAssignment(generation, shards)
            while store.joined_generation != generation:
                await asyncio.sleep(0.01)

        membership = memberships.create_membership(node, store, "entry", 1)
        task = asyncio.create_task(membership.run())
        async with asyncio.timeout(5):
            await test(owner, store, change_group)
        task.cancel()

    return lambda test: asyncio.run(main(test))


def test_owner_in_between_is_noticed_while_a_shard_is_loaded(run_member):
    """An outdated copy of a shard must not be served: an accepted job would be gone."""

    async def test(owner, store, change_group):
        await change_group(1, [SHARD])
        await change_group(2, [])
        store.epoch = 2  # another entry owns the shard and accepts a job
        store.records.append(KeyedRecord("agent/agent-0", b"1"))
        await change_group(3, [SHARD])
        store.may_answer_reads.set()
        while SHARD not in owner.shards:
            await asyncio.sleep(0.01)
        assert owner.shards[SHARD].epoch == 3
        assert owner.shards[SHARD].recorded_agents == {"agent-0"}

    run_member(test)


def test_retained_shard_is_not_confirmed_before_it_is_verified(run_member):
    """Guards against a denied job that another entry has accepted in between."""

    async def test(owner, store, change_group):
        store.may_answer_reads.set()
        await change_group(1, [SHARD])
        while SHARD not in owner.shards:
            await asyncio.sleep(0.01)
        store.is_available = False
        await change_group(2, [SHARD])
        confirmed_at = owner.shards[SHARD].confirmed_at
        await asyncio.sleep(0.1)
        assert owner.shards[SHARD].confirmed_at == confirmed_at
        store.is_available = True
        while owner.shards[SHARD].confirmed_at == confirmed_at:
            await asyncio.sleep(0.01)

    run_member(test)
