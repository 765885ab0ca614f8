"""What entries are told about the capacity that others use, and how often."""

import random

import pytest

from turmericknot.scheduling import usage_reports, worker_runs
from turmericknot.scheduling.worker_types import Run, ShardGrant
from turmericknot.wire.shard_messages import RunName

CAPACITY = (16_000, 32_768, 0)
TASK_CPU, TASK_MEMORY = 1_300, 64


@pytest.fixture
def create_state():
    """Return an agent's state with one shard and stream for each entry."""

    def create(entries):
        state = worker_runs.create_worker_runs(1, 1.1, 1.0, 0.0)
        for number in range(entries):
            state.shards[100 + number] = ShardGrant(1, stream=number)
        return state

    return create


def add_run(state, number, entry):
    name = RunName(f"{number:016x}", 0, 0, 1)
    state.runs[name] = Run(name, 100 + entry, TASK_CPU, TASK_MEMORY)
    return name


def known_entries(entries):
    return {stream: usage_reports.EntryUsage() for stream in range(entries)}


def test_usage_is_that_of_the_other_entries(create_state):
    state = create_state(3)
    for number, entry in enumerate((0, 0, 1)):
        add_run(state, number, entry)
    usage = usage_reports.measure_usage(state)
    assert usage.foreign_to(0) == (TASK_CPU, TASK_MEMORY, 0)
    assert usage.foreign_to(1) == (2 * TASK_CPU, 2 * TASK_MEMORY, 0)
    assert usage.foreign_to(2) == (3 * TASK_CPU, 3 * TASK_MEMORY, 0)


def test_runs_without_an_owner_are_foreign_to_all(create_state):
    """Guards against a worker that looks free while it runs tasks of a dead entry."""
    state = create_state(2)
    add_run(state, 1, 0)
    state.shards[100].stream = None
    usage = usage_reports.measure_usage(state)
    assert usage.foreign_to(0) == usage.foreign_to(1) == (TASK_CPU, TASK_MEMORY, 0)


@pytest.mark.parametrize(
    ("reported", "usage", "expected"),
    [
        (None, (0, 0, 0), True),
        ((2_000, 0, 0), (4_000, 0, 0), False),  # three quarters stay free
        ((2_000, 0, 0), (6_000, 0, 0), True),
        ((15_000, 0, 0), (16_000, 0, 0), True),  # one task more fills it
        ((16_000, 0, 0), (14_700, 0, 0), True),  # one task may start
        ((16_000, 0, 0), (16_000, 0, 0), False),
        ((0, 1_000, 0), (0, 30_000, 0), True),  # memory alone
    ],
)
def test_changes_that_matter_are_significant(reported, usage, expected):
    assert usage_reports.is_significant(reported, usage, CAPACITY) is expected


def test_accelerators_are_significant():
    """Guards against deployments whose scarce resource is not the processor."""
    capacity = (64_000, 1 << 20, 4)
    before, after = (1_000, 64, 0), (2_000, 128, 1)
    assert usage_reports.is_significant(before, after, capacity)


@pytest.mark.parametrize("entries", [3, 9, 35])
def test_reports_of_a_busy_worker_do_not_grow_with_the_entries(create_state, entries):
    """Replays the peak of a lunch wave on one worker: a change every 15 ms for 10 s."""
    rng = random.Random(entries)
    state = create_state(entries)
    known = known_entries(entries)
    names, reports = [], 0
    for step in range(333):
        for _ in range(2):
            if len(names) >= 10 or (names and rng.random() < 0.5):
                del state.runs[names.pop(rng.randrange(len(names)))]
            else:
                names.append(add_run(state, 2 * step + len(names), step % entries))
        now = step * 0.03
        usage = usage_reports.measure_usage(state)
        for stream, foreign in usage_reports.choose_reports(known, usage, CAPACITY):
            known[stream].record_report(foreign, now)
            reports += 1
    assert reports <= 333 * usage_reports.MAX_REPORTS_PER_ROUND


def test_every_entry_learns_of_a_lasting_change(create_state):
    """Guards against an entry that takes a free worker for a full one for good."""
    state = create_state(35)
    known = known_entries(35)
    for number in range(12):
        add_run(state, number, 0)
    told = set()
    for step in range(20):
        usage = usage_reports.measure_usage(state)
        for stream, foreign in usage_reports.choose_reports(known, usage, CAPACITY):
            known[stream].record_report(foreign, step * 0.03)
            told.add(stream)
    assert told == set(range(35))


def test_outdated_figures_are_reported_again(create_state):
    state = create_state(1)
    known = known_entries(1)
    known[0].record_report((0, 0, 0), 1.0)
    usage = usage_reports.measure_usage(state)
    assert usage_reports.choose_reports(known, usage, CAPACITY) == []
    known[0].forget()
    assert usage_reports.choose_reports(known, usage, CAPACITY) == [(0, (0, 0, 0))]
