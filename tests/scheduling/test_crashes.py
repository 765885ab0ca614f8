"""Crashes of workers, and tasks that crash each worker that starts them."""

import pytest

from turmericknot.scheduling import (
    confinement,
    ownership,
    quarantine,
    worker_crashes,
    worker_lists,
    worker_runs,
    worker_starts,
)
from turmericknot.scheduling.commands import Outcome
from turmericknot.scheduling.crash_history import Crash
from turmericknot.scheduling.jobs import encode_record
from turmericknot.scheduling.worker_types import (
    LeaseRenewalResult,
    Run,
    SendToEntries,
)
from turmericknot.wire.shard_messages import RunName

from .site import JOB_ID, Entry, create_job_record, gain_shard
from .test_stored import SHARD, submit

DEADLY_TASK = (JOB_ID, 0, 0)


@pytest.fixture
def deadly_site(create_site):
    """Return a site where the first task of the usual job crashes its workers."""
    site = create_site(entries=2, agents=4)
    for agent in site.agents.values():
        agent.deadly_tasks.add(DEADLY_TASK)
    return site


def leave_one_agent(site, entry):
    """Disconnect all agents but the first from the entry."""
    for agent in list(site.agents.values())[1:]:
        site.disconnect(entry, agent)


def crashes_under(site, task):
    """Return the number of crashes of workers that ran the task."""
    return sum(
        task in [(name.job, name.step, name.index) for name in names]
        for agent in site.agents.values()
        for _, names in agent.crashes
    )


def advance_storing(site, entry, seconds, step=0.05):
    """Advance the clock and store every record that the entry wants to write."""
    end = site.now + seconds
    while site.now < end:
        site.advance(step, step)
        ownership.confirm_ownership(entry.owner, site.now)
        site.store_records(entry)


def test_durable_task_that_crashes_its_workers_is_given_up(deadly_site):
    """A deadly task must not crash worker after worker until its job is cancelled."""
    entry = deadly_site.entries["entry-0"]
    gain_shard(deadly_site, entry, SHARD, 1)
    submit(deadly_site, entry, job_record=create_job_record(tasks=1))
    advance_storing(deadly_site, entry, 30.0)
    assert crashes_under(deadly_site, DEADLY_TASK) <= 3
    assert entry.owner.shards[SHARD].jobs[JOB_ID].published_state.name == "FAILED"


def test_best_effort_task_that_crashes_its_workers_is_given_up(deadly_site):
    """The caller must learn the end of a hopeless job before its deadline."""
    entry = deadly_site.entries["entry-0"]
    job_record = create_job_record(tasks=1)
    entry.submit_best_effort("caller", deadly_site.now, job_record=job_record, wait=60)
    deadly_site.advance(30.0)
    assert crashes_under(deadly_site, DEADLY_TASK) <= 3
    assert entry.answers == [("caller", Outcome.FAILED)]


def test_new_owner_knows_the_crashes_under_its_tasks(deadly_site):
    """Neither the death of the owner nor that of all agents may reset the count."""
    first, second = deadly_site.entries.values()
    gain_shard(deadly_site, first, SHARD, 1)
    submit(deadly_site, first, job_record=create_job_record(tasks=1))
    while crashes_under(deadly_site, DEADLY_TASK) < 1 or running_crash(deadly_site):
        advance_storing(deadly_site, first, 0.05)
    record = encode_record(first.owner.shards[SHARD].jobs[JOB_ID].record)
    for agent in deadly_site.agents.values():
        deadly_site.disconnect(first, agent)
        agent.state.recent_crashes.clear()
    gain_shard(deadly_site, second, SHARD, 2, [(JOB_ID, record)])
    advance_storing(deadly_site, second, 30.0)
    assert crashes_under(deadly_site, DEADLY_TASK) == 2
    assert second.owner.shards[SHARD].jobs[JOB_ID].published_state.name == "FAILED"


def running_crash(site):
    """Return whether a worker is down whose agent does not know it for certain."""
    return any(agent.down_until is not None for agent in site.agents.values())


def test_entry_that_gets_a_job_again_knows_its_crashes(deadly_site):
    """A caller that has lost its entry submits the job to one that never ran it."""
    first, second = deadly_site.entries.values()
    job_record = create_job_record(tasks=1)
    first.submit_best_effort("caller", deadly_site.now, job_record=job_record, wait=60)
    while crashes_under(deadly_site, DEADLY_TASK) < 2 or running_crash(deadly_site):
        deadly_site.advance(0.05)
    second.submit_best_effort(
        "again", deadly_site.now, job_record=create_job_record(tasks=1)
    )
    deadly_site.advance(0.05)
    assert second.answers == [("again", Outcome.FAILED)]
    assert crashes_under(deadly_site, DEADLY_TASK) == 2


def test_entry_that_connects_later_learns_of_recent_crashes(deadly_site):
    """A restarted entry gets the jobs of the one that was killed."""
    first, second = deadly_site.entries.values()
    for agent in deadly_site.agents.values():
        deadly_site.disconnect(second, agent)
    first.submit_best_effort(
        "caller", deadly_site.now, job_record=create_job_record(tasks=1), wait=60
    )
    while crashes_under(deadly_site, DEADLY_TASK) < 2 or running_crash(deadly_site):
        deadly_site.advance(0.05)
    for agent in deadly_site.agents.values():
        deadly_site.connect(second, agent)
    assert second.owner.crash_history.is_hopeless(DEADLY_TASK)


def test_worker_that_was_drained_has_not_crashed(deadly_site):
    """Planned restarts must not be held against the tasks that they end."""
    entry = deadly_site.entries["entry-0"]
    agent = deadly_site.agents["agent-0"]
    agent.deadly_tasks.clear()
    leave_one_agent(deadly_site, entry)
    entry.submit_best_effort("caller", deadly_site.now, wait=60)
    deadly_site.advance(0.2)
    agent.report(deadly_site.now, usable=False)
    agent.crash(deadly_site.now)
    deadly_site.advance(4.0)
    assert agent.born == 2
    assert not entry.owner.crash_history.count(DEADLY_TASK)


def test_run_that_was_at_work_for_long_is_no_suspect(deadly_site):
    """Tasks beside a deadly one must not be taken for it."""
    entry = deadly_site.entries["entry-0"]
    agent = deadly_site.agents["agent-0"]
    leave_one_agent(deadly_site, entry)
    beside = "00000000000000b2"
    entry.submit_best_effort("beside", deadly_site.now, job=beside, wait=60)
    deadly_site.advance(0.5)
    entry.submit_best_effort("caller", deadly_site.now, wait=60)
    while not agent.crashes or running_crash(deadly_site):
        deadly_site.advance(0.05)
    history = entry.owner.crash_history
    assert history.count_suspected(DEADLY_TASK) == 1
    assert history.count((beside, 0, 0)) == 1
    assert history.count_suspected((beside, 0, 0)) == 0


def test_start_that_may_not_have_arrived_is_not_held_against_the_task(deadly_site):
    """A task must not be given up for the crash of a worker that never had it."""
    entry = deadly_site.entries["entry-0"]
    agent = deadly_site.agents["agent-0"]
    agent.executes_calls = False
    leave_one_agent(deadly_site, entry)
    entry.submit_best_effort("caller", deadly_site.now, wait=60)
    deadly_site.deliver_all()
    for name in list(agent.state.runs):
        worker_starts.start_unanswered(agent.state, name, deadly_site.now)
    agent.crash(deadly_site.now)
    deadly_site.advance(4.0)
    history = entry.owner.crash_history
    assert history.is_suspect(DEADLY_TASK)
    assert history.count(DEADLY_TASK) == 0


def test_tasks_beside_a_deadly_one_start_again_when_the_lease_has_lapsed(deadly_site):
    """Their callers wait for 1.5 s, and a worker needs 3 s to come back."""
    entry = deadly_site.entries["entry-0"]
    beside = "00000000000000b2"
    job_record = create_job_record(tasks=8)
    entry.submit_best_effort(
        "beside", deadly_site.now, job=beside, job_record=job_record, wait=60
    )
    deadly_site.advance(0.3)
    entry.submit_best_effort("caller", deadly_site.now, wait=60)
    deadly_site.advance(0.1)
    [crashed] = [agent for agent in deadly_site.agents.values() if agent.crashes]
    lost = {name.index for name in crashed.crashes[0][1] if name.job == beside}
    assert lost
    deadly_site.advance(0.8)
    assert not second_starts(deadly_site, beside)
    deadly_site.advance(0.2)
    assert second_starts(deadly_site, beside) == lost


def second_starts(site, job):
    """Return the indices of the tasks of a job that have started a second time."""
    return {
        name.index
        for agent in site.agents.values()
        for name in agent.worker.started
        if name.job == job and name.run == 2
    }


def test_worker_that_accepts_no_connection_gets_no_run(deadly_site):
    """An empty worker attracts starts; a crashed one must not look empty."""
    entry = deadly_site.entries["entry-0"]
    crashed = deadly_site.agents["agent-0"]
    crashed.crash(deadly_site.now)
    deadly_site.advance(0.1)
    calls_before = len(crashed.start_calls)
    for number in range(10):
        entry.submit_best_effort("caller", deadly_site.now, job=f"{number:016x}")
        deadly_site.advance(0.1)
    assert len(crashed.start_calls) == calls_before
    deadly_site.advance(2.5)
    entry.submit_best_effort("later", deadly_site.now, job="f" * 16)
    deadly_site.advance(0.1)
    assert len(crashed.start_calls) > calls_before


def test_crash_is_withdrawn_when_the_same_process_answers_again(deadly_site):
    """A worker that was cut off has not crashed under its tasks."""
    entry = deadly_site.entries["entry-0"]
    agent = deadly_site.agents["agent-0"]
    agent.deadly_tasks.clear()
    leave_one_agent(deadly_site, entry)
    entry.submit_best_effort("caller", deadly_site.now, wait=60)
    deadly_site.advance(0.1)
    agent.crash(deadly_site.now, down_s=60)
    deadly_site.advance(1.5)
    history = entry.owner.crash_history
    assert history.is_suspect(DEADLY_TASK)
    assert history.count(DEADLY_TASK) == 0
    agent.down_until = None
    deadly_site.advance(0.5)
    assert not history.is_suspect(DEADLY_TASK)
    assert len(deadly_site.running()) == 2


def test_task_waits_for_the_confirmation_of_its_second_crash(deadly_site):
    """Without it, two more workers crash before the first two are back."""
    entry = deadly_site.entries["entry-0"]
    job_record = create_job_record(tasks=1)
    entry.submit_best_effort("caller", deadly_site.now, job_record=job_record, wait=60)
    deadly_site.advance(10.0)
    assert crashes_under(deadly_site, DEADLY_TASK) == 2
    assert entry.answers == [("caller", Outcome.FAILED)]


def test_tasks_that_crash_together_start_one_at_a_time(deadly_site):
    """Tasks that start beside a deadly one must not be given up together with it."""
    entry = deadly_site.entries["entry-0"]
    tasks = 6
    job_record = create_job_record(tasks=tasks, cpu=500)
    others = list(deadly_site.agents.values())[1:]
    for other in others:
        deadly_site.disconnect(entry, other)
    entry.submit_best_effort("caller", deadly_site.now, job_record=job_record, wait=60)
    deadly_site.advance(0.1)
    for other in others:
        deadly_site.connect(entry, other)
    deadly_site.advance(0.8)
    suspects = [(JOB_ID, 0, index) for index in range(tasks)]
    while crashes_under(deadly_site, DEADLY_TASK) < 2:
        deadly_site.advance(0.05)
    assert [crashes_under(deadly_site, task) for task in suspects].count(2) == 1
    deadly_site.advance(10.0)
    history = entry.owner.crash_history
    assert [task for task in suspects if history.is_hopeless(task)] == [DEADLY_TASK]


def test_nothing_starts_beside_a_suspect_before_it_has_survived_its_start(create_site):
    """Guards against work that is lost beside a task known to be dangerous."""
    site = create_site(entries=2, agents=1)
    suspect_entry, other_entry = site.entries.values()
    suspect_entry.owner.crash_history.record(
        DEADLY_TASK, "life", Crash(True, True, True, site.now)
    )
    job_record = create_job_record(tasks=1)
    suspect_entry.submit_best_effort("caller", site.now, job_record=job_record)
    site.deliver_all()
    other_entry.submit_best_effort(
        "beside",
        site.now,
        job="00000000000000b2",
        job_record=create_job_record(tasks=1),
    )
    site.deliver_all()
    assert len(site.running()) == 1
    assert not site.running("00000000000000b2")
    site.advance(0.2)
    assert len(site.running("00000000000000b2")) == 1


def test_waiting_suspects_refuse_no_other_job(create_site):
    """Callers must not be refused for a backlog that free workers do not serve."""
    site = create_site(agents=4)
    entry = site.entries["entry-0"]
    site.advance(4.0)
    for index in range(50):
        key = (JOB_ID, 0, index)
        crash = Crash(True, True, True, site.now)
        entry.owner.crash_history.record(key, "life", crash)
    job_record = create_job_record(tasks=50, estimate=5.0)
    entry.submit_best_effort("suspects", site.now, job_record=job_record, wait=60)
    entry.submit_best_effort("other", site.now, job="00000000000000b2", wait=2.0)
    site.advance(0.1)
    assert len(site.running("00000000000000b2")) == 2


def test_entries_isolate_suspects_on_the_same_worker(create_site):
    """Each entry with a worker of its own for suspects would lose one each."""
    site = create_site(entries=3, agents=8)
    for number, entry in enumerate(site.entries.values()):
        job = f"{number:016x}"
        crash = Crash(True, True, True, site.now)
        entry.owner.crash_history.record((job, 0, 0), "life", crash)
        entry.submit_best_effort(
            "caller", site.now, job=job, job_record=create_job_record(tasks=1)
        )
        site.advance(0.2)
    agents = {
        agent.name for agent in site.agents.values() for name in agent.worker.started
    }
    assert len(agents) == 1


def test_run_that_is_being_stopped_is_not_held_against_its_task(deadly_site):
    """It may have ended before the crash; a random walk gave up an innocent task."""
    entry = deadly_site.entries["entry-0"]
    agent = deadly_site.agents["agent-0"]
    leave_one_agent(deadly_site, entry)
    agent.deadly_tasks.clear()
    entry.submit_best_effort("caller", deadly_site.now, wait=60)
    deadly_site.advance(0.1)
    agent.executes_calls = False
    for run in agent.state.runs.values():
        worker_runs.stop_run(agent.state, run, deadly_site.now)
    agent.crash(deadly_site.now)
    deadly_site.advance(4.0)
    assert entry.owner.crash_history.is_suspect(DEADLY_TASK)
    assert entry.owner.crash_history.count(DEADLY_TASK) == 0


def test_stop_after_the_crash_does_not_excuse_the_task(deadly_site):
    """A deadly task crashed a third worker after its owner's grant had ended."""
    entry = deadly_site.entries["entry-0"]
    agent = deadly_site.agents["agent-0"]
    leave_one_agent(deadly_site, entry)
    agent.deadly_tasks.clear()
    entry.submit_best_effort("caller", deadly_site.now, wait=60)
    deadly_site.deliver_all()
    agent.crash(deadly_site.now)
    deadly_site.advance(0.1)
    for run in agent.state.runs.values():
        worker_runs.stop_run(agent.state, run, deadly_site.now)
    deadly_site.advance(4.0)
    assert entry.owner.crash_history.count(DEADLY_TASK) == 1


def test_run_past_its_start_counts_as_one_of_three_crashes(deadly_site):
    """It may have ended unseen before the crash; walks gave up innocent tasks."""
    entry, agent = deadly_site.entries["entry-0"], deadly_site.agents["agent-0"]
    leave_one_agent(deadly_site, entry)
    agent.deadly_tasks.clear()
    job_record = create_job_record(tasks=1)
    entry.submit_best_effort("caller", deadly_site.now, job_record=job_record, wait=60)
    for _ in range(3):
        assert not entry.answers
        deadly_site.advance(0.5)
        assert deadly_site.running()
        agent.crash(deadly_site.now)
        deadly_site.advance(4.0)
        assert entry.owner.crash_history.is_suspect(DEADLY_TASK)
    assert entry.answers == [("caller", Outcome.FAILED)]


def cut_off_and_crash(site, entry, is_noticed):
    """Cut off the worker of the only run; crash it when the lease has ended the run."""
    [(name, _)] = site.running()
    agent = site.agents[name]
    renew_lease = agent.renew_lease
    if is_noticed:
        agent.is_cut_off = True
    else:
        agent.renew_lease = lambda now: None  # connections open, calls get no answer
    advance_storing(site, entry, 1.5)
    agent.worker.running.clear()
    agent.crash(site.now, down_s=1.0)
    advance_storing(site, entry, 0.5)
    agent.is_cut_off, agent.renew_lease = False, renew_lease
    advance_storing(site, entry, 2.0)
    assert agent.down_until is None


@pytest.mark.parametrize("is_noticed", [True, False])
def test_run_that_lapsed_before_a_crash_is_not_held_against_its_task(
    deadly_site, is_noticed
):
    """Guards against a job that fails although no worker has crashed under its task."""
    entry = deadly_site.entries["entry-0"]
    gain_shard(deadly_site, entry, SHARD, 1)
    submit(deadly_site, entry, job_record=create_job_record(tasks=1))
    for agent in deadly_site.agents.values():
        agent.deadly_tasks.clear()
    for _ in range(5):
        advance_storing(deadly_site, entry, 0.5)
        cut_off_and_crash(deadly_site, entry, is_noticed)
    job = entry.owner.shards[SHARD].jobs[JOB_ID]
    assert job.published_state.name == "ACTIVE"
    assert entry.owner.crash_history.count(DEADLY_TASK) == 0
    assert not job.record.crashed_runs


def test_later_owner_counts_a_run_past_its_start_alike(deadly_site):
    entry = deadly_site.entries["entry-0"]
    gain_shard(deadly_site, entry, SHARD, 1)
    submit(deadly_site, entry, job_record=create_job_record(tasks=1))
    for agent in deadly_site.agents.values():
        agent.deadly_tasks.clear()
    advance_storing(deadly_site, entry, 0.5)
    [(name, _)] = deadly_site.running()
    deadly_site.agents[name].crash(deadly_site.now)
    advance_storing(deadly_site, entry, 4.0)
    [crash] = entry.owner.shards[SHARD].jobs[JOB_ID].record.crashed_runs
    assert crash.has_started and crash.is_confirmed and not crash.is_suspect


def test_start_at_the_next_worker_process_is_not_held_against_its_task(create_site):
    """A worker may restart under its id, and answer starts before it reports."""
    site = create_site(agents=1)
    entry, agent = site.entries["entry-0"], site.agents["agent-0"]
    agent.born += 1
    entry.submit_best_effort("caller", site.now, wait=60)
    site.deliver_all()
    agent.report(site.now)
    site.advance(0.1)
    assert len(site.running()) == 2
    assert entry.owner.crash_history.is_suspect(DEADLY_TASK)
    assert entry.owner.crash_history.count(DEADLY_TASK) == 0


CRASHING_QUEUE, OTHER_QUEUE = "crashing", "other"


def submit_to_queue(site, entry, queue, number, tasks=1):
    """Submit a best-effort job to a queue; return its id."""
    job = f"{queue.encode().hex()[:4]}{number:012x}"
    job_record = create_job_record(tasks=tasks, estimate=0.05)
    job_record.queue = queue
    entry.submit_best_effort("caller", site.now, job=job, job_record=job_record, wait=9)
    site.deliver_all()
    return job


@pytest.fixture
def confined_site(create_site):
    """Return a site where two tasks of one queue have crashed their workers."""
    site = create_site(agents=8)
    entry = site.entries["entry-0"]
    submit_to_queue(site, entry, OTHER_QUEUE, 0)
    for number in range(2):
        job = submit_to_queue(site, entry, CRASHING_QUEUE, number)
        [(name, _)] = site.running(job)
        site.agents[name].crash(site.now)
        site.advance(0.1)
    site.advance(0.2)
    return site


def test_queue_whose_tasks_crash_workers_is_confined(confined_site):
    """Without a limit, each worker is down before the tasks are given up."""
    entry = confined_site.entries["entry-0"]
    cell = confinement.cell_agents(entry.owner.agents.values(), "s")
    assert len(cell) == 3
    started_before = count_starts(confined_site)
    for number in range(10, 40):
        submit_to_queue(confined_site, entry, CRASHING_QUEUE, number)
        confined_site.advance(0.05)
    started = {
        name
        for name, count in count_starts(confined_site).items()
        if count > started_before[name]
    }
    assert started and started <= cell


def count_starts(site):
    return {agent.name: len(agent.worker.started) for agent in site.agents.values()}


def test_other_queues_avoid_the_workers_of_a_confined_one(confined_site):
    """Guards against work that is lost beside the next deadly task."""
    entry = confined_site.entries["entry-0"]
    cell = confinement.cell_agents(entry.owner.agents.values(), "s")
    job = submit_to_queue(confined_site, entry, OTHER_QUEUE, 1, tasks=12)
    assert not {name for name, _ in confined_site.running(job)} & cell


def test_backlog_of_a_confined_queue_refuses_no_other_job(confined_site):
    """Its jobs are refused for its own workers, those of other queues are not."""
    entry = confined_site.entries["entry-0"]
    confined_site.advance(2.5)
    assert entry.owner.confined_queues == (CRASHING_QUEUE,)
    entry.answers.clear()
    for number in range(10, 200):
        submit_to_queue(confined_site, entry, CRASHING_QUEUE, number, tasks=20)
    assert Outcome.REFUSED in [outcome for _, outcome in entry.answers]
    entry.answers.clear()
    job = submit_to_queue(confined_site, entry, OTHER_QUEUE, 1)
    assert confined_site.running(job) and not entry.answers


def test_queue_is_released_when_no_worker_crashes_any_more(confined_site):
    entry = confined_site.entries["entry-0"]
    assert entry.owner.confined_queues == (CRASHING_QUEUE,)
    confined_site.advance(8.0)
    assert entry.owner.confined_queues == ()


def test_only_queue_of_a_service_is_not_confined(create_site):
    """Nobody else needs the workers that it would leave idle."""
    site = create_site(agents=8)
    entry = site.entries["entry-0"]
    for number in range(3):
        job = submit_to_queue(site, entry, CRASHING_QUEUE, number)
        [(name, _)] = site.running(job)
        site.agents[name].crash(site.now)
        site.advance(0.3)
    assert entry.owner.confined_queues == ()


def test_withdrawn_crashes_confine_no_queue(confined_site):
    """Workers that were cut off at the same time say nothing about a queue."""
    entry = confined_site.entries["entry-0"]
    for agent in confined_site.agents.values():
        agent.down_until = None
    confined_site.advance(0.3)
    assert entry.owner.confined_queues == ()


def test_old_crashes_confine_no_queue_at_a_restarted_entry(confined_site):
    """Agents repeat the crashes of the last minute to an entry that connects."""
    agents = list(confined_site.agents.values())
    entry = confined_site.entries["entry-0"]
    confined_site.advance(10.0)
    restarted = Entry("entry-1", 1)
    confined_site.entries[restarted.name] = restarted
    for agent in agents:
        confined_site.connect(restarted, agent)
    submit_to_queue(confined_site, restarted, OTHER_QUEUE, 1)
    submit_to_queue(confined_site, restarted, CRASHING_QUEUE, 50)
    confined_site.advance(0.2)
    assert len(restarted.owner.crash_history) == len(entry.owner.crash_history) > 0
    assert restarted.owner.confined_queues == ()


def test_agents_that_are_gone_hold_no_place_in_the_quarantine(create_site):
    """Suspects must not wait for a worker whose VM has been removed."""
    site = create_site(agents=4)
    entry = site.entries["entry-0"]
    crash = Crash(True, True, True, site.now)
    entry.owner.crash_history.record(DEADLY_TASK, "life", crash)
    by_rank = sorted(entry.owner.agents.values(), key=quarantine.rank_of)
    site.disconnect(entry, site.agents[by_rank[0].id])
    job_record = create_job_record(tasks=1)
    entry.submit_best_effort("caller", site.now, job_record=job_record)
    site.deliver_all()
    assert [name for name, _ in site.running()] == [by_rank[1].id]


def test_answer_of_a_later_process_withdraws_no_crash(deadly_site):
    """A worker may restart under its id, and answer before it reports itself."""
    entry = deadly_site.entries["entry-0"]
    agent = deadly_site.agents["agent-0"]
    leave_one_agent(deadly_site, entry)
    entry.submit_best_effort("caller", deadly_site.now, wait=60)
    deadly_site.advance(0.1)
    agent.deadly_tasks.clear()
    call = worker_lists.next_lease_renewal(agent.state, deadly_site.now)
    result = LeaseRenewalResult(10, 2)
    worker_lists.lease_renewal_answered(agent.state, call, result, deadly_site.now)
    deadly_site.deliver_all()
    assert agent.state.unreachable_since is not None
    assert entry.owner.crash_history.is_suspect(DEADLY_TASK)


def test_start_that_finds_the_worker_down_has_not_crashed_it(create_site):
    """A suspect that arrives just after a crash must not hide the guilty task."""
    site = create_site(entries=2, agents=1)
    guilty_entry, suspect_entry = site.entries.values()
    [agent] = site.agents.values()
    guilty = (JOB_ID, 0, 0)
    guilty_entry.submit_best_effort(
        "caller", site.now, job_record=create_job_record(tasks=1)
    )
    site.deliver_all()
    suspect = ("00000000000000b2", 0, 0)
    history = suspect_entry.owner.crash_history
    history.record(suspect, "life", Crash(True, True, True, site.now))
    agent.crash(site.now)
    suspect_entry.submit_best_effort(
        "caller",
        site.now,
        job=suspect[0],
        job_record=create_job_record(tasks=1),
    )
    site.advance(0.2)
    assert history.is_suspect(guilty)
    assert history.count(suspect) == 1
    site.advance(4.0)
    assert history.count(guilty) == 1
    assert history.count(suspect) == 1


def test_unanswered_start_of_a_suspect_does_not_hide_the_guilty_task(create_site):
    site = create_site(agents=1)
    [agent] = site.agents.values()
    state = agent.state
    guilty, suspect = (RunName(JOB_ID, 0, index, 1) for index in range(2))
    for name in (guilty, suspect):
        run = state.runs[name] = Run(name, 1 << 20, start_sent_at=site.now)
        run.is_confirmed = name == guilty
        run.is_suspect = name == suspect
    worker_crashes.report_crash(state, site.now)
    [report] = [
        command.message
        for command in state.pop_commands()
        if isinstance(command, SendToEntries)
    ]
    assert {task.index for task in report.tasks if task.is_suspect} == {0, 1}
