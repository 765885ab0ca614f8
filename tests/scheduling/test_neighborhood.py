"""Which entries an agent serves, at the sizes of the deployments."""

import pytest

from turmericknot.scheduling import neighborhood, owner as owners, reports
from turmericknot.scheduling.neighborhood import EntryCandidate
from turmericknot.wire import shard_messages as wire


def candidates(entries, lost=(), lacking=()):
    return [
        EntryCandidate(
            f"front-{number}",
            number in lost,
            ("rare",) if number in lacking else (),
        )
        for number in range(entries)
    ]


def agents_by_entry(entries, agents, **options):
    served = {candidate.name: set() for candidate in candidates(entries)}
    for number in range(agents):
        for name in neighborhood.choose_entries(
            f"side-{number}", "s", candidates(entries, **options)
        ):
            served[name].add(number)
    return served


@pytest.mark.parametrize(("entries", "agents"), [(3, 11), (9, 56), (10, 58)])
def test_small_sites_are_fully_connected(entries, agents):
    served = agents_by_entry(entries, agents)
    assert all(len(numbers) == agents for numbers in served.values())


@pytest.mark.parametrize(("entries", "agents"), [(35, 160), (35, 690), (180, 820)])
def test_entries_have_similar_shares_of_the_agents(entries, agents):
    """Guards against an entry whose jobs wait while others have idle workers."""
    served = agents_by_entry(entries, agents)
    mean = agents * neighborhood.ENTRIES_PER_AGENT / entries
    sizes = [len(numbers) for numbers in served.values()]
    assert min(sizes) > neighborhood.MIN_AGENTS_PER_SERVICE
    assert min(sizes) > mean / 2 and max(sizes) < 1.6 * mean


def test_lost_entry_is_replaced_by_one_other():
    """Guards against reconnections of the whole fleet when one entry is lost."""
    for number in range(160):
        name = f"side-{number}"
        before = neighborhood.choose_entries(name, "s", candidates(35))
        after = neighborhood.choose_entries(name, "s", candidates(35, lost={7}))
        assert before <= after and len(after - before) == ("front-7" in before)


def test_lost_failure_domain_leaves_agents_at_every_entry():
    """The hash spreads the agents of an entry over all failure domains."""
    for numbers in agents_by_entry(35, 160).values():
        remaining = [number for number in numbers if number % 5 != 0]
        assert len(remaining) >= neighborhood.MIN_AGENTS_PER_SERVICE


def test_agents_of_a_small_service_serve_every_entry_that_lacks_them():
    """Guards against a service with three workers that some entries cannot reach."""
    everyone = candidates(35, lacking=range(35))
    for number in range(3):
        chosen = neighborhood.choose_entries(f"side-{number}", "rare", everyone)
        assert len(chosen) == 35
    other = neighborhood.choose_entries("side-9", "common", everyone)
    assert len(other) == neighborhood.ENTRIES_PER_AGENT


def test_every_agent_serves_the_latest_owner_of_durable_jobs():
    """Guards against accepted jobs that need workers which their owner cannot reach."""
    everyone = candidates(35)
    everyone[3].owned_shards = [wire.ShardEpoch(0, 4)]  # has not noticed the takeover
    everyone[7].owned_shards = [wire.ShardEpoch(0, 5)]
    for number in range(160):
        name = f"side-{number}"
        chosen = neighborhood.choose_entries(name, "s", everyone)
        by_hash = neighborhood.choose_entries(name, "s", candidates(35))
        assert chosen == by_hash | {"front-7"}


def test_agents_with_a_wanted_label_connect():
    """Guards against jobs that some entries refuse although their rack is idle."""
    everyone = candidates(35)
    for candidate in everyone:
        candidate.wanted_labels = [("s", "r1")]
    of_rack = neighborhood.choose_entries("side-1", "s", everyone, ["a", "r1"])
    of_service = neighborhood.choose_entries("side-1", "other", everyone, ["a", "r1"])
    assert len(of_rack) == 35
    assert len(of_service) == neighborhood.ENTRIES_PER_AGENT


@pytest.fixture
def create_owner():
    def create(agents, service="s", usable=True):
        owner = owners.create_owner()
        for number in range(agents):
            worker = wire.WorkerReport("l@1", service, usable, 4000, 1 << 20, 0, [])
            hello = wire.AgentHello(1, f"side-{number}", "b", "d", worker)
            reports.agent_connected(owner, hello, 0.0)
        return owner

    return create


@pytest.mark.parametrize(
    ("agents", "before", "expected"),
    [
        (0, (), ("s",)),
        (15, (), ("s",)),
        (16, (), ()),
        (16, ("s",), ("s",)),
        (24, (), ()),
    ],
)
def test_services_that_lack_agents(create_owner, agents, before, expected):
    owner = create_owner(agents)
    assert neighborhood.find_lacking_services(owner, ["s"], before) == expected


def test_disconnected_and_leaving_agents_do_not_count(create_owner):
    owner = create_owner(20)
    for number in range(10):
        reports.agent_disconnected(owner, f"side-{number}", 1.0)
    assert neighborhood.find_lacking_services(owner, ["s"], ()) == ("s",)
    assert neighborhood.find_lacking_services(
        create_owner(20, usable=False), ["s"], ()
    ) == ("s",)
