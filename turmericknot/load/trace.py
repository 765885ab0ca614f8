"""Traces: the jobs of a workload with their arrival times and task sizes.

Times and sizes depend only on the workload and its seed, so that every placement
policy is measured with the same jobs.
"""

import heapq
import random
from dataclasses import dataclass, field

from .workload import distribution_mean, sample_distribution


@dataclass(slots=True)
class TraceJob:
    """One job of a trace; ``at_s`` is its arrival time since the start of the run."""

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
    """Return the trace of a workload.

    ``run_name`` is part of every idempotency key, so that keys are unique to a run.
    """
    rate_scale = _rate_scale(workload)
    jobs = []
    for number, stream in enumerate(workload.streams):
        rng = random.Random(f"{workload.seed}/{number}")
        jobs += _generate_jobs(
            workload, stream, rate_scale, rng, f"{run_name}-{number}"
        )
    jobs.sort(key=lambda job: job.at_s)
    return Trace(jobs, workload.duration_s, workload.slots)


def ideal_response_times(trace, slots=None):
    """Return each job's response time in seconds with an ideal central queue.

    The tasks of all jobs wait in one queue in order of arrival. A task starts as soon
    as any slot is free, without network or scheduling overhead, and all sizes are
    known in advance.
    """
    slot_free_at_s = [0.0] * (slots or trace.slots)
    heapq.heapify(slot_free_at_s)
    response_times_s = []
    for job in trace.jobs:
        completed_at_s = job.at_s
        # Starting the longest task first shortens the response time of a job.
        for run_ms in sorted(job.run_ms, reverse=True):
            started_at_s = max(heapq.heappop(slot_free_at_s), job.at_s)
            ended_at_s = started_at_s + run_ms / 1000.0
            heapq.heappush(slot_free_at_s, ended_at_s)
            completed_at_s = max(completed_at_s, ended_at_s)
        response_times_s.append(completed_at_s - job.at_s)
    return response_times_s


def _rate_scale(workload):
    if not workload.load:
        return 1.0
    offered_s = sum(
        s.jobs_per_s
        * distribution_mean(s.job_tasks)
        * distribution_mean(s.run_ms)
        / 1000.0
        for s in workload.streams
    )
    return workload.load * workload.slots / offered_s


def _generate_jobs(workload, stream, rate_scale, rng, prefix):
    jobs = []
    at_s = stream.start_s
    end_s = min(stream.end_s, workload.duration_s)
    while True:
        rate = stream.jobs_per_s * rate_scale * _rate_factor(workload, at_s)
        at_s += rng.expovariate(rate)
        if at_s >= end_s:
            return jobs
        jobs.append(_generate_job(workload, stream, rng, at_s, f"{prefix}-{len(jobs)}"))


def _generate_job(workload, stream, rng, at_s, key):
    count = max(1, round(sample_distribution(stream.job_tasks, rng)))
    run_ms = [round(sample_distribution(stream.run_ms, rng), 3) for _ in range(count)]
    return TraceJob(
        at_s,
        stream.team,
        stream.task_class,
        key,
        stream.idempotent,
        stream.deadline_s,
        run_ms,
        [_declared_size_ms(stream, value, rng) for value in run_ms],
        rng.random() < workload.resubmit_share,
    )


def _declared_size_ms(stream, run_ms, rng):
    if rng.random() >= stream.wrong_share:
        return run_ms
    factor = stream.wrong_factor
    return run_ms * (factor if rng.random() < 0.5 else 1.0 / factor)


def _rate_factor(workload, at_s):
    factor = 1.0
    for swing in workload.swings:
        if swing.start_s <= at_s < swing.start_s + swing.duration_s:
            factor *= swing.factor
    return factor
