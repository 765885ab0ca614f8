import pytest

from turmericknot.conf.schema import PolicySettings
from turmericknot.dispatch import scheduler
from turmericknot.wire.messages import TaskStatus


def started_streams(started):
    return [stream for stream, _, _ in started]


def test_own_failure_domain_unless_it_is_fuller(create_site):
    """Guards against needless delay between failure domains and against hot spots."""
    site = create_site(agents=2, slots=4)
    site.join(2, domain="d2")
    site.join(3, domain="d2")
    site.add(1)
    assert started_streams(site.start())[0] < 2
    site.add(11)
    site.start()
    used = [site.state.agents[stream].running for stream in range(4)]
    assert sum(used[:2]) == pytest.approx(6, abs=1)


def test_resources_must_fit(create_site):
    """Guards against placing a task on a worker without enough free memory."""
    site = create_site(agents=1, slots=8, memory_mb=1000)
    site.join(1, slots=8, memory_mb=4000)
    site.add(8, needs={"memory_mb": 900})
    used = started_streams(site.start())
    assert sorted(used) == [0, 1, 1, 1, 1]
    site.add(1)  # declares no resources and does not wait behind the others
    assert len(site.start()) == 1


@pytest.mark.parametrize("policy", ["random", "least_outstanding"])
def test_baselines_ignore_windows(create_site, policy):
    site = create_site(agents=4, slots=2, policy=PolicySettings(policy=policy))
    site.add(40)
    used = started_streams(site.start())
    assert len(used) == 40 and len(set(used)) == 4
    if policy == "least_outstanding":
        assert [used.count(stream) for stream in range(4)] == [10] * 4


def test_straggler_gets_work_only_under_backlog(create_site):
    """Guards against a slow worker that delays whole jobs."""
    site = create_site(agents=4, slots=4)
    for _ in range(100):
        site.add(4)
        for task in site.start():
            site.finish(task, run_ms=500.0 if task[0] == 3 else 100.0)
    site.add(12)
    assert 3 not in started_streams(site.start())
    site.add(200)
    assert 3 in started_streams(site.start())


def run_with_failures(site, rounds, faulty=(3,), team_fails=False):
    """Run jobs whose tasks fail on faulty workers; return the number of failures."""
    failed = 0
    for _ in range(rounds):
        site.now += 0.05
        site.add(8)
        if team_fails:
            site.add(4, "blue")
        for task in site.start():
            blue = site.state.jobs[task[1]].team.name == "blue"
            bad = task[0] in faulty or (team_fails and blue)
            failed += bad
            status = TaskStatus.FAILED if bad else TaskStatus.OK
            site.finish(task, status, 2.0 if bad else 100.0)
    return failed


def test_small_fleet_may_quarantine_one_worker_but_not_its_last(create_site):
    """Guards against a maximum share that rounds to no worker in a small fleet."""
    site = create_site(agents=3, slots=4)
    for _ in range(12):
        site.add(6)
        for task in site.start():
            site.finish(task, status=int(task[0] != 2))
    assert len(site.state.quarantine.quarantined) <= 1
    site = create_site(agents=3, slots=4)
    for _ in range(12):
        site.add(6)
        for task in site.start():
            site.finish(task, status=int(task[0] == 0))
    assert len(site.state.quarantine.quarantined) == 1


def test_faulty_worker_is_quarantined_probed_and_released(create_site):
    """Guards against a worker that fails fast and therefore attracts all tasks."""
    site = create_site(agents=5, slots=4)
    assert run_with_failures(site, 400) < 15
    assert scheduler.status(site.state, 0.0)["quarantined"] == ["agent-3"]
    run_with_failures(site, 1500, faulty=())
    assert scheduler.status(site.state, 0.0)["quarantined"] == []


def test_at_most_a_fifth_of_the_workers_is_quarantined(create_site):
    """Guards against a quarantine that removes most of the capacity."""
    site = create_site(agents=10, slots=2)
    run_with_failures(site, 100, faulty=(3, 4, 5))
    assert len(site.state.quarantine.quarantined) == 2


def test_failing_team_quarantines_no_worker(create_site):
    """Guards against attributing a team's faults to workers."""
    site = create_site(agents=10, slots=2)
    for _ in range(200):
        run_with_failures(site, 1, faulty=(), team_fails=True)
        assert not site.state.quarantine.quarantined


def test_returned_tasks_over_the_budget_wait(create_site):
    """Guards against a retry storm between an entry and leaving agents."""
    site = create_site(agents=1, slots=8)
    job = site.add(8)
    site.start()
    scheduler.tasks_returned(site.state, 0, job, list(range(8)), 0.0)
    assert len(site.start()) == 1  # the budget is a fifth of the 8 starts
    site.now = 0.3
    assert len(site.start()) == 3  # 10 more per second
    assert sorted(scheduler.remove_job(site.state, job, 0.3)) == [4, 5, 6, 7]


def test_long_work_leaves_slots_for_short_work(create_site):
    """Guards against short tasks that wait behind long ones."""
    site = create_site(agents=10, slots=8)
    for _ in range(30):
        site.add(2)
        site.add(1, task_class="match", declared_ms=5000.0)
        for task in site.start():
            long = site.state.jobs[task[1]].spec.task_class == "match"
            site.finish(task, run_ms=5000.0 if long else 100.0)
    site.add(200, task_class="match", declared_ms=5000.0)
    assert len(site.start()) == 56
    site.add(24)
    assert len(site.start()) == 24
    for stream, agent in site.state.agents.items():
        for job, index in list(agent.tasks):
            site.finish((stream, job, index))
    site.now = 6.0  # after 5 s without short tasks, long ones may use every slot
    assert len(site.start()) == 80
