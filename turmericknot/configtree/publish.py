"""Publish records to the stream ``config`` and wait until they are in force."""

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
from .follower import FollowerState, apply_page, skip_trimmed_records
from .records import CONFIG_STREAM, Change, encode_record, touched_subtrees
from .tree import Verdict, get_subtree

PUBLISH_TIMEOUT_S = 10.0
ATTEMPT_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.2
READ_BACK_TIMEOUT_S = 0.5  # how long to look for a record whose append answer was lost
STATUS_TIMEOUT_S = 1.0
STATUS_POLL_INTERVAL_S = 0.05
IN_FORCE_TIMEOUT_S = 10.0


class PublishStatus(StrEnum):
    """Status of an attempt to publish a record."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_WRITTEN = "not_written"
    UNKNOWN = "unknown"  # the change may still take effect


@dataclass(slots=True)
class PublishResult:
    """Result of publishing; ``concurrent_changes`` lists Differences made by others."""

    status: PublishStatus
    version: int = 0
    reason: str = ""
    concurrent_changes: list = field(default_factory=list)


@dataclass(slots=True)
class StreamReader:
    """Reads the stream ``config`` on demand and follows its state."""

    log: object
    state: FollowerState = field(default_factory=FollowerState)

    def read(self, wait_s=0.0, limit=None):
        """Read to the end of the stream, or up to the offset ``limit``.

        Raise LogUnavailable if the log cannot be read; records read before are kept.
        """
        state = self.state
        while limit is None or state.next_offset < limit:
            remaining = (
                MAX_RECORDS_PER_READ if limit is None else limit - state.next_offset
            )
            try:
                page = self.log.read(
                    CONFIG_STREAM,
                    state.next_offset,
                    wait_s,
                    min(MAX_RECORDS_PER_READ, remaining),
                )
            except RecordsTrimmed as error:
                skip_trimmed_records(state, error.first_offset)
                continue
            apply_page(state, page)
            if state.next_offset >= page.next_offset:
                return
            wait_s = 0.0

    def find_outcome(self, record_id):
        """Return the Outcome of the first copy of a record, or None if not found."""
        for outcome in self.state.history:
            if outcome.record_id == record_id:
                return outcome
        return None


def publish(reader, record, timeout_s=PUBLISH_TIMEOUT_S):
    """Append a record, with retries, until its outcome is known or the timeout expires.

    The record may be appended more than once. The first copy that is accepted raises
    the versions of its subtrees above its own base, so that later copies conflict.
    """
    tree_before = reader.state.merged.tree
    end = time.monotonic() + timeout_s
    data, may_be_written, reason = encode_record(record), False, ""
    while time.monotonic() < end:
        written = None
        try:
            reader.log.append(CONFIG_STREAM, data, timeout_s=ATTEMPT_TIMEOUT_S)
            written = True
        except AppendNotWritten as error:
            written, reason = False, str(error)
        except AppendOutcomeUnknown as error:
            reason = str(error)
        may_be_written = may_be_written or written is not False
        if may_be_written:
            wait_s = min(READ_BACK_TIMEOUT_S, max(0.0, end - time.monotonic()))
            outcome = _read_back(reader, record.record_id, wait_s)
            if outcome is not None:
                return _create_result(reader, record, outcome, tree_before)
        time.sleep(RETRY_DELAY_S)
    status = PublishStatus.UNKNOWN if may_be_written else PublishStatus.NOT_WRITTEN
    return PublishResult(status, reader.state.merged.version, reason)


def _read_back(reader, record_id, wait_s):
    """Read until the first copy of a record is found; return its Outcome or None."""
    end = time.monotonic() + wait_s
    while True:
        try:
            reader.read(max(0.0, end - time.monotonic()))
        except LogUnavailable:
            time.sleep(min(RETRY_DELAY_S, wait_s))
        outcome = reader.find_outcome(record_id)
        if outcome is not None or time.monotonic() >= end:
            return outcome


def _create_result(reader, record, outcome, tree_before):
    verdicts = {
        Verdict.ACCEPTED: PublishStatus.ACCEPTED,
        Verdict.RESTORED: PublishStatus.ACCEPTED,
        Verdict.CONFLICT: PublishStatus.CONFLICT,
    }
    status = verdicts.get(outcome.verdict, PublishStatus.INVALID)
    concurrent_changes = []
    if status is PublishStatus.CONFLICT:
        # Only changes made while publishing; earlier ones are in the history.
        concurrent_changes = diff_subtrees(
            tree_before, reader.state.merged.tree, touched_subtrees(record)
        )
    return PublishResult(status, outcome.version, outcome.reason, concurrent_changes)


def diff_subtrees(tree_before, tree_after, names):
    """Return the Differences in the named subtrees between two trees."""
    differences = []
    for name in names:
        old, new = get_subtree(tree_before, name), get_subtree(tree_after, name)
        old = MISSING if old is None else old
        differences += diff_values(old, MISSING if new is None else new, name)
    return differences


def create_change(edit, record_id, author, comment=""):
    """Return the Change record for a DirectoryEdit."""
    sets, deletes = edit.change
    return Change(record_id, edit.base, author, sets, deletes, comment)


class _Status(msgspec.Struct):
    config_version: int = 0
    agents_config_min: int | None = None


def lagging_entries(entries, version, pool):
    """Return ``{url: reason}`` for entries where the version is not in force yet."""
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
        oldest = status.agents_config_min  # None if the entry has no agents
        if oldest is not None and oldest < version:
            lagging[url] = f"an agent has {oldest}"
    return lagging


def wait_until_in_force(entries, version, timeout_s=IN_FORCE_TIMEOUT_S):
    """Wait until all entries and their agents report the version.

    Return ``{url: reason}`` for the entries that still lag when the timeout expires.
    """
    pool = urllib3.PoolManager()
    end = time.monotonic() + timeout_s
    while True:
        lagging = lagging_entries(entries, version, pool)
        if not lagging or time.monotonic() >= end:
            pool.clear()
            return lagging
        time.sleep(STATUS_POLL_INTERVAL_S)
