"""State of one process that follows the stream ``config``; performs no I/O.

The caller reads the stream from ``next_offset`` and passes in pages, trimmed offsets
and copies from peers. ``take_configuration`` returns a configuration to put in force,
``take_due_snapshot`` a snapshot to append.

A process that starts after offset 0, or misses records because they were trimmed, has
a gap. It keeps the records after the gap until it reads a snapshot that covers the gap,
or a Restore. Until then its last configuration stays in force.
"""

from collections import deque
from dataclasses import dataclass, field

import msgspec

from .records import InvalidRecord, Restore, Snapshot, decode_record, encode_record
from .tree import (
    MergeState,
    Verdict,
    apply_record,
    state_from_snapshot,
    state_to_snapshot,
    validate_snapshot,
    validate_tree,
)

HISTORY_RECORDS = 500
# A snapshot is written when the newest one is older than this share of the retention.
# Each process subtracts a random share of up to SNAPSHOT_JITTER_SHARE, so that one
# process writes before the others.
SNAPSHOT_AGE_SHARE = 0.5
SNAPSHOT_JITTER_SHARE = 0.1
SNAPSHOT_RETRY_DELAY_S = 10.0  # until the next attempt if the append may have failed


class ConfigCopy(msgspec.Struct, array_like=True, frozen=True):
    """Copy of a configuration that one entry sends to another."""

    snapshot: Snapshot
    snapshot_time: float | None  # log time of the newest snapshot in the stream


@dataclass(slots=True)
class FollowerState:
    """Progress of one process in the stream.

    ``gap_end`` is the first offset after a gap, or None if there is no gap;
    ``pending_records`` holds the records read after it.
    """

    snapshot_jitter: float = 0.0  # 0 to 1, random per process
    merged: MergeState = field(default_factory=MergeState)
    next_offset: int = 0
    gap_end: int | None = None
    pending_records: list = field(default_factory=list)
    caught_up: bool = False  # has reached the end of the stream once
    # Log time of the newest snapshot, or of the first change if there is no snapshot.
    snapshot_time: float | None = None
    snapshot_requested_at: float = float("-inf")
    taken_version: int = 0
    history: deque = field(default_factory=lambda: deque(maxlen=HISTORY_RECORDS))

    @property
    def is_complete(self):
        """Return whether there is no gap."""
        return self.gap_end is None

    @property
    def version(self):
        """Return the version last returned by ``take_configuration``."""
        return self.taken_version


def create_follower(rng):
    """Return the state of a process that has not read any records."""
    return FollowerState(snapshot_jitter=rng.random())


def apply_page(state, page):
    """Apply the records of a LogPage and return their Outcomes."""
    outcomes = []
    for record in page.records:
        if record.offset < state.next_offset:
            continue  # already read, or covered by a peer's copy
        if record.offset > state.next_offset:
            skip_trimmed_records(state, record.offset)
        outcomes += _add_record(state, record.offset, record.time, record.data)
    # With a gap, the merged state may be far behind the end of the stream.
    if state.is_complete and state.next_offset >= page.next_offset:
        state.caught_up = True
    state.history.extend(outcomes)
    return outcomes


def skip_trimmed_records(state, first_offset):
    """Continue at ``first_offset``: the log has trimmed the records below it."""
    if first_offset <= state.next_offset:
        return
    state.next_offset = first_offset
    state.gap_end = first_offset
    state.pending_records = []


def _add_record(state, offset, time, data):
    state.next_offset = offset + 1
    if state.is_complete:
        return [_apply_and_track(state, offset, time, data)]
    state.pending_records.append((offset, time, data))
    return _close_gap(state, offset, time, data)


def _apply_and_track(state, offset, time, data):
    outcome = apply_record(state.merged, offset, time, data)
    if outcome.verdict in (Verdict.SNAPSHOT, Verdict.RESTORED):
        state.snapshot_time = time
    elif outcome.verdict is Verdict.ACCEPTED and state.snapshot_time is None:
        state.snapshot_time = time
    return outcome


def _close_gap(state, offset, time, data):
    """Install a record that closes the gap and replay the pending records after it."""
    try:
        record = decode_record(data)
        if isinstance(record, Restore):
            validate_tree(record.tree)
            return _install_snapshot(state, Snapshot(b"", 0, offset, {}, {}), time)
        if not isinstance(record, Snapshot):
            return []
        validate_snapshot(record)
    except InvalidRecord:
        return []
    if not state.gap_end <= record.next_offset < state.next_offset:
        return []
    if record.version < state.merged.version:
        return []
    return _install_snapshot(state, record, time)


def _install_snapshot(state, snapshot, snapshot_time):
    """Continue from a snapshot and replay pending records that it does not cover."""
    pending_records, state.pending_records = state.pending_records, []
    state.gap_end = None
    state.merged = state_from_snapshot(snapshot)
    state.snapshot_time = snapshot_time
    state.next_offset = max(state.next_offset, snapshot.next_offset)
    return [
        _apply_and_track(state, offset, time, data)
        for offset, time, data in pending_records
        if offset >= snapshot.next_offset
    ]


def take_configuration(state):
    """Return ``(version, tree)`` if there is a newer one to put in force, or None.

    Returns None until the end of the stream has been reached once, because an earlier
    version may be outdated. The returned versions never decrease.
    """
    version = state.merged.version
    if not state.caught_up or version <= state.taken_version:
        return None
    state.taken_version = version
    return version, state.merged.tree


def take_due_snapshot(state, log_time, retention_s, record_id, author=""):
    """Return the bytes of a snapshot if one is due for appending, or None.

    Several processes may append one at the same time: snapshots of the same version
    have the same content, and an older one has no effect.
    """
    if not (state.caught_up and state.is_complete and state.merged.version):
        return None
    max_age_share = SNAPSHOT_AGE_SHARE - SNAPSHOT_JITTER_SHARE * state.snapshot_jitter
    newest = state.snapshot_time
    if newest is not None and log_time - newest < max_age_share * retention_s:
        return None
    if log_time - state.snapshot_requested_at < SNAPSHOT_RETRY_DELAY_S:
        return None
    state.snapshot_requested_at = log_time
    return encode_record(state_to_snapshot(state.merged, record_id, author))


def export_copy(state):
    """Return the bytes of a ConfigCopy for a peer, or None without a configuration."""
    if not state.merged.version:
        return None
    snapshot = state_to_snapshot(state.merged, b"")
    return msgspec.msgpack.encode(ConfigCopy(snapshot, state.snapshot_time))


def import_copy(state, data):
    """Install a peer's ConfigCopy if it covers more records; return whether it does.

    All processes merge records in the same way, so the copy equals the state that this
    process would reach by merging the same records.
    """
    try:
        copy = msgspec.msgpack.decode(data, type=ConfigCopy)
        validate_snapshot(copy.snapshot)
    except (msgspec.DecodeError, InvalidRecord):
        return False
    snapshot = copy.snapshot
    if snapshot.next_offset <= state.merged.next_offset:
        return False
    if snapshot.version < state.merged.version:
        return False
    if state.is_complete or snapshot.next_offset >= state.gap_end:
        _install_snapshot(state, snapshot, copy.snapshot_time)
    else:
        state.merged = state_from_snapshot(snapshot)  # does not cover the gap
    state.caught_up = True  # as far as possible while the log is down
    return True
