"""What one process knows of stream ``config``; pure, without I/O.

The shell reads the stream from ``next_offset`` and hands in pages, trimmed offsets
and copies from peers. It asks ``take_configuration`` for a configuration to put in force and
``take_due_snapshot`` for a snapshot to append.

A process that starts after offset 0, or missed records that were trimmed, has a gap:
it keeps the records after the gap and continues with the first snapshot that covers
it, or with a restore. Until then its last configuration stays in force.
"""

from collections import deque
from dataclasses import dataclass, field

import msgspec

from .records import InvalidRecord, Restore, Snapshot, decode_record, encode_record
from .tree import (
    MergeState,
    Verdict,
    apply_record,
    check_snapshot,
    check_tree,
    state_from_snapshot,
    state_to_snapshot,
)

HISTORY_RECORDS = 500
# A snapshot is written when the newest is older than this share of the retention.
# Each process subtracts up to SNAPSHOT_SPREAD, so that one writes before the rest.
SNAPSHOT_AGE_SHARE = 0.5
SNAPSHOT_SPREAD = 0.1
SNAPSHOT_RETRY_S = 10.0  # after a snapshot whose append may have failed


class ConfigCopy(msgspec.Struct, array_like=True, frozen=True):
    """A configuration as entries hand it to each other."""

    snapshot: Snapshot
    snapshot_time: float | None  # log time of the newest snapshot in the stream


@dataclass(slots=True)
class FollowerState:
    """Progress of one process in the stream.

    ``gap_end`` is the first offset that was retained after a gap, None without one;
    ``pending`` holds the records read since.
    """

    spread: float = 0.0  # 0 to 1, chosen at random per process
    merged: MergeState = field(default_factory=MergeState)
    next_offset: int = 0
    gap_end: int | None = None
    pending: list = field(default_factory=list)
    caught_up: bool = False  # has once held what the whole stream gives
    # Log time of the newest snapshot, or of the first change when there is none.
    snapshot_time: float | None = None
    asked_snapshot_at: float = float("-inf")
    taken_version: int = 0
    history: deque = field(default_factory=lambda: deque(maxlen=HISTORY_RECORDS))

    @property
    def is_complete(self):
        """Return whether no record is missing."""
        return self.gap_end is None

    @property
    def version(self):
        """Return the version that was last handed out to be put in force."""
        return self.taken_version


def create_follower(rng):
    """Return the state of a process that has read nothing."""
    return FollowerState(spread=rng.random())


def apply_page(state, page):
    """Handle a LogPage: records from ``next_offset`` on; return their outcomes."""
    outcomes = []
    for record in page.records:
        if record.offset < state.next_offset:
            continue  # read before, or covered by a peer's copy
        if record.offset > state.next_offset:
            skip_trimmed_records(state, record.offset)
        outcomes += _record_read(state, record.offset, record.time, record.data)
    # Without the records of a gap the merge may be far behind the stream.
    if state.is_complete and state.next_offset >= page.next_offset:
        state.caught_up = True
    state.history.extend(outcomes)
    return outcomes


def skip_trimmed_records(state, first_offset):
    """Handle the answer that records below ``first_offset`` are gone."""
    if first_offset <= state.next_offset:
        return
    state.next_offset = first_offset
    state.gap_end = first_offset
    state.pending = []


def _record_read(state, offset, time, data):
    state.next_offset = offset + 1
    if state.is_complete:
        return [_apply(state, offset, time, data)]
    state.pending.append((offset, time, data))
    return _close_gap(state, offset, time, data)


def _apply(state, offset, time, data):
    outcome = apply_record(state.merged, offset, time, data)
    if outcome.verdict in (Verdict.SNAPSHOT, Verdict.RESTORED):
        state.snapshot_time = time
    elif outcome.verdict is Verdict.ACCEPTED and state.snapshot_time is None:
        state.snapshot_time = time
    return outcome


def _close_gap(state, offset, time, data):
    """Install a snapshot that covers the gap and replay what was read since."""
    try:
        record = decode_record(data)
        if isinstance(record, Restore):
            check_tree(record.tree)
            return _install(state, Snapshot(b"", 0, offset, {}, {}), time)
        if not isinstance(record, Snapshot):
            return []
        check_snapshot(record)
    except InvalidRecord:
        return []
    if not state.gap_end <= record.next_offset < state.next_offset:
        return []
    if record.version < state.merged.version:
        return []
    return _install(state, record, time)


def _install(state, snapshot, snapshot_time):
    """Continue from a snapshot; replay pending records that it does not cover."""
    pending, state.pending = state.pending, []
    state.gap_end = None
    state.merged = state_from_snapshot(snapshot)
    state.snapshot_time = snapshot_time
    state.next_offset = max(state.next_offset, snapshot.next_offset)
    return [
        _apply(state, offset, time, data)
        for offset, time, data in pending
        if offset >= snapshot.next_offset
    ]


def take_configuration(state):
    """Return ``(version, tree)`` when there is a newer one to put in force.

    Before the end of the stream was reached once, an old version could be mistaken
    for the present one. The version that was handed out never goes back.
    """
    version = state.merged.version
    if not state.caught_up or version <= state.taken_version:
        return None
    state.taken_version = version
    return version, state.merged.tree


def take_due_snapshot(state, log_time, retention_s, record_id, author=""):
    """Return the bytes of a snapshot to append now, or None.

    Any number of processes may append one at the same time: the content is the same
    for equal versions, and an older one changes nothing.
    """
    if not (state.caught_up and state.is_complete and state.merged.version):
        return None
    share = SNAPSHOT_AGE_SHARE - SNAPSHOT_SPREAD * state.spread
    newest = state.snapshot_time
    if newest is not None and log_time - newest < share * retention_s:
        return None
    if log_time - state.asked_snapshot_at < SNAPSHOT_RETRY_S:
        return None
    state.asked_snapshot_at = log_time
    return encode_record(state_to_snapshot(state.merged, record_id, author))


def export_copy(state):
    """Return the bytes of a ConfigCopy for a peer, or None when there is nothing."""
    if not state.merged.version:
        return None
    snapshot = state_to_snapshot(state.merged, b"")
    return msgspec.msgpack.encode(ConfigCopy(snapshot, state.snapshot_time))


def import_copy(state, data):
    """Install a peer's ConfigCopy when it is ahead; return whether it was.

    The merge is the same everywhere, so a copy that covers more records than this
    process has merged is what this process would have come to.
    """
    try:
        copy = msgspec.msgpack.decode(data, type=ConfigCopy)
        check_snapshot(copy.snapshot)
    except (msgspec.DecodeError, InvalidRecord):
        return False
    snapshot = copy.snapshot
    if snapshot.next_offset <= state.merged.next_offset:
        return False
    if snapshot.version < state.merged.version:
        return False
    if state.is_complete or snapshot.next_offset >= state.gap_end:
        _install(state, snapshot, copy.snapshot_time)
    else:
        state.merged = state_from_snapshot(snapshot)  # newer, but the gap remains
    state.caught_up = True  # as far as anyone can be while the log is down
    return True
