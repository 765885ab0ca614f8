"""Durable jobs: acceptance, ends, cancellation and the change of the owner."""

import pytest

from turmericknot.scheduling import job_requests, ownership, runs, worker_starts
from turmericknot.scheduling.commands import Outcome
from turmericknot.scheduling.jobs import RunEnd, StepSpec, agent_key, encode_record
from turmericknot.scheduling.owner import granted_shards, pending_by_queue

from .site import JOB_ID, create_job_record, gain_shard

SHARD = 0
OTHER_JOB_ID = "00000000000000a2"


@pytest.fixture
def owned_site(create_site):
    site = create_site(entries=2)
    gain_shard(site, site.entries["entry-0"], SHARD, 1)
    return site


def submit(site, entry, waiter="caller", job=JOB_ID, job_record=None):
    job_requests.submit_job(
        entry.owner, SHARD, job, job_record or create_job_record(), waiter, site.now
    )
    site.deliver_all()


def query_outcome(site, entry, job=JOB_ID):
    job_requests.answer_job_state(entry.owner, SHARD, job, "ask", site.now)
    site.deliver_all()
    return entry.answers.pop()[1]


def start(site, entry):
    """Submit a job, store its acceptance and let its tasks start."""
    submit(site, entry)
    site.advance(0.05)
    site.store_records(entry)
    site.advance(0.05)


def submit_in_flight(site, entry):
    """Submit a job; return the record of its acceptance, which is being stored."""
    submit(site, entry)
    return entry.pending_records.pop()


def test_accepted_only_when_stored(owned_site):
    """An acceptance that a power loss could undo must not be answered."""
    entry = owned_site.entries["entry-0"]
    submit(owned_site, entry)
    assert entry.answers == []
    assert owned_site.running() == []
    owned_site.store_records(entry)
    assert entry.answers == [("caller", Outcome.ACCEPTED)]


def test_second_submission_is_the_same_job(owned_site):
    """A repeated submission must not run the tasks of the job a second time."""
    entry = owned_site.entries["entry-0"]
    start(owned_site, entry)
    submit(owned_site, entry, "again")
    assert entry.answers[-1] == ("again", Outcome.ACCEPTED)
    owned_site.store_records(entry)
    assert len(owned_site.running()) == 2


def test_refused_when_certainly_not_stored(owned_site):
    """A job whose record was not stored is refused, and must never run."""
    entry = owned_site.entries["entry-0"]
    command = submit_in_flight(owned_site, entry)
    job_requests.record_not_stored(entry.owner, command, 1, owned_site.now)
    owned_site.advance(0.2)
    assert entry.answers == [("caller", Outcome.NOT_READY)]
    assert owned_site.running() == []
    ownership.confirm_ownership(entry.owner, owned_site.now)
    assert query_outcome(owned_site, entry) is Outcome.GONE


def test_nothing_starts_at_an_agent_that_the_record_does_not_name(owned_site):
    """Runs may start only at agents whose record is stored.

    A later owner would not wait for an agent that it does not know.
    """
    entry = owned_site.entries["entry-0"]
    command = submit_in_flight(owned_site, entry)
    job_requests.record_stored(entry.owner, command, 1, owned_site.now)
    owned_site.advance(0.05)
    assert owned_site.running() == []
    assert {c.key for c in entry.pending_records} == {
        agent_key(name) for name in owned_site.agents
    }
    owned_site.store_records(entry)
    owned_site.advance(0.05)
    assert len(owned_site.running()) == 2


def test_success_is_published_and_acknowledged_only_when_stored(owned_site):
    """The worker may forget an end only when the end is in the store."""
    entry = owned_site.entries["entry-0"]
    start(owned_site, entry)
    for agent_name, name in owned_site.running():
        owned_site.agents[agent_name].worker.end_run(name)
    owned_site.advance(0.1)
    assert query_outcome(owned_site, entry) is Outcome.RUNNING
    assert all(agent.state.last_seen == 0 for agent in owned_site.agents.values())
    owned_site.store_records(entry)
    owned_site.advance(0.1)
    assert query_outcome(owned_site, entry) is Outcome.SUCCEEDED
    assert all(not agent.state.ends for agent in owned_site.agents.values())


def test_ends_of_a_long_job_are_acknowledged_before_it_ends(owned_site):
    """A worker must not keep all ends of a job until its slowest task is done."""
    entry = owned_site.entries["entry-0"]
    start(owned_site, entry)
    agent_name, name = owned_site.running()[0]
    owned_site.agents[agent_name].worker.end_run(name)
    owned_site.advance(1.5)
    owned_site.store_records(entry)
    owned_site.advance(0.1)
    assert not owned_site.agents[agent_name].state.ends
    assert query_outcome(owned_site, entry) is Outcome.RUNNING


def test_no_start_after_an_acknowledged_cancel(owned_site):
    """A cancelled job must not continue, and its runs must stop."""
    entry = owned_site.entries["entry-0"]
    start(owned_site, entry)
    job_requests.cancel_job(entry.owner, SHARD, JOB_ID, "cancel", owned_site.now)
    owned_site.deliver_all()
    assert ("cancel", Outcome.CANCELLED) not in entry.answers
    owned_site.store_records(entry)
    owned_site.advance(0.1)
    assert ("cancel", Outcome.CANCELLED) in entry.answers
    assert owned_site.running() == []
    owned_site.advance(0.5)
    assert owned_site.running() == []
    assert query_outcome(owned_site, entry) is Outcome.CANCELLED


def stored_items(entry):
    """Return the records that a store would hold of the entry's shard."""
    shard = entry.owner.shards[SHARD]
    items = [(agent_key(name), b"1") for name in shard.usable_agents]
    items += [(job.id, encode_record(job.record)) for job in shard.jobs.values()]
    return items


def take_over(owned_site):
    """Make the second entry the owner of the shard, and return it."""
    first, second = owned_site.entries.values()
    items = stored_items(first)
    gain_shard(owned_site, second, SHARD, 2, items)
    return second


def silence(site, entry, agent):
    """Let an agent stop asking an entry for grants, as it does after a takeover."""
    site.links.discard((entry.name, agent.name))


def test_new_owner_adopts_the_runs_of_the_previous_one(owned_site):
    """A change of the owner must not start a task twice."""
    start(owned_site, owned_site.entries["entry-0"])
    before = sorted(owned_site.running())
    second = take_over(owned_site)
    owned_site.advance(0.3)
    owned_site.store_records(second)
    assert sorted(owned_site.running()) == before
    assert not second.owner.shards[SHARD].is_recovering


def test_adopted_run_is_kept_for_the_grant_of_the_previous_owner(owned_site):
    """Guards against a second run when the agent dies right after a handover."""
    start(owned_site, owned_site.entries["entry-0"])
    for view in owned_site.entries["entry-1"].owner.agents.values():
        view.granted_until = owned_site.now - 5.0  # has had no runs for some time
    second = take_over(owned_site)
    adopted = [view for view in second.owner.agents.values() if view.tasks]
    assert adopted
    runs.tick(second.owner, owned_site.now + 1.0)
    assert all(view.tasks for view in adopted)
    runs.tick(second.owner, owned_site.now + 1.3)
    assert all(view.tasks for view in adopted)
    ownership.confirm_ownership(second.owner, owned_site.now + 1.3)
    runs.tick(second.owner, owned_site.now + 1.35)
    assert not any(view.tasks for view in adopted)


def test_owner_without_the_store_restarts_no_run_of_its_successor(create_site):
    """Guards against a second run of a task that a new owner has taken over.

    The former owner cannot reach the store. Of its agents, those with runs serve the
    new owner as well, and one does not.
    """
    site = create_site(entries=2, agents=3)
    first, second = site.entries.values()
    gain_shard(site, first, SHARD, 1)
    start(site, first)
    busy_agents = {agent for agent, _ in site.running()}
    (other_agent,) = set(site.agents) - busy_agents
    site.disconnect(second, site.agents[other_agent])
    take_over(site)
    for agent in busy_agents:
        silence(site, first, site.agents[agent])
    site.advance(0.3)
    for agent, name in site.running():
        site.agents[agent].worker.end_run(name)
    for _ in range(30):
        site.advance(0.1)
        site.store_records(second)
    assert query_outcome(site, second) is Outcome.SUCCEEDED
    assert site.agents[other_agent].worker.started == []


def test_run_of_a_dropped_job_does_not_outlive_its_shard(owned_site):
    """Guards against an entry that ends for a run whose end was never reported."""
    entry = owned_site.entries["entry-0"]
    start(owned_site, entry)
    for agent in owned_site.agents.values():
        owned_site.disconnect(entry, agent)
    job_requests.cancel_job(entry.owner, SHARD, JOB_ID, "cancel", owned_site.now)
    owned_site.deliver_all()
    owned_site.store_records(entry)
    dropped_at = owned_site.now + entry.owner.times.finished_job_retention_s + 1.0
    runs.tick(entry.owner, dropped_at)
    assert JOB_ID not in entry.owner.shards[SHARD].jobs
    assert any(view.tasks for view in entry.owner.agents.values())
    ownership.lose_shard(entry.owner, SHARD, "fenced", dropped_at)
    runs.tick(entry.owner, dropped_at + 1.0)
    assert not any(view.tasks for view in entry.owner.agents.values())


def test_unverified_shard_is_not_granted(owned_site):
    """Guards against grants of an owner that may have lost the shard in between."""
    owner, now = owned_site.entries["entry-0"].owner, owned_site.now + 10.0

    def granted_numbers():
        return {shard.shard for shard in granted_shards(owner, now)}

    ownership.confirm_ownership(owner, now, unverified_shards={SHARD})
    assert SHARD not in granted_numbers()
    ownership.confirm_ownership(owner, now)
    assert SHARD in granted_numbers()


def test_runs_of_a_lost_agent_restart_once_the_ownership_is_confirmed(create_site):
    """Guards against tasks that are never started again after the loss of an agent."""
    site = create_site(agents=3)
    (entry,) = site.entries.values()
    gain_shard(site, entry, SHARD, 1)
    start(site, entry)
    lost_agent, lost_run = site.running()[0]
    site.disconnect(entry, site.agents[lost_agent])
    site.agents[lost_agent].crash(site.now)

    def runs_elsewhere():
        others = [run for agent, run in site.running() if agent != lost_agent]
        return [run for run in others if run.index == lost_run.index]

    ownership.confirm_ownership(entry.owner, site.now)  # before the grant has expired
    site.advance(2.0)
    assert runs_elsewhere() == []
    ownership.confirm_ownership(entry.owner, site.now)
    site.advance(0.2)
    assert len(runs_elsewhere()) == 1


def test_new_owner_knows_its_workers_before_it_refuses_jobs(owned_site):
    """Guards against 429 for a job whose rack is about to connect to the new owner."""
    step = StepSpec(count=1, cpu=1000, required_label="r2-1", estimate=0.2)
    owned_site.advance(3.0)
    second = take_over(owned_site)
    submit(owned_site, second, "early", job_record=create_job_record(steps=[step]))
    owned_site.store_records(second)
    owned_site.advance(second.owner.times.worker_discovery_s + 0.1)
    late = create_job_record(steps=[step])
    submit(owned_site, second, "late", job=OTHER_JOB_ID, job_record=late)
    assert second.answers == [("early", Outcome.ACCEPTED), ("late", Outcome.REFUSED)]


def test_late_append_of_a_lost_shard_starts_nothing(owned_site):
    """A task must not start twice, for a forgotten job and for the stored one."""
    entry = owned_site.entries["entry-0"]
    command = submit_in_flight(owned_site, entry)
    entry.owner.shards[SHARD].usable_agents = set(owned_site.agents)
    items = stored_items(entry)
    ownership.lose_shard(entry.owner, SHARD, "handover", owned_site.now)
    job_requests.record_stored(entry.owner, command, 1, owned_site.now)
    gain_shard(owned_site, entry, SHARD, 2, items)
    owned_site.advance(0.5)
    assert entry.answers == [("caller", Outcome.UNDECIDED)]
    assert [len(a.worker.started) for a in owned_site.agents.values()] == [1, 1]


def test_late_refusal_of_a_lost_shard_withdraws_no_later_job(owned_site):
    """An accepted job must not become unknown when an earlier append is refused."""
    entry = owned_site.entries["entry-0"]
    command = submit_in_flight(owned_site, entry)
    ownership.lose_shard(entry.owner, SHARD, "handover", owned_site.now)
    gain_shard(owned_site, entry, SHARD, 2)
    submit(owned_site, entry, "again")
    owned_site.store_records(entry)
    job_requests.record_not_stored(entry.owner, command, 1, owned_site.now)
    owned_site.deliver_all()
    assert entry.answers[-1] == ("again", Outcome.ACCEPTED)
    assert query_outcome(owned_site, entry) is Outcome.RUNNING


def test_append_during_a_handover_is_answered(owned_site):
    """A job that is stored while its shard is handed over must be acknowledged."""
    entry = owned_site.entries["entry-0"]
    command = submit_in_flight(owned_site, entry)
    entry.owner.shards[SHARD].is_closing = True
    job_requests.record_stored(entry.owner, command, 1, owned_site.now)
    owned_site.deliver_all()
    assert entry.answers == [("caller", Outcome.ACCEPTED)]


def test_new_owner_receives_unacknowledged_ends(owned_site):
    """A task that ended under the previous owner must not start again."""
    first = owned_site.entries["entry-0"]
    start(owned_site, first)
    agent_name, name = owned_site.running()[0]
    owned_site.agents[agent_name].worker.end_run(name)
    owned_site.advance(0.1)
    second = take_over(owned_site)
    owned_site.advance(0.3)
    owned_site.store_records(second)
    assert [run for run in owned_site.running() if run[1].index == name.index] == []


def test_new_owner_waits_for_an_unreachable_agent(owned_site):
    """A run at an agent that only the previous owner reaches must not be duplicated."""
    first, second = owned_site.entries.values()
    start(owned_site, first)
    unreachable_agent, name = owned_site.running()[0]
    owned_site.disconnect(second, owned_site.agents[unreachable_agent])
    take_over(owned_site)
    gained_at = owned_site.now
    ownership.lose_shard(first.owner, SHARD, "fenced", owned_site.now)
    others = [agent for agent in owned_site.agents if agent != unreachable_agent]

    def duplicate_runs():
        return [
            run
            for agent, run in owned_site.running()
            if agent in others and run.index == name.index and run.job == JOB_ID
        ]

    while not duplicate_runs():
        ownership.confirm_ownership(
            second.owner, owned_site.now
        )  # the store answers each join
        owned_site.advance(0.1)
        owned_site.store_records(second)
        assert owned_site.now - gained_at < 10
    times = second.owner.times
    assert owned_site.now - gained_at >= times.unconfirmed_grants_s + times.grant_s
    assert [
        run for agent, run in owned_site.running() if agent == unreachable_agent
    ] == []


def test_starts_from_a_previous_owner_are_refused(owned_site):
    """A paused owner that resumes must not start tasks that its successor started."""
    first = owned_site.entries["entry-0"]
    submit(owned_site, first)
    owned_site.store_records(first)
    take_over(owned_site)
    owned_site.advance(0.2)
    task = first.owner.shards[SHARD].jobs[JOB_ID].tasks[0][0]
    count = len(owned_site.running())
    for agent in owned_site.agents.values():
        agent.start_calls.clear()
    runs.run_ended_without_result(
        first.owner,
        first.owner.agents[task.agent or "agent-0"],
        task,
        RunEnd.LOST,
        owned_site.now,
    )
    runs.schedule_tasks(first.owner, owned_site.now)
    owned_site.deliver_all()
    assert all(not agent.start_calls for agent in owned_site.agents.values())
    assert len(owned_site.running()) == count


def test_owner_stops_asking_agents_that_have_accepted_another(owned_site):
    """Guards against a replaced owner that has its starts refused 20 times a second."""
    first = owned_site.entries["entry-0"]
    submit(owned_site, first)
    take_over(owned_site)
    owned_site.store_records(first)
    owned_site.advance(1.0)
    refused = first.owner.counts["start_refused_fenced"]
    assert 0 < refused <= 2 * len(owned_site.agents)


def test_run_numbers_rise_with_the_epoch(owned_site):
    """A worker rejects a run whose number is not above that of an earlier one."""
    first = owned_site.entries["entry-0"]
    start(owned_site, first)
    numbers = {name.run for _, name in owned_site.running()}
    second = take_over(owned_site)
    owned_site.advance(0.2)
    for agent_name, name in owned_site.running():
        owned_site.agents[agent_name].worker.end_run(name, RunEnd.LAPSED)
    owned_site.advance(0.2)
    owned_site.store_records(second)
    owned_site.advance(0.2)
    second_numbers = {name.run for _, name in owned_site.running()}
    assert len(second_numbers) >= 1
    assert min(second_numbers) > max(numbers)


def test_unknown_job_is_not_gone_while_the_store_is_unreachable(owned_site):
    """Without a recent confirmation, an unknown job must not be answered as gone.

    Another entry may have accepted the job meanwhile, so a response 410 would be wrong.
    """
    entry = owned_site.entries["entry-0"]
    assert query_outcome(owned_site, entry) is Outcome.GONE
    owned_site.now += 3
    assert query_outcome(owned_site, entry) is Outcome.NOT_READY


def cancel(site, entry, waiter="cancel"):
    job_requests.cancel_job(entry.owner, SHARD, JOB_ID, waiter, site.now)
    site.deliver_all()


def test_unknown_job_is_denied_once_the_ownership_is_confirmed(owned_site):
    """Guards against a cancellation acknowledged by an owner that is one no more."""
    entry = owned_site.entries["entry-0"]
    owned_site.now += 0.1
    cancel(owned_site, entry)
    ownership.confirm_ownership(entry.owner, owned_site.now - 0.05)
    ownership.confirm_ownership(entry.owner, owned_site.now + 0.1, {SHARD})
    owned_site.deliver_all()
    assert entry.answers == []
    ownership.confirm_ownership(entry.owner, owned_site.now + 0.1)
    owned_site.deliver_all()
    assert entry.answers == [("cancel", Outcome.GONE)]


@pytest.mark.parametrize("is_shard_lost", [True, False])
def test_unknown_job_is_not_denied_without_a_confirmation(owned_site, is_shard_lost):
    """Guards against a request that waits for a confirmation that does not come."""
    entry = owned_site.entries["entry-0"]
    owned_site.now += 0.1
    cancel(owned_site, entry)
    if is_shard_lost:
        ownership.lose_shard(entry.owner, SHARD, "fenced", owned_site.now)
        owned_site.deliver_all()
    else:
        owned_site.advance(entry.owner.times.denial_wait_s + 0.1)
    assert entry.answers == [("cancel", Outcome.NOT_READY)]


def test_job_accepted_while_its_cancellation_waits_is_cancelled(owned_site):
    """Guards against a job that runs although its cancellation was acknowledged."""
    entry = owned_site.entries["entry-0"]
    owned_site.now += 0.1
    cancel(owned_site, entry)
    submit(owned_site, entry)
    owned_site.store_records(entry)
    ownership.confirm_ownership(entry.owner, owned_site.now + 0.1)
    owned_site.deliver_all()
    owned_site.store_records(entry)
    owned_site.advance(0.5)
    assert ("cancel", Outcome.CANCELLED) in entry.answers
    assert owned_site.running() == []


def test_unreadable_record_does_not_affect_other_jobs(owned_site):
    """A damaged record must not prevent the rest of its shard from being served."""
    second = owned_site.entries["entry-1"]
    items = [
        (JOB_ID, b"\xff"),
        ("00000000000000b2", encode_record(create_job_record())),
    ]
    gain_shard(owned_site, second, SHARD, 2, items)
    assert set(second.owner.shards[SHARD].jobs) == {"00000000000000b2"}


def test_restarted_agent_is_granted_after_the_store_confirms_ownership(owned_site):
    """A restarted agent must not accept a previous owner that cannot reach the store.

    The new process does not know that owner's successor.
    """
    entry, agent = owned_site.entries["entry-0"], owned_site.agents["agent-0"]
    owned_site.advance(0.5)
    owned_site.disconnect(entry, agent)
    agent.restart(owned_site.now)
    owned_site.connect(entry, agent)
    owned_site.advance(0.5)
    assert SHARD not in agent.state.shards
    ownership.confirm_ownership(entry.owner, owned_site.now)
    owned_site.advance(0.1)
    assert SHARD in agent.state.shards


def test_cancel_is_acknowledged_after_the_recovery(owned_site):
    """A cancel must not be acknowledged during a recovery.

    A previous owner may start tasks at agents that have not accepted the new one.
    """
    previous, entry = owned_site.entries["entry-0"], owned_site.entries["entry-1"]
    start(owned_site, previous)
    items = [(agent_key(name), b"1") for name in owned_site.agents]
    items.append((JOB_ID, encode_record(create_job_record())))
    owned_site.disconnect(entry, owned_site.agents["agent-1"])
    gain_shard(owned_site, entry, SHARD, 2, items)
    job_requests.cancel_job(entry.owner, SHARD, JOB_ID, "cancel", owned_site.now)
    owned_site.deliver_all()
    owned_site.store_records(entry)
    assert entry.answers == []
    owned_site.connect(entry, owned_site.agents["agent-1"])
    ownership.confirm_ownership(entry.owner, owned_site.now)
    owned_site.advance(0.1)
    assert entry.answers == [("cancel", Outcome.CANCELLED)]


def test_cancel_is_acknowledged_after_the_runs(owned_site):
    """A cancel must not be acknowledged before the runs of the job have ended.

    A start request may still be in transit when the cancellation is stored.
    """
    entry = owned_site.entries["entry-0"]
    start(owned_site, entry)
    entry.answers.clear()
    for agent in owned_site.agents.values():
        agent.executes_calls = False  # the stops have not taken effect yet
    job_requests.cancel_job(entry.owner, SHARD, JOB_ID, "cancel", owned_site.now)
    owned_site.deliver_all()
    owned_site.store_records(entry)
    assert entry.answers == []
    for agent_name, name in owned_site.running():
        owned_site.agents[agent_name].worker.end_run(name, RunEnd.STOPPED)
    owned_site.advance(0.1)
    assert entry.answers == [("cancel", Outcome.CANCELLED)]


def test_job_whose_start_was_probably_not_carried_out_still_waits(owned_site):
    """Guards against pending counts that leave out jobs with lost starts."""
    entry = owned_site.entries["entry-0"]
    for agent in owned_site.agents.values():
        agent.executes_calls = False
    submit(owned_site, entry)
    owned_site.store_records(entry)
    owned_site.advance(0.05)
    owned_site.store_records(entry)
    assert pending_by_queue(entry.owner) == {}
    for agent in owned_site.agents.values():
        for call in agent.start_calls:
            worker_starts.start_refused(agent.state, call.name, "answer_lost")
        agent.report(owned_site.now, usable=False)
        owned_site.send_worker_report(agent)
    owned_site.deliver_all()
    assert pending_by_queue(entry.owner) == {"q": 1}
    assert query_outcome(owned_site, entry) is Outcome.QUEUED


def test_job_whose_starts_were_refused_still_waits(owned_site):
    """Guards against pending counts that leave out most of the waiting jobs."""
    entry = owned_site.entries["entry-0"]
    for agent in owned_site.agents.values():
        agent.crash(owned_site.now)
    submit(owned_site, entry)
    owned_site.store_records(entry)
    owned_site.advance(0.05)
    owned_site.store_records(entry)
    owned_site.advance(0.2)
    assert owned_site.running() == []
    assert any(agent.start_calls for agent in owned_site.agents.values())
    assert pending_by_queue(entry.owner) == {"q": 1}
    assert query_outcome(owned_site, entry) is Outcome.QUEUED
    owned_site.advance(4.0)
    assert pending_by_queue(entry.owner) == {}
    assert query_outcome(owned_site, entry) is Outcome.RUNNING
