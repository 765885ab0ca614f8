import pytest

from tests.dispatch.site import job_spec
from turmericknot.dispatch import scheduler
from turmericknot.dispatch.tasks import Reason


def admit(site, count=1, team="red", **fields):
    return scheduler.admit(site.state, job_spec(999, team, count, **fields), site.now)


def run_tasks(site, run_ms, tasks=30, **fields):
    """Run tasks one by one, so that the run time of their class is measured."""
    for _ in range(tasks):
        site.add(1, **fields)
        for task in site.start():
            site.finish(task, run_ms=run_ms)


def test_no_configuration_and_no_workers(create_site):
    site = create_site(agents=1, tree=None)
    assert admit(site).reason == Reason.NO_CONFIGURATION
    site = create_site(agents=0)
    assert admit(site).reason == Reason.NO_WORKERS


def test_unlisted_team(create_site):
    """Guards against admitting jobs of a team that operators removed."""
    site = create_site()
    assert admit(site, team="green").reason == Reason.UNKNOWN_TEAM
    scheduler.config_changed(site.state, 2, {"teams": {"blue": {}}}, 0.0)
    assert admit(site, team="red").reason == Reason.UNKNOWN_TEAM
    assert admit(site, team="blue") is None


@pytest.mark.parametrize(
    ("limits", "count", "needs", "reason"),
    [
        ({}, 1, {"memory_mb": 40000}, Reason.NEVER_RUNNABLE),
        ({}, 1, {"accelerators": 1}, Reason.NEVER_RUNNABLE),
        ({"max_processors": 2}, 1, {"processors": 4.0}, Reason.NEVER_RUNNABLE),
        ({"max_tasks_per_job": 3}, 4, {}, Reason.NEVER_RUNNABLE),
        ({"max_running": 0}, 1, {}, Reason.NEVER_RUNNABLE),
        ({"max_queued": 3}, 4, {}, Reason.NEVER_RUNNABLE),
        ({"max_queued": 10}, 8, {}, Reason.TEAM_LIMIT),
        ({"max_queued": 10}, 5, {"processors": 16.0}, None),
    ],
)
def test_limits(create_site, limits, count, needs, reason):
    """Guards against a job that waits forever or uses more than its quota."""
    site = create_site(agents=1, slots=4, tree={"teams": {"red": {"limits": limits}}})
    site.add(3)
    if limits.get("max_queued") == 10:
        site.add(4)  # the first four start
        site.start()
    refusal = admit(site, count, needs=needs)
    assert (refusal.reason if refusal else None) == reason
    if reason == Reason.NEVER_RUNNABLE:
        assert refusal.detail and refusal.retry_after_s == 0.0


def test_predicted_completion_decides(create_site):
    """Guards against admitting jobs that cannot finish by their deadline."""
    site = create_site(agents=1, slots=4)
    run_tasks(site, run_ms=100.0)
    site.add(100)
    site.start()
    # 96 queued tasks in 4 slots take 2.4 s.
    refusals = [admit(site, 4, deadline_s=2.0) for _ in range(20)]
    assert {refusal.reason for refusal in refusals} == {Reason.OVERLOAD}
    assert len({refusal.retry_after_s for refusal in refusals}) == 20
    assert admit(site, 4, deadline_s=4.0) is None
    assert admit(site, 400, deadline_s=4.0).reason == Reason.OVERLOAD


def test_another_teams_backlog_does_not_refuse_a_job(create_site):
    site = create_site(agents=2, slots=4)
    run_tasks(site, run_ms=100.0)
    run_tasks(site, run_ms=100.0, team="blue")
    site.add(1000, "red")
    site.start()
    assert admit(site, 4, "blue", deadline_s=1.0) is None


def test_wrong_declaration_does_not_refuse_for_ever(create_site):
    """Guards against a class that is never started and therefore never measured."""
    site = create_site(agents=1, slots=4)
    assert admit(site, 1, declared_ms=60000.0, deadline_s=1.0) is None


def test_wrong_declaration_is_overruled_within_tens_of_tasks(create_site):
    site = create_site(agents=1, slots=4)
    run_tasks(site, run_ms=100.0, tasks=30, declared_ms=1000.0)
    job = site.add(1, declared_ms=1000.0)
    spec = scheduler.spec_for(site.state, job, 0)
    assert spec.estimate_ms == pytest.approx(100.0, rel=0.05)
