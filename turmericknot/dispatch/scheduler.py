"""Scheduler facade: what the rest of an entry needs of the scheduling policy.

The functions below are the interface between job ownership (``entry.py``) and the
policy modules. Each takes the scheduler's state and the monotonic time in seconds.
"""

from dataclasses import dataclass

from turmericknot.dispatch.tasks import Reason


@dataclass(slots=True)
class Refusal:
    """Why a job cannot be admitted."""

    reason: Reason
    detail: str
    retry_after_s: float = 0.0


@dataclass(slots=True)
class Assignment:
    """Tasks of one job that go to one agent in one message."""

    stream: int
    job: bytes
    indexes: list[int]
    window_sequence: int


# create_scheduler(settings: EntrySettings, rng) -> SchedulerState
# config_changed(state, version, tree, now) -> None
# admit(state, spec, now) -> Refusal | None            does not change the queues
# add_job(state, spec, indexes, deadline, claimed, now) queue tasks; deadline is
#     monotonic; claimed work goes only to agents that are on the roster
# remove_job(state, job, now) -> list[int]             indexes that were still queued
# agent_joined(state, stream, hello, now); agent_left(state, stream, now)
# set_window(state, stream, window, now)
# set_rostered(state, stream, rostered, now); set_suspect(state, stream, suspect, now)
# agent_draining(state, stream, now)
# task_done(state, stream, job, index, status, run_ms, now)
# tasks_returned(state, stream, job, indexes, now)     queue them again, first in line
# next_assignments(state, now) -> list[Assignment]
# expired(state, now) -> list[bytes]                   jobs whose queued tasks cannot
#     make the deadline any more
# demand(state, now) -> list[tuple[int, Demand]]       demand messages due now
# waiting(state, stream) -> tuple[int, float]          waiting, entitlement for Assign
# spec_for(state, job, index) -> TaskSpec              with the learned estimate
# digest(state, now) -> TeamDigest | None; peer_digest(state, peer, digest, now)
# peer_lost(state, peer, now)
# status(state, now) -> dict
