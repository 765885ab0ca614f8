"""Stored jobs: acceptance, ends, cancellation and the change of their owner."""

import pytest

from turmericknot.scheduling import job_requests, ownership, runs
from turmericknot.scheduling.commands import Outcome
from turmericknot.scheduling.jobs import RunEnd, agent_key, encode_record

from .site import JOB, create_job_record, gain

SHARD = 0


@pytest.fixture
def owned(create_site):
    site = create_site(entries=2)
    gain(site, site.entries["entry-0"], SHARD, 1)
    return site


def submit(site, entry, waiter="caller", job=JOB, job_record=None):
    job_requests.submit_job(
        entry.owner, SHARD, job, job_record or create_job_record(), waiter, site.now
    )
    site.settle()


def ask_state(site, entry, job=JOB):
    job_requests.answer_job_state(entry.owner, SHARD, job, "ask", site.now)
    site.settle()
    return entry.answers.pop()[1]


def start(site, entry):
    """Accept a job and let its tasks start."""
    submit(site, entry)
    site.advance(0.05)
    site.store(entry)
    site.advance(0.05)


def test_accepted_only_when_stored(owned):
    """An acceptance that a power loss would undo must not be answered."""
    entry = owned.entries["entry-0"]
    submit(owned, entry)
    assert entry.answers == []
    assert owned.running() == []
    owned.store(entry)
    assert entry.answers == [("caller", Outcome.ACCEPTED)]


def test_second_submission_is_the_same_job(owned):
    """A resubmission must not run the job's tasks a second time."""
    entry = owned.entries["entry-0"]
    start(owned, entry)
    submit(owned, entry, "again")
    assert entry.answers[-1] == ("again", Outcome.ACCEPTED)
    owned.store(entry)
    assert len(owned.running()) == 2


def test_refused_when_certainly_not_stored(owned):
    """A refused job must never run."""
    entry = owned.entries["entry-0"]
    submit(owned, entry)
    (command,) = entry.to_store
    entry.to_store.clear()
    job_requests.record_not_stored(entry.owner, command.token, owned.now)
    owned.advance(0.2)
    assert entry.answers == [("caller", Outcome.NOT_READY)]
    assert owned.running() == []
    assert ask_state(owned, entry) is Outcome.GONE


def test_nothing_starts_at_an_agent_that_the_record_does_not_name(owned):
    """A later owner would not wait for an agent of which it cannot know."""
    entry = owned.entries["entry-0"]
    submit(owned, entry)
    (command,) = entry.to_store
    entry.to_store.clear()
    job_requests.record_stored(entry.owner, command.token, owned.now)
    owned.advance(0.05)
    assert owned.running() == []
    assert {c.key for c in entry.to_store} == {agent_key(name) for name in owned.agents}
    owned.store(entry)
    owned.advance(0.05)
    assert len(owned.running()) == 2


def test_success_is_shown_and_noted_only_when_stored(owned):
    """An end that the worker has forgotten must be in the store."""
    entry = owned.entries["entry-0"]
    start(owned, entry)
    for agent_name, name in owned.running():
        owned.agents[agent_name].worker.end(name)
    owned.advance(0.1)
    assert ask_state(owned, entry) is Outcome.RUNNING
    assert all(agent.state.last_seen == 0 for agent in owned.agents.values())
    owned.store(entry)
    owned.advance(0.1)
    assert ask_state(owned, entry) is Outcome.SUCCEEDED
    assert all(not agent.state.ends for agent in owned.agents.values())


def test_ends_of_a_long_job_are_noted_before_it_ends(owned):
    """A worker must not keep its list of ends until the slowest task is done."""
    entry = owned.entries["entry-0"]
    start(owned, entry)
    agent_name, name = owned.running()[0]
    owned.agents[agent_name].worker.end(name)
    owned.advance(1.5)
    owned.store(entry)
    owned.advance(0.1)
    assert not owned.agents[agent_name].state.ends
    assert ask_state(owned, entry) is Outcome.RUNNING


def test_no_start_after_an_acknowledged_cancel(owned):
    """A cancelled job must not go on, and its runs must stop."""
    entry = owned.entries["entry-0"]
    start(owned, entry)
    job_requests.cancel_job(entry.owner, SHARD, JOB, "cancel", owned.now)
    owned.settle()
    assert ("cancel", Outcome.CANCELLED) not in entry.answers
    owned.store(entry)
    owned.advance(0.1)
    assert ("cancel", Outcome.CANCELLED) in entry.answers
    assert owned.running() == []
    owned.advance(0.5)
    assert owned.running() == []
    assert ask_state(owned, entry) is Outcome.CANCELLED


def stored_items(entry):
    """Return what a store would hold of the entry's shard."""
    shard = entry.owner.shards[SHARD]
    items = [(agent_key(name), b"1") for name in shard.usable_agents]
    items += [(job.id, encode_record(job.record)) for job in shard.jobs.values()]
    return items


def take_over(owned):
    """Let the second entry own the shard; return it."""
    first, second = owned.entries.values()
    items = stored_items(first)
    gain(owned, second, SHARD, 2, items)
    return second


def test_new_owner_keeps_the_runs_of_the_former_one(owned):
    """A change of the owner must not start a task twice."""
    start(owned, owned.entries["entry-0"])
    before = sorted(owned.running())
    second = take_over(owned)
    owned.advance(0.3)
    owned.store(second)
    assert sorted(owned.running()) == before
    assert not second.owner.shards[SHARD].is_recovering


def test_new_owner_learns_of_ends_that_were_not_noted(owned):
    """A task that ended under the former owner must not start again."""
    first = owned.entries["entry-0"]
    start(owned, first)
    agent_name, name = owned.running()[0]
    owned.agents[agent_name].worker.end(name)
    owned.advance(0.1)
    second = take_over(owned)
    owned.advance(0.3)
    owned.store(second)
    assert [run for run in owned.running() if run[1].index == name.index] == []


def test_new_owner_waits_for_an_agent_out_of_reach(owned):
    """A run at an agent that only the former owner reaches must not be doubled."""
    first, second = owned.entries.values()
    start(owned, first)
    away, name = owned.running()[0]
    owned.cut(second, owned.agents[away])
    take_over(owned)
    gained_at = owned.now
    ownership.lose_shard(first.owner, SHARD, "fenced", owned.now)
    others = [agent for agent in owned.agents if agent != away]

    def doubled():
        return [
            run
            for agent, run in owned.running()
            if agent in others and run.index == name.index and run.job == JOB
        ]

    while not doubled():
        ownership.confirm_ownership(
            second.owner, owned.now
        )  # the store answers each join
        owned.advance(0.1)
        owned.store(second)
        assert owned.now - gained_at < 10
    times = second.owner.times
    assert owned.now - gained_at >= times.unconfirmed_grants_s + times.grant_s
    assert [run for agent, run in owned.running() if agent == away] == []


def test_orders_of_a_former_owner_are_refused(owned):
    """An owner that has slept must not start what its successor started."""
    first = owned.entries["entry-0"]
    submit(owned, first)
    owned.store(first)
    take_over(owned)
    owned.advance(0.2)
    task = first.owner.shards[SHARD].jobs[JOB].tasks[0][0]
    count = len(owned.running())
    for agent in owned.agents.values():
        agent.start_calls.clear()
    runs.run_ended_without_result(
        first.owner,
        first.owner.agents[task.agent or "agent-0"],
        task,
        RunEnd.LOST,
        owned.now,
    )
    runs.schedule_tasks(first.owner, owned.now)
    owned.settle()
    assert all(not agent.start_calls for agent in owned.agents.values())
    assert len(owned.running()) == count


def test_run_numbers_rise_with_the_epoch(owned):
    """A worker rejects a run whose number is not above an earlier one's."""
    first = owned.entries["entry-0"]
    start(owned, first)
    numbers = {name.run for _, name in owned.running()}
    second = take_over(owned)
    owned.advance(0.2)
    for agent_name, name in owned.running():
        owned.agents[agent_name].worker.end(name, RunEnd.LAPSED)
    owned.advance(0.2)
    owned.store(second)
    owned.advance(0.2)
    again = {name.run for _, name in owned.running()}
    assert len(again) >= 1
    assert min(again) > max(numbers)


def test_unknown_job_is_not_denied_while_the_store_is_away(owned):
    """Another entry may have accepted the job meanwhile: 410 would be false."""
    entry = owned.entries["entry-0"]
    assert ask_state(owned, entry) is Outcome.GONE
    owned.now += 3
    assert ask_state(owned, entry) is Outcome.NOT_READY


def test_unreadable_record_leaves_the_rest(owned):
    """One damaged record must not keep a shard from being served."""
    second = owned.entries["entry-1"]
    items = [(JOB, b"\xff"), ("00000000000000b2", encode_record(create_job_record()))]
    gain(owned, second, SHARD, 2, items)
    assert set(second.owner.shards[SHARD].jobs) == {"00000000000000b2"}


def test_restarted_agent_is_granted_after_the_store_has_confirmed(owned):
    """A former owner would find an agent that knows nothing of its successor."""
    entry, agent = owned.entries["entry-0"], owned.agents["agent-0"]
    owned.advance(0.5)
    owned.cut(entry, agent)
    agent.restart(owned.now)
    owned.connect(entry, agent)
    owned.advance(0.5)
    assert SHARD not in agent.state.shards
    ownership.confirm_ownership(entry.owner, owned.now)
    owned.advance(0.1)
    assert SHARD in agent.state.shards


def test_cancel_is_acknowledged_after_the_recovery(owned):
    """A former owner may start tasks at agents that have not accepted this one."""
    former, entry = owned.entries["entry-0"], owned.entries["entry-1"]
    start(owned, former)
    items = [(agent_key(name), b"1") for name in owned.agents]
    items.append((JOB, encode_record(create_job_record())))
    owned.cut(entry, owned.agents["agent-1"])
    gain(owned, entry, SHARD, 2, items)
    job_requests.cancel_job(entry.owner, SHARD, JOB, "cancel", owned.now)
    owned.settle()
    owned.store(entry)
    assert entry.answers == []
    owned.connect(entry, owned.agents["agent-1"])
    ownership.confirm_ownership(entry.owner, owned.now)
    owned.advance(0.1)
    assert entry.answers == [("cancel", Outcome.CANCELLED)]


def test_cancel_is_acknowledged_after_the_runs(owned):
    """An order to start may be on its way when the cancel is stored."""
    entry = owned.entries["entry-0"]
    start(owned, entry)
    entry.answers.clear()
    for agent in owned.agents.values():
        agent.auto = False  # the orders to stop are not carried out yet
    job_requests.cancel_job(entry.owner, SHARD, JOB, "cancel", owned.now)
    owned.settle()
    owned.store(entry)
    assert entry.answers == []
    for agent_name, name in owned.running():
        owned.agents[agent_name].worker.end(name, RunEnd.STOPPED)
    owned.advance(0.1)
    assert entry.answers == [("cancel", Outcome.CANCELLED)]
