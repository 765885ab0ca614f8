"""Combinations that random walks hardly reach, step by step."""

import pytest

from tests.fuzz import fifo
from tests.fuzz.knockouts import KNOCKOUTS
from tests.fuzz.oracle import Violation
from tests.fuzz.world import World
from turmericknot.dispatch.tasks import JobStatus


@pytest.fixture
def world():
    return World(7, fifo)


def links_between(world, first, second):
    names = {first.name, second.name}
    found = world.links.values()
    return [li for li in found if {li.dialler.name, li.acceptor.name} == names]


def exchange(world, first, second):
    """Deliver all that is under way between two processes, ends included."""
    for link in links_between(world, first, second):
        for node in (first, second):
            while link.queues.get(node.name):
                world.deliver(link, node)


def land_and_read(world, node):
    for pending in list(world.appends):
        world.land_append(pending)
    world.ask_log(node)
    world.answer_read(node)


def fenced_owner_reconnects(world):
    """The owner meets an agent that already follows the new owner."""
    owner, other = world.entries[:2]
    spec = world.new_job(1, False, 25.0, 12.0)
    world.submit(owner, spec)
    land_and_read(world, owner)
    for agent in world.agents:
        exchange(world, agent, owner)
    holder = next(agent for agent in world.agents if agent.running)
    world.block(other, owner)
    exchange(world, other, owner)
    owner.paused = True
    world.submit(other, spec)
    land_and_read(world, other)
    world.advance(0.6)
    land_and_read(world, other)
    exchange(world, holder, other)
    owner.paused = False
    world.break_link(links_between(world, holder, owner)[0])
    exchange(world, holder, owner)
    world.connect(holder, owner)
    for _ in range(2):
        for agent in world.agents:
            exchange(world, agent, owner)
    assert holder.running == [(spec[0], 0)]


def test_fenced_owner_starts_nothing_after_an_inventory(world):
    """Guards against an inventory that lists a task to the new owner alone."""
    fenced_owner_reconnects(world)
    world.heal()
    world.run_without_faults(5.0)


def test_knockout_table_after_inventory_is_noticed(world, monkeypatch):
    """Guards against a scenario above that could not fail."""
    KNOCKOUTS["table_after_inventory"](monkeypatch.setattr)
    with pytest.raises(Violation, match="started 2 times"):
        fenced_owner_reconnects(world)


def test_takeover_starts_what_provably_did_not_start(world):
    """Guards against a takeover that ends every job as unknown."""
    owner, other = world.entries[:2]
    spec = world.new_job(2, False, 25.0, 12.0)
    world.submit(owner, spec)
    land_and_read(world, owner)
    world.crash(owner)
    world.run_without_faults(1.0)
    world.submit(other, spec)
    world.run_without_faults(4.0)
    answers = [a.answer for a in world.oracle.attempts.values() if a.answer]
    assert [answer.status for answer in answers] == [JobStatus.COMPLETE]


def cancel_while_another_claims(world):
    """A cancel meets an undecided claim; another attempt then wins it."""
    first, second = world.entries[:2]
    spec = world.new_job(1, False, 25.0, 12.0)
    world.submit(first, spec)
    (winning,) = world.appends
    world.submit(second, spec)
    world.cancel(second, spec)
    for _ in range(8):
        for pending in list(world.appends):
            if pending.node is second:
                world.land_append(pending, "dropped")
        world.ask_log(second)
        world.answer_read(second)
        world.advance(0.05)
    if winning in world.appends:
        world.land_append(winning)
    world.run_without_faults(2.0)


def cancel_before_the_owner_dies(world):
    """The owner acknowledges a cancel and dies; another attempt waits."""
    owner, other = world.entries[:2]
    for agent in world.agents:
        world.block(agent, owner)
        exchange(world, agent, owner)
    spec = world.new_job(1, False, 25.0, 12.0)
    world.submit(owner, spec)
    world.submit(other, spec)
    land_and_read(world, owner)
    land_and_read(world, other)
    world.cancel(owner, spec)
    for pending in list(world.appends):
        world.land_append(pending, "dropped")
    world.crash(owner)
    world.run_without_faults(4.0)


def takeover_of_a_cancelled_job(world):
    """The order of the former owner is under way while another entry takes over."""
    owner, other = world.entries[:2]
    spec = world.new_job(1, False, 25.0, 12.0)
    world.submit(owner, spec)
    world.submit(other, spec)
    land_and_read(world, owner)
    land_and_read(world, other)
    world.cancel(owner, spec)
    land_and_read(world, owner)
    land_and_read(world, other)
    world.block(other, owner)
    exchange(world, other, owner)
    world.advance(0.6)
    land_and_read(world, other)
    world.cancel(other, spec)
    world.step += 1
    for agent in world.agents:
        exchange(world, agent, owner)


def refused_then_claimed_elsewhere(world):
    """An entry refuses a job whose claim is undecided; another one claims it."""
    first, second = world.entries[:2]
    spec = world.new_job(1, False, 25.0, 12.0)
    world.submit(first, spec)
    for _ in range(8):
        world.ask_log(first)
        world.answer_read(first)
        world.advance(0.05)
    assert not world.unanswered()
    world.submit(second, spec)
    for pending in [p for p in world.appends if p.node is second]:
        world.land_append(pending)
    land_and_read(world, second)
    for agent in world.agents:
        exchange(world, agent, second)
    world.step += 1
    world.submit(first, spec)
    world.run_without_faults(2.0)


def resubmitted_while_undecided(world):
    """A second attempt joins one whose refusal would rest on an older read."""
    first, second = world.entries[:2]
    spec = world.new_job(1, False, 25.0, 12.0)
    world.submit(first, spec)
    world.ask_log(first)
    world.answer_read(first)
    first.log_reachable = False
    world.submit(second, spec)
    for pending in [p for p in world.appends if p.node is second]:
        world.land_append(pending)
    land_and_read(world, second)
    for agent in world.agents:
        exchange(world, agent, second)
    world.step += 1
    world.submit(first, spec)
    world.advance(0.5)


SCENARIOS = {
    "renewal": resubmitted_while_undecided,
    "refusal_forgotten": refused_then_claimed_elsewhere,
    "cancel_undecided": cancel_while_another_claims,
    "cancel_record": cancel_before_the_owner_dies,
}


def test_cancel_taken_over_waits_for_the_agents(world):
    """Guards against a start after a cancel that a new owner acknowledged unasked."""
    takeover_of_a_cancelled_job(world)
    world.run_without_faults(4.0)
    cancels = [a for a in world.oracle.attempts.values() if a.kind == "cancel"]
    assert cancels and all(attempt.answer is not None for attempt in cancels)


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario_holds(world, name):
    """Guards against a false not_run and a start after an acknowledged cancel."""
    SCENARIOS[name](world)


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario_notices_the_knockout(world, name, monkeypatch):
    """Guards against scenarios above that could not fail."""
    KNOCKOUTS[name](monkeypatch.setattr)
    with pytest.raises(Violation, match="cancel was acknowledged|not_run, but"):
        SCENARIOS[name](world)
