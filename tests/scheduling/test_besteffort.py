"""Jobs that are not stored, against callers, agents and entries that vanish."""

from turmericknot.scheduling import besteffort, reports, runs
from turmericknot.scheduling.commands import Outcome
from turmericknot.scheduling.jobs import RunEnd
from turmericknot.wire import shard_messages as wire

from .site import JOB, create_job_record


def end_all(site, how=RunEnd.DONE):
    for agent_name, name in site.running():
        site.agents[agent_name].worker.end(name, how)
    site.advance(0.1)


def test_whole_answer_when_every_task_is_done(site):
    """A job must not be answered while one of its tasks is still running."""
    entry = site.entries["entry-0"]
    entry.hand_in("caller", site.now)
    site.settle()
    (agent_name, name), *rest = site.running()
    site.agents[agent_name].worker.end(name)
    site.advance(0.1)
    assert entry.answers == []
    end_all(site)
    assert entry.answers == [("caller", Outcome.SUCCEEDED)]
    assert entry.shard.jobs == {}


def test_attempts_are_bounded(site):
    """A task that always fails must end its job instead of running for ever."""
    entry = site.entries["entry-0"]
    entry.hand_in("caller", site.now, job_record=create_job_record(tasks=1, attempts=3))
    for _ in range(3):
        site.settle()
        assert len(site.running()) == 1
        end_all(site, RunEnd.FAILED)
    assert entry.answers == [("caller", Outcome.FAILED)]
    assert site.running() == []


def test_runs_stop_when_the_caller_leaves(site):
    """Work for nobody must not hold room, nor overlap with the job handed in anew."""
    entry = site.entries["entry-0"]
    entry.hand_in("caller", site.now)
    site.settle()
    assert len(site.running()) == 2
    besteffort.abandon_job(entry.owner, entry.shard, JOB, "caller", site.now)
    site.settle()
    assert site.running() == []
    site.advance(0.1)
    assert entry.shard.jobs == {}


def test_end_of_an_earlier_submission_is_not_that_of_the_present_run(site):
    """Runs are numbered anew; the task would run twice at once."""
    entry = site.entries["entry-0"]
    entry.hand_in("caller", site.now, job_record=create_job_record(tasks=1))
    site.settle()
    ((agent_name, name),) = site.running()
    other = next(agent for agent in site.agents if agent != agent_name)
    ends = [wire.EndedRun(name, 7, RunEnd.STOPPED)]
    reports.runs_ended(entry.owner, other, entry.shard.number, "l", ends, site.now)
    site.advance(0.2)
    assert site.running() == [(agent_name, name)]


def test_refusal_at_an_entry_that_is_about_to_end_says_so(site):
    """A refusal for the backlog of an empty entry misleads who looks for its cause."""
    entry = site.entries["entry-0"]
    site.advance(4.0)
    entry.owner.is_shutting_down = True
    entry.hand_in("caller", site.now, wait=0.01)
    assert entry.owner.counts["refused_stopping"] == 1


def test_runs_of_a_second_submission_are_numbered_on(site):
    """A late refusal of the first submission's run would be taken for the second's."""
    entry = site.entries["entry-0"]
    for expected in (1, 2):
        entry.hand_in("caller", site.now, job_record=create_job_record(tasks=1))
        site.settle()
        ((_, name),) = site.running()
        assert name.run == expected
        besteffort.abandon_job(entry.owner, entry.shard, JOB, "caller", site.now)
        site.advance(0.1)
    site.advance(besteffort.RUN_NUMBER_RETENTION_S + 1, step=1.0, renew=True)
    assert entry.shard.last_run_numbers == {}


def test_runs_stop_at_the_deadline_of_the_caller(site):
    """A caller cut off without a reset must not leave runs behind."""
    entry = site.entries["entry-0"]
    entry.hand_in("caller", site.now, wait=1.0)
    site.advance(1.1)
    assert entry.answers == [("caller", Outcome.UNDECIDED)]
    assert site.running() == []


def test_handed_in_again_waits_for_the_former_runs(site):
    """Two submissions of one job must never have runs at the same time."""
    entry = site.entries["entry-0"]
    entry.hand_in("first", site.now)
    site.settle()
    for agent in site.agents.values():
        agent.auto = False  # the stops are under way
    besteffort.abandon_job(entry.owner, entry.shard, JOB, "first", site.now)
    site.settle()
    former = site.running()
    entry.hand_in("second", site.now)
    site.settle()
    assert site.running() == former
    for agent_name, name in former:
        site.agents[agent_name].worker.end(name, RunEnd.STOPPED)
        site.agents[agent_name].auto = True
    site.advance(0.1)
    assert len(site.running()) == 2
    end_all(site)
    assert entry.answers == [("second", Outcome.SUCCEEDED)]


def test_runs_of_a_dead_entry_end_before_the_job_comes_again(create_site):
    """The runs of an entry that lost power overlap with those of the next entry."""
    site = create_site(entries=2)
    first, second = site.entries.values()
    first.hand_in("caller", site.now)
    site.settle()
    assert len(site.running()) == 2
    for agent in site.agents.values():
        site.cut(first, agent)
    site.advance(1.3)  # the platform's resend_ms
    assert site.running() == []
    second.hand_in("caller", site.now)
    site.advance(0.1)
    assert len(site.running()) == 2


def test_runs_of_other_entries_survive_the_death_of_one(create_site):
    """The end of one entry's grant must not let the worker's whole lease lapse."""
    site = create_site(entries=2, agents=1)
    first, second = site.entries.values()
    agent = site.agents["agent-0"]
    first.hand_in("caller", site.now, job="00000000000000a1")
    second.hand_in("caller", site.now, job="00000000000000a2")
    site.settle()
    site.cut(first, agent)
    for _ in range(40):
        site.advance(0.05)
        assert agent.state.lease_until > site.now
    assert len(site.running("00000000000000a2")) == 2
    assert site.running("00000000000000a1") == []


def test_silent_agent_is_replaced_only_after_its_lease(create_site):
    """A task starts elsewhere while the worker of a cut-off agent still runs it."""
    site = create_site(agents=2, cpu=1000)
    entry = site.entries["entry-0"]
    entry.hand_in("caller", site.now, job_record=create_job_record(tasks=1))
    site.settle()
    ((holder, name),) = site.running()
    site.cut(entry, site.agents[holder])
    cut_at = site.now
    while not [agent for agent, _ in site.running() if agent != holder]:
        site.advance(0.05)
        assert site.now < cut_at + 2
    assert site.now - cut_at > 1.1
    assert all(agent != holder for agent, _ in site.running())


def test_worker_of_a_restarted_agent_is_offered_when_it_is_empty(create_site):
    """A new agent process reports no runs while its worker still has some."""
    site = create_site(agents=1)
    entry = site.entries["entry-0"]
    agent = site.agents["agent-0"]
    entry.hand_in("caller", site.now)
    site.settle()
    site.cut(entry, agent)
    agent.auto = False  # the stops take a while
    agent.restart(site.now)
    site.connect(entry, agent)
    site.settle()
    assert entry.owner.agents["agent-0"].worker is None
    for _, name in site.running():
        agent.worker.end(name, RunEnd.STOPPED)
    agent.auto = True
    agent.hold(site.now)
    assert agent.state.is_synced


def test_run_number_rises_past_an_earlier_submission(site):
    """A worker refuses runs that are not above those of an earlier submission."""
    entry = site.entries["entry-0"]
    entry.hand_in("caller", site.now, job_record=create_job_record(tasks=1))
    site.settle()
    ((holder, name),) = site.running()
    agent = site.agents[holder]
    del agent.worker.running[name]
    agent.state.runs.clear()
    refusal = wire.RefusedRun(name, "old")
    reports.runs_refused(entry.owner, holder, entry.shard.number, [refusal], site.now)
    runs.schedule_tasks(entry.owner, site.now)
    site.settle()
    ((_, again),) = site.running()
    assert name.run == 1
    assert again.run > 1000


def test_restarted_agent_reports_no_runs_before_it_knows_them(create_site):
    """The worker reports itself a while after its agent has restarted.

    Until then its runs go on under the lease of the former process; an owner that
    is told of none starts the tasks a second time.
    """
    site = create_site(agents=2, cpu=1000)
    entry = site.entries["entry-0"]
    entry.hand_in("caller", site.now, job_record=create_job_record(tasks=1))
    site.settle()
    ((holder, name),) = site.running()
    agent = site.agents[holder]
    site.cut(entry, agent)
    agent.restart(site.now, reports=False)
    site.connect(entry, agent)
    restarted_at = site.now
    while len(site.running()) == 1:
        site.advance(0.05)
        assert site.now < restarted_at + 2
    assert site.now - restarted_at >= 1.02


def test_runs_move_off_a_slow_worker(create_site):
    """A worker five times too slow would make its tasks miss their objective."""
    site = create_site(agents=2, cpu=4000)
    entry = site.entries["entry-0"]
    entry.hand_in(
        "caller",
        site.now,
        job_record=create_job_record(tasks=4, estimate=1.0),
        wait=20.0,
    )
    site.advance(1.0)
    slow, name = site.running()[0]
    report = wire.RunsProgress(entry.shard.number, 0.2, [wire.RunProgress(name, 20)])
    reports.progress_reported(entry.owner, slow, report, site.now)
    site.settle()
    site.advance(0.2)
    assert [a for a, n in site.running() if n.index == name.index] != [slow]
    assert len(site.running()) == 4


def test_long_task_on_a_sound_worker_is_not_moved(create_site):
    """Moving a task that is long by itself only throws its work away."""
    site = create_site(agents=2, cpu=4000)
    entry = site.entries["entry-0"]
    entry.hand_in(
        "caller",
        site.now,
        job_record=create_job_record(tasks=4, estimate=1.0),
        wait=20.0,
    )
    site.advance(1.0)
    agent, name = site.running()[0]
    report = wire.RunsProgress(entry.shard.number, 0.95, [wire.RunProgress(name, 20)])
    reports.progress_reported(entry.owner, agent, report, site.now)
    site.advance(0.2)
    assert (agent, name) in site.running()


def test_hopeless_job_is_refused_before_its_deadline(create_site):
    """A caller must not wait until its deadline for a job that cannot be served."""
    site = create_site(agents=1, cpu=1000)
    entry = site.entries["entry-0"]
    long_record = create_job_record(tasks=1, estimate=9.0, priority=0)
    entry.hand_in("holder", site.now, "00000000000000b1", long_record, wait=60.0)
    site.settle()
    handed_in_at = site.now
    entry.hand_in(
        "caller", site.now, wait=30.0, job_record=create_job_record(priority=1)
    )
    while not entry.answers:
        site.advance(0.1)
        assert site.now - handed_in_at < 2
    assert entry.answers == [("caller", Outcome.REFUSED)]
    assert [name.job for _, name in site.running(JOB)] == []


def test_job_longer_than_its_caller_waits_is_refused_at_once(site):
    """A job that cannot end in time must not take room from others."""
    entry = site.entries["entry-0"]
    long_record = create_job_record(tasks=1, estimate=9.0)
    entry.hand_in("caller", site.now, wait=3.0, job_record=long_record)
    site.settle()
    assert entry.answers == [("caller", Outcome.REFUSED)]
