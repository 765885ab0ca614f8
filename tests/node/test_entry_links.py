"""Links of an agent to the entries that it serves."""

import asyncio
from types import SimpleNamespace

import pytest

from turmericknot.node import entry_links
from turmericknot.node.registration import STALE_REGISTRATION_AGE_S, Registration
from turmericknot.scheduling import neighborhood, worker_health, worker_runs
from turmericknot.scheduling.worker_health import HealthState
from turmericknot.scheduling.worker_types import WorkerLife
from turmericknot.wire import shard_messages as wire


class RecordingLinks:
    """Records what the agent dials, sends and closes."""

    def __init__(self):
        self.dialed = {}
        self.sent = []

    def dial(self, key, address, create_hello):
        self.dialed[key] = create_hello()

    def stop_dialing(self, key):
        del self.dialed[key]

    def send(self, stream, message):
        self.sent.append((stream, message))

    def flush(self):
        pass

    def abort(self, stream, reason):
        pass


@pytest.fixture
def links(monkeypatch):
    recording = RecordingLinks()
    monkeypatch.setattr(entry_links, "create_links", lambda *a, **k: recording)
    state = worker_runs.create_worker_runs(1, 1.1, 1.0, 0.0)
    state.is_synced = True
    state.life = WorkerLife("i", 1, "s", True, 4000, 1024, 0, [], 0.0, 0.0)
    settings = SimpleNamespace(node="side-1", service="s", failure_domain="d")
    created = entry_links.create_entry_links(
        settings, "boot", state, None, lambda link, messages: None
    )
    return created, recording


def register(links, numbers, at=1000.0, port=7720, **fields):
    async def add():
        for number in numbers:
            address = f"10.0.0.{number}:{port}"
            links._add_registration(
                f"front-{number}", Registration(address, at, **fields)
            )
        await asyncio.sleep(2 * entry_links.REGISTRATIONS_SETTLE_S)

    asyncio.run(add())


def test_agent_connects_to_a_part_of_many_entries(links):
    """Guards against 160 x 35 connections when everything starts at once."""
    created, recording = links
    register(created, range(35))
    assert len(recording.dialed) == neighborhood.ENTRIES_PER_AGENT


def test_agent_leaves_an_entry_before_it_closes_the_link(links):
    """Guards against runs that are sent on a link while it closes."""
    created, recording = links
    register(created, range(10))
    for stream, address in enumerate(recording.dialed):
        created._on_opened(stream, wire.Grant(0, [], True), address)
    recording.sent.clear()
    register(created, range(10, 35))
    now = entry_links.steady_time()
    left = [
        stream
        for stream, message in recording.sent
        if isinstance(message, wire.WorkerChanged) and not message.worker.usable
    ]
    assert left
    count = len(recording.dialed)
    created.update(now + 1.0)
    assert len(recording.dialed) == count
    created.update(now + entry_links.LEAVE_DELAY_S + 0.5)
    assert len(recording.dialed) == count - len(left)


def test_entry_that_lacks_agents_is_served_as_well(links):
    created, recording = links
    register(created, range(35))
    chosen = set(recording.dialed)
    register(created, range(35), 1001.0, lacking_services=["s"])
    assert chosen < set(recording.dialed) and len(recording.dialed) == 35


def test_agent_follows_the_owner_of_durable_jobs(links):
    """Guards against an agent that never reports to the next owner of its runs."""
    created, recording = links
    register(created, range(35))
    chosen = set(recording.dialed)
    others = [n for n in range(35) if f"10.0.0.{n}:7720" not in chosen]
    for epoch, number in enumerate(others[:2], 1):
        owned_shards = [wire.ShardEpoch(0, epoch)]
        register(created, [number], 1000.0 + epoch, owned_shards=owned_shards)
        assert f"10.0.0.{number}:7720" in recording.dialed
    created.update(entry_links.steady_time() + entry_links.LEAVE_DELAY_S + 0.5)
    assert set(recording.dialed) == chosen | {f"10.0.0.{others[1]}:7720"}


def test_reused_address_belongs_to_the_newest_registration(links):
    """Guards against a removed entry whose address another one has taken over."""
    created, recording = links
    register(created, [1])
    asyncio.run(_register_other(created))
    assert list(created._registrations.current(0.0)) == ["front-new"]
    assert [link.name for link in created._entries.values()] == ["front-new"]
    assert list(recording.dialed) == ["10.0.0.1:7720"]


async def _register_other(links):
    links._add_registration("front-new", Registration("10.0.0.1:7720", 1002.0))
    await asyncio.sleep(2 * entry_links.REGISTRATIONS_SETTLE_S)


def test_stale_registration_is_not_used(links):
    """Guards against entries that were removed long before the agent started."""
    created, recording = links
    register(created, [1], at=1000.0)
    register(created, [2, 3, 4], at=1000.0 + STALE_REGISTRATION_AGE_S + 1)
    created._choose_entries()
    left = [link.name for link in created._entries.values() if link.leaving_since]
    assert left == ["front-1"]


@pytest.mark.parametrize("jump_s", [-86_400.0, 86_400.0])
def test_wrong_clock_of_an_entry_harms_no_other(links, jump_s):
    """Guards against an agent that leaves all entries but one with a wrong clock."""
    created, recording = links
    register(created, range(5), at=1000.0)
    register(created, [7], at=1000.0 + jump_s)
    register(created, range(5), at=1030.0)
    register(created, [7], at=1030.0 + jump_s)
    created._choose_entries()
    assert len(recording.dialed) == 6
    assert not any(link.leaving_since for link in created._entries.values())


def test_connected_entry_without_access_to_the_store_is_kept(links):
    """An entry that is cut off from the store still serves best-effort jobs."""
    created, recording = links
    register(created, [1], at=1000.0)
    created._on_opened(1, wire.Grant(0, [], True), "10.0.0.1:7720")
    register(created, [2, 3, 4], at=1000.0 + STALE_REGISTRATION_AGE_S + 1)
    created._choose_entries()
    assert not any(link.leaving_since for link in created._entries.values())


def test_every_entry_is_told_the_health_of_the_worker(links):
    """Guards against an entry that joins, or has no runs, and is not told."""
    created, recording = links
    state = created._runs
    worker_health.enable(state, 0.0)

    def told():
        words = [s for s in recording.sent if isinstance(s[1], wire.WorkerHealth)]
        recording.sent.clear()
        return [(stream, word.state) for stream, word in words]

    register(created, range(2))
    for stream, address in enumerate(recording.dialed):
        created._on_opened(stream, wire.Grant(0, [], True), address)
        assert told() == [(stream, HealthState.SOUND)]
    created.report_health_changes()
    assert told() == []
    worker_health.run_stuck(state, entry_links.steady_time())
    created.report_health_changes()
    assert told() == [(0, HealthState.FAILING), (1, HealthState.FAILING)]
    created._on_closed(0, "closed")
    created._on_opened(2, wire.Grant(0, [], True), list(recording.dialed)[0])
    assert told() == [(2, HealthState.FAILING)]
