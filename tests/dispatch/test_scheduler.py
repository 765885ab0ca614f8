from turmericknot.dispatch import scheduler
from turmericknot.wire.messages import Window


def test_starts_only_in_granted_slots(create_site):
    """Guards against an entry that exceeds the window of an agent."""
    site = create_site(agents=2, slots=2)
    job = site.add(5)
    started = site.start()
    assert sorted(index for _, _, index in started) == [0, 1, 2, 3]
    assert site.start() == []
    scheduler.set_window(site.state, 0, Window(0, 2), 0.0)
    on_first, on_second = sorted(started)[0], sorted(started)[-1]
    site.finish(on_first)
    assert site.start() == []
    site.finish(on_second)
    assert site.start() == [(1, job, 4)]


def test_first_in_first_out_and_returned_tasks_first(create_site):
    """Guards against returned tasks that wait behind later jobs."""
    site = create_site(agents=1, slots=1)
    first, second = site.add(2), site.add(1)
    (task,) = site.start()
    assert task[1:] == (first, 0)
    site.state.teams["red"].retry_tokens = 1
    scheduler.tasks_returned(site.state, 0, first, [0], 0.0)
    for expected in ((first, 0), (first, 1), (second, 0)):
        (task,) = site.start()
        assert task[1:] == expected
        site.finish(task)
    assert not site.state.jobs and not site.state.agents[0].tasks


def test_claimed_work_goes_to_rostered_agents_only(create_site):
    """Guards against a start that a takeover would not find."""
    site = create_site(agents=2, slots=1)
    scheduler.set_rostered(site.state, 0, False, 0.0)
    job = site.add(2, claimed=True)
    assert [stream for stream, _, _ in site.start()] == [1]
    scheduler.set_rostered(site.state, 0, True, 0.0)
    assert site.start() == [(0, job, 1)]


def test_no_work_for_draining_and_suspect_agents(create_site):
    site = create_site(agents=3, slots=1)
    scheduler.agent_draining(site.state, 0, 0.0)
    scheduler.set_suspect(site.state, 1, True, 0.0)
    site.add(3)
    assert [stream for stream, _, _ in site.start()] == [2]
    scheduler.set_suspect(site.state, 1, False, 0.0)
    assert [stream for stream, _, _ in site.start()] == [1]


def test_lost_agent_frees_the_team(create_site):
    """Guards against tasks of a lost agent that count as running forever."""
    site = create_site(agents=2, slots=2)
    job = site.add(4)
    site.start()
    scheduler.agent_left(site.state, 0, 0.0)
    assert site.state.teams["red"].running_tasks == 2
    assert scheduler.remove_job(site.state, job, 0.0) == []
    for stream, name, index in [(1, job, i) for i in range(4)]:
        site.finish((stream, name, index))
    assert site.state.teams["red"].running_tasks == 0
    assert not site.state.jobs


def test_removed_job_returns_its_queued_tasks(create_site):
    site = create_site(agents=1, slots=2)
    job = site.add(5)
    started = site.start()
    assert scheduler.remove_job(site.state, job, 0.0) == [2, 3, 4]
    scheduler.tasks_returned(site.state, 0, job, [started[0][2]], 0.0)
    assert site.start() == [] and site.state.waiting == 0


def test_demand_goes_to_no_more_agents_than_needed(create_site):
    """Guards against demand that costs more messages than the tasks themselves."""
    site = create_site(agents=6, slots=2)
    for stream in range(6):
        scheduler.set_window(site.state, stream, Window(0, 2), 0.0)
    job = site.add(4)
    assert site.start() == []
    first = scheduler.due_demands(site.state, 1.0)
    assert [message.waiting for _, message in first] == [2, 2]
    assert scheduler.due_demands(site.state, 1.001) == []
    second = scheduler.due_demands(site.state, 1.01)
    recipients = {stream for stream, _ in first + second}
    assert len(recipients) == 4, "an agent got a second demand at once"
    scheduler.remove_job(site.state, job, 1.02)
    assert scheduler.due_demands(site.state, 5.0) == []


def test_demand_sent_with_an_assignment_is_not_repeated(create_site):
    """Guards against a second demand to agents whose assignment carried it."""
    site = create_site(agents=2, slots=2)
    for stream in range(2):
        scheduler.set_window(site.state, stream, Window(1, 2), 0.0)
    site.add(4)
    assert len(site.start()) == 2
    assert scheduler.assignment_demand(site.state, 0)[0] == 2
    assert [stream for stream, _ in scheduler.due_demands(site.state, 1.0)] == [1]


def test_expired_job_starts_nothing_more(create_site):
    """Guards against using capacity for a job that will fail anyway."""
    site = create_site(agents=1, slots=1)
    job = site.add(3, deadline_s=1.0)
    site.start()
    assert scheduler.expire_jobs(site.state, 0.9) == []
    assert scheduler.expire_jobs(site.state, 1.0) == [job]
    assert scheduler.expire_jobs(site.state, 1.1) == []
    site.finish((0, job, 0))
    assert site.start() == []
    assert scheduler.remove_job(site.state, job, 1.2) == [1, 2]


def test_priorities_order_a_teams_jobs(create_site):
    """Guards against urgent jobs that wait behind a team's bulk jobs."""
    tree = {"teams": {"red": {"priorities": {"check": 5}}}}
    site = create_site(agents=1, slots=1, tree=tree)
    expected = [site.add(1, task_class="bulk") for _ in range(2)]
    expected.insert(0, site.add(1, task_class="check"))
    expected.insert(0, site.add(1, task_class="bulk", priority=9))
    for job in expected:
        (task,) = site.start()
        assert task[1] == job
        site.finish(task)


def test_returned_task_of_a_started_job_still_expires(create_site):
    """Guards against a job that never ends because a task is returned late."""
    site = create_site(agents=1, slots=1)
    job = site.add(1, deadline_s=1.0)
    site.start()
    assert scheduler.expire_jobs(site.state, 1.1) == []
    site.now = 1.2
    scheduler.set_window(site.state, 0, Window(0, 2), 1.2)
    scheduler.tasks_returned(site.state, 0, job, [0], 1.2)
    assert scheduler.expire_jobs(site.state, 1.3) == [job]
    assert scheduler.remove_job(site.state, job, 1.3) == [0]
    assert not site.state.jobs


def test_slots_of_tasks_taken_over_are_free_again(create_site):
    """Guards against slots that stay in use forever after a takeover."""
    site = create_site(agents=1, slots=2)
    job = site.add(2)
    assert len(site.start()) == 2
    site.add(2)
    assert site.start() == []
    scheduler.remove_job(site.state, job, 0.0)
    scheduler.tasks_taken_over(site.state, 0, job, [0, 1], 0.0)
    assert len(site.start()) == 2
