"""Floors of queues while capacity is short."""

from turmericknot.scheduling import demand, floors

from .fleet import CORES, QUEUES, Fleet

FLOOR = floors.FLOOR_SHARE


def served_in_wave(floor_share):
    """Return the share of the capacity that large jobs get in an urgent wave.

    Lent capacity comes back within their run time, a fifth of the wave.
    """
    fleet = Fleet(floor_share=floor_share, seed=2)
    fleet.play(2.0, {"urgent": 1.8})
    before = len(fleet.callers)
    fleet.play(8.0, {"urgent": 1.8, "large": 0.5})
    fleet.play(6.0, {})
    fleet.callers = fleet.callers[before:]
    return fleet.served_cores("large", 8.0)


def test_lowest_priority_keeps_its_floor_in_an_urgent_wave():
    """Its callers must not all be refused for the length of the wave."""
    assert served_in_wave(FLOOR) >= 0.8 * FLOOR
    assert served_in_wave(0.0) < 0.8 * FLOOR


def urgent_share_after_burst(**fields):
    """Return the share of urgent jobs in time, a run's length after a burst."""
    fleet = Fleet(**fields)
    fleet.play(6.0, {"large": 2.5})
    fleet.play(1.6, {"urgent": 0.5})
    before = len(fleet.callers)
    fleet.play(2.0, {"urgent": 0.5})
    fleet.play(1.0, {})
    fleet.callers = fleet.callers[before:]
    return fleet.share(lambda caller: caller.is_in_time)


def test_urgent_jobs_after_a_burst_of_large_ones():
    """A backlog of large jobs must not take the capacity that urgent ones need."""
    assert urgent_share_after_burst() > 0.5
    assert urgent_share_after_burst(min_entries=1000, floor_share=0.0) < 0.25


def test_unused_floor_is_lent():
    """A queue alone must get all of the capacity."""
    fleet = Fleet()
    fleet.play(4.0, {"large": 1.5})
    running = sum(len(agent.worker.running) for agent in fleet.agents)
    assert running >= 0.95 * CORES
    assert all(entry.owner.floors.in_force == 0 for entry in fleet.entries)


def test_floors_need_the_demand_of_the_fleet():
    """Without digests the priorities alone decide."""
    fleet = Fleet(min_entries=1000)
    fleet.play(3.0, dict.fromkeys(QUEUES, 0.6))
    owner = fleet.entries[1].owner
    jobs = floors.jobs_in_order(owner, fleet.site.now)
    assert jobs == owner.waiting.jobs()
    assert demand.fleet_view(owner, fleet.site.now) is None
