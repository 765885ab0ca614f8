"""Figures of a run, read from processes, counters and outcomes."""

import os
from pathlib import Path

from turmericknot.load.report import percentile

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Messages by which a task starts or its result arrives.
USEFUL_MESSAGES = ("Assign", "Results")


def cpu_seconds(pid):
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def rss_mb(pid):
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024.0
    return 0.0


def role_pids(fed, names):
    """Return the process ids of running processes."""
    return [fed.processes[n].pid for n in names if fed.processes[n].is_running]


def traffic(fed):
    """Return frames, messages and useful messages of all entries so far.

    Links between entries are counted at both ends, which overstates them.
    """
    frames = messages = useful = size = 0
    for name in fed.entry_urls:
        report = fed.status(name)["traffic"]
        for direction in ("sent", "received"):
            part = report[direction]
            frames += part["frames"]
            messages += part["messages"]
            size += part["bytes"]
            useful += sum(
                part["types"].get(kind, {}).get("messages", 0)
                for kind in USEFUL_MESSAGES
            )
    return {"frames": frames, "messages": messages, "useful": useful, "bytes": size}


def counter_increase(after, before):
    """Return the growth of each counter."""
    return {key: after[key] - before[key] for key in after}


def response_ratios(trace, outcomes, ideal, warmup_s=1.0):
    """Return response over ideal of complete jobs after the warm-up."""
    return [
        outcome.response_s / ideal_s
        for job, outcome, ideal_s in zip(trace.jobs, outcomes, ideal, strict=True)
        if outcome.status == "complete" and job.at_s >= warmup_s
    ]


def responses(trace, outcomes, task_class, warmup_s=1.0):
    """Return response times in seconds of a class; failures count as infinite."""
    return [
        outcome.response_s if outcome.status == "complete" else float("inf")
        for job, outcome in zip(trace.jobs, outcomes, strict=True)
        if job.task_class == task_class and job.at_s >= warmup_s
    ]


def goodput(trace, outcomes, start_s, end_s, team=None):
    """Return the share of capacity spent on work that met its deadline."""
    done_ms = 0.0
    for job, outcome in zip(trace.jobs, outcomes, strict=True):
        if team not in (None, job.team) or outcome.status != "complete":
            continue
        if outcome.response_s <= job.deadline_s:
            done_ms += _work_within(job, outcome, start_s, end_s)
    return done_ms / 1000.0 / (trace.slots * (end_s - start_s))


def goodput_over_ideal(play, start_s, end_s):
    """Return work that met its deadline over the work that the ideal does then."""
    ideal_ms = sum(
        _spread(sum(job.run_ms), job.at_s, job.at_s + ideal_s, start_s, end_s)
        for job, ideal_s in zip(play.trace.jobs, play.ideal, strict=True)
    )
    done = goodput(play.trace, play.outcomes, start_s, end_s)
    return done * play.trace.slots * (end_s - start_s) * 1000.0 / ideal_ms


def busy_ms(fed):
    """Return the run time of all ended tasks, summed over the targets."""
    total = 0.0
    for url in fed.target_urls.values():
        total += fed.call("GET", f"{url}/control/starts")[1]["busy_ms"]
    return total


def _work_within(job, outcome, start_s, end_s):
    """Return the job's work in a span, spread evenly over its response time."""
    work = sum(outcome.run_ms)
    return _spread(work, job.at_s, outcome.finished_at_s, start_s, end_s)


def _spread(work, begin, end, start_s, end_s):
    overlap = min(end, end_s) - max(begin, start_s)
    if overlap <= 0 or end <= begin:
        return 0.0
    return work * overlap / (end - begin)


def served_per_second(trace, outcomes, ideal, team):
    """Return pairs (served, due) of a team's work for each whole second.

    Due is the work that the ideal ends in that second when the team is alone.
    """
    seconds = int(trace.duration_s)
    served, due = [0.0] * seconds, [0.0] * seconds
    for job, outcome, ideal_s in zip(trace.jobs, outcomes, ideal, strict=True):
        if job.team != team:
            continue
        work = sum(job.run_ms)
        _add(due, job.at_s + ideal_s, work)
        if outcome.status == "complete":
            _add(served, outcome.finished_at_s, work)
    return list(zip(served, due, strict=True))


def _add(series, at_s, work):
    if 0 <= at_s < len(series):
        series[int(at_s)] += work


def recovery_s(trace, outcomes, swing_end_s, steady_p99_s):
    """Return when p99 of half-second windows is back within 10% after a swing."""
    step = 0.5
    start = swing_end_s
    while start + step <= trace.duration_s:
        window = [
            outcome.response_s if outcome.status == "complete" else float("inf")
            for job, outcome in zip(trace.jobs, outcomes, strict=True)
            if start <= job.at_s < start + step
        ]
        if window and percentile(window, 0.99) <= 1.1 * steady_p99_s:
            return start - swing_end_s
        start += step
    return float("inf")
