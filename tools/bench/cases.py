"""Cases of the bench; each takes a running federation and returns figures."""

import time

from tools.bench import measures, workloads
from turmericknot.load import player, report, trace as traces
from turmericknot.management.commands import config

SETTLE_S = 1.0
CHANGES = 10


class Play:
    """A played workload with its outcomes and its ideal."""

    __slots__ = ("trace", "outcomes", "ideal")

    def __init__(self, fed, workload, name, on_second=None):
        self.trace = traces.generate(workload, f"{name}-{time.time_ns()}")
        self.ideal = traces.ideal_responses(self.trace)
        self.outcomes = player.play(self.trace, fed.entry_url_list, on_second)
        wrong = [o for o in self.outcomes if o.fault or o.status == "error"]
        if wrong:
            raise RuntimeError(f"{name}: wrong answers: {wrong[:3]}")
        time.sleep(SETTLE_S)

    @property
    def tasks(self):
        """Return the number of tasks of the trace."""
        return sum(len(job.run_ms) for job in self.trace.jobs)


def steady(fed, seed, duration_s):
    """Response over ideal and messages at 70% load."""
    before = measures.traffic(fed)
    play = Play(fed, workloads.steady(seed, duration_s), "steady")
    sent = measures.difference(measures.traffic(fed), before)
    ratios = measures.response_ratios(play.trace, play.outcomes, play.ideal)
    return {
        "response_ratio_p50": report.percentile(ratios, 0.50),
        "response_ratio_p99": report.percentile(ratios, 0.99),
        "messages_per_task": sent["frames"] / play.tasks,
        "frames_per_task": sent["messages"] / play.tasks,
        "wasted_message_share": 1.0 - sent["useful"] / sent["messages"],
    }


def short_and_long(fed, seed, duration_s):
    """Short work with long work besides, over short work alone."""
    p99 = {}
    for name, workload in (
        ("alone", workloads.short_alone(seed, duration_s)),
        ("long", workloads.short_with_long(seed, duration_s)),
        ("wrong", workloads.short_with_long(seed, duration_s, wrong_share=0.5)),
    ):
        play = Play(fed, workload, f"short-{name}")
        values = measures.responses(play.trace, play.outcomes, "availability")
        p99[name] = report.percentile(values, 0.99)
        drain(fed)
    return {
        "short_p99_with_long": p99["long"] / p99["alone"],
        "short_p99_wrong_sizes": p99["wrong"] / p99["alone"],
    }


def swing(fed, seed, before_s, swing_s, after_s):
    """A swing to three times capacity."""
    play = Play(fed, workloads.swing(seed, before_s, swing_s, after_s), "swing")
    end_s = before_s + swing_s
    steady_s = [
        o.response_s
        for job, o in zip(play.trace.jobs, play.outcomes, strict=True)
        if job.at_s < before_s - 1.0 and o.status == "complete"
    ]
    refused = [o.response_s for o in play.outcomes if o.status == "not_run"]
    figures = {
        # The first second fills the queues.
        "burst_goodput": measures.goodput(
            play.trace, play.outcomes, before_s + 1.0, end_s
        ),
    }
    recovery_s = measures.recovery_s(
        play.trace, play.outcomes, end_s, report.percentile(steady_s, 0.99)
    )
    if recovery_s < float("inf"):
        figures["burst_recovery_s"] = recovery_s
    else:
        print(f"    swing: no recovery within {after_s:.0f} s", flush=True)
    if refused:
        figures["burst_reject_ms_p99"] = report.percentile(refused, 0.99) * 1e3
    return figures


def flood(fed, seed, duration_s):
    """A team inside its allowance while another floods."""
    busy = {}

    def on_second(second):
        if second in (2.0, duration_s - 1.0):
            busy[second] = (time.monotonic(), measures.busy_ms(fed))

    play = Play(fed, workloads.flood(seed, duration_s), "flood", on_second)
    alone = [
        max(job.run_ms) / 1000.0 if job.team == "carts" else 0.0
        for job in play.trace.jobs
    ]
    seconds = measures.served_per_second(play.trace, play.outcomes, alone, "carts")
    shares = [served / due for served, due in seconds[2:-1] if due]
    (start, start_ms), (end, end_ms) = (busy[key] for key in sorted(busy))
    used = (end_ms - start_ms) / 1000.0 / (workloads.SLOTS * (end - start))
    return {"fair_min_share": min(shares), "unused_share": max(0.0, 1.0 - used)}


def faulty_worker(fed, seed, duration_s):
    """One worker fails all that it starts."""
    workload = workloads.short_alone(seed, duration_s)
    workload.load = 0.7
    fed.configure_target("w1", fail=True)
    try:
        play = Play(fed, workload, "faulty")
    finally:
        fed.configure_target("w1", fail=False)
    failed = sum(o.reason == "task_failed" for o in play.outcomes)
    return {"faulty_worker_loss": failed / play.tasks}


def kill(fed, seed, name, key):
    """Goodput in the 5 s after a kill -9 over that before."""
    kill_at_s = 6.0

    def on_second(second):
        if second == kill_at_s:
            fed.kill(name)

    workload = workloads.steady(seed, kill_at_s + 7.0)
    play = Play(fed, workload, f"kill-{name}", on_second)
    # Each over the work that the ideal does in the same span: arrivals alone differ
    # by a tenth between two spans of five seconds.
    before = measures.goodput_over_ideal(play, 1.0, kill_at_s)
    after = measures.goodput_over_ideal(play, kill_at_s, kill_at_s + 5.0)
    fed.start(name)
    fed.wait_until(lambda: _all_usable(fed), f"{name} is back", 40.0)
    return {key: after / before}


def cost_of_a_task(fed, seed, duration_s):
    """Processor time per task in jobs of 100 tasks and more."""
    entries = measures.role_pids(fed, fed.entry_urls)
    agents = measures.role_pids(fed, fed.agent_urls)
    before = [sum(map(measures.cpu_seconds, pids)) for pids in (entries, agents)]
    play = Play(fed, workloads.large_jobs(seed, duration_s), "cost")
    after = [sum(map(measures.cpu_seconds, pids)) for pids in (entries, agents)]
    entry_s, agent_s = (b - a for a, b in zip(before, after, strict=True))
    return {
        "entry_cpu_us_per_task": entry_s / play.tasks * 1e6,
        "agent_cpu_us_per_task": agent_s / play.tasks * 1e6,
    }


def configuration(fed):
    """Time from the call of publish until every process has the version."""
    tree = fed.directory / "federation"
    times = []
    for number in range(CHANGES):
        path = tree / "teams" / "carts.toml"
        path.write_text(
            f"allowance = {workloads.SLOTS}\nweight = {1.5 + number / 10}\n"
        )
        version = fed.status("e1")["config_version"]
        started = time.monotonic()
        result = config.publish(str(tree), fed.log_url)
        if result.code:
            raise RuntimeError(f"publish failed: {result.text}")
        fed.wait_until(lambda v=version: _in_force(fed, v), "in force", 10.0)
        times.append(time.monotonic() - started)
    return {"config_in_force_s_p99": report.percentile(times, 0.99)}


def leaving_target(fed, seed):
    """Last start on a target after it announced that it leaves."""
    left = {}

    def on_second(second):
        if second == 2.0:
            left["at"] = time.time()
            fed.call("POST", f"{fed.target_urls['w2']}/control/leave", {})

    Play(fed, workloads.steady(seed, 7.0), "leave", on_second)
    _, state = fed.call("GET", f"{fed.target_urls['w2']}/control/starts")
    fed.kill("w2")
    fed.start("w2")
    fed.wait_until(lambda: _all_usable(fed), "the target is back", 40.0)
    return {"drain_last_start_s": max(0.0, state["last_start"] - left["at"])}


def silent_agents(fed):
    """Time from the pause of an agent until no entry gives it work."""
    times = []
    for name in ("a3", "a4", "a5"):
        started = time.monotonic()
        fed.pause(name)
        try:
            fed.wait_until(lambda n=name: not _usable(fed, n), f"{name} is out", 10.0)
            times.append(time.monotonic() - started)
        finally:
            fed.resume(name)
    fed.wait_until(lambda: _all_usable(fed), "all agents are back", 60.0)
    return {"dead_agent_out_s_p99": max(times)}


def drain(fed, timeout_s=40.0):
    """Wait until no entry has an active job, so that cases do not mix."""
    fed.wait_until(
        lambda: not any(fed.status(name)["active_jobs"] for name in fed.entry_urls),
        "no job is active",
        timeout_s,
    )


def _in_force(fed, former):
    found = [fed.status(name) for name in fed.entry_urls]
    versions = {s["config_version"] for s in found}
    versions |= {s["agents_config_min"] for s in found}
    return len(versions) == 1 and versions.pop() > former


def _usable(fed, agent_id):
    return any(
        agent["agent_id"] == agent_id and agent["usable"]
        for name in fed.entry_urls
        for agent in fed.status(name)["agents"]
    )


def _all_usable(fed):
    return all(
        sum(agent["usable"] for agent in fed.status(name)["agents"])
        == len(fed.agent_urls)
        for name in fed.entry_urls
    )
