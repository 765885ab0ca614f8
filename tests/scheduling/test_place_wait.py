"""How long tasks wait for the rack of their data, alone and in a replayed load."""

import math

import msgspec
import pytest

from tests.scheduling.site import create_job_record
from turmericknot.model.description import Experiment, Kind, Variant, Wave
from turmericknot.model.play import play_run
from turmericknot.scheduling import besteffort, owner as owners, reports, runs
from turmericknot.scheduling.commands import OwnerLogLine, SendMessage
from turmericknot.scheduling.jobs import StepSpec
from turmericknot.scheduling.place_wait import (
    RackUse,
    WaitTerms,
    near_start_s,
    remaining_wait_s,
)
from turmericknot.wire import shard_messages as wire

NOW = 100.0
CPU = 10_000
NEVER_WAIT = Variant("never wait", {"place_wait.MAX_WAIT_S": 0.0})


@pytest.fixture
def owner():
    """Return an owner with a full worker on rack r0 and a free one on r1."""
    owner = owners.create_owner(now=NOW - 60.0, far_factor=3.0)
    shard = besteffort.open_best_effort_shard(owner, 1)
    for name, rack in (("near", "r0"), ("far", "r1")):
        worker = wire.WorkerReport("l@1", "s", True, CPU, 1 << 20, 0, [rack])
        reports.agent_connected(owner, wire.AgentHello(1, name, "b", "d", worker), NOW)
        reports.grant_request_received(owner, name, 1, NOW)
        reports.inventory_reported(owner, name, shard.number, 1, [], NOW)
    report_usage(owner, "near", CPU)
    return owner


def report_usage(owner, name, cpu, now=NOW):
    reports.message_received(owner, name, wire.RoomReport(cpu, 0, 0), now)
    runs.schedule_tasks(owner, now)


def submit(owner, job="a", tasks=1, priority=1, now=NOW, cpu=1000):
    step = StepSpec(tasks, cpu=cpu, memory=1, estimate=0.1, data_rack="r0")
    record = create_job_record(steps=[step], priority=priority)
    shard = next(iter(owner.shards.values()))
    besteffort.run_job(owner, shard, job, record, job, now + 9, now)
    runs.schedule_tasks(owner, now)


def pop_started(owner):
    """Return the agents of the runs that were sent, and the events that were logged."""
    commands = owner.pop_commands()
    started = [
        command.agent
        for command in commands
        if isinstance(command, SendMessage)
        and isinstance(command.message, wire.StartRuns)
        for _ in command.message.runs
    ]
    return started, [c.event for c in commands if isinstance(c, OwnerLogLine)]


def test_task_waits_for_its_rack_and_gets_the_freed_place(owner):
    """Guards against runs three times as long for a place that is a moment away."""
    submit(owner)
    started, events = pop_started(owner)
    assert not started and "place.waited" in events
    report_usage(owner, "far", 0, NOW + 0.01)
    assert pop_started(owner)[0] == []
    report_usage(owner, "near", CPU - 1000, NOW + 0.02)
    assert pop_started(owner)[0] == ["near"]
    assert owner.counts["started_near"] == 1


def test_wait_ends_when_it_no_longer_pays(owner):
    """Guards against a task that waits for a place that does not come."""
    submit(owner)
    pop_started(owner)
    returns_at = owner.placement_events.next_job_return_at
    assert NOW < returns_at <= NOW + 0.2  # what a far run takes longer
    runs.schedule_tasks(owner, returns_at)
    started, events = pop_started(owner)
    assert started == ["far"] and "place.given_up" in events


@pytest.mark.parametrize("is_cut_off", [True, False])
def test_wait_ends_at_once_when_the_rack_is_lost(owner, is_cut_off):
    submit(owner)
    pop_started(owner)
    if is_cut_off:
        reports.agent_disconnected(owner, "near", NOW + 0.01)
    else:
        reports.worker_changed(owner, "near", None, NOW + 0.01)
    runs.schedule_tasks(owner, NOW + 0.01)
    assert pop_started(owner)[0] == ["far"]


def test_no_more_tasks_wait_than_places_come(owner):
    """Guards against a job of which all tasks wait for the same place."""
    submit(owner, tasks=30)
    started, _ = pop_started(owner)
    assert 0 < len(started) < 30 and set(started) == {"far"}
    assert len(owner.waiting.tasks(owner.waiting.jobs()[0])) == 30 - len(started)


def test_jobs_behind_one_that_waits_are_not_held_up(owner):
    """Guards against waiting jobs that use up the search for smaller ones."""
    for number in range(12):
        submit(owner, f"a{number}")
    assert len(owner.waiting) == 12 and pop_started(owner)[0] == []
    step = StepSpec(1, cpu=1000, memory=1, estimate=0.1)
    record = create_job_record(steps=[step], priority=2)
    shard = next(iter(owner.shards.values()))
    besteffort.run_job(owner, shard, "b", record, "b", NOW + 9, NOW + 0.002)
    runs.schedule_tasks(owner, NOW + 0.002)
    assert pop_started(owner)[0] == ["far"]


def test_freed_place_goes_to_a_task_with_data_there(owner):
    """Guards against a near place for a task that would run as fast elsewhere."""
    submit(owner, now=NOW)
    report_usage(owner, "far", CPU, NOW + 0.01)
    step = StepSpec(1, cpu=1000, memory=1, estimate=0.01)
    record = create_job_record(steps=[step], priority=1)
    shard = next(iter(owner.shards.values()))
    besteffort._start_job(owner, shard, "b", record, "b", NOW + 9, NOW + 0.01)
    assert [job.id for job in owner.waiting.jobs()] == ["b", "a"]
    runs.schedule_tasks(owner, NOW + 0.01)
    pop_started(owner)
    report_usage(owner, "near", CPU - 1000, NOW + 0.02)
    assert [task.job.id for task in owner.agents["near"].tasks.values()] == ["a"]


def test_sample_of_a_large_fleet_contains_the_rack_of_the_data(owner):
    """Guards against a free place near the data that a sample of all workers lacks."""
    shard = next(iter(owner.shards.values()))
    worker = owner.agents["far"].worker
    for number in range(400):
        hello = wire.AgentHello(1, f"far-{number}", "b", "d", worker)
        reports.agent_connected(owner, hello, NOW)
        reports.grant_request_received(owner, hello.agent, 1, NOW)
        reports.inventory_reported(owner, hello.agent, shard.number, 1, [], NOW)
    report_usage(owner, "near", 0)
    submit(owner, tasks=8)
    assert pop_started(owner)[0] == ["near"] * 8


@pytest.mark.parametrize(
    ("near_start", "latest_end", "waited", "expected"),
    [
        (0.05, 1.0, 0.0, 0.1),  # up to the gain
        (0.05, 0.01, 0.0, 0.1),  # sooner, though late
        (0.12, 0.21, 0.0, 0.0),  # neither sooner nor in time
        (0.12, 0.23, 0.0, 0.1),  # in time, and takes less capacity
        (0.05, 1.0, 0.07, 0.03),  # what is left of the gain
        (0.05, 1.0, 0.12, 0.0),
        (math.inf, 1.0, 0.0, 0.0),  # no worker there
    ],
)
def test_wait_is_bounded_by_gain_and_due_time(near_start, latest_end, waited, expected):
    terms = WaitTerms(near_start, 0.1, 0.2, latest_end, waited)
    assert remaining_wait_s(terms) == pytest.approx(expected)


def test_owners_expect_their_share_of_the_places():
    """Guards against ten owners that all wait for the same freed places."""
    use = RackUse(80_000, 80_000, 72_000, [(0.1, 1000)] * 8, 0.3, 1.0)
    alone = near_start_s(use, 0, 1000, 1.0)
    one_of_ten = near_start_s(use, 0, 1000, 0.1)
    assert alone < 0.01 < 0.03 < one_of_ten < 0.06
    assert near_start_s(use, 4000, 1000, 0.1) > 3 * one_of_ten


@pytest.mark.parametrize("is_cut_off", [True, False])
def test_task_without_processors_does_not_wait_for_a_lost_rack(owner, is_cut_off):
    """Guards against an entry that ends: a rack without workers has no processors."""
    if is_cut_off:
        reports.agent_disconnected(owner, "near", NOW)
    else:
        reports.worker_changed(owner, "near", None, NOW)
    submit(owner, cpu=0)
    assert pop_started(owner)[0] == ["far"]


def test_runs_without_processors_leave_the_mean_run_time(owner):
    """Guards against a mean over runs that free no capacity when they end."""
    owner.places.observe_run("s", 0, 5.0)
    assert owner.places.drain_s("s") == 0.0
    owner.places.observe_run("s", 1000, 0.2)
    owner.places.observe_run("s", 0, 5.0)
    assert owner.places.drain_s("s") == pytest.approx(0.2)


@pytest.fixture(scope="module")
def hot_rack():
    """Return a site at the crest, with 60% of the urgent queue on one rack of eight."""
    return Experiment(
        entries=3,
        agents=32,
        worker_cpu=10_000,
        racks=8,
        far_factor=3.0,
        duration_s=4.0,
        wave=Wave(0.3, 8.0),
        kinds=[
            Kind("u", 36.0, 8, 1000, 0.1, has_data=True, hot_share=0.6),
            Kind("m", 160.0, 2, 1000, 0.34, priority=1),
            Kind("l", 11.0, 4, 1000, 1.5, priority=2, attempts=2),
        ],
    )


def near_share(figures):
    runs_by_distance = figures["runs_by_distance"]
    return runs_by_distance["near"] / sum(runs_by_distance.values())


@pytest.mark.parametrize("hot_racks", [1, 3])
def test_hot_rack_serves_more_of_its_tasks_when_they_wait(hot_rack, hot_racks):
    """Replays the load of the module, with one hot rack and with three in turn."""
    experiment = msgspec.structs.replace(
        hot_rack, hot_racks=hot_racks, hot_period_s=1.3
    )
    waiting, never = (
        play_run(experiment, variant, 1) for variant in (Variant("as is"), NEVER_WAIT)
    )
    assert near_share(waiting) > near_share(never)
    urgent, urgent_never = (f["kinds"]["u"]["in_time"] for f in (waiting, never))
    assert urgent > urgent_never


def test_far_runs_change_no_estimate(owner):
    """Guards against a distance that is taken for a slow worker or a long queue."""
    for number in range(40):
        submit(owner, f"a{number}", now=NOW + 9.0 + number)
        task = next(iter(owner.agents["far"].tasks.values()), None)
        if task is None:
            reports.grant_request_received(owner, "far", 2, NOW + 9.0 + number)
            continue
        assert task.agent == "far"
        name = wire.RunName(task.job.id, task.step, task.index, task.run)
        end = wire.EndedRun(name, number + 1, 0, 300)
        ended = wire.RunsEnded(task.job.shard, "l@1", [end])
        reports.message_received(owner, "far", ended, NOW + 9.3 + number)
    assert owner.counts["started_far"] > 10
    assert owner.agents["far"].slowdown == pytest.approx(1.0)
    spec = StepSpec(1, estimate=0.1)
    assert owner.run_times.expected_run_s("q", spec) == pytest.approx(0.1)
