"""Records of the log stream ``config`` and the paths that they name.

What this module accepts is part of the merge: every process has to come to the same
verdict about a record, whatever its version. The rules here may therefore not change;
later versions can only add optional fields.
"""

import math
import re
from typing import Any

import msgspec

from turmericknot.core.exceptions import TurmericknotError

CONFIG_STREAM = "config"
MAX_CHANGE_BYTES = 512 * 1024
MAX_DEPTH = 8
NAME = re.compile(r"[a-z0-9][a-z0-9_-]{0,62}")
DEFAULTS = "defaults"
TEAMS = "teams"


class InvalidRecord(TurmericknotError):
    """A record that every process skips."""


class Change(msgspec.Struct, array_like=True, frozen=True, tag="change"):
    """Set and delete values, provided that nothing touched changed after ``base``.

    A path is ``defaults.<key>…`` or ``teams.<name>[.<key>…]``. Deletes are applied
    before sets.
    """

    record_id: bytes
    base: int
    author: str
    sets: dict[str, Any] = {}
    deletes: list[str] = []
    comment: str = ""


class Snapshot(msgspec.Struct, array_like=True, frozen=True, tag="snapshot"):
    """The whole tree after every record below ``next_offset``."""

    record_id: bytes
    version: int
    next_offset: int
    tree: dict[str, dict[str, Any]]
    subtree_versions: dict[str, int]
    author: str = ""


class Restore(msgspec.Struct, array_like=True, frozen=True, tag="restore"):
    """Replace the whole tree, whatever it was.

    An operator writes one when the log has lost the configuration. It depends on no
    earlier record, so that processes with and without a history agree on it.
    """

    record_id: bytes
    author: str
    tree: dict[str, dict[str, Any]]
    comment: str = ""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Change | Snapshot | Restore)


def encode_record(record):
    """Return the bytes of a record."""
    return _encoder.encode(record)


def decode_record(data):
    """Return the record or raise InvalidRecord."""
    try:
        record = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidRecord(f"undecodable: {error}") from error
    if isinstance(record, Change):
        _check_change(record, len(data))
    else:
        _check_tree(record.tree)
    return record


def _check_change(change, size):
    if size > MAX_CHANGE_BYTES:
        raise InvalidRecord(f"change of {size} bytes exceeds {MAX_CHANGE_BYTES}")
    if not change.sets and not change.deletes:
        raise InvalidRecord("changes nothing")
    for path in (*change.sets, *change.deletes):
        split_path(path)
    for path, value in change.sets.items():
        check_plain(value, path)


def _check_tree(tree):
    unknown = set(tree) - {DEFAULTS, TEAMS}
    if unknown:
        raise InvalidRecord(f"unknown branches: {', '.join(sorted(unknown))}")
    for name in tree.get(TEAMS, {}):
        split_path(f"{TEAMS}.{name}")
    check_plain(tree, "tree")


def split_path(path):
    """Return the subtree that a path belongs to and the keys below it."""
    parts = path.split(".")
    if len(parts) > MAX_DEPTH or not all(parts):
        raise InvalidRecord(f"{path!r} is not a path")
    if parts[0] == DEFAULTS:
        return DEFAULTS, parts[1:]
    if parts[0] == TEAMS and len(parts) > 1 and NAME.fullmatch(parts[1]):
        return f"{TEAMS}.{parts[1]}", parts[2:]
    raise InvalidRecord(f"{path!r} names neither defaults nor a team")


def touched_subtrees(change):
    """Return the subtrees that a change sets or deletes values in."""
    return sorted({split_path(p)[0] for p in (*change.sets, *change.deletes)})


def check_plain(value, path, depth=0):
    """Raise InvalidRecord unless the value consists of plain data."""
    if depth > MAX_DEPTH:
        raise InvalidRecord(f"{path}: nested deeper than {MAX_DEPTH} levels")
    if isinstance(value, dict):
        for key, inner in value.items():
            if not isinstance(key, str) or not key or "." in key:
                raise InvalidRecord(f"{path}: {key!r} is not a key")
            check_plain(inner, f"{path}.{key}", depth + 1)
    elif isinstance(value, list):
        for inner in value:
            check_plain(inner, path, depth + 1)
    elif isinstance(value, float):
        if not math.isfinite(value):
            raise InvalidRecord(f"{path}: {value} is not a number")
    elif not isinstance(value, (str, int)):
        raise InvalidRecord(f"{path}: values of this type are not allowed")
