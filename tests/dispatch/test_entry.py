"""Tests of an entry without faults, and of its limits.

Combinations of faults are tested in tests/fuzz.
"""

from dataclasses import replace

import pytest

from tests.fuzz import fifo
from tests.fuzz.world import CLAIM_SETTINGS, WALL_CLOCK_OFFSET_S, World
from turmericknot.dispatch import answers, appends, claims, entry, events
from turmericknot.dispatch.commands import AppendRecord, Drained, Respond
from turmericknot.dispatch.tasks import JobSpec, JobStatus, Reason


@pytest.fixture
def world():
    return World(1, fifo)


@pytest.fixture
def handle_event(world):
    """Return a function that passes an event to the first entry."""

    def handle(event):
        world.now += 1e-6
        state = world.entries[0].state
        return entry.handle(state, event, world.now, WALL_CLOCK_OFFSET_S + world.now)

    return handle


def job_spec(world, size=1, idempotent=False):
    spec = world.new_job(size, idempotent, 20.0, 5.0)
    return JobSpec(*spec[:7], list(spec[7]), digest=b"body")


def answers_of(commands):
    return [command.answer for command in commands if isinstance(command, Respond)]


def appended_records(commands):
    records = [command for command in commands if isinstance(command, AppendRecord)]
    return [claims.decode_record(record.data) for record in records]


def test_claims_share_a_record_once_the_budget_runs_low(world, handle_event):
    """Guards against one append per job, a rate the log service can't sustain."""
    state = world.entries[0].state
    records = []
    for _ in range(300):
        records += appended_records(
            handle_event(events.JobSubmitted(1, job_spec(world)))
        )
    world.now += CLAIM_SETTINGS.claim_window_max_s
    records += appended_records(handle_event(events.Tick()))
    claim_records = [record for record in records if isinstance(record, claims.Claim)]
    assert sum(len(record.jobs) for record in claim_records) == 300
    assert len(claim_records) <= state.settings.claims.append_budget_per_s / 2 + 3
    assert len(claim_records[0].jobs) == 1


def test_budget_is_never_exceeded(world, handle_event):
    """Guards against retries that exceed the append budget when all appends fail."""
    sent = []
    for _ in range(400):
        out = handle_event(events.JobSubmitted(1, job_spec(world)))
        sent += [c for c in out if isinstance(c, AppendRecord)]
        for command in [c for c in out if isinstance(c, AppendRecord)]:
            handle_event(events.AppendFailed(command.record_id, False))
    state = world.entries[0].state
    assert len(sent) <= state.settings.claims.append_budget_per_s + 1
    assert appends.next_flush_at(state) > world.now


def test_same_key_with_another_body_is_a_conflict(world, handle_event):
    """Guards against answering a submission with the result of a different one."""
    spec = job_spec(world)
    handle_event(events.JobSubmitted(1, spec))
    other = replace(spec, digest=b"other")
    (answer,) = answers_of(handle_event(events.JobSubmitted(2, other)))
    assert (answer.status, answer.reason) == (JobStatus.FAILED, Reason.KEY_CONFLICT)


def test_kept_answers_are_bounded(world, monkeypatch):
    """Guards against unbounded memory, and a second run after an answer is dropped."""
    monkeypatch.setattr(answers, "MAX_KEPT_ANSWER_BYTES", 30)
    specs = [world.new_job(1, False, 20.0, 5.0) for _ in range(4)]
    for spec in specs:
        world.submit(world.entries[0], spec)
    world.run_without_faults(0.5)
    state = world.entries[0].state
    assert state.kept_bytes <= 30
    world.submit(world.entries[0], specs[0])
    last = list(world.oracle.attempts.values())[-1].answer
    assert (last.status, last.reason) == (JobStatus.UNKNOWN, Reason.ANSWER_DROPPED)
    world.run_without_faults(1.0)


def test_drain_refuses_new_jobs_and_finishes_the_old(world, handle_event):
    """Guards against a planned stop that interrupts requests in flight."""
    first = job_spec(world)
    handle_event(events.JobSubmitted(1, first))
    assert not [
        c for c in handle_event(events.DrainRequested()) if isinstance(c, Drained)
    ]
    handle_event(events.JobSubmitted(2, job_spec(world)))
    state = world.entries[0].state
    out = handle_event(
        events.LogCaughtUp(
            state.claim_table.next_offset, WALL_CLOCK_OFFSET_S + world.now, world.now
        )
    )
    (refused,) = answers_of(out)
    assert (refused.status, refused.reason) == (JobStatus.NOT_RUN, Reason.DRAINING)
    world.now += 5.1
    out = handle_event(events.Tick())
    assert [answer.job for answer in answers_of(out)] == [first.job]
    assert [c for c in out if isinstance(c, Drained)]


def test_skewed_clock_refuses_new_jobs(world, handle_event):
    """Guards against accepting a key when the clock differs beyond the skew bound."""
    state = world.entries[0].state
    skewed = WALL_CLOCK_OFFSET_S + world.now + 3 * CLAIM_SETTINGS.max_clock_skew_s
    handle_event(events.LogCaughtUp(state.claim_table.next_offset, skewed, world.now))
    handle_event(events.JobSubmitted(1, job_spec(world)))
    out = handle_event(
        events.LogCaughtUp(state.claim_table.next_offset, skewed, world.now)
    )
    (refused,) = answers_of(out)
    assert refused.reason is Reason.CLOCK_SKEW


def test_trimmed_records_prevent_starts_in_a_takeover(world):
    """Guards against a takeover that misses agents whose roster was trimmed."""
    table = claims.ClaimTable(12.0)
    claims.skip_trimmed(table, 5)
    claims.advance_offset(table, 5, 100.0)
    claims.apply_claim(table, claims.Claim(b"r", "e1", [(b"j", 130.0)]), 105.0)
    assert claims.eligible_agents(table, b"j", 12.0) is None
    assert claims.eligible_agents(table, b"j", 4.0) == set()


def test_records_of_a_fenced_owner_are_ignored(world):
    """Guards against a claim in flight when its owner was fenced."""
    table = claims.ClaimTable(12.0)
    claims.apply_fence(table, claims.Fence(b"f", "e1", "e2"), 100.0)
    claims.apply_claim(table, claims.Claim(b"r", "e1", [(b"j", 130.0)]), 101.0)
    claims.apply_claim(table, claims.Claim(b"s", "e3", [(b"j", 130.0)]), 102.0)
    assert table.jobs[b"j"].owner == "e3"
