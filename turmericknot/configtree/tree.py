"""Merge the records of the stream ``config``, in offset order, into one tree.

Merging performs no I/O and is deterministic, so all processes reach the same state. A
change is accepted if every subtree that it touches has a version at or below its base;
otherwise it is a conflict. Invalid records are skipped. Trees are never modified in
place, so callers may keep a tree that they were given.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from .records import (
    DEFAULTS_KEY,
    TEAMS_KEY,
    Change,
    InvalidRecord,
    Restore,
    Snapshot,
    decode_record,
    split_path,
    touched_subtrees,
)
from .schema import check_subtree


class Verdict(StrEnum):
    """Result of merging a record."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    SNAPSHOT = "snapshot"  # no effect: its content was already merged
    RESTORED = "restored"


@dataclass(slots=True)
class Outcome:
    """Verdict on one record of the stream, kept for display."""

    offset: int
    time: float
    verdict: Verdict
    version: int  # in force after the record
    reason: str = ""
    record: Change | Snapshot | Restore | None = None

    @property
    def record_id(self):
        """Return the id of the record, or b"" if it could not be decoded."""
        return self.record.record_id if self.record else b""


@dataclass(slots=True)
class MergeState:
    """Tree and versions after all records below ``next_offset``."""

    version: int = 0
    next_offset: int = 0
    tree: dict = field(default_factory=dict)
    subtree_versions: dict = field(default_factory=dict)


def apply_record(state, offset, time, data):
    """Apply the record at ``state.next_offset`` and return its Outcome."""
    if offset != state.next_offset:
        raise ValueError(f"record {offset} applied, expected {state.next_offset}")
    record, verdict, reason = None, Verdict.INVALID, ""
    try:
        record = decode_record(data)
        if isinstance(record, Change):
            verdict, reason = _apply_change(state, offset, record)
        elif isinstance(record, Restore):
            verdict = _apply_restore(state, offset, record)
        else:
            verdict = Verdict.SNAPSHOT
    except InvalidRecord as error:
        reason = str(error)
    state.next_offset = offset + 1
    return Outcome(offset, time, verdict, state.version, reason, record)


def state_from_snapshot(snapshot):
    """Return the MergeState that a snapshot describes."""
    return MergeState(
        version=snapshot.version,
        next_offset=snapshot.next_offset,
        tree=snapshot.tree,
        subtree_versions=dict(snapshot.subtree_versions),
    )


def state_to_snapshot(state, record_id, author=""):
    """Return a snapshot of the state."""
    return Snapshot(
        record_id=record_id,
        version=state.version,
        next_offset=state.next_offset,
        tree=state.tree,
        subtree_versions=state.subtree_versions,
        author=author,
    )


def conflicting_subtrees(state, change):
    """Return the names of touched subtrees that changed after the change's base."""
    versions = state.subtree_versions
    return [
        name for name in touched_subtrees(change) if versions.get(name, 0) > change.base
    ]


def _apply_change(state, offset, change):
    if not 0 <= change.base <= state.version:
        raise InvalidRecord(
            f"base {change.base} is negative or newer than the merged version"
        )
    conflicting = conflicting_subtrees(state, change)
    if conflicting:
        return (
            Verdict.CONFLICT,
            f"changed after {change.base}: {', '.join(conflicting)}",
        )
    subtrees = {
        name: get_subtree(state.tree, name) for name in touched_subtrees(change)
    }
    for path in change.deletes:
        name, keys = split_path(path)
        subtrees[name] = _without_value(subtrees[name], keys)
    for path, value in change.sets.items():
        name, keys = split_path(path)
        subtrees[name] = _with_value(subtrees[name], keys, value, path)
    for name, subtree in subtrees.items():
        _validate_subtree(subtree, name)
    for name, subtree in subtrees.items():
        state.tree = _with_subtree(state.tree, name, subtree)
    # A deleted team keeps its version, so that an older change cannot recreate it.
    new_versions = dict.fromkeys(subtrees, offset + 1)
    state.subtree_versions = state.subtree_versions | new_versions
    state.version = offset + 1
    return Verdict.ACCEPTED, ""


def _apply_restore(state, offset, restore):
    validate_tree(restore.tree)
    state.tree = restore.tree
    state.version = offset + 1
    state.subtree_versions = dict.fromkeys(subtrees_by_name(restore.tree), offset + 1)
    return Verdict.RESTORED


def validate_snapshot(snapshot):
    """Raise InvalidRecord unless the versions and the tree of a snapshot are valid."""
    if not 0 <= snapshot.version <= snapshot.next_offset:
        raise InvalidRecord("version of the snapshot is above its next offset")
    if any(v > snapshot.version for v in snapshot.subtree_versions.values()):
        raise InvalidRecord("a subtree is newer than the snapshot")
    validate_tree(snapshot.tree)


def validate_tree(tree):
    """Raise InvalidRecord unless every subtree conforms to the schema."""
    for name, subtree in subtrees_by_name(tree).items():
        _validate_subtree(subtree, name)


def get_subtree(tree, name):
    """Return the subtree ``defaults`` or ``teams.<name>``, or None if it is missing."""
    branch, _, team = name.partition(".")
    if branch == DEFAULTS_KEY:
        return tree.get(DEFAULTS_KEY)
    return tree.get(TEAMS_KEY, {}).get(team)


def subtrees_by_name(tree):
    """Return a dict of the subtrees of a tree by name."""
    subtrees = {
        f"{TEAMS_KEY}.{name}": team for name, team in tree.get(TEAMS_KEY, {}).items()
    }
    if DEFAULTS_KEY in tree:
        subtrees[DEFAULTS_KEY] = tree[DEFAULTS_KEY]
    return subtrees


def _with_subtree(tree, name, subtree):
    """Return a copy of the tree with one subtree replaced or, if None, removed."""
    branch, _, team = name.partition(".")
    if branch == DEFAULTS_KEY:
        return _with_key(tree, DEFAULTS_KEY, subtree)
    return tree | {TEAMS_KEY: _with_key(tree.get(TEAMS_KEY, {}), team, subtree)}


def _with_key(table, key, value):
    if value is None:
        return {k: v for k, v in table.items() if k != key}
    return table | {key: value}


def _with_value(table, keys, value, path):
    """Return a copy of the table with the value at ``keys``."""
    if not keys:
        return value
    if table is None:
        table = {}
    if not isinstance(table, dict):
        raise InvalidRecord(f"{path} goes through a value that is not a table")
    return table | {keys[0]: _with_value(table.get(keys[0]), keys[1:], value, path)}


def _without_value(table, keys):
    """Return a copy of the table without the value at ``keys``.

    Return None if ``keys`` is empty, that is, the table itself is deleted.
    """
    if not keys:
        return None
    if not isinstance(table, dict) or keys[0] not in table:
        return table
    return _with_key(table, keys[0], _without_value(table[keys[0]], keys[1:]))


def _validate_subtree(subtree, name):
    if subtree is None:
        return
    problems = check_subtree(subtree, name, strict=False)
    if problems:
        raise InvalidRecord("; ".join(str(problem) for problem in problems))


def resolve_team_settings(tree, team):
    """Return a team's settings completed by the defaults.

    Tables are merged key by key, one level deep.
    """
    merged = dict(tree.get("defaults", {}))
    for key, value in tree.get("teams", {}).get(team, {}).items():
        default = merged.get(key)
        if isinstance(value, dict) and isinstance(default, dict):
            value = {**default, **value}
        merged[key] = value
    return merged
