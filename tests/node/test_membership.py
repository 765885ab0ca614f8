"""Membership of an entry, with a store in memory."""

import asyncio
from types import SimpleNamespace

from turmericknot.core.exceptions import StoreFenced
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

    def shard_partition(self, shard, shard_count):
        return shard

    async def join(self, member, generation, ttl_s):
        self.joined_generation = generation
        return self.group

    async def read_owners(self):
        return {}

    async def append(self, topic, partition, records, epoch, sequence):
        if epoch < self.epoch:
            raise StoreFenced("fenced")
        self.epoch = epoch

    async def read_newest(self, topic, partition):
        records = list(self.records)
        await self.may_answer_reads.wait()
        return len(records), records


def test_owner_in_between_is_noticed_while_a_shard_is_loaded(monkeypatch):
    """An outdated copy of a shard must not be served: an accepted job would be gone."""
    monkeypatch.setattr(memberships, "JOIN_INTERVAL_S", 0.01)
    monkeypatch.setattr(memberships, "RETRY_DELAY_S", 0.01)

    async def main():
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
        task.cancel()

    asyncio.run(main())
