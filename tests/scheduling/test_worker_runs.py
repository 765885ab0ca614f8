"""The agent's decisions: grants, the lease, ends, capacity and delayed starts."""

import pytest

from turmericknot.scheduling import (
    worker_leases,
    worker_lists,
    worker_runs,
    worker_starts,
    worker_types,
)
from turmericknot.scheduling.jobs import RunEnd
from turmericknot.scheduling.worker_types import ListedEnd, StartCall
from turmericknot.wire import shard_messages as wire

from .site import Agent

SHARD = 1 << 20
DURABLE_SHARD = 0
STREAM = 7


@pytest.fixture
def agent():
    agent = Agent("a", cpu=2000)
    agent.restart(100.0)
    grant(agent, 100.0)
    return agent


def grant(agent, now, epoch=1, shard=SHARD):
    shards = [wire.ShardEpoch(shard, epoch)]
    worker_leases.grant_received(agent.state, STREAM, wire.Grant(1, shards), now, now)
    agent.execute_calls(now)


def request_starts(agent, now, *indices, cpu=1000, epoch=1, shard=SHARD):
    """Request starts of runs; return the messages that the agent sends back."""
    starts = [
        wire.RunStart(
            "00000000000000a1", 0, index, 1, cpu, 64, 0, "x", max_queue_wait_s=0.15
        )
        for index in indices
    ]
    life = agent.state.life.key
    message = wire.StartRuns(shard, epoch, life, starts)
    worker_starts.start_runs(agent.state, STREAM, message, now)
    return agent.execute_calls(now)


def refusal_reasons(messages):
    return [
        refusal.reason
        for _, message in messages
        if isinstance(message, wire.RunsRefused)
        for refusal in message.runs
    ]


def test_ends_are_acknowledged_after_an_agent_restart():
    """The worker's end numbers continue when only the agent restarts.

    An agent that waited for the acknowledgement of end number 1 would poll forever.
    """
    agent = Agent("a")
    agent.restart(100.0)
    name = wire.RunName("00000000000000a1", 0, 0, 1)
    agent.worker.ends = [ListedEnd(585 + n, name, RunEnd.DONE) for n in range(3)]
    agent.restart(101.0)
    worker_leases.ends_acknowledged(agent.state, agent.state.life.key, [586])
    assert worker_lists.next_lease_renewal(agent.state, 101.0).last_seen == 584
    worker_leases.ends_acknowledged(agent.state, agent.state.life.key, [585])
    assert worker_lists.next_lease_renewal(agent.state, 101.0).last_seen == 586
    worker_leases.ends_acknowledged(agent.state, agent.state.life.key, [587])
    assert worker_lists.next_lease_renewal(agent.state, 101.0).last_seen == 587


def test_unacknowledged_end_stays_listed(agent):
    """An owner must be able to learn of an end until it has stored the end."""
    grant(agent, 100.0, shard=DURABLE_SHARD)
    request_starts(agent, 100.0, 0, 1, shard=DURABLE_SHARD)
    first, second = agent.worker.running
    agent.worker.end_run(first)
    agent.worker.end_run(second)
    agent.renew_lease(100.1)
    worker_leases.ends_acknowledged(agent.state, agent.state.life.key, [2])
    assert worker_lists.next_lease_renewal(agent.state, 100.1).last_seen == 0
    worker_leases.ends_acknowledged(agent.state, agent.state.life.key, [1])
    assert worker_lists.next_lease_renewal(agent.state, 100.1).last_seen == 2


def test_ends_of_best_effort_jobs_do_not_delay_later_ends(agent):
    """Replays the loss of an entry at the peak: its ends stay unacknowledged.

    While the worker lists an end, it answers each renewal at once, so the agent would
    have to pause between renewals and would see the ends of all owners late.
    """
    request_starts(agent, 100.0, 0, 1)
    agent.worker.end_run(next(iter(agent.worker.running)))
    agent.renew_lease(100.1)
    assert agent.state.first_durable_end is None
    assert worker_lists.next_lease_renewal(agent.state, 100.1).last_seen == 1


def test_end_of_a_best_effort_job_is_repeated_until_acknowledged(agent):
    """The worker has forgotten the end, but its owner must still learn of it."""
    request_starts(agent, 100.0, 0)
    agent.worker.end_run(next(iter(agent.worker.running)))
    agent.renew_lease(100.1)
    agent.renew_lease(100.15)
    agent.execute_calls(100.15)
    worker_leases.stream_closed(agent.state, STREAM)
    new_stream = STREAM + 1
    shards = [wire.ShardEpoch(SHARD, 1)]
    worker_leases.grant_received(
        agent.state, new_stream, wire.Grant(1, shards), 100.2, 100.2
    )
    repeated = [
        message
        for stream, message in agent.execute_calls(100.2)
        if stream == new_stream and isinstance(message, wire.RunsEnded)
    ]
    assert [end.how for message in repeated for end in message.ends] == [RunEnd.DONE]


def test_no_run_beyond_the_capacity(agent):
    """Two owners may choose the same worker at the same moment."""
    assert refusal_reasons(request_starts(agent, 100.0, 0, 1, 2)) == []
    assert len(agent.worker.running) == 2
    worker_starts.start_queued_runs(agent.state, 100.2)
    assert refusal_reasons(agent.execute_calls(100.2)) == ["room"]
    assert len(agent.worker.running) == 2


def test_no_run_beyond_a_capacity_that_has_shrunk(agent):
    """Workers that do not check their capacity start whatever they are told to."""
    agent.cpu = 3000
    agent.report(100.0)
    request_starts(agent, 100.0, 0)
    agent.cpu = 1000
    assert agent.report(100.1)
    request_starts(agent, 100.1, 1)
    for run in agent.state.runs.values():
        if run.pending_start is None:
            worker_runs.stop_run(agent.state, run, 100.1)  # still counts
    worker_starts.start_queued_runs(agent.state, 100.15)
    assert len(agent.start_calls) == 1
    agent.cpu = 3000
    agent.report(100.2)
    request_starts(agent, 100.2, 2)
    assert [call.name.index for call in agent.start_calls] == [0, 1, 2]


def test_owners_learn_of_each_change_of_the_capacity(agent):
    """Guards against starts for which the worker no longer has the accelerators."""
    for now, accelerators in ((100.1, 2), (100.2, 1), (100.3, 1)):
        previous = agent.state.life.accelerators
        life = agent.life(now)
        life.accelerators = accelerators
        is_reported = worker_runs.worker_reported(agent.state, life, now)
        assert is_reported == (accelerators != previous)


def test_freed_capacity_is_used_at_once(agent):
    """At peak load, a round trip to an owner would leave the capacity unused."""
    request_starts(agent, 100.0, 0, 1, 2)
    agent.worker.end_run(next(iter(agent.worker.running)))
    agent.renew_lease(100.1)
    agent.execute_calls(100.1)
    assert {name.index for name in agent.worker.running} == {1, 2}


def test_run_with_a_short_queue_timeout_is_refused_soon(agent):
    """A run must not wait at a full worker while another worker has capacity."""
    request_starts(agent, 100.0, 0, 1)
    life = agent.state.life.key
    start = wire.RunStart(
        "00000000000000a1", 0, 2, 1, 1000, 64, 0, "x", max_queue_wait_s=0.02
    )
    message = wire.StartRuns(SHARD, 1, life, [start])
    worker_starts.start_runs(agent.state, STREAM, message, 100.0)
    worker_starts.start_queued_runs(agent.state, 100.03)
    assert refusal_reasons(agent.execute_calls(100.03)) == ["room"]


def test_queued_run_can_be_stopped(agent):
    """A queued run whose caller has disconnected must never start."""
    request_starts(agent, 100.0, 0, 1, 2)
    (waiting,) = [
        r.name for r in agent.state.runs.values() if r.pending_start is not None
    ]
    stop = wire.StopRuns(SHARD, 1, [waiting])
    worker_starts.stop_runs(agent.state, STREAM, stop, 100.05)
    for name in list(agent.worker.running):
        agent.worker.end_run(name)
    agent.renew_lease(100.1)
    agent.execute_calls(100.1)
    assert agent.worker.running == {}


def test_most_urgent_queued_run_starts_first(agent):
    """Short urgent work must not wait behind long work on a full worker."""
    request_starts(agent, 100.0, 0, 1)
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
    agent.worker.end_run(next(iter(agent.worker.running)))
    agent.renew_lease(100.1)
    agent.execute_calls(100.1)
    assert 3 in {name.index for name in agent.worker.running}


def test_small_run_does_not_overtake_a_more_urgent_one(agent):
    """At peak load, small runs would otherwise use all capacity that becomes free."""
    request_starts(agent, 100.0, 0, 1)
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
        agent.worker.end_run(next(iter(agent.worker.running)))
        agent.renew_lease(now)
        agent.execute_calls(now)
    assert {name.index for name in agent.worker.running} == {2}


def request_urgent_start(agent, now, index=5):
    """Request an urgent run that may be queued for 80 ms.

    Return the messages that the agent sends back.
    """
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
    return agent.execute_calls(now)


def test_urgent_run_does_not_wait_behind_long_runs(agent):
    """An urgent run must be refused at once if no capacity becomes free soon.

    Another worker may have capacity in a moment; this one has none for a second.
    """
    request_starts(agent, 100.0, 0, 1)
    renew_lease_with_percent(agent, 100.1, 10)
    assert refusal_reasons(request_urgent_start(agent, 100.1)) == ["room"]


def test_urgent_run_waits_for_a_run_that_is_about_to_end(agent):
    """The capacity of a run that is about to end must go to the most urgent run."""
    request_starts(agent, 100.0, 0, 1)
    renew_lease_with_percent(agent, 100.4, 90)
    assert refusal_reasons(request_urgent_start(agent, 100.4)) == []
    agent.worker.end_run(next(iter(agent.worker.running)))
    agent.renew_lease(100.45)
    agent.execute_calls(100.45)
    assert 5 in {name.index for name in agent.worker.running}


def test_each_queued_run_needs_a_running_one_to_end(agent):
    """Several owners may send urgent runs for the same capacity."""
    request_starts(agent, 100.0, 0)
    request_starts(agent, 100.0, 1)
    renew_lease_with_percent(agent, 100.4, 90)
    refusals = [
        refusal_reasons(request_urgent_start(agent, 100.4, index))
        for index in (5, 6, 7)
    ]
    assert refusals == [[], [], ["room"]]


def test_no_run_on_a_draining_worker(agent):
    """A draining worker must get no runs once its report is acknowledged."""
    agent.report(100.1, usable=False)
    assert refusal_reasons(request_starts(agent, 100.1, 0)) == ["no_worker"]


def test_no_run_for_a_previous_owner(agent):
    """A previous owner may have resumed after a pause."""
    grant(agent, 100.1, epoch=2)
    assert refusal_reasons(request_starts(agent, 100.1, 0, epoch=1)) == ["fenced"]


def test_no_run_without_a_grant(agent):
    """A delayed start must not take effect after its owner gave it up."""
    assert refusal_reasons(request_starts(agent, 101.2, 0)) == []
    assert worker_starts.needs_grant(agent.state, STREAM, 101.2)
    refused_at = 101.2 + worker_starts.GRANT_WAIT_S + 0.01
    worker_starts.start_queued_runs(agent.state, refused_at)
    assert refusal_reasons(agent.execute_calls(refused_at)) == ["no_grant"]
    grant(agent, refused_at)
    worker_starts.start_queued_runs(agent.state, refused_at)
    agent.execute_calls(refused_at)
    assert agent.start_calls == []


def test_run_starts_when_its_grant_arrives(agent):
    """An idle pair holds no grant; its first run waits for one round trip."""
    request_starts(agent, 101.2, 0)
    assert agent.start_calls == []
    grant(agent, 101.25)
    worker_starts.start_queued_runs(agent.state, 101.25)
    agent.execute_calls(101.25)
    assert len(agent.start_calls) == 1
    assert not worker_starts.needs_grant(agent.state, STREAM, 101.25)


def test_stop_that_precedes_the_grant_removes_the_queued_run(agent):
    """The owner gave the run up: it must not start under the next grant."""
    request_starts(agent, 101.2, 0)
    name = wire.RunName("00000000000000a1", 0, 0, 1)
    stop = wire.StopRuns(SHARD, 1, [name])
    worker_starts.stop_runs(agent.state, STREAM, stop, 101.3)
    grant(agent, 101.3)
    worker_starts.start_queued_runs(agent.state, 101.3)
    agent.execute_calls(101.3)
    assert agent.start_calls == []


def test_queued_run_of_a_replaced_owner_is_dropped(agent):
    """It must not start under the grant of the new owner, which may repeat it."""
    request_starts(agent, 101.2, 0)
    grant(agent, 101.25, epoch=2)
    worker_starts.start_queued_runs(agent.state, 101.25)
    agent.execute_calls(101.25)
    assert agent.start_calls == []


def test_start_is_not_sent_after_a_pause(agent):
    """A paused agent must not act on a grant that has expired meanwhile."""
    agent.executes_calls = False
    request_starts(agent, 100.0, 0)
    (call,) = agent.start_calls
    assert worker_starts.may_send_start(agent.state, call, 100.1)
    assert not worker_starts.may_send_start(agent.state, call, 101.3)


def test_lease_ends_with_the_grant(agent):
    """A run must not outlast the time after which its owner replaces it."""
    request_starts(agent, 100.0, 0)
    call = worker_lists.next_lease_renewal(agent.state, 100.5)
    assert call.deadline_ms <= 101_100
    assert worker_lists.next_lease_renewal(agent.state, 101.2).deadline_ms is None


def test_no_run_under_a_lease_that_outlasts_its_grant(agent):
    """A paused agent cannot stop the run when its owner gives it up.

    The worker keeps the lease that it has for the runs of another owner.
    """
    other = 1 << 21
    grant(agent, 100.5, shard=other)
    request_starts(agent, 100.5, 0, shard=other)
    agent.renew_lease(100.55)
    lease_ends_at = agent.state.lease_until
    assert lease_ends_at > 101.1 + worker_runs.LEASE_LAPSE_MARGIN_S
    request_starts(agent, 100.6, 1)
    assert len(agent.start_calls) == 1
    assert worker_starts.needs_grant(agent.state, STREAM, 100.6)
    grant(agent, 100.61)
    worker_starts.start_queued_runs(agent.state, 100.61)
    agent.execute_calls(100.61)
    assert len(agent.start_calls) == 2


def test_no_run_of_a_new_owner_under_the_grant_of_the_previous_one(agent):
    """The new owner gives the run up by its own grants, of which there is none yet."""
    announcement = wire.Grant(0, [wire.ShardEpoch(SHARD, 2)])
    worker_leases.grant_received(agent.state, STREAM + 1, announcement, None, 100.1)
    message = wire.StartRuns(
        SHARD,
        2,
        agent.state.life.key,
        [wire.RunStart("00000000000000a1", 0, 0, 1, 1000, 64, 0, "x")],
    )
    worker_starts.start_runs(agent.state, STREAM + 1, message, 100.1)
    agent.execute_calls(100.1)
    assert agent.start_calls == []
    assert worker_starts.needs_grant(agent.state, STREAM + 1, 100.1)


def test_grant_of_an_active_owner_outlasts_the_lease(agent):
    """Guards against a grant request before every start at a busy worker."""
    agent.renew_lease(100.0)
    for step in range(8):
        now = 100.0 + 0.25 * step
        grant(agent, now)
        request_starts(agent, now + 0.24, step % 2 + 2 * step)
        agent.worker.end_run(next(iter(agent.worker.running)))
        agent.renew_lease(now + 0.245)
    assert len(agent.start_calls) == 8


def test_runs_are_stopped_before_the_grant_ends(agent):
    """Otherwise the lease lapses, and with it the runs of other owners."""
    request_starts(agent, 100.0, 0)
    worker_leases.check_grants(agent.state, 100.85)
    agent.execute_calls(100.85)
    assert agent.worker.running == {}
    assert agent.worker.ends[0].how is RunEnd.STOPPED


def test_unanswered_start_is_settled_under_a_higher_fence(agent):
    """A start call without a response may be carried out seconds later."""
    agent.executes_calls = False
    request_starts(agent, 100.0, 0)
    (call,) = agent.start_calls
    worker_starts.start_unanswered(agent.state, call.name, 100.1)
    renewal = worker_lists.next_lease_renewal(agent.state, 100.1)
    assert renewal.fence > call.fence
    result = worker_types.LeaseRenewalResult(100_100, 1)
    worker_lists.lease_renewal_answered(agent.state, renewal, result, 100.1)
    assert refusal_reasons(agent.execute_calls(100.1)) == ["answer_lost"]


@pytest.mark.parametrize(
    ("due_in_s", "timeout_s"),
    [(0.16, 0.03), (0.2, 0.05), (2.0, 0.2), (-1.0, 0.03)],
)
def test_lost_start_is_settled_within_half_of_the_slack(agent, due_in_s, timeout_s):
    """Otherwise a job has missed its due time before its task starts elsewhere."""
    start = wire.RunStart(
        "00000000000000a1", 0, 0, 1, 1000, 64, 0, "x", 0, due_in_s, 0.1
    )
    message = wire.StartRuns(SHARD, 1, agent.state.life.key, [start])
    worker_starts.start_runs(agent.state, STREAM, message, 100.0)
    agent.execute_calls(100.0)
    (call,) = agent.start_calls
    assert call.answer_timeout_s == pytest.approx(timeout_s)


def test_lease_renewal_sent_before_the_raised_fence_settles_nothing(agent):
    """A renewal under the previous fence does not rule out a delayed start."""
    agent.executes_calls = False
    request_starts(agent, 100.0, 0)
    (call,) = agent.start_calls
    earlier_renewal = worker_lists.next_lease_renewal(agent.state, 100.05)
    worker_starts.start_unanswered(agent.state, call.name, 100.1)
    worker_lists.lease_renewal_answered(
        agent.state, earlier_renewal, worker_types.LeaseRenewalResult(100_100, 1), 100.1
    )
    assert refusal_reasons(agent.execute_calls(100.1)) == []


def test_delayed_start_is_stopped(agent):
    """A run without an owner must not use capacity."""
    name = wire.RunName("00000000000000a9", 0, 0, 1)
    agent.worker.running[name] = 100.0
    agent.renew_lease(100.1)
    agent.execute_calls(100.1)
    assert agent.worker.running == {}


def test_runs_of_a_restarted_worker_are_reported_as_lost(agent):
    """An owner must learn at once that its runs are lost."""
    request_starts(agent, 100.0, 0)
    agent.renew_lease(100.1)
    agent.worker.running.clear()
    agent.report(100.2, born=2)
    ends = [
        end.how
        for _, message in agent.execute_calls(100.2)
        if isinstance(message, wire.RunsEnded)
        for end in message.ends
    ]
    assert ends == [RunEnd.LOST]
    assert not agent.report(100.3, born=1)  # delayed report of the previous process


def test_run_of_the_new_worker_process_is_not_lost(agent):
    """A start may reach a new worker process with the same id, unknown to the agent.

    An owner that assumes that the run is lost would start the task a second time.
    """
    request_starts(agent, 100.0, 0)
    agent.report(100.2, born=2)
    [(_, crash)] = agent.execute_calls(100.2)
    assert isinstance(crash, wire.WorkerCrashed)
    result = worker_types.LeaseRenewalResult(
        100_200, 2, [worker_types.ListedRun(name, 1) for name in agent.worker.running]
    )
    call = worker_lists.next_lease_renewal(agent.state, 100.2)
    worker_lists.lease_renewal_answered(agent.state, call, result, 100.2)
    assert agent.execute_calls(100.2) == []
    assert len(agent.state.runs) == 1


@pytest.mark.parametrize("is_start_answered", [True, False])
def test_run_unlisted_by_the_new_worker_process_is_lost(agent, is_start_answered):
    """A start that the previous process may have carried out is not a refused one."""
    agent.executes_calls = is_start_answered
    request_starts(agent, 100.0, 0)
    (call,) = agent.start_calls
    if not is_start_answered:
        worker_starts.start_unanswered(agent.state, call.name, 100.1)
    agent.report(100.2, born=2)
    agent.execute_calls(100.2)
    renewal = worker_lists.next_lease_renewal(agent.state, 100.2)
    worker_lists.lease_renewal_answered(
        agent.state, renewal, worker_types.LeaseRenewalResult(10, 2), 100.2
    )
    [(_, message)] = agent.execute_calls(100.2)
    assert message.ends == [wire.EndedRun(call.name, 0, RunEnd.LOST)]
    assert agent.state.runs == {}


def test_run_whose_end_does_not_fit_into_the_list_is_not_lost(agent):
    """Its task would start a second time after the run was done."""
    request_starts(agent, 100.0, 0)
    renewal = worker_lists.next_lease_renewal(agent.state, 100.1)
    result = worker_types.LeaseRenewalResult(100_100, 1, has_more_ends=True)
    worker_lists.lease_renewal_answered(agent.state, renewal, result, 100.1)
    assert agent.execute_calls(100.1) == []
    assert len(agent.state.runs) == 1


def test_stop_request_at_an_agent_without_a_worker():
    """A restarted agent must not tell that a run has stopped which may be at work.

    The owner would start the task elsewhere. It repeats the request, which is answered
    once the runs are known.
    """
    agent = Agent("a")
    agent.restart(100.0, reports=False)
    grant(agent, 100.0)
    name = wire.RunName("00000000000000a1", 0, 0, 1)
    stop = wire.StopRuns(SHARD, 1, [name])
    worker_starts.stop_runs(agent.state, STREAM, stop, 100.1)
    assert agent.execute_calls(100.1) == []
    agent.report(100.2)
    agent.renew_lease(100.2)
    agent.execute_calls(100.2)
    worker_starts.stop_runs(agent.state, STREAM, stop, 100.3)
    [(_, message)] = agent.execute_calls(100.3)
    assert message.ends == [wire.EndedRun(name, 0, RunEnd.STOPPED)]


def test_refused_run_that_the_worker_lists_is_counted(agent):
    """Operators must notice when a caller was told wrongly that its job did not run."""
    request_starts(agent, 100.0, 0)
    (call,) = agent.start_calls
    worker_starts.start_refused(agent.state, call.name, "room")
    agent.renew_lease(100.1)
    assert agent.state.contradicted_refusals == 1


def test_each_end_is_forgotten_once(agent):
    """The agent must not repeat the number up to which ends may be forgotten.

    A new worker process with the same id would forget ends of its own.
    """
    request_starts(agent, 100.0, 0)
    agent.worker.end_run(next(iter(agent.worker.running)))
    agent.renew_lease(100.1)
    worker_leases.ends_acknowledged(agent.state, agent.state.life.key, [1])
    assert agent.renew_lease(100.2).last_seen == 1
    assert agent.renew_lease(100.3).last_seen == 0


def test_outdated_worker_process_gets_no_runs(agent):
    """An agent must not use a worker whose new process has answered a renewal.

    Starts and acknowledgements would reach the new process, whose ends are unknown.
    """
    request_starts(agent, 100.0, 0)
    call = worker_lists.next_lease_renewal(agent.state, 100.1)
    worker_lists.lease_renewal_answered(
        agent.state, call, worker_types.LeaseRenewalResult(10, 2), 100.1
    )
    agent.execute_calls(100.1)
    assert not worker_runs.worker_report(agent.state).usable
    agent.state.runs[next(iter(agent.state.runs))].is_start_unanswered = True
    assert not agent.state.has_unanswered_starts  # its renewals would not wait
    assert refusal_reasons(request_starts(agent, 100.1, 1)) == ["no_worker"]
    assert worker_lists.next_lease_renewal(agent.state, 100.1).last_seen == 0
    agent.report(100.2, born=2)
    assert worker_runs.worker_report(agent.state).usable


def test_outdated_worker_process_gets_no_lease(agent):
    """A deadline on the previous clock is cut to a lease that may outlast the grants.

    The owner would start the task elsewhere while the run goes on here.
    """
    request_starts(agent, 100.0, 0)
    call = worker_lists.next_lease_renewal(agent.state, 100.1)
    assert call.deadline_ms is not None
    worker_lists.lease_renewal_answered(
        agent.state, call, worker_types.LeaseRenewalResult(10, 2), 100.1
    )
    assert agent.state.runs
    assert worker_lists.next_lease_renewal(agent.state, 100.2).deadline_ms is None


def test_fence_rises_above_an_unknown_higher_one(agent):
    """A restarted worker may have seen a fence far ahead of its new clock."""
    agent.restart(100.5)
    seen = agent.state.fence + 300_000
    refusals = 0
    while agent.state.fence < seen:
        worker_runs.fence_refused(agent.state, 100.5)
        refusals += 1
    assert refusals < 12
    agent.renew_lease(100.6)
    worker_runs.fence_refused(agent.state, 100.6)
    assert agent.state.fence < seen + 400_000


def test_fence_rises_with_every_agent_process(agent):
    """Calls of an earlier agent process must not be carried out any more."""
    before = agent.state.fence
    agent.restart(100.5)
    assert agent.state.fence > before
    request_starts(agent, 100.5, 0)
    assert all(isinstance(call, StartCall) for call in agent.start_calls)


def restart_with_an_inherited_end(agent, now):
    """Restart the agent while its worker lists an end from an earlier process."""
    name = wire.RunName("00000000000000a8", 0, 0, 1)
    agent.worker.ends = [ListedEnd(1, name, RunEnd.DONE)]
    agent.restart(now)
    grant(agent, now)


def test_inherited_ends_of_best_effort_jobs_do_not_block_the_lease(agent):
    """After a restart of all processes, no owner would acknowledge these ends."""
    restart_with_an_inherited_end(agent, 100.5)
    worker_leases.inherited_shards_loaded(agent.state, [])
    assert refusal_reasons(request_starts(agent, 100.6, 0)) == []
    assert worker_lists.next_lease_renewal(agent.state, 100.6).last_seen == 1


def test_inherited_ends_of_durable_jobs_wait_for_their_owner(agent):
    """A task must not run again after its end has been acknowledged."""
    restart_with_an_inherited_end(agent, 100.5)
    worker_leases.inherited_shards_loaded(agent.state, [0])
    assert refusal_reasons(request_starts(agent, 100.6, 0)) == ["no_lease"]
    assert worker_lists.next_lease_renewal(agent.state, 100.6).last_seen == 0
    worker_leases.grant_received(
        agent.state, 8, wire.Grant(2, [wire.ShardEpoch(0, 1)]), 100.7, 100.7
    )
    (ended,) = [
        message
        for stream, message in agent.execute_calls(100.7)
        if stream == 8 and isinstance(message, wire.RunsEnded)
    ]
    assert ended.ends[0].how == RunEnd.DONE
    assert refusal_reasons(request_starts(agent, 100.7, 0)) == []


def test_inherited_ends_of_durable_jobs_outlast_the_previous_lease(agent):
    """Finished work must not be repeated because a new owner connects late."""
    restart_with_an_inherited_end(agent, 100.5)
    worker_leases.inherited_shards_loaded(agent.state, [0])
    grant(agent, 101.7)
    agent.renew_lease(101.7)
    assert worker_lists.next_lease_renewal(agent.state, 101.8).last_seen == 0


def test_inherited_ends_are_dropped_when_the_previous_lease_lapses(agent):
    """Inherited ends must not block the lease while the store is unreachable.

    Without the store, the shards of durable jobs get no owners that could acknowledge
    the ends.
    """
    restart_with_an_inherited_end(agent, 100.5)
    assert refusal_reasons(request_starts(agent, 100.6, 0)) == ["no_lease"]
    grant(agent, 101.7)
    assert refusal_reasons(request_starts(agent, 101.7, 0)) == []


def test_inherited_run_of_a_best_effort_job_does_not_block_the_lease(agent):
    """A delayed start must not end the lease of all other runs."""
    worker_leases.inherited_shards_loaded(agent.state, [])
    request_starts(agent, 100.0, 0)
    agent.executes_calls = False
    agent.worker.running[wire.RunName("00000000000000a9", 0, 0, 1)] = 100.0
    agent.renew_lease(100.1)
    assert worker_lists.next_lease_renewal(agent.state, 100.2).deadline_ms is not None


def test_stop_of_an_inherited_run_is_repeated(agent):
    """The first stop call may be lost, and no owner repeats it."""
    agent.executes_calls = False
    agent.worker.running[wire.RunName("00000000000000a9", 0, 0, 1)] = 100.0
    for now in (100.1, 100.2, 100.5):
        agent.renew_lease(now)
        agent.execute_calls(now)
    assert len(agent.stop_calls) == 2


def restart_with_recalled_worker(agent, now, usable=True):
    """Restart the agent and let it use its recalled worker."""
    agent.restart(now, reports=False)
    life = agent.life(now, usable=usable)
    life.sequence = -1
    used = worker_runs.worker_recalled(agent.state, life, now)
    agent.renew_lease(now)
    grant(agent, now)
    return used


def test_recalled_worker_gets_runs_before_it_reports(agent):
    """After a restart of all processes, each second without workers is lost."""
    assert restart_with_recalled_worker(agent, 100.5)
    assert refusal_reasons(request_starts(agent, 100.6, 0)) == []


def test_recalled_worker_that_stays_silent_is_not_used(agent):
    """The worker may have drained or ended since its record was stored."""
    restart_with_recalled_worker(agent, 100.5)
    assert not worker_runs.expire_recalled_worker(agent.state, 102.3)
    assert worker_runs.expire_recalled_worker(agent.state, 102.5)
    grant(agent, 102.5)
    assert refusal_reasons(request_starts(agent, 102.5, 0)) == ["no_worker"]
    assert agent.report(102.6)
    assert refusal_reasons(request_starts(agent, 102.6, 0)) == []


def test_draining_recalled_worker_gets_no_runs(agent):
    """The report of the drain was acknowledged by an earlier agent process."""
    restart_with_recalled_worker(agent, 100.5, usable=False)
    assert refusal_reasons(request_starts(agent, 100.6, 0)) == ["no_worker"]


def test_report_takes_precedence_over_the_stored_record(agent):
    """The stored record may describe an earlier incarnation of the worker."""
    agent.restart(100.5)
    assert not worker_runs.worker_recalled(agent.state, agent.life(100.6), 100.6)
    agent.report(100.7)
    assert not worker_runs.expire_recalled_worker(agent.state, 110.0)


def test_recalled_worker_process_that_has_ended_gets_no_runs(agent):
    """The worker may have restarted with the same id while no agent was running."""
    agent.restart(100.5, reports=False)
    life = agent.life(100.5)
    worker_runs.worker_recalled(agent.state, life, 100.5)
    call = worker_lists.next_lease_renewal(agent.state, 100.5)
    worker_lists.lease_renewal_answered(
        agent.state, call, worker_types.LeaseRenewalResult(10, 2), 100.5
    )
    assert worker_runs.worker_report(agent.state) is None


def renew_lease_with_percent(agent, now, percent):
    call = worker_lists.next_lease_renewal(agent.state, now)
    rows = [worker_types.ListedRun(name, percent) for name in agent.worker.running]
    ends = list(agent.worker.ends)
    result = worker_types.LeaseRenewalResult(int(now * 1000), 1, rows, ends)
    worker_lists.lease_renewal_answered(agent.state, call, result, now)
    return agent.execute_calls(now)


def test_stuck_run_is_stopped(agent):
    """A hanging task would block its job until the caller gives up."""
    request_starts(agent, 100.0, 0)
    renew_lease_with_percent(agent, 100.1, 20)
    grant(agent, 100.6)
    renew_lease_with_percent(agent, 100.9, 20)
    assert agent.worker.running
    grant(agent, 101.2)
    renew_lease_with_percent(agent, 101.2, 20)
    assert agent.worker.running == {}
    messages = renew_lease_with_percent(agent, 101.25, 20)
    (ended,) = [m for _, m in messages if isinstance(m, wire.RunsEnded)]
    assert ended.ends[0].how == RunEnd.STUCK


def test_slow_run_with_progress_is_not_stopped(agent):
    """A long task on a healthy worker is not a fault."""
    request_starts(agent, 100.0, 0)
    for step in range(1, 9):
        grant(agent, 100.0 + step * 0.5)
        renew_lease_with_percent(agent, 100.0 + step * 0.5, step)
    assert agent.worker.running


def test_overtaken_lists_are_ignored(agent):
    """The answers of two overlapping renewals may arrive in either order.

    A run whose end was handled must not be taken for one of an earlier agent process.
    """
    request_starts(agent, 100.0, 0)
    (name,) = agent.worker.running
    waiting = worker_lists.next_lease_renewal(agent.state, 100.1)
    second = worker_lists.next_lease_renewal(agent.state, 100.2)
    ended = worker_types.LeaseRenewalResult(
        100_250, 1, [], [ListedEnd(1, name, RunEnd.DONE)]
    )
    worker_lists.lease_renewal_answered(agent.state, waiting, ended, 100.25)
    older = worker_types.LeaseRenewalResult(
        100_200, 1, [worker_types.ListedRun(name, 50)], []
    )
    worker_lists.lease_renewal_answered(agent.state, second, older, 100.26)
    agent.execute_calls(100.26)
    assert agent.state.runs == {} and agent.stop_calls == []


def test_lists_after_a_restart_of_the_worker_clock_are_used(agent):
    """Guards against an agent that ignores its worker once the clock starts again."""
    agent.renew_lease(100.1)
    name = wire.RunName("00000000000000a9", 0, 0, 1)
    call = worker_lists.next_lease_renewal(agent.state, 100.2)
    result = worker_types.LeaseRenewalResult(
        10, 1, [worker_types.ListedRun(name, 50)], []
    )
    worker_lists.lease_renewal_answered(agent.state, call, result, 100.25)
    assert name in agent.state.runs
