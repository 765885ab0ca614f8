"""The choice of a worker and the admission of a job, without messages."""

from random import Random

import pytest

from turmericknot.model.description import Experiment, Kind, Variant
from turmericknot.model.play import play_run
from turmericknot.scheduling import admission, placement, worker_standing, workers
from turmericknot.scheduling.estimates import create_run_times
from turmericknot.scheduling.jobs import StepSpec, create_job
from turmericknot.scheduling.waiting import create_waiting_jobs
from turmericknot.wire.shard_messages import WorkerReport

from .site import create_job_record

NOW = 100.0


def create_view(name, cpu=4000, service="s", labels=("a", "r1-1")):
    view = workers.AgentView(name)
    view.worker = WorkerReport("l", service, True, cpu, 32768, 0, list(labels))
    view.is_connected = True
    view.last_request_at = NOW
    return view


def create_task(priority=1, **step):
    spec = StepSpec(count=2, **{"cpu": 1000, "memory": 64, **step})
    job = create_job("j", 0, create_job_record(steps=[spec], priority=priority), NOW)
    return job.tasks[0][0]


def choose(views, task):
    chosen = placement.choose_agent(views, task, NOW)
    return chosen and chosen.id


def test_only_workers_of_the_service():
    """A task must not run on a worker of a service other than its queue's."""
    assert choose([create_view("a", service="t")], create_task()) is None


def test_only_workers_with_the_label():
    """A task that requires a label must wait for a worker that has it."""
    views = [create_view("a"), create_view("b", labels=("b",))]
    assert choose(views, create_task(required_label="b")) == "b"
    assert choose(views[:1], create_task(required_label="b")) is None


def test_no_more_tasks_of_a_step_on_a_worker_than_allowed():
    """A step may limit the number of its tasks on one worker."""
    views = [create_view("a")]
    task = create_task(max_per_worker=1)
    workers.reserve_capacity(views[0], task.job.tasks[0][1])
    assert choose(views, task) is None


def test_urgent_task_waits_at_the_worker_with_the_shortest_queue():
    """Otherwise all owners would queue their urgent tasks at the fastest workers."""
    fast, slow = create_view("fast", cpu=10_000), create_view("slow", cpu=10_000)
    fast.slowdown, slow.slowdown = 0.8, 1.2
    fast.foreign_cpu, slow.foreign_cpu = 11_000, 10_000
    assert choose([fast, slow], create_task(priority=0)) == "fast"
    fast.foreign_cpu, slow.foreign_cpu = 11_000, 9_500
    slow.slowdown = 0.9
    assert choose([fast, slow], create_task(priority=0)) == "slow"


def test_rack_of_the_data_is_preferred():
    """On another rack than its data, a task takes several times as long."""
    views = [create_view("a"), create_view("b", labels=("a", "r2-1"))]
    assert choose(views, create_task(data_rack="r2-1")) == "b"


def test_slow_worker_is_chosen_last():
    """A worker that has become slow must get no tasks while others have capacity."""
    views = [create_view("a"), create_view("b")]
    worker_standing.observe_pace(views[0], 0.2)
    workers.reserve_capacity(views[1], create_task())
    assert choose(views, create_task()) == "b"


def test_capacity_used_by_other_owners_is_not_available():
    """Several entries share a worker, so each has to count the others' runs."""
    view = create_view("a", cpu=2000)
    view.foreign_cpu = 1500
    assert choose([view], create_task()) is None


def test_urgent_task_waits_at_a_full_worker():
    """At peak load, urgent tasks must get the next free capacity before all others."""
    view = create_view("a", cpu=6000)
    view.foreign_cpu = 6000
    assert choose([view], create_task(priority=1)) is None
    assert choose([view], create_task(priority=0)) == "a"
    free = create_view("b", cpu=6000)
    free.foreign_cpu = 4000
    assert choose([view, free], create_task(priority=0)) == "b"


def test_many_workers_are_sampled():
    """Comparing hundreds of workers for each task would overload one processor."""
    views = [create_view(f"w{number}", cpu=1000) for number in range(300)]
    for view in views[:-1]:
        view.foreign_cpu = 1000
    chosen = placement.choose_agent_from_sample(views, create_task(), NOW, Random(5))
    assert chosen is views[-1]  # the only one with capacity, although not in the sample
    views = [create_view(f"w{number}") for number in range(300)]
    chosen = [
        placement.choose_agent_from_sample(views, create_task(), NOW, Random(seed)).id
        for seed in range(20)
    ]
    assert len(set(chosen)) > 10


def test_entry_that_has_just_started_does_not_refuse():
    """A new entry knows few workers yet and would refuse jobs that can be served."""
    from turmericknot.scheduling import besteffort, owner as decisions

    owner = decisions.create_owner(now=NOW)
    shard = besteffort.open_best_effort_shard(owner, 1)
    owner.backlog.add(0, 1e6)
    for now, waiter in ((NOW + 1, "early"), (NOW + 4, "later")):
        besteffort.run_job(
            owner, shard, waiter, create_job_record(), waiter, now + 9, now
        )
    answers = [c.waiter for c in owner.pop_commands() if hasattr(c, "waiter")]
    assert answers == ["later"]


def test_worker_that_fails_everything_is_suspended():
    """Consecutive failures of several jobs must suspend a worker.

    Failures of a single job are the job's fault and must not.
    """
    view = create_view("a")
    for _ in range(6):
        assert not worker_standing.observe_failure(view, "poison", NOW)
    assert worker_standing.observe_failure(view, "other", NOW)
    assert not workers.is_usable(view, NOW)
    later = NOW + worker_standing.MIN_SUSPENSION_S
    view.last_request_at = later
    assert workers.is_usable(view, later)
    workers.reserve_capacity(view, create_task())
    assert not workers.is_usable(view, later)  # one task at a time probes it
    worker_standing.observe_success(view, 1.0)
    assert workers.is_usable(view, later)


@pytest.mark.parametrize(("waiting", "refused"), [(0.0, False), (1000.0, True)])
def test_job_that_comes_too_late_is_refused_at_once(waiting, refused):
    """A caller must not wait for an answer that comes too late to be useful."""
    backlog = admission.Backlog()
    backlog.add(0, waiting)
    work = backlog.core_seconds_before(0)
    delay = admission.refusal_delay_s(
        work, create_run_times(), create_job_record(), 100.0
    )
    assert bool(delay) == refused
    assert delay <= admission.RETRY_MAX_S


def test_work_of_lower_priority_does_not_count():
    """Urgent jobs are served first, so work of lower priority must not refuse them."""
    backlog = admission.Backlog()
    backlog.add(2, 1e6)
    times = create_run_times()
    for priority, is_refused in ((1, False), (2, True)):
        work = backlog.core_seconds_before(priority)
        job_record = create_job_record(priority=priority)
        delay = admission.refusal_delay_s(work, times, job_record, 100.0)
        assert bool(delay) == is_refused


def test_declared_run_times_are_corrected():
    """Declared estimates are often wrong by a large factor."""
    times = create_run_times()
    spec = StepSpec(count=1, estimate=0.1)
    for _ in range(200):
        times.observe("q", spec, 0.2)
    assert times.expected_run_s("q", spec) == pytest.approx(0.2, rel=0.1)


def waiting_job(name, due_at, priority=1):
    job = create_job(name, 0, create_job_record(tasks=1, priority=priority), NOW)
    job.is_stored = True
    job.due_at = due_at
    return job


def test_late_jobs_are_served_after_those_in_time():
    """Late jobs must not delay those that can still be in time.

    Under overload, the order of due times alone would make every job late.
    """
    waiting = create_waiting_jobs()
    jobs = [waiting_job(f"j{n}", NOW + n) for n in range(3)]
    urgent = waiting_job("u", NOW + 9, priority=0)
    for job in (*jobs, urgent):
        waiting.add(job.tasks[0][0])
    waiting.demote(jobs[0])
    assert [job.id for job in waiting.jobs()] == ["u", "j1", "j2", "j0"]
    assert waiting.is_late(jobs[0])
    waiting.remove(jobs[0].tasks[0][0])
    waiting.add(jobs[0].tasks[0][0])  # as after a failed run
    assert [job.id for job in waiting.jobs()] == ["u", "j1", "j2", "j0"]


def test_some_callers_are_answered_in_time_under_overload(create_site):
    """Replays a burst of twice the capacity; 40 percent of the jobs must be in time.

    Under overload, late jobs must not make all others late as well.
    """
    site = create_site(agents=1, cpu=1000)
    entry = site.entries["entry-0"]
    agent = site.agents["agent-0"]
    answered_at = {}
    submitted_at = {}
    for tick in range(400):
        if tick % 5 == 0 and tick < 200:
            name = f"{tick:016x}"
            submitted_at[name] = site.now
            job_record = create_job_record(tasks=1, estimate=0.5, objective=0.2)
            entry.submit_best_effort(name, site.now, name, job_record, wait=60.0)
        for run, since in list(agent.worker.running.items()):
            if site.now - since >= 0.5:
                agent.worker.end_run(run)
        site.advance(0.05)
        for waiter, _ in entry.answers:
            answered_at.setdefault(waiter, site.now)
    in_time = [
        name for name in answered_at if answered_at[name] - submitted_at[name] <= 1.15
    ]
    assert len(in_time) >= 0.4 * len(submitted_at)


def test_capacity_that_shrinks_and_grows_while_it_is_used(create_site):
    """Runs that no longer fit go on; two owners do not both fill what comes back."""
    site = create_site(entries=2, agents=1)
    (agent,), entries = site.agents.values(), list(site.entries.values())

    def submit(entry, job, tasks):
        record = create_job_record(tasks, estimate=5.0, objective=20.0)
        entry.submit_best_effort(job, site.now, job, record, wait=60.0)
        site.deliver_all()

    def resize(cpu):
        agent.cpu = cpu
        agent.report(site.now)
        site.send_worker_report(agent)
        site.advance(0.1)

    submit(entries[0], "00000000000000a1", 4)
    resize(2000)
    assert [entry.owner.free_cores for entry in entries] == [2.0, 2.0]
    for number, entry in enumerate(entries):
        submit(entry, f"00000000000000b{number}", 3)
    site.advance(0.5)
    assert len(agent.worker.started) == 4
    resize(6000)
    site.advance(0.5)
    assert (len(agent.worker.running), len(agent.worker.started)) == (6, 6)
    assert agent.stop_calls == []


def test_full_worker_near_the_data_may_end_a_task_sooner():
    """A free worker far away must not win when the wait for a near one is short."""
    near, far = create_view("near", 10_000), create_view("far", 10_000, labels=("a",))
    near.foreign_cpu = 10_000
    task = create_task(priority=0, data_rack="r1-1", estimate=0.1)
    for far_factor, expected in ((1.0, "far"), (1.25, "far"), (2.0, "near")):
        terms = placement.Terms(0.1, far_factor, drain_s=0.3)
        chosen = placement.choose_agent([near, far], task, NOW, terms=terms)
        assert chosen.id == expected


@pytest.mark.parametrize(
    ("due_in_s", "is_late", "expected"),
    [(9.0, False, "slow"), (0.4, False, "fast"), (-1.0, True, "slow")],
)
def test_jobs_with_slack_and_late_jobs_leave_fast_workers(due_in_s, is_late, expected):
    """Tight jobs cannot use slow workers; a worker out of order is no such worker."""
    views = [create_view("fast"), create_view("slow"), create_view("broken")]
    for view, slowdown in zip(views, (0.8, 1.8, 3.5), strict=True):
        view.slowdown = slowdown
    terms = placement.Terms(0.3, latest_end=NOW + due_in_s, is_late=is_late)
    assert placement.choose_agent(views, create_task(), NOW, terms=terms).id == expected


def test_workers_of_racks_in_demand_are_left_to_tasks_with_data_there():
    """They are, as long as that costs the other tasks no time."""
    hot, cold = create_view("hot"), create_view("cold", labels=("r2-1",))
    cold.foreign_cpu = 2000
    terms = placement.Terms(0.3, demand={"r1-1": 4})
    for slowdown, expected in ((1.0, cold), (1.5, hot)):
        cold.slowdown = slowdown
        task = create_task()
        assert placement.choose_agent([hot, cold], task, NOW, terms=terms) is expected


def former_choice(agents, task):
    """Return the agent by the rank that knew neither distance nor due times."""
    best = best_score = None
    overcommit = workers.URGENT_OVERCOMMIT_SHARE if not task.job.record.priority else 0
    for agent in agents:
        if not placement.is_candidate(agent, task, NOW, overcommit):
            continue
        is_full = bool(overcommit) and not workers.has_capacity(agent, task.spec)
        usage = (agent.used_cpu + agent.foreign_cpu) / agent.worker.cpu
        score = (is_full, 0 if is_full else 4, usage)
        if best is None or score < best_score:
            best, best_score = agent, score
    return best


def test_choice_is_unchanged_without_data_and_with_equal_workers():
    """Replays random starts and ends; guards sites without distance or slow workers."""
    rng = Random(7)
    views = [create_view(f"w{number}", cpu=8000) for number in range(20)]
    for _ in range(3000):
        task = create_task(priority=rng.randrange(3), cpu=rng.choice((1000, 1600)))
        terms = placement.Terms(0.2, 1.0, NOW + rng.uniform(-1, 9), rng.random() < 0.1)
        chosen = placement.choose_agent(views, task, NOW, terms=terms)
        assert chosen is former_choice(views, task)
        if chosen is not None and rng.random() < 0.9:
            chosen.foreign_cpu += task.spec.cpu
        view = rng.choice(views)
        view.foreign_cpu = max(0, view.foreign_cpu - rng.randrange(2000))


def test_last_end_leaves_time_for_the_steps_behind():
    steps = [
        StepSpec(count=1, estimate=estimate, after=after)
        for estimate, after in ((0.1, ()), (0.2, (0,)), (0.4, (0,)), (0.8, (1,)))
    ]
    job = create_job("j", 0, create_job_record(steps=steps), NOW)
    ends = [placement.latest_end(create_run_times(), job, n) - NOW for n in range(4)]
    assert ends == pytest.approx([-1.0, -0.8, 0.0, 0.0])


@pytest.mark.parametrize(
    ("load", "least_gain", "seeds"),
    [(0.6, 0, (1, 2)), (0.85, 0.02, (1, 2)), (1.0, 0, (1, 2)), (1.0, 0, (3,))],
)
def test_tight_jobs_find_fast_workers(load, least_gain, seeds):
    """Replays tight and loose jobs on workers of speeds 1 : 3.

    With the fast workers first for all jobs, tight ones get what is left. Below, the
    fast workers have room for all; at full load, there is little choice.
    """
    tight = Kind("tight", 53 * load, 2, 1000, 0.5, priority=1, spread=0.1)
    loose = Kind("loose", 24 * load, 2, 1000, 1.5, priority=1, spread=0.1)
    loose.objective_s = 6.0
    experiment = Experiment(2, 12, 10_000, [tight, loose], duration_s=12.0)
    experiment.worker_speeds = (0.55, 1.2, 1.2, 1.2)
    fast_first = Variant("fast first", {"placement.MAX_USEFUL_SLOWDOWN": 0.0})
    shares = [
        [
            play_run(experiment, variant, seed)["kinds"]["tight"]["in_time"]
            for seed in seeds
        ]
        for variant in (Variant("as is"), fast_first)
    ]
    assert sum(shares[0]) > sum(shares[1]) + least_gain * len(seeds)
