"""Benchmark cases: each measures a running federation and returns named figures."""

import time

from tools.bench import measures, workloads
from turmericknot.load import player, report, trace as traces
from turmericknot.management.commands import config

SETTLE_DELAY_S = 1.0
CONFIGURATION_CHANGES = 10


class WorkloadRun:
    """A workload sent to the entries, with its outcomes and ideal response times.

    Raises RuntimeError if an answer is wrong.
    """

    __slots__ = ("trace", "outcomes", "ideal_times_s")

    def __init__(self, fed, workload, name, on_second=None):
        self.trace = traces.generate_trace(workload, f"{name}-{time.time_ns()}")
        self.ideal_times_s = traces.ideal_response_times(self.trace)
        self.outcomes = player.play_trace(self.trace, fed.entry_url_list, on_second)
        invalid = [o for o in self.outcomes if o.fault or o.status == "error"]
        if invalid:
            raise RuntimeError(f"{name}: incorrect answers: {invalid[:3]}")
        time.sleep(SETTLE_DELAY_S)

    @property
    def task_count(self):
        """Return the number of tasks of the trace."""
        return sum(len(job.run_ms) for job in self.trace.jobs)


def measure_steady_load(fed, seed, duration_s):
    """Measure response relative to ideal, and messages per task, at 70% load."""
    before = measures.total_traffic(fed)
    run = WorkloadRun(fed, workloads.steady_workload(seed, duration_s), "steady")
    sent = measures.counter_increase(measures.total_traffic(fed), before)
    ratios = measures.response_ratios(run.trace, run.outcomes, run.ideal_times_s)
    return {
        "response_ratio_p50": report.percentile(ratios, 0.50),
        "response_ratio_p99": report.percentile(ratios, 0.99),
        "messages_per_task": sent["frames"] / run.task_count,
        "frames_per_task": sent["messages"] / run.task_count,
        "wasted_message_share": 1.0 - sent["useful"] / sent["messages"],
    }


def measure_short_with_long(fed, seed, duration_s):
    """Measure how much long jobs slow down short ones.

    The figures are the p99 response of short jobs beside long ones, with accurate and
    with wrong declared sizes, relative to that of the short jobs alone.
    """
    p99_s = {}
    for name, workload in (
        ("alone", workloads.short_workload(seed, duration_s)),
        ("long", workloads.short_and_long_workload(seed, duration_s)),
        ("wrong", workloads.short_and_long_workload(seed, duration_s, wrong_share=0.5)),
    ):
        run = WorkloadRun(fed, workload, f"short-{name}")
        values = measures.response_times(run.trace, run.outcomes, "availability")
        p99_s[name] = report.percentile(values, 0.99)
        wait_until_idle(fed)
    return {
        "short_p99_with_long": p99_s["long"] / p99_s["alone"],
        "short_p99_wrong_sizes": p99_s["wrong"] / p99_s["alone"],
    }


def measure_load_swing(fed, seed, before_s, swing_s, after_s):
    """Measure goodput, recovery and refusals for a swing to three times capacity."""
    run = WorkloadRun(
        fed, workloads.swing_workload(seed, before_s, swing_s, after_s), "swing"
    )
    end_s = before_s + swing_s
    steady_response_s = [
        o.response_s
        for job, o in zip(run.trace.jobs, run.outcomes, strict=True)
        if job.at_s < before_s - 1.0 and o.status == "complete"
    ]
    refused_response_s = [o.response_s for o in run.outcomes if o.status == "not_run"]
    figures = {
        # The queues fill during the first second, which is left out.
        "burst_goodput": measures.goodput(
            run.trace, run.outcomes, before_s + 1.0, end_s
        ),
    }
    recovery_s = measures.recovery_time_s(
        run.trace, run.outcomes, end_s, report.percentile(steady_response_s, 0.99)
    )
    if recovery_s < float("inf"):
        figures["burst_recovery_s"] = recovery_s
    else:
        print(f"    swing: no recovery within {after_s:.0f} s", flush=True)
    if refused_response_s:
        figures["burst_reject_ms_p99"] = (
            report.percentile(refused_response_s, 0.99) * 1e3
        )
    return figures


def measure_flooding_team(fed, seed, duration_s):
    """Measure the share served to a team within its allowance during a flood.

    The other team submits more work than the federation has capacity for.
    """
    busy_samples = {}

    def on_second(second):
        if second in (2.0, duration_s - 1.0):
            busy_samples[second] = (time.monotonic(), measures.total_busy_ms(fed))

    run = WorkloadRun(
        fed, workloads.flood_workload(seed, duration_s), "flood", on_second
    )
    ideal_alone_s = [
        max(job.run_ms) / 1000.0 if job.team == "carts" else 0.0
        for job in run.trace.jobs
    ]
    served_and_due = measures.served_and_due_per_second(
        run.trace, run.outcomes, ideal_alone_s, "carts"
    )
    served_shares = [served / due for served, due in served_and_due[2:-1] if due]
    (start, start_ms), (end, end_ms) = (
        busy_samples[sample_s] for sample_s in sorted(busy_samples)
    )
    used_share = (end_ms - start_ms) / 1000.0 / (workloads.SLOTS * (end - start))
    return {
        "fair_min_share": min(served_shares),
        "unused_share": max(0.0, 1.0 - used_share),
    }


def measure_faulty_worker(fed, seed, duration_s):
    """Measure the share of tasks lost while one worker fails every task it starts."""
    workload = workloads.short_workload(seed, duration_s)
    workload.load = 0.7
    fed.configure_target("w1", fail=True)
    try:
        run = WorkloadRun(fed, workload, "faulty")
    finally:
        fed.configure_target("w1", fail=False)
    failed = sum(o.reason == "task_failed" for o in run.outcomes)
    return {"faulty_worker_loss": failed / run.task_count}


def measure_process_kill(fed, seed, name, figure_name):
    """Measure goodput in the 5 s after a SIGKILL relative to that before it."""
    kill_at_s = 6.0

    def on_second(second):
        if second == kill_at_s:
            fed.kill(name)

    workload = workloads.steady_workload(seed, kill_at_s + 7.0)
    run = WorkloadRun(fed, workload, f"kill-{name}", on_second)
    # Each goodput is relative to the work of the ideal queue in the same interval,
    # because arrivals alone differ by 10% between two intervals of 5 s.
    before = measures.goodput_over_ideal(run, 1.0, kill_at_s)
    after = measures.goodput_over_ideal(run, kill_at_s, kill_at_s + 5.0)
    fed.start(name)
    fed.wait_until(lambda: _all_agents_usable(fed), f"{name} is usable again", 40.0)
    return {figure_name: after / before}


def measure_cpu_per_task(fed, seed, duration_s):
    """Measure CPU time per task of entries and agents for jobs of 100 or more tasks."""
    entries = measures.running_pids(fed, fed.entry_urls)
    agents = measures.running_pids(fed, fed.agent_urls)
    before = [sum(map(measures.cpu_seconds, pids)) for pids in (entries, agents)]
    run = WorkloadRun(fed, workloads.large_job_workload(seed, duration_s), "cost")
    after = [sum(map(measures.cpu_seconds, pids)) for pids in (entries, agents)]
    entry_s, agent_s = (b - a for a, b in zip(before, after, strict=True))
    return {
        "entry_cpu_us_per_task": entry_s / run.task_count * 1e6,
        "agent_cpu_us_per_task": agent_s / run.task_count * 1e6,
    }


def measure_configuration_delay(fed):
    """Measure the time from publishing a change until every process applies it."""
    tree = fed.directory / "federation"
    delays_s = []
    for number in range(CONFIGURATION_CHANGES):
        path = tree / "teams" / "carts.toml"
        path.write_text(
            f"allowance = {workloads.SLOTS}\nweight = {1.5 + number / 10}\n"
        )
        version = fed.status("e1")["config_version"]
        started_at = time.monotonic()
        result = config.publish(str(tree), fed.log_url)
        if result.code:
            raise RuntimeError(f"publish failed: {result.text}")
        fed.wait_until(
            lambda v=version: _newer_version_in_force(fed, v),
            "the configuration is in force",
            10.0,
        )
        delays_s.append(time.monotonic() - started_at)
    return {"config_in_force_s_p99": report.percentile(delays_s, 0.99)}


def measure_leaving_target(fed, seed):
    """Measure how long tasks still start on a target that announced leaving."""
    leave_times = {}

    def on_second(second):
        if second == 2.0:
            leave_times["at"] = time.time()
            fed.call("POST", f"{fed.target_urls['w2']}/control/leave", {})

    WorkloadRun(fed, workloads.steady_workload(seed, 7.0), "leave", on_second)
    _, target_state = fed.call("GET", f"{fed.target_urls['w2']}/control/starts")
    fed.kill("w2")
    fed.start("w2")
    fed.wait_until(lambda: _all_agents_usable(fed), "the target is usable again", 40.0)
    return {
        "drain_last_start_s": max(0.0, target_state["last_start"] - leave_times["at"])
    }


def measure_silent_agents(fed):
    """Measure the time from pausing an agent until no entry considers it usable."""
    delays_s = []
    for name in ("a3", "a4", "a5"):
        started_at = time.monotonic()
        fed.pause(name)
        try:
            fed.wait_until(
                lambda n=name: not _is_agent_usable(fed, n), f"{name} is unusable", 10.0
            )
            delays_s.append(time.monotonic() - started_at)
        finally:
            fed.resume(name)
    fed.wait_until(lambda: _all_agents_usable(fed), "all agents are usable again", 60.0)
    return {"dead_agent_out_s_p99": max(delays_s)}


def wait_until_idle(fed, timeout_s=40.0):
    """Wait until no entry has an active job, so that cases do not affect each other."""
    fed.wait_until(
        lambda: not any(fed.status(name)["active_jobs"] for name in fed.entry_urls),
        "no job is active",
        timeout_s,
    )


def _newer_version_in_force(fed, previous_version):
    statuses = [fed.status(name) for name in fed.entry_urls]
    versions = {s["config_version"] for s in statuses}
    versions |= {s["agents_config_min"] for s in statuses}
    return len(versions) == 1 and versions.pop() > previous_version


def _is_agent_usable(fed, agent_id):
    return any(
        agent["agent_id"] == agent_id and agent["usable"]
        for name in fed.entry_urls
        for agent in fed.status(name)["agents"]
    )


def _all_agents_usable(fed):
    return all(
        sum(agent["usable"] for agent in fed.status(name)["agents"])
        == len(fed.agent_urls)
        for name in fed.entry_urls
    )
