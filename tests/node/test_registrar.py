"""The registration of an entry, by which agents find it."""

import asyncio

import pytest

from turmericknot.core.exceptions import StoreUnavailable
from turmericknot.node import registrar as registrars
from turmericknot.node.registration import decode_registration
from turmericknot.scheduling import owner as owners, ownership
from turmericknot.wire.shard_messages import ShardEpoch


class RecordingStore:
    """A store whose first ``failures`` appends fail."""

    def __init__(self, failures=0):
        self.failures = failures
        self.registrations = []

    async def append(self, topic, partition, records):
        if self.failures:
            self.failures -= 1
            raise StoreUnavailable("down")
        self.registrations += [decode_registration(record.value) for record in records]


@pytest.fixture
def run_registrar(monkeypatch):
    monkeypatch.setattr(registrars, "CHECK_INTERVAL_S", 0.01)
    monkeypatch.setattr(registrars, "RETRY_DELAY_S", 0.01)

    def run(store, test):
        async def main():
            registrar = registrars.create_registrar(store, "front-1", "10.0.0.1:1")
            task = asyncio.create_task(registrar.run())
            await asyncio.sleep(0.05)
            await test(registrar)
            task.cancel()

        asyncio.run(main())

    return run


def test_entry_registers_when_the_store_returns(run_registrar):
    store = RecordingStore(failures=2)

    async def test(registrar):
        assert [r.address for r in store.registrations] == ["10.0.0.1:1"]

    run_registrar(store, test)


def test_lack_of_agents_is_registered_once(run_registrar):
    """Guards against an entry that no agent of a rare service learns of."""
    store = RecordingStore()

    async def test(registrar):
        later = registrars.steady_time() + 10.0
        for _ in range(3):
            registrar.update_lacking_services(owners.create_owner(), ["rare"], later)
            await asyncio.sleep(0.03)
        assert [r.lacking_services for r in store.registrations] == [[], ["rare"]]

    run_registrar(store, test)


def test_lack_that_comes_and_goes_is_not_registered(run_registrar, monkeypatch):
    """Guards against a start at which all agents read hundreds of registrations."""
    monkeypatch.setattr(registrars, "CHECK_INTERVAL_S", 0.5)
    store = RecordingStore()

    async def test(registrar):
        later = registrars.steady_time() + 10.0
        for services in (["rare"], [], ["rare"], []):
            registrar.update_lacking_services(owners.create_owner(), services, later)
            await asyncio.sleep(0.005)
        assert len(store.registrations) == 1

    run_registrar(store, test)


def test_gained_shard_is_registered_at_once(run_registrar):
    """Guards against an owner of durable jobs that most agents do not know of."""
    store = RecordingStore()

    async def test(registrar):
        owner = owners.create_owner()
        registrar.update_needs(owner, 0.0)
        ownership.gain_shard(owner, 0, 5, [], 0.0)
        for _ in range(2):
            registrar.update_needs(owner, 0.0)
            await asyncio.sleep(0.03)
        ownership.lose_shard(owner, 0, "handover", 0.0)
        registrar.update_needs(owner, 0.0)
        await asyncio.sleep(0.03)
        assert [r.owned_shards for r in store.registrations] == [[], [ShardEpoch(0, 5)]]

    run_registrar(store, test)


def test_wanted_label_is_registered_until_it_is_forgotten(run_registrar):
    """Guards against an entry that no agent of a small rack learns of."""
    store = RecordingStore()

    async def test(registrar):
        owner = owners.create_owner()
        owner.wanted_labels.require("s", "r1", False, 0.0)
        for now in (0.0, 30.0, 61.0):
            registrar.update_needs(owner, now)
            await asyncio.sleep(0.03)
        owner.wanted_labels.require("s", "r2", False, 61.0)
        registrar.update_needs(owner, 61.0)
        await asyncio.sleep(0.03)
        wanted = [r.wanted_labels for r in store.registrations]
        assert wanted == [[], [("s", "r1")], [("s", "r2")]]

    run_registrar(store, test)
