"""Workers that leave at short notice: which runs are moved, and which stay."""

import pytest

from turmericknot.scheduling import leaving, leaving_moves, runs, worker_starts
from turmericknot.scheduling.commands import Outcome
from turmericknot.wire import shard_messages as wire

from .delivery import deliver_to_owner
from .site import FULL_RUN_S, JOB_ID, create_job_record

NOTICE_S = 1.6


@pytest.fixture
def only_entry(site):
    return site.entries["entry-0"]


def submit_long_job(site, entry, job=JOB_ID, tasks=1, **fields):
    fields.setdefault("priority", 1)
    record = create_job_record(tasks, estimate=FULL_RUN_S, **fields)
    entry.submit_best_effort(job, site.now, job, record, wait=60.0)
    site.deliver_all()


def play(site, seconds, until_answer_of=None):
    """Advance the clock; runs end after FULL_RUN_S, and workers leave on time."""
    end = site.now + seconds
    while site.now < end - 1e-9:
        site.advance(0.05)
        for agent in site.agents.values():
            for name, started_at in list(agent.worker.running.items()):
                if site.now - started_at >= FULL_RUN_S - 1e-9:
                    agent.worker.end_run(name)
            if agent.state.life and site.now >= (agent.leaves_at or 1e9):
                site.end_worker(agent)
        assert_one_run_per_task(site)
        if until_answer_of and until_answer_of.answers:
            return


def assert_one_run_per_task(site):
    names = [n for agent in site.agents.values() for n in agent.worker.running]
    assert len({(n.job, n.step, n.index) for n in names}) == len(names)


def agent_of_only_run(site):
    ((agent_name, _),) = site.running()
    return site.agents[agent_name]


def stopped_names(site):
    return [call.name for agent in site.agents.values() for call in agent.stop_calls]


def seconds_until_answer(create_site):
    site = create_site()
    entry = site.entries["entry-0"]
    submit_long_job(site, entry)
    started_at = site.now
    play(site, 0.2 * FULL_RUN_S)
    site.announce_leave(agent_of_only_run(site), NOTICE_S)
    play(site, 30.0, until_answer_of=entry)
    assert entry.answers == [(JOB_ID, Outcome.SUCCEEDED)]
    return site.now - started_at


def test_run_that_cannot_end_is_moved(create_site, monkeypatch):
    with_move_s = seconds_until_answer(create_site)
    monkeypatch.setattr(runs, "move_runs", lambda owner, now: None)
    without_move_s = seconds_until_answer(create_site)
    assert with_move_s < without_move_s - NOTICE_S + leaving_moves.MOVE_OVERHEAD_S


def test_run_that_can_end_stays(site, only_entry):
    submit_long_job(site, only_entry)
    play(site, 0.9 * FULL_RUN_S)
    site.announce_leave(agent_of_only_run(site), NOTICE_S)
    play(site, NOTICE_S)
    assert stopped_names(site) == []
    assert only_entry.answers == [(JOB_ID, Outcome.SUCCEEDED)]


@pytest.mark.parametrize(
    ("elapsed_s", "remaining_s", "time_left_s", "expected"),
    [
        (0.1, 1.7, 1.6, True),  # just started: little is lost if it would end
        (1.5, 1.7, 1.6, False),  # it may still end, as workers leave a little later
        (2.0, 8.0, 1.6, True),
        (0.0, 1.5, 1.6, False),
        (2.0, 8.0, 0.2, False),  # the worker is gone before a move is carried out
    ],
)
def test_only_a_certain_gain_is_taken(elapsed_s, remaining_s, time_left_s, expected):
    assert (
        leaving_moves.is_move_worthwhile(elapsed_s, remaining_s, time_left_s)
        is expected
    )


def test_third_of_the_workers_leaves_at_full_load(create_site):
    """Replays a crest in which capacity becomes free one run at a time."""
    site = create_site(agents=9)
    entry = site.entries["entry-0"]
    for number in range(9):
        submit_long_job(site, entry, f"{number + 1:016x}", tasks=4)
    play(site, 1.0)
    agents = list(site.agents.values())
    for agent in agents[:3]:
        site.announce_leave(agent, 2.0)
    play(site, 0.3)
    assert stopped_names(site) == []  # nothing is free elsewhere
    agents[8].worker.end_run(next(iter(agents[8].worker.running)))
    urgent = "00000000000000b1"
    submit_long_job(site, entry, urgent, priority=0, objective=20.0)
    play(site, 0.1)
    assert len(site.running(urgent)) == 1
    assert stopped_names(site) == []
    for name in list(agents[7].worker.running)[:2]:
        agents[7].worker.end_run(name)
    play(site, 0.2)
    moved = stopped_names(site)
    assert len(moved) == 2
    assert entry.owner.counts["runs_moved_leaving"] == 2
    holders = [a.name for a in agents for n in a.worker.running if n.run == 2]
    assert holders == ["agent-7", "agent-7"]
    jobs = entry.shard.jobs.values()
    assert not any(t.failures or t.avoided_agents for j in jobs for t in j.tasks[0])
    play(site, 2.0)
    assert len(stopped_names(site)) == 2
    waiting = {job.id for job in entry.owner.waiting.jobs()}
    assert waiting  # lost with their workers, and queued again at once


@pytest.fixture
def fill_leaving(site, only_entry):
    """Return functions that start a job on agent-0 and use agent-1, and agent-0."""
    leaving_agent, elsewhere = site.agents.values()

    def fill(job, tasks, **fields):
        use_elsewhere(4000)
        submit_long_job(site, only_entry, job, tasks, **fields)

    def use_elsewhere(cpu):
        report = wire.RoomReport(cpu, 0, 0)
        deliver_to_owner(only_entry.owner, elsewhere.name, report, site.now)

    return fill, use_elsewhere, leaving_agent


def test_least_work_is_thrown_away(site, fill_leaving):
    fill, use_elsewhere, agent = fill_leaving
    fill("00000000000000a1", 1)
    play(site, 3.0)
    fill("00000000000000a2", 1)
    play(site, 1.0)
    site.announce_leave(agent, NOTICE_S)
    agent.executes_calls = False
    use_elsewhere(3000)
    play(site, 0.2)
    assert [name.job for name in stopped_names(site)] == ["00000000000000a2"]


def test_other_owners_keep_their_share_of_the_free_capacity(site, fill_leaving):
    """All owners of runs there see the same free places at the same moment."""
    fill, use_elsewhere, agent = fill_leaving
    fill(JOB_ID, 4)
    play(site, 1.0)
    site.announce_leave(agent, NOTICE_S)
    agent.executes_calls = False
    use_elsewhere(1000)
    play(site, 0.25)
    assert len(stopped_names(site)) == 1


def test_capacity_for_a_more_urgent_task_is_not_taken(site, only_entry, fill_leaving):
    """Replays an urgent task that needs more than the first place that is free."""
    fill, use_elsewhere, agent = fill_leaving
    fill(JOB_ID, 4)
    play(site, 1.0)
    site.announce_leave(agent, NOTICE_S)
    use_elsewhere(3000)
    urgent = {"cpu": 3000, "priority": 0, "objective": 55.0}
    submit_long_job(site, only_entry, "00000000000000b1", **urgent)
    play(site, 0.5)
    assert only_entry.owner.waiting
    assert stopped_names(site) == []


def test_moves_in_flight_hold_the_capacity(create_site):
    """A stop takes time; meanwhile the free place must not be counted again."""
    site = create_site()
    entry, agents = site.entries["entry-0"], list(site.agents.values())
    for number in range(2):
        submit_long_job(site, entry, f"{number + 1:016x}", tasks=4)
    play(site, 1.0)
    agents[0].executes_calls = False
    site.announce_leave(agents[0], NOTICE_S)
    agents[1].worker.end_run(next(iter(agents[1].worker.running)))
    play(site, 0.25)
    assert len(stopped_names(site)) == 1


def test_end_that_crosses_the_stop_counts_once(site, only_entry):
    submit_long_job(site, only_entry)
    play(site, 2.0)
    agent = agent_of_only_run(site)
    agent.executes_calls = False
    site.announce_leave(agent, NOTICE_S)
    play(site, 0.1)
    (name,) = stopped_names(site)
    agent.worker.end_run(name)
    play(site, 1.0)
    assert only_entry.answers == [(JOB_ID, Outcome.SUCCEEDED)]
    assert sum(len(a.worker.started) for a in site.agents.values()) == 1


def test_owner_that_was_away_is_told(site, only_entry):
    submit_long_job(site, only_entry)
    play(site, 2.0)
    agent = agent_of_only_run(site)
    site.disconnect(only_entry, agent)
    site.announce_leave(agent, NOTICE_S)
    play(site, 0.2)
    assert stopped_names(site) == []
    site.connect(only_entry, agent)
    play(site, 0.2)
    assert len(stopped_names(site)) == 1
    assert agent_of_only_run(site) is not agent


def test_owners_are_told_of_changes_only(site, only_entry):
    submit_long_job(site, only_entry)
    play(site, 2.0)
    agent = agent_of_only_run(site)
    agent.leaves_at = site.now + NOTICE_S

    def notices(at, shift=0.0):
        agent.leaves_at += shift
        agent.report(at, usable=False)
        leaving.report_runs_at_risk(agent.state, at)
        sent = [message for _, message in agent.execute_calls(at)]
        return [m for m in sent if isinstance(m, wire.WorkerLeaving)]

    (first,) = notices(site.now)
    assert first.remaining_s == pytest.approx(NOTICE_S, abs=0.01)
    assert [row.name for row in first.runs] == list(agent.worker.running)
    assert notices(site.now + 0.4) == []
    assert len(notices(site.now + 0.5, shift=-0.5)) == 1
    assert notices(site.now + 0.6, shift=-0.5) == []  # too soon after the last one
    (last,) = notices(site.now + 0.9, shift=60.0)
    assert last.runs == []


def test_queued_start_is_refused_with_the_report(site, only_entry):
    """It must not wait for a grant at a worker that gets no more runs."""
    agent = site.agents["agent-0"]
    start = wire.RunStart(JOB_ID, 0, 0, 1, 1000, 64, 0, "x", max_queue_wait_s=1.0)
    shard = only_entry.shard.number
    request = wire.StartRuns(
        shard, only_entry.shard.epoch, agent.state.life.key, [start]
    )
    agent.state.shards[shard].expires_at = site.now
    stream = agent.state.shards[shard].stream
    worker_starts.start_runs(agent.state, stream, request, site.now)
    assert len(agent.state.runs) == 1
    site.announce_leave(agent, NOTICE_S)
    assert not agent.state.runs
    assert not agent.start_calls


def test_start_that_waits_for_a_connection_is_not_sent(site, only_entry):
    agent = site.agents["agent-0"]
    agent.executes_calls = False
    submit_long_job(site, only_entry, tasks=2)
    (call,) = agent.start_calls
    assert worker_starts.may_send_start(agent.state, call, site.now)
    site.announce_leave(agent, NOTICE_S)
    assert not worker_starts.may_send_start(agent.state, call, site.now)


@pytest.mark.parametrize("says_goodbye", [True, False])
def test_lost_task_starts_again_and_is_not_suspected(site, only_entry, says_goodbye):
    """A worker that ends when it said so has not crashed."""
    submit_long_job(site, only_entry)
    play(site, 0.7 * FULL_RUN_S)
    agent = agent_of_only_run(site)
    site.announce_leave(agent, 0.2)
    site.advance(0.25)
    if says_goodbye:
        site.end_worker(agent)
    else:
        agent.crash(site.now, down_s=60.0)
        site.advance(1.3)
    assert agent_of_only_run(site) is not agent
    assert not agent.state.recent_crashes
