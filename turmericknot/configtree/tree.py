"""The merge: records of the stream in offset order to one tree.

Pure and the same everywhere. A change is accepted when every subtree that it
touches has a version at or below its base; otherwise it is a conflict. A record that
is not valid is skipped. Trees are never modified in place, so that a reader may keep
the tree that it was given.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from .records import (
    DEFAULTS,
    TEAMS,
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
    """What the merge made of a record."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    SNAPSHOT = "snapshot"  # its content was known already
    RESTORED = "restored"


@dataclass(slots=True)
class Outcome:
    """One record of the stream with its verdict, kept for display."""

    offset: int
    time: float
    verdict: Verdict
    version: int  # in force after the record
    reason: str = ""
    record: Change | Snapshot | Restore | None = None

    @property
    def record_id(self):
        """Return the id that the writer gave to the record."""
        return self.record.record_id if self.record else b""


@dataclass(slots=True)
class MergeState:
    """Result of all records below ``next_offset``."""

    version: int = 0
    next_offset: int = 0
    tree: dict = field(default_factory=dict)
    subtree_versions: dict = field(default_factory=dict)


def apply_record(state, offset, time, data):
    """Apply the record at ``state.next_offset`` and return its Outcome."""
    if offset != state.next_offset:
        raise ValueError(f"record {offset} applied at {state.next_offset}")
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
    """Return the state that a snapshot describes."""
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
    """Return the touched subtrees that changed after the base of the change."""
    versions = state.subtree_versions
    return [
        name for name in touched_subtrees(change) if versions.get(name, 0) > change.base
    ]


def _apply_change(state, offset, change):
    if not 0 <= change.base <= state.version:
        raise InvalidRecord(f"base {change.base} is not a version")
    newer = conflicting_subtrees(state, change)
    if newer:
        return Verdict.CONFLICT, f"changed after {change.base}: {', '.join(newer)}"
    subtrees = {
        name: get_subtree(state.tree, name) for name in touched_subtrees(change)
    }
    for path in change.deletes:
        name, keys = split_path(path)
        subtrees[name] = _deleted(subtrees[name], keys)
    for path, value in change.sets.items():
        name, keys = split_path(path)
        subtrees[name] = _set(subtrees[name], keys, value, path)
    for name, subtree in subtrees.items():
        _check(subtree, name)
    for name, subtree in subtrees.items():
        state.tree = _with_subtree(state.tree, name, subtree)
    # A deleted team keeps its version: an older change must not bring it back.
    stamps = dict.fromkeys(subtrees, offset + 1)
    state.subtree_versions = state.subtree_versions | stamps
    state.version = offset + 1
    return Verdict.ACCEPTED, ""


def _apply_restore(state, offset, restore):
    check_tree(restore.tree)
    state.tree = restore.tree
    state.version = offset + 1
    state.subtree_versions = dict.fromkeys(subtrees_by_name(restore.tree), offset + 1)
    return Verdict.RESTORED


def check_snapshot(snapshot):
    """Raise InvalidRecord unless the content of a snapshot can be installed."""
    if not 0 <= snapshot.version <= snapshot.next_offset:
        raise InvalidRecord("version of the snapshot is above its offset")
    if any(v > snapshot.version for v in snapshot.subtree_versions.values()):
        raise InvalidRecord("a subtree is newer than the snapshot")
    check_tree(snapshot.tree)


def check_tree(tree):
    """Raise InvalidRecord unless every subtree follows the schema."""
    for name, subtree in subtrees_by_name(tree).items():
        _check(subtree, name)


def get_subtree(tree, name):
    """Return the subtree ``defaults`` or ``teams.<name>``; None when there is none."""
    branch, _, team = name.partition(".")
    if branch == DEFAULTS:
        return tree.get(DEFAULTS)
    return tree.get(TEAMS, {}).get(team)


def subtrees_by_name(tree):
    """Return the subtrees of a tree by name."""
    found = {f"{TEAMS}.{name}": team for name, team in tree.get(TEAMS, {}).items()}
    if DEFAULTS in tree:
        found[DEFAULTS] = tree[DEFAULTS]
    return found


def _with_subtree(tree, name, subtree):
    """Return a copy of the tree with one subtree replaced or, if None, removed."""
    branch, _, team = name.partition(".")
    if branch == DEFAULTS:
        return _with_key(tree, DEFAULTS, subtree)
    return tree | {TEAMS: _with_key(tree.get(TEAMS, {}), team, subtree)}


def _with_key(table, key, value):
    if value is None:
        return {k: v for k, v in table.items() if k != key}
    return table | {key: value}


def _set(table, keys, value, path):
    """Return a copy of the table with the value at ``keys``."""
    if not keys:
        return value
    if table is None:
        table = {}
    if not isinstance(table, dict):
        raise InvalidRecord(f"{path} leads through a value that is no table")
    return table | {keys[0]: _set(table.get(keys[0]), keys[1:], value, path)}


def _deleted(table, keys):
    """Return a copy of the table without ``keys``; None when all of it goes."""
    if not keys:
        return None
    if not isinstance(table, dict) or keys[0] not in table:
        return table
    return _with_key(table, keys[0], _deleted(table[keys[0]], keys[1:]))


def _check(subtree, name):
    if subtree is None:
        return
    problems = check_subtree(subtree, name, strict=False)
    if problems:
        raise InvalidRecord("; ".join(str(problem) for problem in problems))


def resolve_team_settings(tree, team):
    """Return a team's settings over the defaults; tables are merged key by key."""
    merged = dict(tree.get("defaults", {}))
    for key, value in tree.get("teams", {}).get(team, {}).items():
        default = merged.get(key)
        if isinstance(value, dict) and isinstance(default, dict):
            value = {**default, **value}
        merged[key] = value
    return merged
