"""Benchmark figures from processes, traffic counters and job outcomes."""

import os
from pathlib import Path

from turmericknot.load.report import percentile

_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Message types that assign a task or return its result.
USEFUL_MESSAGES = ("Assign", "Results")


def cpu_seconds(pid):
    """Return the CPU time in seconds that a process has used."""
    stat_fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(stat_fields[11]) + int(stat_fields[12])) / _CLOCK_TICKS_PER_S


def rss_mb(pid):
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024.0
    return 0.0


def running_pids(fed, names):
    """Return the process ids of those named processes that are running."""
    return [fed.processes[name].pid for name in names if fed.processes[name].is_running]


def total_traffic(fed):
    """Return the frames, messages, useful messages and bytes of all entries so far.

    Traffic between entries is counted at both ends, so its share is overstated.
    """
    frames = messages = useful = byte_count = 0
    for name in fed.entry_urls:
        traffic_report = fed.status(name)["traffic"]
        for direction in ("sent", "received"):
            counters = traffic_report[direction]
            frames += counters["frames"]
            messages += counters["messages"]
            byte_count += counters["bytes"]
            useful += sum(
                counters["types"].get(kind, {}).get("messages", 0)
                for kind in USEFUL_MESSAGES
            )
    return {
        "frames": frames,
        "messages": messages,
        "useful": useful,
        "bytes": byte_count,
    }


def counter_increase(after, before):
    """Return the increase of each counter."""
    return {key: after[key] - before[key] for key in after}


def response_ratios(trace, outcomes, ideal_times_s, warmup_s=1.0):
    """Return response time relative to ideal of jobs completed after the warm-up."""
    return [
        outcome.response_s / ideal_s
        for job, outcome, ideal_s in zip(
            trace.jobs, outcomes, ideal_times_s, strict=True
        )
        if outcome.status == "complete" and job.at_s >= warmup_s
    ]


def response_times(trace, outcomes, task_class, warmup_s=1.0):
    """Return the response times of a task class in seconds; a failure is infinite."""
    return [
        outcome.response_s if outcome.status == "complete" else float("inf")
        for job, outcome in zip(trace.jobs, outcomes, strict=True)
        if job.task_class == task_class and job.at_s >= warmup_s
    ]


def goodput(trace, outcomes, start_s, end_s, team=None):
    """Return the share of capacity spent on jobs that met their deadline."""
    done_ms = 0.0
    for job, outcome in zip(trace.jobs, outcomes, strict=True):
        if team not in (None, job.team) or outcome.status != "complete":
            continue
        if outcome.response_s <= job.deadline_s:
            done_ms += _job_work_in_interval(job, outcome, start_s, end_s)
    return done_ms / 1000.0 / (trace.slots * (end_s - start_s))


def goodput_over_ideal(run, start_s, end_s):
    """Return the work of jobs that met their deadline, relative to the ideal queue."""
    ideal_ms = sum(
        _work_in_interval(sum(job.run_ms), job.at_s, job.at_s + ideal_s, start_s, end_s)
        for job, ideal_s in zip(run.trace.jobs, run.ideal_times_s, strict=True)
    )
    done = goodput(run.trace, run.outcomes, start_s, end_s)
    return done * run.trace.slots * (end_s - start_s) * 1000.0 / ideal_ms


def total_busy_ms(fed):
    """Return the run time of all ended tasks on all targets in milliseconds."""
    total = 0.0
    for url in fed.target_urls.values():
        total += fed.call("GET", f"{url}/control/starts")[1]["busy_ms"]
    return total


def _job_work_in_interval(job, outcome, start_s, end_s):
    """Return a job's work in an interval, spread evenly over its response time."""
    work_ms = sum(outcome.run_ms)
    return _work_in_interval(work_ms, job.at_s, outcome.finished_at_s, start_s, end_s)


def _work_in_interval(work_ms, work_start_s, work_end_s, start_s, end_s):
    overlap_s = min(work_end_s, end_s) - max(work_start_s, start_s)
    if overlap_s <= 0 or work_end_s <= work_start_s:
        return 0.0
    return work_ms * overlap_s / (work_end_s - work_start_s)


def served_and_due_per_second(trace, outcomes, ideal_times_s, team):
    """Return pairs (served, due) of a team's work in milliseconds for each second.

    ``due`` is the work that completes in that second with the ideal response times.
    """
    seconds = int(trace.duration_s)
    served_ms, due_ms = [0.0] * seconds, [0.0] * seconds
    for job, outcome, ideal_s in zip(trace.jobs, outcomes, ideal_times_s, strict=True):
        if job.team != team:
            continue
        work_ms = sum(job.run_ms)
        _add_to_second(due_ms, job.at_s + ideal_s, work_ms)
        if outcome.status == "complete":
            _add_to_second(served_ms, outcome.finished_at_s, work_ms)
    return list(zip(served_ms, due_ms, strict=True))


def _add_to_second(totals_ms, at_s, work_ms):
    if 0 <= at_s < len(totals_ms):
        totals_ms[int(at_s)] += work_ms


def recovery_time_s(trace, outcomes, swing_end_s, steady_p99_s):
    """Return the seconds after a swing until the p99 response is within 10% again.

    The p99 is taken over the jobs that arrive in each half second. The result is
    infinite if the trace ends first.
    """
    window_duration_s = 0.5
    window_start_s = swing_end_s
    while window_start_s + window_duration_s <= trace.duration_s:
        response_times_s = [
            outcome.response_s if outcome.status == "complete" else float("inf")
            for job, outcome in zip(trace.jobs, outcomes, strict=True)
            if window_start_s <= job.at_s < window_start_s + window_duration_s
        ]
        if (
            response_times_s
            and percentile(response_times_s, 0.99) <= 1.1 * steady_p99_s
        ):
            return window_start_s - swing_end_s
        window_start_s += window_duration_s
    return float("inf")
