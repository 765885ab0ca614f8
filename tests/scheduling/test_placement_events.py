"""Matching of waiting tasks with capacity, at a full fleet and on single events."""

import functools

import pytest

from tests.scheduling.fuzz.walk import walk
from tests.scheduling.site import create_job_record
from turmericknot.scheduling import (
    besteffort,
    owner as owners,
    reports,
    runs,
    workers,
)
from turmericknot.scheduling.commands import SendMessage
from turmericknot.wire import shard_messages as wire

NOW = 100.0
CPU = 4000


@pytest.fixture
def create_full_fleet():
    """Return an owner whose agents are full of foreign runs, with waiting jobs."""

    def create(agents, jobs=30):
        owner = owners.create_owner(now=NOW - 60.0)
        shard = besteffort.open_best_effort_shard(owner, 1)
        for number in range(agents):
            name = f"side-{number}"
            worker = wire.WorkerReport("l@1", "s", True, CPU, 1 << 20, 0, [])
            hello = wire.AgentHello(1, name, "b", "d", worker)
            reports.agent_connected(owner, hello, NOW)
            reports.grant_request_received(owner, name, 1, NOW)
            reports.inventory_reported(owner, name, shard.number, 1, [], NOW)
        for number in range(jobs):
            record = create_job_record(tasks=4, priority=2)
            job_id = f"{number:016x}"
            besteffort.run_job(owner, shard, job_id, record, number, NOW + 9, NOW)
        for name in owner.agents:
            reports.foreign_usage_reported(owner, name, wire.RoomReport(CPU, 0, 0))
        runs.schedule_tasks(owner, NOW)
        owner.pop_commands()
        assert len(owner.waiting) == jobs
        return owner

    return create


def count_examined_agents(owner, monkeypatch, action):
    """Return how often the action examined the capacity of an agent."""
    examined = []
    has_capacity = workers.has_capacity

    def counting_has_capacity(agent, *arguments):
        examined.append(agent.id)
        return has_capacity(agent, *arguments)

    with monkeypatch.context() as patches:
        patches.setattr(workers, "has_capacity", counting_has_capacity)
        action()
    return len(examined)


def report_usage(owner, name, cpu, now=NOW + 0.01):
    reports.message_received(owner, name, wire.RoomReport(cpu, 0, 0), now)
    runs.schedule_tasks(owner, now)


def test_report_at_a_full_fleet_costs_the_same_at_any_size(
    create_full_fleet, monkeypatch
):
    """Guards against messages x agents of work at the peak of a lunch wave."""
    costs = []
    for agents in (40, 160, 690):
        owner = create_full_fleet(agents)
        report = functools.partial(report_usage, owner, "side-7", CPU - 500)
        costs.append(count_examined_agents(owner, monkeypatch, report))
    assert costs[0] == costs[1] == costs[2]
    assert 0 < costs[0] <= runs.MAX_SKIPPED_JOBS + 1


def test_pass_over_a_full_fleet_costs_the_same_for_any_number_of_jobs(
    create_full_fleet, monkeypatch
):
    """Guards against a full pass of jobs x agents of work at the peak."""
    costs = []
    for jobs in (30, 150):
        owner = create_full_fleet(40, jobs)
        full_pass = functools.partial(runs.schedule_tasks, owner, NOW + 2.0)
        costs.append(count_examined_agents(owner, monkeypatch, full_pass))
    assert 0 < costs[0] == costs[1] <= 40 + workers.AGENT_SAMPLE_SIZE


def test_report_of_rising_usage_costs_nothing(create_full_fleet, monkeypatch):
    owner = create_full_fleet(40)
    report_usage(owner, "side-7", CPU - 500)
    cost = count_examined_agents(
        owner, monkeypatch, lambda: report_usage(owner, "side-7", CPU)
    )
    assert cost == 0


def test_freed_agent_gets_the_tasks_at_the_head_of_the_list(create_full_fleet):
    """Guards against free capacity that waits for the next pass over the fleet."""
    owner = create_full_fleet(40)
    report_usage(owner, "side-7", CPU - 2000)
    sent = [
        (command.agent, run.job)
        for command in owner.pop_commands()
        if isinstance(command, SendMessage)
        and isinstance(command.message, wire.StartRuns)
        for run in command.message.runs
    ]
    assert sent == [("side-7", f"{0:016x}")] * 2


def test_agent_is_offered_tasks_when_its_backoff_ends(create_full_fleet):
    """Guards against a refused start after which a worker stays idle for a second."""
    owner = create_full_fleet(1, jobs=1)
    report_usage(owner, "side-0", CPU - 1000)
    command = next(
        command
        for command in owner.pop_commands()
        if isinstance(command, SendMessage)
        and isinstance(command.message, wire.StartRuns)
    )
    run = command.message.runs[0]
    name = wire.RunName(run.job, run.step, run.index, run.run)
    refusal = wire.RunsRefused(command.message.shard, [wire.RefusedRun(name, "room")])
    reports.message_received(owner, "side-0", refusal, NOW + 0.02)
    report_usage(owner, "side-0", CPU - 1000, NOW + 0.03)
    assert len(owner.waiting) == 1 and not owner.agents["side-0"].tasks
    runs.schedule_tasks(owner, NOW + 0.02 + workers.REFUSAL_BACKOFF_S)
    assert owner.agents["side-0"].tasks


def test_no_task_waits_beside_free_capacity(monkeypatch):
    """Guards against a change of capacity that no event announces.

    After every pass of the walks, a pass over all tasks and agents must find nothing.
    """
    schedule_tasks = runs.schedule_tasks
    missed = []

    def schedule_and_verify(owner, now):
        schedule_tasks(owner, now)
        if owner.waiting and now >= owner.paused_until:
            starts = {}
            runs._offer_tasks(owner, owner.agents, None, starts, now)
            missed.extend(starts)

    monkeypatch.setattr(runs, "schedule_tasks", schedule_and_verify)
    for seed in range(60):
        walk(seed, 120)
        assert not missed, f"seed {seed}: {missed}"
