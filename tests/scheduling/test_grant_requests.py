"""Grants on demand: requests of agents, and runs at agents without a grant."""

import pytest

from tests.scheduling.site import JOB_ID
from turmericknot.scheduling import grant_requests, reports, runs, workers
from turmericknot.scheduling.commands import SendMessage
from turmericknot.wire import codec, shard_messages as wire

CHECK_INTERVAL_S = 0.25


def count_requests(requests, start, seconds, used_until=0.0):
    """Return the requests sent in a time, at most one for each check."""
    count, now = 0, start
    while now < start + seconds:
        if now < used_until:
            requests.entry_uses_worker(now)
        if requests.is_due(now):
            requests.pop_sent_at(requests.record_request(now))
            count += 1
        now += CHECK_INTERVAL_S
    return count


@pytest.fixture
def requests():
    requests = grant_requests.create_grant_requests()
    requests.stream_opened(True, 100.0)
    return requests


def test_idle_pair_costs_a_fifth_or_less(requests):
    """Guards against control traffic that grows with entries x agents."""
    count_requests(requests, 100.0, 1.0)
    assert count_requests(requests, 101.0, 20.0) <= 4 * 20 / 5


def test_grants_of_an_entry_with_runs_are_renewed(requests):
    """Guards against the stop of running work for want of a renewal."""
    assert count_requests(requests, 100.0, 10.0, used_until=110.0) == 40


def test_entry_of_an_older_build_is_asked_as_before():
    """Older entries use no agent whose last request is older than 0.8 s."""
    requests = grant_requests.create_grant_requests()
    requests.stream_opened(False, 100.0)
    assert count_requests(requests, 101.0, 10.0) == 40


def test_greeting_of_an_older_build_is_decoded():
    data = codec.encode_frame([wire.Grant(0, [], True)])
    assert codec.decode_frame(data) == [wire.Grant(0, [], True)]
    tag_sequence_and_shards = data[:1] + b"\x93" + data[2:-1]
    assert codec.decode_frame(tag_sequence_and_shards) == [wire.Grant(0, [])]


def test_unanswered_request_shows_a_silent_entry(requests):
    requests.record_request(100.0)
    assert not requests.is_unanswered(101.0)
    assert requests.is_unanswered(101.4)


@pytest.fixture
def idle_site(create_site):
    """Return a site of one entry and one agent without requests for 1.9 s."""
    site = create_site(agents=1)
    site.advance(1.9, renew_grants=False)
    return site


def sent_to_agent(entry):
    return [
        type(command.message)
        for command in entry.owner.pop_commands()
        if isinstance(command, SendMessage)
    ]


def test_idle_agent_gets_a_run_and_requests_a_grant(idle_site):
    """Guards against idle agents that get no runs."""
    entry, agent = idle_site.entries["entry-0"], idle_site.agents["agent-0"]
    entry.submit_best_effort("caller", idle_site.now)
    idle_site.deliver_all()
    assert idle_site.running() == []
    idle_site.renew_grant(entry, agent)
    idle_site.deliver_all()
    assert len(idle_site.running()) >= 1


def test_agent_that_may_be_gone_gets_one_run(idle_site):
    """Guards against many tasks that wait for an agent that has just died."""
    entry = idle_site.entries["entry-0"]
    entry.submit_best_effort("caller", idle_site.now)
    assert len(entry.owner.agents["agent-0"].tasks) == 1


def test_run_at_a_silent_idle_agent_is_given_up_soon(idle_site):
    """The stop precedes any later grant on the stream, so the run never starts."""
    entry = idle_site.entries["entry-0"]
    entry.submit_best_effort("caller", idle_site.now)
    entry.owner.pop_commands()
    view = entry.owner.agents["agent-0"]
    runs.tick(entry.owner, idle_site.now + 0.2)
    assert view.tasks
    later = idle_site.now + 0.35
    runs.tick(entry.owner, later)
    assert not view.tasks and not workers.is_usable(view, later)
    reports.grant_request_received(entry.owner, "agent-0", 9, later + 0.1)
    sent = sent_to_agent(entry)
    assert sent.index(wire.StopRuns) < sent.index(wire.Grant)


def test_running_work_of_a_silent_agent_is_kept_until_its_grant_ends(create_site):
    """An agent that is silent for a second still runs its tasks."""
    site = create_site(agents=2)
    entry = site.entries["entry-0"]
    entry.submit_best_effort("caller", site.now)
    site.deliver_all()
    before = dict(entry.owner.agents["agent-0"].tasks)
    assert before
    runs.tick(entry.owner, site.now + 1.2)
    assert entry.owner.agents["agent-0"].tasks == before
    runs.tick(entry.owner, site.now + 1.3)
    assert not entry.owner.agents["agent-0"].tasks
    assert JOB_ID in entry.shard.jobs
