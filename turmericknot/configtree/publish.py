"""Publish changes to stream ``config`` and wait until they are in force."""

import time
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec
import urllib3

from turmericknot.clients.log_client import MAX_RECORDS_PER_READ
from turmericknot.core.exceptions import (
    AppendNotWritten,
    AppendOutcomeUnknown,
    LogUnavailable,
    RecordsTrimmed,
)

from .diff import MISSING, diff_values
from .follower import FollowerState, offset_trimmed, page_read
from .records import STREAM, Change, encode, touched
from .tree import Verdict, get_subtree

PUBLISH_TIMEOUT_S = 10.0
ATTEMPT_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 0.2
READ_BACK_S = 0.5  # how long to look for a record whose append answer was lost
STATUS_TIMEOUT_S = 1.0
STATUS_INTERVAL_S = 0.05
WAIT_TIMEOUT_S = 10.0


class PublishStatus(StrEnum):
    """End of an attempt to publish."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_WRITTEN = "not_written"
    UNKNOWN = "unknown"  # the change may still take effect


@dataclass(slots=True)
class PublishResult:
    """How a publication ended; ``theirs`` lists what others changed meanwhile."""

    status: PublishStatus
    version: int = 0
    reason: str = ""
    theirs: list = field(default_factory=list)


@dataclass(slots=True)
class StreamReader:
    """A follower that reads stream ``config`` on demand."""

    log: object
    state: FollowerState = field(default_factory=FollowerState)

    def read(self, wait_s=0.0, limit=None):
        """Read to the end of the stream, or up to the offset ``limit``.

        Raise LogUnavailable when the log cannot be read; what was read stays.
        """
        state = self.state
        while limit is None or state.next_offset < limit:
            room = MAX_RECORDS_PER_READ if limit is None else limit - state.next_offset
            try:
                page = self.log.read(
                    STREAM, state.next_offset, wait_s, min(MAX_RECORDS_PER_READ, room)
                )
            except RecordsTrimmed as error:
                offset_trimmed(state, error.first_offset)
                continue
            page_read(state, page)
            if state.next_offset >= page.next_offset:
                return
            wait_s = 0.0

    def find(self, record_id):
        """Return the outcome of the first copy of a record, or None."""
        for outcome in self.state.history:
            if outcome.record_id == record_id:
                return outcome
        return None


def publish(reader, record, timeout_s=PUBLISH_TIMEOUT_S):
    """Append a record until its fate is known or the time is over.

    The record may be appended more than once: the first copy that counts raises the
    versions of its subtrees above its own base, so that later copies are conflicts.
    """
    before = reader.state.merge.tree
    end = time.monotonic() + timeout_s
    data, may_be_written, reason = encode(record), False, ""
    while time.monotonic() < end:
        written = None
        try:
            reader.log.append(STREAM, data, timeout_s=ATTEMPT_TIMEOUT_S)
            written = True
        except AppendNotWritten as error:
            written, reason = False, str(error)
        except AppendOutcomeUnknown as error:
            reason = str(error)
        may_be_written = may_be_written or written is not False
        if may_be_written:
            wait_s = min(READ_BACK_S, max(0.0, end - time.monotonic()))
            outcome = _read_back(reader, record.record_id, wait_s)
            if outcome is not None:
                return _result(reader, record, outcome, before)
        time.sleep(RETRY_PAUSE_S)
    status = PublishStatus.UNKNOWN if may_be_written else PublishStatus.NOT_WRITTEN
    return PublishResult(status, reader.state.merge.version, reason)


def _read_back(reader, record_id, wait_s):
    """Return the outcome of the first copy of a record, or None if it is not there."""
    end = time.monotonic() + wait_s
    while True:
        try:
            reader.read(max(0.0, end - time.monotonic()))
        except LogUnavailable:
            time.sleep(min(RETRY_PAUSE_S, wait_s))
        outcome = reader.find(record_id)
        if outcome is not None or time.monotonic() >= end:
            return outcome


def _result(reader, record, outcome, before):
    verdicts = {
        Verdict.ACCEPTED: PublishStatus.ACCEPTED,
        Verdict.RESTORED: PublishStatus.ACCEPTED,
        Verdict.CONFLICT: PublishStatus.CONFLICT,
    }
    status = verdicts.get(outcome.verdict, PublishStatus.INVALID)
    theirs = []
    if status is PublishStatus.CONFLICT:
        # Only what changed while publishing; older changes are in the history.
        theirs = changed_subtrees(before, reader.state.merge.tree, touched(record))
    return PublishResult(status, outcome.version, outcome.reason, theirs)


def changed_subtrees(before, after, names):
    """Return what changed in the named subtrees between two trees."""
    found = []
    for name in names:
        old, new = get_subtree(before, name), get_subtree(after, name)
        old = MISSING if old is None else old
        found += diff_values(old, MISSING if new is None else new, name)
    return found


def create_change(edit, record_id, author, comment=""):
    """Return the Change record of an operator's Edit."""
    sets, deletes = edit.change
    return Change(record_id, edit.base, author, sets, deletes, comment)


class _Status(msgspec.Struct):
    config_version: int = 0
    agents_config_min: int | None = None


def lagging_entries(entries, version, pool):
    """Return ``{url: reason}`` of entries where the version is not in force yet."""
    lagging = {}
    for url in entries:
        try:
            answer = pool.request(
                "GET", f"{url}/v1/status", timeout=STATUS_TIMEOUT_S, retries=False
            )
            status = msgspec.json.decode(answer.data, type=_Status)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as error:
            lagging[url] = f"no status: {error}"
            continue
        if status.config_version < version:
            lagging[url] = f"entry has {status.config_version}"
            continue
        oldest = status.agents_config_min  # None without agents
        if oldest is not None and oldest < version:
            lagging[url] = f"an agent has {oldest}"
    return lagging


def wait_in_force(entries, version, timeout_s=WAIT_TIMEOUT_S):
    """Wait until all entries and their agents report the version; return laggards."""
    pool = urllib3.PoolManager()
    end = time.monotonic() + timeout_s
    while True:
        lagging = lagging_entries(entries, version, pool)
        if not lagging or time.monotonic() >= end:
            pool.clear()
            return lagging
        time.sleep(STATUS_INTERVAL_S)
