import pytest

from turmericknot.conf.schema import MembershipSettings
from turmericknot.membership import state as membership
from turmericknot.membership.homes import RELEASE_SEQUENCE, choose_home
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


def tick_range(state, start, end, step=0.25):
    """Return the changes and reports of all ticks from ``start`` to ``end``."""
    total = membership.MembershipChanges()
    reports = []
    now = start
    while now <= end:
        changes = membership.tick(state, now)
        total.streams_to_probe += changes.streams_to_probe
        total.unusable_streams += changes.unusable_streams
        total.usable_streams += changes.usable_streams
        total.lost_peer_streams += changes.lost_peer_streams
        reports += [changes.report] if changes.report else []
        now += step
    return total, reports


def test_silent_agent_is_probed_then_suspect_within_three_seconds(state):
    """Guards against assigning tasks to a dead VM whose stream never closes."""
    assert membership.agent_connected(state, 1, hello(), 100.0).usable_streams == [1]
    total, reports = tick_range(state, 100.0, 103.0)
    assert total.streams_to_probe == [1]
    assert total.unusable_streams == [1]
    assert reports == [AgentStates([AgentReport("a1#1", False)])]


def test_answered_probe_keeps_an_idle_agent_usable(state):
    """Guards against suspecting a live agent that has another entry as its home."""
    membership.agent_connected(state, 1, hello(), 100.0)
    for second in range(100, 130):
        total, _ = tick_range(state, second, second + 0.9)
        assert not total.unusable_streams
        if total.streams_to_probe:
            membership.agent_frame_received(state, 1, second + 0.95)


def test_flapping_agent_waits_longer_each_time(state):
    """Guards against an agent that is removed and added back on every flap."""
    waits = []
    now = 100.0
    for _ in range(4):
        changes = membership.agent_connected(state, 1, hello(), now)
        start = now
        while 1 not in changes.usable_streams:
            now += 0.25
            membership.agent_frame_received(state, 1, now)
            changes = membership.tick(state, now)
        waits.append(now - start)
        membership.agent_disconnected(state, 1, now)
    assert waits[0] == 0.0
    assert waits == sorted(waits)
    assert waits[3] >= 6.0


def test_planned_leave_does_not_count_as_loss(state):
    membership.agent_connected(state, 1, hello(), 100.0)
    membership.agent_disconnected(state, 1, 101.0, planned=True)
    assert membership.agent_connected(state, 2, hello(), 102.0).usable_streams == [2]


def test_live_agent_in_a_peer_report_is_probed_and_becomes_usable_again(state):
    """Guards against losing an agent everywhere when only its home cannot reach it."""
    membership.agent_connected(state, 1, hello(), 100.0)
    report = AgentStates([AgentReport("a1#1", False)])
    changes = membership.peer_report_received(state, report, 101.0)
    assert changes.unusable_streams == [1]
    assert changes.streams_to_probe == [1]
    membership.agent_frame_received(state, 1, 101.01)
    total, _ = tick_range(state, 101.25, 104.0)
    assert total.usable_streams == [1]


def test_silent_peer_is_reported_as_lost(state):
    address = EntryAddress("e2", "e2#1", "127.0.0.1:1", "fd1", "r1")
    membership.peer_connected(state, 9, address, 100.0)
    total, _ = tick_range(state, 100.0, 102.5)
    assert 9 in total.lost_peer_streams


def test_released_home_does_not_monitor_the_agent(state):
    """Guards against two entries that both monitor an agent after an entry joins."""
    address = EntryAddress("e2", "e2#1", "127.0.0.1:1", "fd1", "r1")
    name = next(
        f"a{n}" for n in range(99) if choose_home(f"a{n}", ["e1", "e2"]) == "e2"
    )
    membership.peer_connected(state, 9, address, 100.0)
    membership.agent_connected(state, 1, hello(name, f"{name}#1"), 100.0)
    membership.heartbeat_received(state, 1, 5, 100.1)
    membership.heartbeat_received(state, 1, RELEASE_SEQUENCE, 100.2)
    for tick in range(100, 140):
        membership.peer_frame_received(state, 9, tick / 1.0)
        total, _ = tick_range(state, tick, tick + 0.9)
        assert not total.streams_to_probe


def test_homes_are_distributed_evenly():
    entries = [f"e{n}" for n in range(10)]
    counts = dict.fromkeys(entries, 0)
    for n in range(690):
        counts[choose_home(f"agent-{n}", entries)] += 1
    assert max(counts.values()) < 2 * 69
