"""Traces: the jobs of a workload with their times, the same for every policy."""

import heapq
import random
from dataclasses import dataclass, field

from .workload import draw, mean


@dataclass(slots=True)
class TraceJob:
    """One job of a trace; ``at_s`` counts from the start of the run."""

    at_s: float
    team: str
    task_class: str
    key: str
    idempotent: bool
    deadline_s: float
    run_ms: list[float]
    declared_ms: list[float]
    resubmit: bool = False


@dataclass(slots=True)
class Trace:
    """All jobs of a run in order of arrival."""

    jobs: list[TraceJob] = field(default_factory=list)
    duration_s: float = 0.0
    slots: int = 0


def generate_trace(workload, run_name):
    """Return the trace of a workload; ``run_name`` makes keys unique to a run."""
    scale = _scale(workload)
    jobs = []
    for number, stream in enumerate(workload.streams):
        rng = random.Random(f"{workload.seed}/{number}")
        jobs += _jobs_of(workload, stream, scale, rng, f"{run_name}-{number}")
    jobs.sort(key=lambda job: job.at_s)
    return Trace(jobs, workload.duration_s, workload.slots)


def ideal_response_times(trace, slots=None):
    """Return each job's response time in seconds with one central queue.

    Tasks of all jobs wait in one queue in order of arrival; a task starts as soon as
    any slot is free, without network or bookkeeping, and sizes are known.
    """
    free_at = [0.0] * (slots or trace.slots)
    heapq.heapify(free_at)
    responses = []
    for job in trace.jobs:
        done = job.at_s
        # Longest first is the best order inside one job.
        for run_ms in sorted(job.run_ms, reverse=True):
            start = max(heapq.heappop(free_at), job.at_s)
            end = start + run_ms / 1000.0
            heapq.heappush(free_at, end)
            done = max(done, end)
        responses.append(done - job.at_s)
    return responses


def _scale(workload):
    if not workload.load:
        return 1.0
    offered_s = sum(
        s.jobs_per_s * mean(s.job_tasks) * mean(s.run_ms) / 1000.0
        for s in workload.streams
    )
    return workload.load * workload.slots / offered_s


def _jobs_of(workload, stream, scale, rng, prefix):
    jobs = []
    at_s = stream.start_s
    end_s = min(stream.end_s, workload.duration_s)
    while True:
        rate = stream.jobs_per_s * scale * _swing_factor(workload, at_s)
        at_s += rng.expovariate(rate)
        if at_s >= end_s:
            return jobs
        jobs.append(_job(workload, stream, rng, at_s, f"{prefix}-{len(jobs)}"))


def _job(workload, stream, rng, at_s, key):
    count = max(1, round(draw(stream.job_tasks, rng)))
    run_ms = [round(draw(stream.run_ms, rng), 3) for _ in range(count)]
    return TraceJob(
        at_s,
        stream.team,
        stream.task_class,
        key,
        stream.idempotent,
        stream.deadline_s,
        run_ms,
        [_declared(stream, value, rng) for value in run_ms],
        rng.random() < workload.resubmit_share,
    )


def _declared(stream, run_ms, rng):
    if rng.random() >= stream.wrong_share:
        return run_ms
    factor = stream.wrong_factor
    return run_ms * (factor if rng.random() < 0.5 else 1.0 / factor)


def _swing_factor(workload, at_s):
    factor = 1.0
    for swing in workload.swings:
        if swing.start_s <= at_s < swing.start_s + swing.duration_s:
            factor *= swing.factor
    return factor
