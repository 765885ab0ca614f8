import pytest

from turmericknot.conf.schema import MembershipSettings
from turmericknot.membership import state as membership
from turmericknot.membership.homes import RELEASED, home_of
from turmericknot.wire.messages import (
    AgentReport,
    AgentStates,
    EntryAddress,
    Hello,
)


def hello(agent_id="a1", incarnation="a1#1"):
    return Hello(1, agent_id, incarnation, "w1", "fd1", "r1", 8, 16.0, 32768, 0, 1)


@pytest.fixture
def state():
    return membership.create_membership_state(MembershipSettings(), "e1")


def ticks(state, start, end, step=0.25):
    """Return the merged changes of ticks over a span of time."""
    total = membership.Changes()
    reports = []
    now = start
    while now <= end:
        changes = membership.tick(state, now)
        total.probe += changes.probe
        total.unusable += changes.unusable
        total.usable += changes.usable
        total.lost_peers += changes.lost_peers
        reports += [changes.report] if changes.report else []
        now += step
    return total, reports


def test_silent_agent_is_probed_then_suspect_within_three_seconds(state):
    """Guards against work for a dead VM whose stream never closes."""
    assert membership.agent_connected(state, 1, hello(), 100.0).usable == [1]
    total, reports = ticks(state, 100.0, 103.0)
    assert total.probe == [1]
    assert total.unusable == [1]
    assert reports == [AgentStates([AgentReport("a1#1", False)])]


def test_answered_probe_keeps_an_idle_agent_usable(state):
    """Guards against suspecting an agent that chose another home."""
    membership.agent_connected(state, 1, hello(), 100.0)
    for second in range(100, 130):
        total, _ = ticks(state, second, second + 0.9)
        assert not total.unusable
        if total.probe:
            membership.agent_heard(state, 1, second + 0.95)


def test_flapping_agent_waits_longer_each_time(state):
    """Guards against an agent that is thrown out and in on every flap."""
    waits = []
    now = 100.0
    for _ in range(4):
        changes = membership.agent_connected(state, 1, hello(), now)
        start = now
        while 1 not in changes.usable:
            now += 0.25
            membership.agent_heard(state, 1, now)
            changes = membership.tick(state, now)
        waits.append(now - start)
        membership.agent_disconnected(state, 1, now)
    assert waits[0] == 0.0
    assert waits == sorted(waits)
    assert waits[3] >= 6.0


def test_planned_leave_is_no_loss(state):
    membership.agent_connected(state, 1, hello(), 100.0)
    membership.agent_disconnected(state, 1, 101.0, planned=True)
    assert membership.agent_connected(state, 2, hello(), 102.0).usable == [2]


def test_peer_report_of_a_live_agent_is_probed_and_overruled(state):
    """Guards against a partition at the home taking an agent from everybody."""
    membership.agent_connected(state, 1, hello(), 100.0)
    report = AgentStates([AgentReport("a1#1", False)])
    changes = membership.agents_reported(state, report, 101.0)
    assert changes.unusable == [1]
    assert changes.probe == [1]
    membership.agent_heard(state, 1, 101.01)
    total, _ = ticks(state, 101.25, 104.0)
    assert total.usable == [1]


def test_silent_peer_is_lost(state):
    address = EntryAddress("e2", "e2#1", "127.0.0.1:1", "fd1", "r1")
    membership.peer_connected(state, 9, address, 100.0)
    total, _ = ticks(state, 100.0, 102.5)
    assert 9 in total.lost_peers


def test_released_home_does_not_watch_the_agent(state):
    """Guards against two homes when an entry joins."""
    address = EntryAddress("e2", "e2#1", "127.0.0.1:1", "fd1", "r1")
    name = next(f"a{n}" for n in range(99) if home_of(f"a{n}", ["e1", "e2"]) == "e2")
    membership.peer_connected(state, 9, address, 100.0)
    membership.agent_connected(state, 1, hello(name, f"{name}#1"), 100.0)
    membership.heartbeat_received(state, 1, 5, 100.1)
    membership.heartbeat_received(state, 1, RELEASED, 100.2)
    for tick in range(100, 140):
        membership.peer_heard(state, 9, tick / 1.0)
        total, _ = ticks(state, tick, tick + 0.9)
        assert not total.probe


def test_homes_spread_evenly():
    entries = [f"e{n}" for n in range(10)]
    counts = dict.fromkeys(entries, 0)
    for n in range(690):
        counts[home_of(f"agent-{n}", entries)] += 1
    assert max(counts.values()) < 2 * 69
