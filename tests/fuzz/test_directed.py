"""Sequences of faults that random walks rarely reach."""

import pytest

from tests.fuzz import fifo
from tests.fuzz.knockouts import KNOCKOUTS
from tests.fuzz.oracle import InvariantViolation
from tests.fuzz.world import World
from turmericknot.dispatch.tasks import JobStatus


@pytest.fixture
def world():
    return World(7, fifo)


def links_between(world, first, second):
    names = {first.name, second.name}
    links = world.links.values()
    return [link for link in links if {link.dialer.name, link.acceptor.name} == names]


def exchange(world, first, second):
    """Deliver all messages between two processes, and the ends of broken streams."""
    for link in links_between(world, first, second):
        for node in (first, second):
            while link.queues.get(node.name):
                world.deliver_message(link, node)


def complete_appends_and_read(world, node):
    for append in list(world.pending_appends):
        world.complete_append(append)
    world.start_log_read(node)
    world.complete_log_read(node)


def reconnect_fenced_owner(world):
    """A fenced owner reconnects to an agent that runs its task for the new owner."""
    owner, other = world.entries[:2]
    spec = world.new_job(1, False, 25.0, 12.0)
    world.submit(owner, spec)
    complete_appends_and_read(world, owner)
    for agent in world.agents:
        exchange(world, agent, owner)
    running_agent = next(agent for agent in world.agents if agent.running_tasks)
    world.block_connection(other, owner)
    exchange(world, other, owner)
    owner.is_paused = True
    world.submit(other, spec)
    complete_appends_and_read(world, other)
    world.advance_time(0.6)
    complete_appends_and_read(world, other)
    exchange(world, running_agent, other)
    owner.is_paused = False
    world.break_link(links_between(world, running_agent, owner)[0])
    exchange(world, running_agent, owner)
    world.connect(running_agent, owner)
    for _ in range(2):
        for agent in world.agents:
            exchange(world, agent, owner)
    assert running_agent.running_tasks == [(spec[0], 0)]


def test_fenced_owner_starts_nothing_after_an_inventory(world):
    """Guards against a restart of a task that the agent lists only to the new owner."""
    reconnect_fenced_owner(world)
    world.clear_faults()
    world.run_without_faults(5.0)


def test_knockout_requeue_before_log_read_is_detected(world, monkeypatch):
    """Guards against a scenario that would not reveal a second start."""
    KNOCKOUTS["requeue_before_log_read"](monkeypatch.setattr)
    with pytest.raises(InvariantViolation, match="started 2 times"):
        reconnect_fenced_owner(world)


def test_takeover_starts_provably_unstarted_tasks(world):
    """Guards against a takeover that ends every job with the status UNKNOWN."""
    owner, other = world.entries[:2]
    spec = world.new_job(2, False, 25.0, 12.0)
    world.submit(owner, spec)
    complete_appends_and_read(world, owner)
    world.crash_node(owner)
    world.run_without_faults(1.0)
    world.submit(other, spec)
    world.run_without_faults(4.0)
    answers = [a.answer for a in world.oracle.attempts.values() if a.answer]
    assert [answer.status for answer in answers] == [JobStatus.COMPLETE]


def cancel_with_undecided_claim(world):
    """A job is cancelled while its claim is undecided; another entry wins the claim."""
    first, second = world.entries[:2]
    spec = world.new_job(1, False, 25.0, 12.0)
    world.submit(first, spec)
    (winning_append,) = world.pending_appends
    world.submit(second, spec)
    world.cancel(second, spec)
    for _ in range(8):
        for append in list(world.pending_appends):
            if append.node is second:
                world.complete_append(append, "dropped")
        world.start_log_read(second)
        world.complete_log_read(second)
        world.advance_time(0.05)
    if winning_append in world.pending_appends:
        world.complete_append(winning_append)
    world.run_without_faults(2.0)


def cancel_before_owner_crash(world):
    """The owner crashes before its cancel is logged; another entry then takes over."""
    owner, other = world.entries[:2]
    for agent in world.agents:
        world.block_connection(agent, owner)
        exchange(world, agent, owner)
    spec = world.new_job(1, False, 25.0, 12.0)
    world.submit(owner, spec)
    world.submit(other, spec)
    complete_appends_and_read(world, owner)
    complete_appends_and_read(world, other)
    world.cancel(owner, spec)
    for append in list(world.pending_appends):
        world.complete_append(append, "dropped")
    world.crash_node(owner)
    world.run_without_faults(4.0)


def takeover_of_cancelled_job(world):
    """Another entry takes over while an assignment by the former owner is in flight."""
    owner, other = world.entries[:2]
    spec = world.new_job(1, False, 25.0, 12.0)
    world.submit(owner, spec)
    world.submit(other, spec)
    complete_appends_and_read(world, owner)
    complete_appends_and_read(world, other)
    world.cancel(owner, spec)
    complete_appends_and_read(world, owner)
    complete_appends_and_read(world, other)
    world.block_connection(other, owner)
    exchange(world, other, owner)
    world.advance_time(0.6)
    complete_appends_and_read(world, other)
    world.cancel(other, spec)
    world.step += 1
    for agent in world.agents:
        exchange(world, agent, owner)


def refusal_then_claim_elsewhere(world):
    """An entry refuses a job whose claim is undecided; another entry claims the job."""
    first, second = world.entries[:2]
    spec = world.new_job(1, False, 25.0, 12.0)
    world.submit(first, spec)
    for _ in range(8):
        world.start_log_read(first)
        world.complete_log_read(first)
        world.advance_time(0.05)
    assert not world.unanswered_attempts()
    world.submit(second, spec)
    for append in [a for a in world.pending_appends if a.node is second]:
        world.complete_append(append)
    complete_appends_and_read(world, second)
    for agent in world.agents:
        exchange(world, agent, second)
    world.step += 1
    world.submit(first, spec)
    world.run_without_faults(2.0)


def resubmission_while_undecided(world):
    """A second attempt joins one whose refusal would be based on an earlier read."""
    first, second = world.entries[:2]
    spec = world.new_job(1, False, 25.0, 12.0)
    world.submit(first, spec)
    world.start_log_read(first)
    world.complete_log_read(first)
    first.can_reach_log = False
    world.submit(second, spec)
    for append in [a for a in world.pending_appends if a.node is second]:
        world.complete_append(append)
    complete_appends_and_read(world, second)
    for agent in world.agents:
        exchange(world, agent, second)
    world.step += 1
    world.submit(first, spec)
    world.advance_time(0.5)


SCENARIOS = {
    "skip_refusal_renewal": resubmission_while_undecided,
    "keep_undecided_refusal": refusal_then_claim_elsewhere,
    "cancel_before_claim_decided": cancel_with_undecided_claim,
    "cancel_before_recorded": cancel_before_owner_crash,
}


def test_cancel_after_takeover_waits_for_agents(world):
    """Guards against a start after a new owner acknowledged a cancel too early.

    It must have the inventories of the agents first.
    """
    takeover_of_cancelled_job(world)
    world.run_without_faults(4.0)
    cancels = [a for a in world.oracle.attempts.values() if a.kind == "cancel"]
    assert cancels and all(attempt.answer is not None for attempt in cancels)


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario_passes(world, name):
    """Guards against a false not_run and a start after an acknowledged cancel."""
    SCENARIOS[name](world)


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario_detects_knockout(world, name, monkeypatch):
    """Guards against scenarios that would not reveal the fault of their knockout."""
    KNOCKOUTS[name](monkeypatch.setattr)
    with pytest.raises(
        InvariantViolation, match="cancel was acknowledged|not_run, but"
    ):
        SCENARIOS[name](world)
