import pytest

from turmericknot.dispatch import scheduler
from turmericknot.wire.messages import TeamDigest, TeamUsage


def running_tasks(site, name):
    return site.state.teams[name].running_tasks


def replace_oldest_tasks(site, tasks, rounds):
    """End the four oldest tasks per round and start others in their place."""
    for _ in range(rounds):
        site.now += 0.0125
        ended, tasks = tasks[:4], tasks[4:]
        for task in ended:
            site.finish(task)
        tasks += site.start()


def test_flood_leaves_the_other_team_its_share(create_site):
    """Guards against a team that floods the queues and starves another team."""
    site = create_site(agents=4, slots=8)
    site.add(1500, "red")
    tasks = site.start()
    site.add(300, "blue")
    replace_oldest_tasks(site, tasks, 40)
    assert running_tasks(site, "blue") == pytest.approx(16, abs=2)


def test_shares_follow_weights(create_site):
    tree = {"teams": {"red": {"weight": 3}, "blue": {"weight": 1}}}
    site = create_site(agents=4, slots=8, tree=tree)
    site.add(1500, "red")
    site.add(1500, "blue")
    replace_oldest_tasks(site, site.start(), 80)
    assert running_tasks(site, "red") == pytest.approx(24, abs=2)


def test_accelerators_count_as_the_dominant_resource(create_site):
    """Guards against a team that gets all accelerators because it uses few slots."""
    site = create_site(agents=4, slots=8, accelerators=2)
    site.add(400, "red", needs={"accelerators": 1})
    site.add(400, "blue", needs={"accelerators": 1})
    tasks = site.start()
    assert len(tasks) == 8
    assert running_tasks(site, "red") == running_tasks(site, "blue") == 4
    # While blue uses the slots without accelerators, red is due most accelerators.
    site.add(400, "blue")
    replace_oldest_tasks(site, tasks, 40)
    assert running_tasks(site, "red") == pytest.approx(7, abs=1)
    assert running_tasks(site, "blue") == pytest.approx(25, abs=1)


def test_allowance_and_limits_bound_what_runs(create_site):
    """Guards against exceeding a quota while capacity is idle."""
    red = {"allowance": 5}
    blue = {"limits": {"max_processors": 6}}
    site = create_site(agents=4, slots=8, tree={"teams": {"red": red, "blue": blue}})
    site.add(100, "red")
    site.add(100, "blue", needs={"processors": 2.0})
    site.start()
    assert (running_tasks(site, "red"), running_tasks(site, "blue")) == (5, 3)


def test_allowance_counts_what_runs_at_other_entries(create_site):
    site = create_site(agents=4, slots=8, tree={"teams": {"red": {"allowance": 10}}})
    load = TeamDigest(1, 32, [TeamUsage("red", 7, 0)])
    scheduler.peer_digest(site.state, "e2", load, 0.0)
    site.add(100, "red")
    site.start()
    assert running_tasks(site, "red") <= 6
    scheduler.peer_lost(site.state, "e2", 0.0)
    site.now = 1.0
    site.start()
    assert running_tasks(site, "red") == 10


def test_partition_leaves_a_region_its_part_of_an_allowance(create_site):
    """Guards against both sides of a partition using the whole allowance."""
    site = create_site(agents=2, slots=8, tree={"teams": {"red": {"allowance": 12}}})
    for stream in (2, 3, 4, 5):
        site.join(stream, slots=8, region="r2")
    for stream in (2, 3, 4, 5):
        scheduler.agent_left(site.state, stream, 1.0)
    site.now = 1.0
    site.add(100, "red")
    site.start()
    assert running_tasks(site, "red") == 4


def test_entitlement_follows_the_share_of_demand(create_site):
    site = create_site(agents=4, slots=8)
    load = TeamDigest(1, 32, [TeamUsage("blue", 16, 100)])
    scheduler.peer_digest(site.state, "e2", load, 0.0)
    site.add(100, "red")
    site.start()
    site.now = 1.0
    site.start()
    _, entitlement = scheduler.assignment_demand(site.state, 0)
    assert entitlement == pytest.approx(16, abs=1)


def test_digest_reports_changes_once_and_all_teams_to_a_new_peer(create_site):
    """Guards against peers that never learn of a team's load or of its end."""
    site = create_site(agents=1, slots=4)
    job = site.add(6, "red")
    tasks = site.start()
    first = scheduler.due_digest(site.state, 0.0)
    assert first.teams == [TeamUsage("red", 4, 2)] and first.slots == 4
    assert scheduler.due_digest(site.state, 1.0) is None
    scheduler.peer_digest(site.state, "e2", TeamDigest(1, 4, []), 1.0)
    assert scheduler.due_digest(site.state, 2.0).teams == first.teams
    scheduler.remove_job(site.state, job, 2.0)
    for task in tasks:
        site.finish(task)
    assert scheduler.due_digest(site.state, 3.0).teams == [TeamUsage("red", 0, 0)]


def test_digests_keep_within_the_control_budget(create_site):
    """Guards against sending digests of 250 teams to 9 peers every 250 ms."""
    names = [f"team-{number}" for number in range(250)]
    site = create_site(agents=1, slots=4, tree={"teams": dict.fromkeys(names, {})})
    for peer in range(9):
        scheduler.peer_digest(site.state, peer, TeamDigest(1, 4, []), 0.0)
    sent, reported = 0.0, set()
    for name in names:
        site.add(5, name)
    for tick in range(2000):
        digest = scheduler.due_digest(site.state, tick * 0.01)
        if digest is not None:
            reported.update(usage.team for usage in digest.teams)
            sent += 9 * (100 + 16 * len(digest.teams))
    assert sent / 20.0 <= 2750 and len(reported) == 250
