"""Gaps, snapshots and copies from peers, each in a fixed order of events."""

import random

import pytest

from turmericknot.clients.log_client import LogPage, LogRecord
from turmericknot.configtree.follower import (
    apply_page,
    create_follower,
    export_copy,
    import_copy,
    skip_trimmed_records,
    take_configuration,
    take_due_snapshot,
)
from turmericknot.configtree.records import (
    Change,
    Snapshot,
    decode_record,
    encode_record,
)


@pytest.fixture
def stream():
    """Return records 0 to 5; each sets the allowance to the version it creates."""
    return [
        encode_record(Change(b"%d" % i, i, "test", {"teams.a.allowance": i + 1}))
        for i in range(6)
    ]


def read_stream(follower, stream, end=None, time=0.0):
    """Read from the follower's offset up to ``end``; the stream may be longer."""
    start = follower.next_offset
    records = [
        LogRecord(start + i, time, data) for i, data in enumerate(stream[start:end])
    ]
    apply_page(follower, LogPage(0, len(stream), time, 0.0, records))


def follower_after(stream, end=None):
    follower = create_follower(random.Random(1))
    read_stream(follower, stream, end)
    return follower


def snapshot_of(stream, end):
    data = take_due_snapshot(follower_after(stream[:end]), 1000.0, 1000.0, b"s")
    assert isinstance(decode_record(data), Snapshot)
    return data


def test_partly_read_configuration_is_not_put_in_force_after_a_gap(stream):
    """Guards against a new process that puts an outdated configuration in force."""
    follower = follower_after(stream, end=2)
    skip_trimmed_records(follower, 4)
    read_stream(follower, stream)
    assert (follower.is_complete, take_configuration(follower)) == (False, None)


def test_copy_that_does_not_cover_a_gap_leaves_it_open(stream):
    """Guards against merging changes without the changes before them."""
    follower = follower_after(stream, end=1)
    skip_trimmed_records(follower, 4)
    assert import_copy(follower, export_copy(follower_after(stream[:3])))
    assert take_configuration(follower)[0] == 3
    read_stream(follower, stream)
    assert (follower.is_complete, follower.merged.version) == (False, 3)
    assert import_copy(follower, export_copy(follower_after(stream[:4])))
    assert follower.is_complete
    assert take_configuration(follower) == (6, {"teams": {"a": {"allowance": 6}}})


def test_only_a_snapshot_that_covers_a_gap_closes_it(stream):
    follower = create_follower(random.Random(1))
    skip_trimmed_records(follower, 4)
    stream.append(snapshot_of(stream, 3))
    read_stream(follower, stream)
    assert (follower.is_complete, take_configuration(follower)) == (False, None)
    stream.append(snapshot_of(stream, 5))
    read_stream(follower, stream)
    assert follower.is_complete
    assert take_configuration(follower) == (6, {"teams": {"a": {"allowance": 6}}})


def test_older_or_invalid_copy_has_no_effect(stream):
    follower = follower_after(stream)
    assert take_configuration(follower)[0] == 6
    assert not import_copy(follower, export_copy(follower_after(stream[:3])))
    assert not import_copy(follower, b"garbage")
    assert (follower.merged.version, take_configuration(follower)) == (6, None)


def test_snapshot_is_due_before_half_of_the_retention(stream):
    """Guards against a log trimmed so far that no configuration can be read from it."""
    follower = follower_after(stream)
    assert take_due_snapshot(follower, 399.0, 1000.0, b"s") is None
    data = take_due_snapshot(follower, 500.0, 1000.0, b"s")
    assert decode_record(data).next_offset == 6
    assert take_due_snapshot(follower, 501.0, 1000.0, b"s") is None  # retry delay
    read_stream(follower, [*stream, data], time=505.0)
    assert take_due_snapshot(follower, 900.0, 1000.0, b"s") is None
    assert take_due_snapshot(follower, 1005.0, 1000.0, b"s") is not None
