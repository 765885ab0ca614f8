"""Best-effort jobs when callers, agents or entries disappear."""

import pytest

from turmericknot.scheduling import besteffort, reports, runs, worker_starts
from turmericknot.scheduling.commands import Outcome
from turmericknot.scheduling.jobs import RunEnd, StepSpec
from turmericknot.scheduling.wanted_labels import CONNECT_S, FORGET_LABEL_AFTER_S
from turmericknot.wire import shard_messages as wire

from .site import JOB_ID, create_job_record


def end_all_runs(site, how=RunEnd.DONE):
    for agent_name, name in site.running():
        site.agents[agent_name].worker.end_run(name, how)
    site.advance(0.1)


def test_job_is_answered_when_every_task_is_done(site):
    """A job must not be answered while one of its tasks is still running."""
    entry = site.entries["entry-0"]
    entry.submit_best_effort("caller", site.now)
    site.deliver_all()
    (agent_name, name), *rest = site.running()
    site.agents[agent_name].worker.end_run(name)
    site.advance(0.1)
    assert entry.answers == []
    end_all_runs(site)
    assert entry.answers == [("caller", Outcome.SUCCEEDED)]
    assert entry.shard.jobs == {}


def test_tasks_without_processors_are_served(site):
    """Guards against an entry that ends: its only finished runs used no processors."""
    entry = site.entries["entry-0"]
    for number in range(3):
        job_record = create_job_record(cpu=0)
        entry.submit_best_effort(number, site.now, job_record=job_record)
        site.deliver_all()
        assert len(site.running()) == 2
        end_all_runs(site)
    assert entry.answers == [(number, Outcome.SUCCEEDED) for number in range(3)]


def test_attempts_are_bounded(site):
    """A task that always fails must end its job instead of being retried forever."""
    entry = site.entries["entry-0"]
    entry.submit_best_effort(
        "caller", site.now, job_record=create_job_record(tasks=1, attempts=3)
    )
    for _ in range(3):
        site.deliver_all()
        assert len(site.running()) == 1
        end_all_runs(site, RunEnd.FAILED)
    assert entry.answers == [("caller", Outcome.FAILED)]
    assert site.running() == []


def test_runs_stop_when_the_caller_leaves(site):
    """Runs must stop when the only caller of their job disconnects.

    They would use capacity for nobody, and overlap with the job when it is submitted
    again.
    """
    entry = site.entries["entry-0"]
    entry.submit_best_effort("caller", site.now)
    site.deliver_all()
    assert len(site.running()) == 2
    besteffort.abandon_job(entry.owner, entry.shard, JOB_ID, "caller", site.now)
    site.deliver_all()
    assert site.running() == []
    site.advance(0.1)
    assert entry.shard.jobs == {}


def test_end_from_an_earlier_submission_does_not_end_the_current_run(site):
    """Run numbers restart, so an end from another agent may name the current run.

    If the owner accepted it, the task would run twice at the same time.
    """
    entry = site.entries["entry-0"]
    entry.submit_best_effort("caller", site.now, job_record=create_job_record(tasks=1))
    site.deliver_all()
    ((agent_name, name),) = site.running()
    other = next(agent for agent in site.agents if agent != agent_name)
    ends = [wire.EndedRun(name, 7, RunEnd.STOPPED)]
    reports.runs_ended(entry.owner, other, entry.shard.number, "l", ends, site.now)
    site.advance(0.2)
    assert site.running() == [(agent_name, name)]


def test_refusal_reason_during_shutdown(site):
    """A refusal by an idle entry that shuts down must not be counted as backlog."""
    entry = site.entries["entry-0"]
    site.advance(4.0)
    entry.owner.is_shutting_down = True
    entry.submit_best_effort("caller", site.now, wait=0.01)
    assert entry.owner.counts["refused_stopping"] == 1


def test_run_numbers_continue_in_a_second_submission(site):
    """A second submission must not reuse the run numbers of the first.

    Otherwise a late refusal of the first submission's run would be taken for one of
    the second's.
    """
    entry = site.entries["entry-0"]
    for expected in (1, 2):
        entry.submit_best_effort(
            "caller", site.now, job_record=create_job_record(tasks=1)
        )
        site.deliver_all()
        ((_, name),) = site.running()
        assert name.run == expected
        besteffort.abandon_job(entry.owner, entry.shard, JOB_ID, "caller", site.now)
        site.advance(0.1)
    site.advance(besteffort.RUN_NUMBER_RETENTION_S + 1, step=1.0, renew_grants=True)
    assert entry.shard.last_run_numbers == {}


def test_runs_stop_at_the_deadline_of_the_caller(site):
    """A caller that vanishes without a connection reset must not leave runs behind."""
    entry = site.entries["entry-0"]
    entry.submit_best_effort("caller", site.now, wait=1.0)
    site.advance(1.1)
    assert entry.answers == [("caller", Outcome.UNDECIDED)]
    assert site.running() == []


def test_resubmission_waits_for_the_previous_runs(site):
    """Two submissions of one job must never have runs at the same time."""
    entry = site.entries["entry-0"]
    entry.submit_best_effort("first", site.now)
    site.deliver_all()
    for agent in site.agents.values():
        agent.executes_calls = False  # the stops are still in transit
    besteffort.abandon_job(entry.owner, entry.shard, JOB_ID, "first", site.now)
    site.deliver_all()
    previous_runs = site.running()
    entry.submit_best_effort("second", site.now)
    site.deliver_all()
    assert site.running() == previous_runs
    for agent_name, name in previous_runs:
        site.agents[agent_name].worker.end_run(name, RunEnd.STOPPED)
        site.agents[agent_name].executes_calls = True
    site.advance(0.1)
    assert len(site.running()) == 2
    end_all_runs(site)
    assert entry.answers == [("second", Outcome.SUCCEEDED)]


def test_runs_of_a_dead_entry_end_before_the_resubmission(create_site):
    """The runs of an entry that lost power must end before the client submits again.

    Otherwise they overlap with the runs of the next entry.
    """
    site = create_site(entries=2)
    first, second = site.entries.values()
    first.submit_best_effort("caller", site.now)
    site.deliver_all()
    assert len(site.running()) == 2
    for agent in site.agents.values():
        site.disconnect(first, agent)
    site.advance(1.3)  # the platform's resend_ms
    assert site.running() == []
    second.submit_best_effort("caller", site.now)
    site.advance(0.1)
    assert len(site.running()) == 2


def test_runs_of_other_entries_survive_the_death_of_one(create_site):
    """The expired grant of one entry must not let the worker's whole lease lapse."""
    site = create_site(entries=2, agents=1)
    first, second = site.entries.values()
    agent = site.agents["agent-0"]
    first.submit_best_effort("caller", site.now, job="00000000000000a1")
    second.submit_best_effort("caller", site.now, job="00000000000000a2")
    site.deliver_all()
    site.disconnect(first, agent)
    for _ in range(40):
        site.advance(0.05)
        assert agent.state.lease_until > site.now
    assert len(site.running("00000000000000a2")) == 2
    assert site.running("00000000000000a1") == []


def test_task_of_a_disconnected_agent_restarts_only_after_its_lease(create_site):
    """A task must not start elsewhere while a disconnected worker still runs it."""
    site = create_site(agents=2, cpu=1000)
    entry = site.entries["entry-0"]
    entry.submit_best_effort("caller", site.now, job_record=create_job_record(tasks=1))
    site.deliver_all()
    ((holder, name),) = site.running()
    site.disconnect(entry, site.agents[holder])
    disconnected_at = site.now
    while not [agent for agent, _ in site.running() if agent != holder]:
        site.advance(0.05)
        assert site.now < disconnected_at + 2
    assert site.now - disconnected_at > 1.1
    assert all(agent != holder for agent, _ in site.running())


def test_worker_of_a_restarted_agent_is_offered_without_runs_only(create_site):
    """A restarted agent must not offer its worker while it has earlier runs.

    The new process does not know those runs and would not report them.
    """
    site = create_site(agents=1)
    entry = site.entries["entry-0"]
    agent = site.agents["agent-0"]
    entry.submit_best_effort("caller", site.now)
    site.deliver_all()
    site.disconnect(entry, agent)
    agent.executes_calls = False  # the stops have not taken effect yet
    agent.restart(site.now)
    site.connect(entry, agent)
    site.deliver_all()
    assert entry.owner.agents["agent-0"].worker is None
    for _, name in site.running():
        agent.worker.end_run(name, RunEnd.STOPPED)
    agent.executes_calls = True
    agent.renew_lease(site.now)
    assert agent.state.is_synced


def test_run_number_rises_past_an_earlier_submission(site):
    """The number of a refused run must be raised above those of earlier submissions.

    A worker refuses runs that are not numbered above earlier ones.
    """
    entry = site.entries["entry-0"]
    entry.submit_best_effort("caller", site.now, job_record=create_job_record(tasks=1))
    site.deliver_all()
    ((holder, name),) = site.running()
    agent = site.agents[holder]
    del agent.worker.running[name]
    agent.state.runs.clear()
    refusal = wire.RefusedRun(name, "old")
    reports.runs_refused(entry.owner, holder, entry.shard.number, [refusal], site.now)
    runs.schedule_tasks(entry.owner, site.now)
    site.deliver_all()
    ((_, again),) = site.running()
    assert name.run == 1
    assert again.run > 1000


def test_restarted_agent_reports_no_runs_before_it_knows_them(create_site):
    """A restarted agent must not report an empty inventory before the worker reports.

    Until then the runs go on under the lease of the previous process. An owner that is
    informed that there are none would start the tasks a second time.
    """
    site = create_site(agents=2, cpu=1000)
    entry = site.entries["entry-0"]
    entry.submit_best_effort("caller", site.now, job_record=create_job_record(tasks=1))
    site.deliver_all()
    ((holder, name),) = site.running()
    agent = site.agents[holder]
    site.disconnect(entry, agent)
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
    entry.submit_best_effort(
        "caller",
        site.now,
        job_record=create_job_record(tasks=4, estimate=1.0),
        wait=20.0,
    )
    site.advance(1.0)
    slow, name = site.running()[0]
    report = wire.RunsProgress(entry.shard.number, 0.2, [wire.RunProgress(name, 20)])
    reports.progress_reported(entry.owner, slow, report, site.now)
    site.deliver_all()
    site.advance(0.2)
    assert [a for a, n in site.running() if n.index == name.index] != [slow]
    assert len(site.running()) == 4


def test_long_task_on_a_healthy_worker_is_not_moved(create_site):
    """Moving a task that is merely long would only repeat its work."""
    site = create_site(agents=2, cpu=4000)
    entry = site.entries["entry-0"]
    entry.submit_best_effort(
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


def test_job_that_will_be_too_late_is_refused_before_its_deadline(create_site):
    """A caller must not wait until its deadline for a job that cannot be in time."""
    site = create_site(agents=1, cpu=1000)
    entry = site.entries["entry-0"]
    long_record = create_job_record(tasks=1, estimate=9.0, priority=0)
    entry.submit_best_effort(
        "holder", site.now, "00000000000000b1", long_record, wait=60.0
    )
    site.deliver_all()
    submitted_at = site.now
    entry.submit_best_effort(
        "caller", site.now, wait=30.0, job_record=create_job_record(priority=1)
    )
    while not entry.answers:
        site.advance(0.1)
        assert site.now - submitted_at < 2
    assert entry.answers == [("caller", Outcome.REFUSED)]
    assert [name.job for _, name in site.running(JOB_ID)] == []


@pytest.mark.parametrize("down_s", [0.0, 0.3])
def test_job_that_ran_on_a_restarted_worker_is_not_refused(create_site, down_s):
    """A job was refused after a worker that came back at once had started its task."""
    site = create_site(agents=1, cpu=1000)
    entry, agent = site.entries["entry-0"], site.agents["agent-0"]
    record = create_job_record(tasks=1, priority=1)
    entry.submit_best_effort("caller", site.now, job_record=record, wait=3.0)
    site.deliver_all()
    assert [name.job for name in agent.worker.started] == [JOB_ID]
    agent.crash(site.now, down_s)
    urgent_record = create_job_record(tasks=1, estimate=9.0, priority=0)
    entry.submit_best_effort(
        "urgent caller", site.now, "00000000000000b1", urgent_record, wait=60.0
    )
    site.advance(4.0)
    assert [name.job for name in agent.worker.started] == [JOB_ID, "00000000000000b1"]
    assert entry.answers == [("caller", Outcome.UNDECIDED)]


@pytest.mark.parametrize(
    ("reason", "outcome"),
    [
        ("room", Outcome.REFUSED),
        ("unreachable", Outcome.REFUSED),
        ("answer_lost", Outcome.UNDECIDED),
        ("old", Outcome.UNDECIDED),
        ("unnamed", Outcome.UNDECIDED),
    ],
)
def test_job_is_refused_only_if_no_run_can_have_begun(create_site, reason, outcome):
    """A start that was not certainly rejected may have begun."""
    site = create_site(agents=1, cpu=1000)
    entry, agent = site.entries["entry-0"], site.agents["agent-0"]
    agent.executes_calls = False
    record = create_job_record(tasks=1, priority=1)
    entry.submit_best_effort("caller", site.now, job_record=record, wait=3.0)
    site.deliver_all()
    (call,) = agent.start_calls
    urgent_record = create_job_record(tasks=1, estimate=9.0, priority=0)
    entry.submit_best_effort(
        "urgent caller", site.now, "00000000000000b1", urgent_record, wait=60.0
    )
    agent.executes_calls = True
    worker_starts.start_refused(agent.state, call.name, reason)
    site.advance(4.0)
    assert site.running(JOB_ID) == []
    assert entry.answers == [("caller", outcome)]


def test_job_longer_than_its_caller_waits_is_refused_at_once(site):
    """A job that cannot end in time must not use capacity that others need."""
    entry = site.entries["entry-0"]
    long_record = create_job_record(tasks=1, estimate=9.0)
    entry.submit_best_effort("caller", site.now, wait=3.0, job_record=long_record)
    site.deliver_all()
    assert entry.answers == [("caller", Outcome.REFUSED)]


def test_label_without_a_known_worker_is_asked_for_before_jobs_are_refused(site):
    """Guards against 429 for a rack whose agents serve other entries only."""
    entry = site.entries["entry-0"]
    wanted = entry.owner.wanted_labels

    def submit_outcome(number, label, now):
        step = StepSpec(count=1, cpu=1000, required_label=label, estimate=0.2)
        record = create_job_record(steps=[step])
        entry.submit_best_effort("w", now, f"{number:016x}", record)
        site.deliver_all()
        return entry.answers.pop()[1] if entry.answers else None

    assert submit_outcome(1, "r1-1", site.now) is None
    assert wanted.current(site.now) == []
    assert submit_outcome(2, "r2-1", site.now) is None
    assert wanted.current(site.now) == [("s", "r2-1")]
    later = site.now + CONNECT_S
    assert submit_outcome(3, "r2-1", later) is Outcome.REFUSED
    assert wanted.current(later + FORGET_LABEL_AFTER_S) == [("s", "r2-1")]
    assert wanted.current(later + FORGET_LABEL_AFTER_S + 1.0) == []
