"""Jobs that cannot start must not hide those behind them in the waiting list."""

import pytest

from tests.scheduling.site import create_job_record
from turmericknot.scheduling import besteffort, owner as owners, reports, runs
from turmericknot.scheduling.commands import OwnerLogLine
from turmericknot.scheduling.jobs import StepSpec
from turmericknot.wire import shard_messages as wire

NOW = 100.0
CPU = 4000
PLAIN = StepSpec(1, cpu=1000, memory=1, estimate=0.2)
# Each of these waits, although the workers without the label "b" are idle.
WAITING_STEPS = {
    "lost label": StepSpec(1, cpu=1000, required_label="c"),
    "full workers with the label": StepSpec(1, cpu=1000, required_label="b"),
    "larger than any worker": StepSpec(1, cpu=2 * CPU),
    "no worker with accelerators": StepSpec(1, cpu=1000, accelerators=1),
    "limit of tasks on a worker": StepSpec(6, cpu=1, max_per_worker=1),
    "service without workers": StepSpec(1, cpu=1000),
}


@pytest.fixture
def owner():
    """Return an owner with four idle workers, and a full one with the label "b"."""
    owner = owners.create_owner(now=NOW - 60.0)
    shard = besteffort.open_best_effort_shard(owner, 1)
    for number in range(5):
        name = f"side-{number}"
        labels = ["a" if number else "b"]
        worker = wire.WorkerReport("l@1", "s", True, CPU, 1 << 20, 0, labels)
        hello = wire.AgentHello(1, name, "b", "d", worker)
        reports.agent_connected(owner, hello, NOW)
        reports.grant_request_received(owner, name, 1, NOW)
        reports.inventory_reported(owner, name, shard.number, 1, [], NOW)
    reports.foreign_usage_reported(owner, "side-0", wire.RoomReport(CPU, 0, 0))
    runs.schedule_tasks(owner, NOW)
    return owner


def submit(owner, job, steps, priority, now, service="s"):
    shard = next(iter(owner.shards.values()))
    record = create_job_record(steps=steps, priority=priority)
    record.service = service
    for name in owner.agents:
        reports.grant_request_received(owner, name, 1, now)
    besteffort._start_job(owner, shard, job, record, job, now + 99, now)
    runs.schedule_tasks(owner, now)


def has_run(owner, job, step=0):
    shard = next(iter(owner.shards.values()))
    return bool(shard.jobs[job].tasks[step][0].run)


@pytest.mark.parametrize("is_reached_before", [True, False])
@pytest.mark.parametrize("cause", WAITING_STEPS)
def test_jobs_that_have_to_wait_hide_no_others(owner, cause, is_reached_before):
    """Guards against accepted jobs that never start beside idle workers."""
    service = "t" if cause == "service without workers" else "s"
    for number in range(40):
        submit(owner, f"w{number}", [WAITING_STEPS[cause]], 0, NOW + 0.1, service)
    if is_reached_before:
        runs.schedule_tasks(owner, NOW + 1.5)
    submit(owner, "plain", [PLAIN], 1, NOW + 1.6)
    assert has_run(owner, "plain")
    assert len(owner.waiting) == 40


def test_step_that_has_to_wait_does_not_hide_a_parallel_one(owner):
    """Guards against a ready step that never starts behind another one of its job."""
    submit(owner, "j", [WAITING_STEPS["lost label"], PLAIN], 0, NOW + 0.1)
    assert has_run(owner, "j", step=1) and not has_run(owner, "j", step=0)


def test_smaller_job_behind_many_larger_ones_starts(owner):
    """Guards against a job that starves because those before it need more capacity."""
    for name in list(owner.agents)[1:]:
        usage = wire.RoomReport(CPU - 1000, 0, 0)
        reports.foreign_usage_reported(owner, name, usage)
    for number in range(40):
        submit(owner, f"w{number}", [StepSpec(1, cpu=2000)], 1, NOW + 0.1)
    submit(owner, "small", [PLAIN], 2, NOW + 0.2)
    runs.schedule_tasks(owner, NOW + 1.5)
    assert has_run(owner, "small")


def test_job_without_a_worker_is_logged_once(owner):
    """Guards against a job that waits without a line that says for what."""
    submit(owner, "j", [WAITING_STEPS["lost label"]], 0, NOW + 0.1)
    for second in range(2, 6):
        runs.schedule_tasks(owner, NOW + second)
    lines = [c for c in owner.pop_commands() if isinstance(c, OwnerLogLine)]
    fields = [line.fields for line in lines if line.event == "job.no_worker"]
    assert [(line["job"], line["label"]) for line in fields] == [("j", "c")]


def test_work_without_a_worker_refuses_no_other_jobs(owner):
    """Guards against jobs that are refused beside idle workers for a lost one."""
    step = StepSpec(1, cpu=1000, required_label="b", estimate=1.0)
    for number in range(100):
        submit(owner, f"w{number}", [step], 0, NOW + 0.1)
    assert owner.backlog.core_seconds_before(0) > 50
    reports.agent_disconnected(owner, "side-0", NOW + 0.2)
    runs.tick(owner, NOW + 0.3)
    assert owner.backlog.core_seconds_before(0) == pytest.approx(0.0)
    shard = next(iter(owner.shards.values()))
    record = create_job_record(steps=[PLAIN], priority=1)
    besteffort.run_job(owner, shard, "plain", record, "caller", NOW + 9, NOW + 0.3)
    runs.schedule_tasks(owner, NOW + 0.3)
    assert has_run(owner, "plain")
    worker = wire.WorkerReport("l@2", "s", True, CPU, 1 << 20, 0, ["b"])
    hello = wire.AgentHello(1, "side-0", "b2", "d", worker)
    reports.agent_connected(owner, hello, NOW + 0.4)
    runs.tick(owner, NOW + 0.5)
    assert owner.backlog.core_seconds_before(0) > 50
