"""The agent's decisions: grants, the lease, ends, room and late orders."""

import pytest

from turmericknot.scheduling import (
    worker_leases,
    worker_lists,
    worker_runs,
    worker_starts,
    worker_types,
)
from turmericknot.scheduling.jobs import RunEnd
from turmericknot.scheduling.worker_types import HeldEnd, StartCall
from turmericknot.wire import shard_messages as wire

from .site import Agent

SHARD = 1 << 20
STREAM = 7


@pytest.fixture
def agent():
    agent = Agent("a", cpu=2000)
    agent.restart(100.0)
    grant(agent, 100.0)
    return agent


def grant(agent, now, epoch=1):
    shards = [wire.ShardEpoch(SHARD, epoch)]
    worker_leases.granted(agent.state, STREAM, wire.Grant(1, shards), now, now)
    agent.carry_out(now)


def order(agent, now, *indices, cpu=1000, epoch=1):
    """Order runs; return the messages that go back."""
    starts = [
        wire.RunStart(
            "00000000000000a1", 0, index, 1, cpu, 64, 0, "x", max_queue_wait_s=0.15
        )
        for index in indices
    ]
    life = agent.state.life.key
    message = wire.StartRuns(SHARD, epoch, life, starts)
    worker_starts.start_runs(agent.state, STREAM, message, now)
    return agent.carry_out(now)


def reasons(messages):
    return [
        refusal.reason
        for _, message in messages
        if isinstance(message, wire.RunsRefused)
        for refusal in message.runs
    ]


def test_ends_are_noted_after_a_restart_of_the_agent():
    """The numbers of ends go on; an agent that waits for number 1 looks for ever."""
    agent = Agent("a")
    agent.restart(100.0)
    name = wire.RunName("00000000000000a1", 0, 0, 1)
    agent.worker.ends = [HeldEnd(585 + n, name, RunEnd.DONE) for n in range(3)]
    agent.restart(101.0)
    worker_leases.note_ends(agent.state, agent.state.life.key, [586])
    assert worker_lists.next_hold(agent.state, 101.0).last_seen == 584
    worker_leases.note_ends(agent.state, agent.state.life.key, [585])
    assert worker_lists.next_hold(agent.state, 101.0).last_seen == 586
    worker_leases.note_ends(agent.state, agent.state.life.key, [587])
    assert worker_lists.next_hold(agent.state, 101.0).last_seen == 587


def test_an_end_that_is_not_noted_stays_listed(agent):
    """The owner must be able to ask for an end until it has stored it."""
    order(agent, 100.0, 0, 1)
    first, second = agent.worker.running
    agent.worker.end(first)
    agent.worker.end(second)
    agent.hold(100.1)
    worker_leases.note_ends(agent.state, agent.state.life.key, [2])
    assert worker_lists.next_hold(agent.state, 100.1).last_seen == 0
    worker_leases.note_ends(agent.state, agent.state.life.key, [1])
    assert worker_lists.next_hold(agent.state, 100.1).last_seen == 2


def test_no_run_beyond_the_room(agent):
    """Two owners may choose the same worker at the same moment."""
    assert reasons(order(agent, 100.0, 0, 1, 2)) == []
    assert len(agent.worker.running) == 2
    worker_starts.start_queued(agent.state, 100.2)
    assert reasons(agent.carry_out(100.2)) == ["room"]
    assert len(agent.worker.running) == 2


def test_room_that_becomes_free_is_used_at_once(agent):
    """A round trip to an owner would leave the room unused at the crest of a load."""
    order(agent, 100.0, 0, 1, 2)
    agent.worker.end(next(iter(agent.worker.running)))
    agent.hold(100.1)
    agent.carry_out(100.1)
    assert {name.index for name in agent.worker.running} == {1, 2}


def test_run_with_other_workers_in_sight_waits_briefly(agent):
    """A run must not wait on a full worker while another one has room."""
    order(agent, 100.0, 0, 1)
    life = agent.state.life.key
    start = wire.RunStart(
        "00000000000000a1", 0, 2, 1, 1000, 64, 0, "x", max_queue_wait_s=0.02
    )
    message = wire.StartRuns(SHARD, 1, life, [start])
    worker_starts.start_runs(agent.state, STREAM, message, 100.0)
    worker_starts.start_queued(agent.state, 100.03)
    assert reasons(agent.carry_out(100.03)) == ["room"]


def test_queued_run_can_be_stopped(agent):
    """A run whose caller has left while it waited must never begin."""
    order(agent, 100.0, 0, 1, 2)
    (waiting,) = [r.name for r in agent.state.runs.values() if r.order is not None]
    stop = wire.StopRuns(SHARD, 1, [waiting])
    worker_starts.stop_runs(agent.state, STREAM, stop, 100.05)
    for name in list(agent.worker.running):
        agent.worker.end(name)
    agent.hold(100.1)
    agent.carry_out(100.1)
    assert agent.worker.running == {}


def test_order_to_stop_at_an_agent_without_worker():
    """A restarted agent that knows no worker yet must answer, not fail."""
    agent = Agent("a")
    agent.restart(100.0, reports=False)
    grant(agent, 100.0)
    name = wire.RunName("00000000000000a1", 0, 0, 1)
    worker_starts.stop_runs(agent.state, STREAM, wire.StopRuns(SHARD, 1, [name]), 100.1)
    ((_, ended),) = agent.carry_out(100.1)
    assert [end.name for end in ended.ends] == [name]


def test_most_urgent_of_the_queued_runs_begins_first(agent):
    """Short urgent work must not wait behind long work on a full worker."""
    order(agent, 100.0, 0, 1)
    life = agent.state.life.key
    for index, priority in ((2, 2), (3, 0)):
        start = wire.RunStart(
            "00000000000000a1",
            0,
            index,
            1,
            1000,
            64,
            0,
            "x",
            priority,
            max_queue_wait_s=0.15,
        )
        message = wire.StartRuns(SHARD, 1, life, [start])
        worker_starts.start_runs(agent.state, STREAM, message, 100.0)
    agent.worker.end(next(iter(agent.worker.running)))
    agent.hold(100.1)
    agent.carry_out(100.1)
    assert 3 in {name.index for name in agent.worker.running}


def test_small_run_does_not_pass_a_more_urgent_one(agent):
    """At the crest of a load small tasks would take all room that becomes free."""
    order(agent, 100.0, 0, 1)
    life = agent.state.life.key
    for index, priority, cpu in ((2, 0, 1500), (3, 1, 900)):
        start = wire.RunStart(
            "00000000000000a1",
            0,
            index,
            1,
            cpu,
            64,
            0,
            "x",
            priority,
            max_queue_wait_s=0.15,
        )
        message = wire.StartRuns(SHARD, 1, life, [start])
        worker_starts.start_runs(agent.state, STREAM, message, 100.0)
    for now in (100.05, 100.1):
        agent.worker.end(next(iter(agent.worker.running)))
        agent.hold(now)
        agent.carry_out(now)
    assert {name.index for name in agent.worker.running} == {2}


def order_urgent(agent, now, index=5):
    """Order an urgent run that may wait for 80 ms; return the messages back."""
    start = wire.RunStart(
        "00000000000000a2",
        0,
        index,
        1,
        1000,
        64,
        0,
        "x",
        max_queue_wait_s=0.08,
        expected=0.1,
    )
    message = wire.StartRuns(SHARD, 1, agent.state.life.key, [start])
    worker_starts.start_runs(agent.state, STREAM, message, now)
    return agent.carry_out(now)


def test_urgent_run_does_not_wait_behind_long_runs(agent):
    """Another worker may have room in a moment; this one has none for a second."""
    order(agent, 100.0, 0, 1)
    hold_with_percent(agent, 100.1, 10)
    assert reasons(order_urgent(agent, 100.1)) == ["room"]


def test_urgent_run_waits_for_a_run_that_is_about_to_end(agent):
    """The room of a run that ends in a moment must go to the most urgent run."""
    order(agent, 100.0, 0, 1)
    hold_with_percent(agent, 100.4, 90)
    assert reasons(order_urgent(agent, 100.4)) == []
    agent.worker.end(next(iter(agent.worker.running)))
    agent.hold(100.45)
    agent.carry_out(100.45)
    assert 5 in {name.index for name in agent.worker.running}


def test_each_waiting_run_needs_an_end_of_its_own(agent):
    """Several owners may send urgent runs for the same room."""
    order(agent, 100.0, 0)
    order(agent, 100.0, 1)
    hold_with_percent(agent, 100.4, 90)
    refusals = [reasons(order_urgent(agent, 100.4, index)) for index in (5, 6, 7)]
    assert refusals == [[], [], ["room"]]


def test_no_run_on_a_draining_worker(agent):
    """A worker about to leave must get nothing once its report is acknowledged."""
    agent.report(100.1, usable=False)
    assert reasons(order(agent, 100.1, 0)) == ["no_worker"]


def test_no_run_for_an_earlier_owner(agent):
    """A former owner may have woken up."""
    grant(agent, 100.1, epoch=2)
    assert reasons(order(agent, 100.1, 0, epoch=1)) == ["fenced"]


def test_no_run_without_a_grant(agent):
    """An order that was held up must not begin after its owner gave it up."""
    assert reasons(order(agent, 101.2, 0)) == ["no_grant"]


def test_lease_ends_with_the_grant(agent):
    """A run must not outlast the time after which its owner replaces it."""
    order(agent, 100.0, 0)
    call = worker_lists.next_hold(agent.state, 100.5)
    assert call.deadline_ms <= 101_100
    assert worker_lists.next_hold(agent.state, 101.2).deadline_ms is None


def test_runs_are_stopped_before_the_grant_ends(agent):
    """Otherwise the lease lapses, and with it the runs of other owners."""
    order(agent, 100.0, 0)
    worker_leases.check_grants(agent.state, 100.85)
    agent.carry_out(100.85)
    assert agent.worker.running == {}
    assert agent.worker.ends[0].how is RunEnd.STOPPED


def test_unanswered_start_is_settled_by_a_higher_fence(agent):
    """An order without an answer may be carried out seconds later."""
    agent.auto = False
    order(agent, 100.0, 0)
    (call,) = agent.start_calls
    worker_starts.start_unanswered(agent.state, call.name, 100.1)
    held = worker_lists.next_hold(agent.state, 100.1)
    assert held.fence > call.fence
    result = worker_types.HoldResult(100_100, 1)
    worker_lists.held(agent.state, held, result, 100.1)
    assert reasons(agent.carry_out(100.1)) == ["answer_lost"]


def test_look_sent_before_the_fence_settles_nothing(agent):
    """A look under the former fence does not exclude the late order."""
    agent.auto = False
    order(agent, 100.0, 0)
    (call,) = agent.start_calls
    early = worker_lists.next_hold(agent.state, 100.05)
    worker_starts.start_unanswered(agent.state, call.name, 100.1)
    worker_lists.held(agent.state, early, worker_types.HoldResult(100_100, 1), 100.1)
    assert reasons(agent.carry_out(100.1)) == []


def test_late_order_is_stopped(agent):
    """A run that nobody wants any more must not hold room."""
    name = wire.RunName("00000000000000a9", 0, 0, 1)
    agent.worker.running[name] = 100.0
    agent.hold(100.1)
    agent.carry_out(100.1)
    assert agent.worker.running == {}


def test_restarted_worker_has_lost_its_runs(agent):
    """An owner must hear at once that its runs are gone."""
    order(agent, 100.0, 0)
    agent.hold(100.1)
    agent.worker.running.clear()
    agent.report(100.2, born=2)
    ends = [
        end.how
        for _, message in agent.carry_out(100.2)
        if isinstance(message, wire.RunsEnded)
        for end in message.ends
    ]
    assert ends == [RunEnd.LOST]
    assert not agent.report(100.3, born=1)  # a late report of the former life


def test_run_of_the_next_life_is_not_lost(agent):
    """A start may reach a life that has begun under the same id, unknown to the agent.

    The owner that hears of its loss would start the task a second time.
    """
    order(agent, 100.0, 0)
    agent.report(100.2, born=2)
    assert agent.carry_out(100.2) == []
    result = worker_types.HoldResult(
        100_200, 2, [worker_types.HeldRun(name, 1) for name in agent.worker.running]
    )
    call = worker_lists.next_hold(agent.state, 100.2)
    worker_lists.held(agent.state, call, result, 100.2)
    assert agent.carry_out(100.2) == []
    assert len(agent.state.runs) == 1


def test_run_that_the_next_life_does_not_list_is_lost(agent):
    """A start that only the former life has seen must run elsewhere."""
    order(agent, 100.0, 0)
    agent.report(100.2, born=2)
    call = worker_lists.next_hold(agent.state, 100.2)
    worker_lists.held(agent.state, call, worker_types.HoldResult(10, 2), 100.2)
    assert reasons(agent.carry_out(100.2)) == ["answer_lost"]


def test_ends_are_forgotten_once(agent):
    """A life that has begun under the same id would forget ends of its own."""
    order(agent, 100.0, 0)
    agent.worker.end(next(iter(agent.worker.running)))
    agent.hold(100.1)
    worker_leases.note_ends(agent.state, agent.state.life.key, [1])
    assert agent.hold(100.2).last_seen == 1
    assert agent.hold(100.3).last_seen == 0


def test_life_that_a_later_one_has_answered_for_gets_nothing(agent):
    """Its starts and notes would reach the later life, whose ends are not known."""
    order(agent, 100.0, 0)
    call = worker_lists.next_hold(agent.state, 100.1)
    worker_lists.held(agent.state, call, worker_types.HoldResult(10, 2), 100.1)
    agent.carry_out(100.1)
    assert not worker_runs.worker_report(agent.state).usable
    assert reasons(order(agent, 100.1, 1)) == ["no_worker"]
    assert worker_lists.next_hold(agent.state, 100.1).last_seen == 0
    agent.report(100.2, born=2)
    assert worker_runs.worker_report(agent.state).usable


def test_fence_passes_one_that_the_worker_does_not_tell(agent):
    """A worker that has restarted may have seen a fence far ahead of its clock."""
    agent.restart(100.5)
    seen = agent.state.fence + 300_000
    refusals = 0
    while agent.state.fence < seen:
        worker_runs.fence_refused(agent.state, 100.5)
        refusals += 1
    assert refusals < 12
    agent.hold(100.6)
    worker_runs.fence_refused(agent.state, 100.6)
    assert agent.state.fence < seen + 400_000


def test_fence_rises_with_every_process(agent):
    """Orders of a former process of the agent must not be carried out any more."""
    before = agent.state.fence
    agent.restart(100.5)
    assert agent.state.fence > before
    order(agent, 100.5, 0)
    assert all(isinstance(call, StartCall) for call in agent.start_calls)


def restart_beside_an_end(agent, now):
    """Restart the agent beside a worker that lists an end of a former process."""
    name = wire.RunName("00000000000000a8", 0, 0, 1)
    agent.worker.ends = [HeldEnd(1, name, RunEnd.DONE)]
    agent.restart(now)
    grant(agent, now)


def test_ends_of_jobs_that_are_not_kept_hold_up_nobody(agent):
    """After the restart of all processes no owner would take note of them."""
    restart_beside_an_end(agent, 100.5)
    worker_leases.former_shards_learned(agent.state, [])
    assert reasons(order(agent, 100.6, 0)) == []
    assert worker_lists.next_hold(agent.state, 100.6).last_seen == 1


def test_ends_of_stored_jobs_wait_for_their_owner(agent):
    """A task must not run again once its end has been taken note of."""
    restart_beside_an_end(agent, 100.5)
    worker_leases.former_shards_learned(agent.state, [0])
    assert reasons(order(agent, 100.6, 0)) == ["no_lease"]
    assert worker_lists.next_hold(agent.state, 100.6).last_seen == 0
    worker_leases.granted(
        agent.state, 8, wire.Grant(2, [wire.ShardEpoch(0, 1)]), 100.7, 100.7
    )
    (ended,) = [
        message
        for stream, message in agent.carry_out(100.7)
        if stream == 8 and isinstance(message, wire.RunsEnded)
    ]
    assert ended.ends[0].how == RunEnd.DONE
    assert reasons(order(agent, 100.7, 0)) == []


def test_ends_of_stored_jobs_outlast_the_former_lease(agent):
    """Work that is done must not be done again because a new owner comes late."""
    restart_beside_an_end(agent, 100.5)
    worker_leases.former_shards_learned(agent.state, [0])
    grant(agent, 101.7)
    agent.hold(101.7)
    assert worker_lists.next_hold(agent.state, 101.8).last_seen == 0


def test_ends_found_are_over_when_the_former_lease_has_lapsed(agent):
    """The store may be away, and with it the owners of the shards of stored jobs."""
    restart_beside_an_end(agent, 100.5)
    assert reasons(order(agent, 100.6, 0)) == ["no_lease"]
    grant(agent, 101.7)
    assert reasons(order(agent, 101.7, 0)) == []


def test_run_found_of_a_job_that_is_not_kept_holds_up_nobody(agent):
    """An order carried out late must not end the lease of all other runs."""
    worker_leases.former_shards_learned(agent.state, [])
    order(agent, 100.0, 0)
    agent.auto = False
    agent.worker.running[wire.RunName("00000000000000a9", 0, 0, 1)] = 100.0
    agent.hold(100.1)
    assert worker_lists.next_hold(agent.state, 100.2).deadline_ms is not None


def test_stop_of_a_run_that_was_found_is_repeated(agent):
    """The first order to stop may have got lost, and no owner repeats it."""
    agent.auto = False
    agent.worker.running[wire.RunName("00000000000000a9", 0, 0, 1)] = 100.0
    for now in (100.1, 100.2, 100.5):
        agent.hold(now)
        agent.carry_out(now)
    assert len(agent.stop_calls) == 2


def recall(agent, now, usable=True):
    """Restart the agent and let it recall its worker."""
    agent.restart(now, reports=False)
    life = agent.life(now, usable=usable)
    life.sequence = -1
    used = worker_runs.worker_recalled(agent.state, life, now)
    agent.hold(now)
    grant(agent, now)
    return used


def test_recalled_worker_gets_runs_before_it_reports(agent):
    """After a restart of all processes each second without workers is lost."""
    assert recall(agent, 100.5)
    assert reasons(order(agent, 100.6, 0)) == []


def test_recalled_worker_that_stays_silent_is_not_used(agent):
    """It may drain, or be gone, since the former process stored its record."""
    recall(agent, 100.5)
    assert not worker_runs.recall_ended(agent.state, 102.3)
    assert worker_runs.recall_ended(agent.state, 102.5)
    grant(agent, 102.5)
    assert reasons(order(agent, 102.5, 0)) == ["no_worker"]
    assert agent.report(102.6)
    assert reasons(order(agent, 102.6, 0)) == []


def test_recalled_worker_that_drains_gets_nothing(agent):
    """The report of the drain was acknowledged by a former process."""
    recall(agent, 100.5, usable=False)
    assert reasons(order(agent, 100.6, 0)) == ["no_worker"]


def test_report_goes_before_the_record(agent):
    """The record may be that of an earlier life."""
    agent.restart(100.5)
    assert not worker_runs.worker_recalled(agent.state, agent.life(100.6), 100.6)
    agent.report(100.7)
    assert not worker_runs.recall_ended(agent.state, 110.0)


def test_recalled_life_that_is_over_gets_nothing(agent):
    """The worker may have restarted under the same id while no agent ran."""
    agent.restart(100.5, reports=False)
    life = agent.life(100.5)
    worker_runs.worker_recalled(agent.state, life, 100.5)
    call = worker_lists.next_hold(agent.state, 100.5)
    worker_lists.held(agent.state, call, worker_types.HoldResult(10, 2), 100.5)
    assert worker_runs.worker_report(agent.state) is None


def hold_with_percent(agent, now, percent):
    call = worker_lists.next_hold(agent.state, now)
    rows = [worker_types.HeldRun(name, percent) for name in agent.worker.running]
    ends = list(agent.worker.ends)
    result = worker_types.HoldResult(int(now * 1000), 1, rows, ends)
    worker_lists.held(agent.state, call, result, now)
    return agent.carry_out(now)


def test_run_that_stands_still_is_stopped(agent):
    """A hanging task would hold its job until the caller leaves."""
    order(agent, 100.0, 0)
    hold_with_percent(agent, 100.1, 20)
    grant(agent, 100.6)
    hold_with_percent(agent, 100.9, 20)
    assert agent.worker.running
    grant(agent, 101.2)
    hold_with_percent(agent, 101.2, 20)
    assert agent.worker.running == {}
    messages = hold_with_percent(agent, 101.25, 20)
    (ended,) = [m for _, m in messages if isinstance(m, wire.RunsEnded)]
    assert ended.ends[0].how == RunEnd.STUCK


def test_slow_run_that_advances_is_left_alone(agent):
    """A long task on a sound worker is no fault."""
    order(agent, 100.0, 0)
    for step in range(1, 9):
        grant(agent, 100.0 + step * 0.5)
        hold_with_percent(agent, 100.0 + step * 0.5, step)
    assert agent.worker.running
