"""Workloads for the discrete-event driver and the figures computed from them."""

from tests.dispatch.driver import Driver
from turmericknot.load.report import percentile
from turmericknot.load.trace import generate_trace, ideal_response_times
from turmericknot.load.workload import Distribution, Stream, Swing, Workload

SLOTS = 80
SHORT_RUN_MS = Distribution("uniform", 50.0, 500.0)
LONG_RUN_MS = Distribution("uniform", 1000.0, 10000.0)
MIXED_RUN_MS = Distribution("lognormal", 50.0, 1000.0, 200.0, 0.8)
JOB_TASKS = Distribution("lognormal", 1.0, 60.0, 4.0, 1.0)
SWING_INTERVAL_S = (5.0, 15.0)


def _stream(team="red", task_class="check", **fields):
    values = {
        "job_tasks": JOB_TASKS,
        "run_ms": MIXED_RUN_MS,
        "deadline_s": 60.0,
        **fields,
    }
    return Stream(team, task_class, **values)


def _trace(streams, seed, load=0.7, duration_s=20.0, **fields):
    workload = Workload(
        streams, seed=seed, duration_s=duration_s, slots=SLOTS, load=load, **fields
    )
    return generate_trace(workload, "driver")


def _responses(driver, task_class=None):
    return [
        (outcome.ended_at - outcome.arrived_at, number)
        for number, outcome in enumerate(driver.outcomes)
        if outcome.status == "complete"
        and task_class in (None, driver.trace.jobs[number].task_class)
    ]


def response_ratio(policy, seed):
    """Response time relative to an ideal central queue at 70% load."""
    trace = _trace([_stream("red"), _stream("blue", "reserve")], seed)
    driver = Driver(trace, policy, seed=seed).run()
    ideal = ideal_response_times(trace)
    ratios = [response / ideal[number] for response, number in _responses(driver)]
    return {
        "response_ratio_p50": percentile(ratios, 0.5),
        "response_ratio_p99": percentile(ratios, 0.99),
        "messages_per_task": driver.messages / len(driver.runs),
    }


def _short_p99(policy, seed, with_long, wrong_share):
    # The short jobs are the same in all cases and use 34% of the capacity; the 5% of
    # the tasks that are 20 times longer raise the load to 70%.
    streams = [_stream(run_ms=SHORT_RUN_MS, wrong_share=wrong_share)]
    if with_long:
        fields = {"jobs_per_s": 0.05 / 0.95, "wrong_share": wrong_share}
        streams.append(_stream("red", "match", run_ms=LONG_RUN_MS, **fields))
    load = 0.7 if with_long else 0.7 * 0.95 / 1.95
    driver = Driver(_trace(streams, seed, load=load), policy, seed=seed).run()
    return percentile([r for r, _ in _responses(driver, "check")], 0.99)


def head_of_line(policy, seed):
    """Response time of short tasks beside 5% of tasks that are 20 times longer."""
    baseline_p99 = _short_p99(policy, seed, False, 0.0)
    return {
        "short_p99_with_long": _short_p99(policy, seed, True, 0.0) / baseline_p99,
        "short_p99_wrong_sizes": _short_p99(policy, seed, True, 0.5) / baseline_p99,
    }


def burst(policy, seed):
    """Load of 3 times the capacity for 10 s, with deadlines of 2 s."""
    start, end = SWING_INTERVAL_S
    swing = Swing(start, end - start, 3.0 / 0.7)
    streams = [
        _stream(team, deadline_s=2.0, run_ms=MIXED_RUN_MS, wrong_share=0.2)
        for team in ("red", "blue")
    ]
    trace = _trace(streams, seed, swings=[swing])
    driver = Driver(trace, policy, seed=seed).run()
    useful_s = sum(
        max(0.0, min(run.end, end) - max(run.start, start))
        for run in driver.runs
        if _met_deadline(driver, run.job)
    )
    return {
        "burst_goodput": useful_s / (SLOTS * (end - start)),
        "unused_share": unused_share(driver, start, end),
    }


def _met_deadline(driver, number):
    outcome = driver.outcomes[number]
    late_by = (
        outcome.ended_at - outcome.arrived_at - driver.trace.jobs[number].deadline_s
    )
    return outcome.status == "complete" and late_by <= 0


def unused_share(driver, start, end):
    """Share of the capacity that is idle while admitted tasks are waiting."""
    samples = [s for s in driver.waiting_samples if start <= s.at < end]
    idle = sum(max(0, min(s.waiting, SLOTS - s.running)) for s in samples)
    return idle / (SLOTS * max(1, len(samples)))


def fairness(policy, seed):
    """Two teams with 1.3 times the load of their share beside one with 10 times."""
    share = SLOTS / 3
    streams = [
        _stream("red", jobs_per_s=10.0, deadline_s=1e4),
        _stream("blue", jobs_per_s=1.3, deadline_s=1e4),
        _stream(
            "green",
            "match",
            jobs_per_s=0.13,
            run_ms=Distribution("uniform", 500.0, 5000.0),
            deadline_s=1e4,
        ),
    ]
    load = (10.0 + 1.3 + 1.3) / 3
    driver = Driver(_trace(streams, seed, load=load), policy, seed=seed)
    driver.run(until=20.0)
    min_share = min(
        _share_used(driver, team, second, share)
        for team in ("blue", "green")
        for second in range(3, 19)
    )
    return {
        "fair_min_share": min_share,
        "flood_unused_share": unused_share(driver, 2, 19),
    }


def _share_used(driver, team, second, share):
    """Return the fraction of its share that a team used in one second.

    It is 1 if the team had no backlog at some time in that second.
    """
    samples = [s for s in driver.waiting_samples if second <= s.at < second + 1]
    if any(not s.teams.get(team) for s in samples):
        return 1.0
    used = sum(
        max(0.0, min(run.end, second + 1) - max(run.start, second))
        for run in driver.runs
        if run.team == team
    )
    return used / share


def faulty_worker(policy, seed):
    """One of ten workers fails every task."""
    trace = _trace([_stream("red"), _stream("blue", "reserve")], seed, duration_s=30.0)
    driver = Driver(trace, policy, seed=seed, faulty=(3,)).run()
    failed = sum(run.failed for run in driver.runs)
    return {"faulty_worker_loss": failed / len(driver.runs)}


def straggler(policy, seed):
    """One of ten workers is five times slower."""
    trace = _trace([_stream("red"), _stream("blue", "reserve")], seed, load=0.5)
    driver = Driver(trace, policy, seed=seed, slow={3: 5.0}).run()
    ideal = ideal_response_times(trace)
    ratios = [response / ideal[number] for response, number in _responses(driver)]
    return {"straggler_ratio_p99": percentile(ratios, 0.99)}


def full_size(policy, seed):
    """10 entries, 690 agents and 250 teams at 95% load for 6 s."""
    sizes = Distribution("lognormal", 1.0, 200.0, 10.0, 1.0)
    streams = [_stream(f"team-{number}", job_tasks=sizes) for number in range(250)]
    workload = Workload(streams, seed=seed, duration_s=6.0, slots=5520, load=0.95)
    trace = generate_trace(workload, "driver")
    driver = Driver(trace, policy, entries=10, agents=690, domains=5, seed=seed).run()
    ideal = ideal_response_times(trace)
    ratios = [response / ideal[number] for response, number in _responses(driver)]
    samples = [s for s in driver.waiting_samples if 1.0 <= s.at < 6.0]
    idle = sum(max(0, min(s.waiting, 5520 - s.running)) for s in samples)
    return {
        "full_response_ratio_p99": percentile(ratios, 0.99),
        "full_unused_share": idle / (5520 * len(samples)),
        "full_messages_per_task": driver.messages / len(driver.runs),
    }


WORKLOADS = {
    "response": response_ratio,
    "head_of_line": head_of_line,
    "burst": burst,
    "fairness": fairness,
    "faulty": faulty_worker,
    "straggler": straggler,
    "full_size": full_size,
}
