"""Admission on the demand of all entries."""

import pytest

from turmericknot.scheduling import admission, besteffort, demand
from turmericknot.scheduling.commands import Outcome

from .fleet import CORES, QUEUES, Fleet

OWN_BACKLOG = 1000  # more entries than there are
SEEDS = (1, 2, 3)


def is_refused(caller):
    return caller.outcome is Outcome.REFUSED


def is_in_time(caller):
    return caller.is_in_time


def play_crest(crest, at=None, **fields):
    """Play a mix at 0.7 of the capacity, then at the crest, then the rest."""
    fleet = Fleet(**fields)
    fleet.play(2.0, dict.fromkeys(QUEUES, 0.7 / 3))
    fleet.play(5.0, dict.fromkeys(QUEUES, crest / 3), at)
    fleet.play(8.0, {})
    return fleet


def count_refusals(fleets):
    """Return (refusals, those later than a quarter of the objective)."""
    refused = [c for fleet in fleets for c in fleet.callers if is_refused(c)]
    return len(refused), sum(caller.is_late_refusal for caller in refused)


@pytest.mark.parametrize("crest", [1.0, 1.3, 2.0])
def test_excess_of_a_crest_is_refused_at_once(crest):
    """Entries must not accept together what they refuse seconds later."""
    refused, late = count_refusals(play_crest(crest, seed=seed) for seed in SEEDS)
    assert refused
    assert late < 0.01 * refused


@pytest.mark.parametrize("crest, limit", [(1.3, 0.01), (2.0, 0.03)])
def test_excess_at_one_entry_is_refused_at_once(crest, limit):
    """The same must hold when one of the entries gets the whole crest."""
    refused, late = count_refusals(play_crest(crest, at=0, seed=seed) for seed in SEEDS)
    assert late < limit * refused


@pytest.mark.parametrize("at", [None, 0], ids=["spread", "one entry"])
def test_early_refusals_leave_more_jobs_in_time(at):
    """Refusing early must not cost answers in time."""
    fleets = [play_crest(1.3, at, seed=seed) for seed in SEEDS]
    own = [
        play_crest(1.3, at, min_entries=OWN_BACKLOG, floor_share=0.0, seed=seed)
        for seed in SEEDS
    ]
    shares, own_shares = ([f.share(is_in_time) for f in each] for each in (fleets, own))
    assert sum(shares) >= sum(own_shares)


def test_lost_digests_refuse_nothing_while_capacity_is_idle():
    """Work must not be refused on old evidence once the burst is over."""
    fleet = Fleet()
    fleet.lost_digest_share = 0.5
    fleet.play(4.0, {"large": 2.5})
    fleet.play(3.0, {})
    before = len(fleet.callers)
    fleet.play(3.0, dict.fromkeys(QUEUES, 0.15))
    assert not any(map(is_refused, fleet.callers[before:]))


def test_lost_workers_are_refused_at_once():
    """When a third of the workers leaves in a burst, the excess is refused early."""
    fleet = Fleet()
    fleet.play(2.0, dict.fromkeys(QUEUES, 0.25))
    for agent in fleet.agents[::3]:
        for entry in fleet.entries:
            fleet.site.disconnect(entry, agent)
    fleet.play(5.0, dict.fromkeys(QUEUES, 0.4))
    fleet.play(8.0, {})
    refused, late = count_refusals([fleet])
    assert refused
    assert late <= 0.01 * refused


def test_evidence_is_missing_without_recent_digests_or_entries():
    """Old digests, or too few entries, must not decide."""
    fleet = Fleet()
    member = fleet.entries[1].owner
    fleet.exchange_digests()
    fleet.exchange_digests()
    now = fleet.site.now
    assert demand.fleet_view(member, now).entries == 6
    assert demand.fleet_view(member, now + demand.MAX_DIGEST_AGE_S + 0.01) is None
    few = Fleet(entries=3)
    few.exchange_digests()
    assert demand.fleet_view(few.entries[1].owner, now) is None


def test_silent_entry_counts_until_its_grants_have_ended():
    """Its runs hold capacity that long, and none afterwards."""
    fleet = Fleet()
    fleet.exchange_digests()
    first, now = fleet.entries[0].owner, fleet.site.now
    own = demand.own_digest(first, now)
    assert first.demand.sum_for("e1", own, now + 1.2).entries == 5
    assert first.demand.sum_for("e1", own, now + 1.4).entries == 1


def test_work_elsewhere_is_ahead_of_a_new_job():
    """An entry without work of its own must see what waits at the others."""
    fleet = Fleet(floor_share=0.0)
    fleet.play(2.0, {"urgent": 2.5}, at=2)
    fleet.exchange_digests()
    other = fleet.entries[1].owner
    view = demand.fleet_view(other, fleet.site.now + demand.SNAPSHOT_S)
    assert view.queues["urgent"].waiting > 0
    assert view.cores == {"s": CORES}
    assert other.backlog.core_seconds_before(0) == 0


def test_running_tasks_of_lower_priority_delay_urgent_ones():
    """They release capacity only as they end."""
    assert admission._drain_s(10.0, 100.0, 100.0, 0.0, 0.0) == pytest.approx(0.1)
    assert admission._drain_s(10.0, 100.0, 0.0, 100.0, 0.8) == pytest.approx(
        0.57, abs=0.01
    )


def test_caller_that_leaves_gives_its_demand_back():
    """A job that nobody waits for must not keep others out."""
    fleet = Fleet()
    fleet.play(2.0, {"large": 2.0}, at=2)
    entry = fleet.entries[2]
    assert entry.owner.demand.waiting["large"][2] > 0
    for job in list(entry.shard.jobs.values()):
        waiter = job.waiters[0]
        besteffort.abandon_job(entry.owner, entry.shard, job.id, waiter, fleet.site.now)
    assert entry.owner.demand.waiting["large"][2] == pytest.approx(0, abs=1e-6)
    fleet.site.deliver_all()
    assert not any(agent.worker.running for agent in fleet.agents)
