"""Records of the log stream ``config`` and their validation.

The rules of this module decide how records are merged. Processes of all versions must
reach the same verdict on a record, so existing rules must never change; later versions
can only add optional fields.
"""

import math
import re
from typing import Any

import msgspec

from turmericknot.core.exceptions import TurmericknotError

CONFIG_STREAM = "config"
MAX_CHANGE_BYTES = 512 * 1024
MAX_DEPTH = 8
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9_-]{0,62}")
DEFAULTS_KEY = "defaults"
TEAMS_KEY = "teams"


class InvalidRecord(TurmericknotError):
    """Raised for an invalid record, which every process skips."""


class Change(msgspec.Struct, array_like=True, frozen=True, tag="change"):
    """Set and delete values, if none of their subtrees changed after version ``base``.

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
    """The whole tree after all records below ``next_offset``."""

    record_id: bytes
    version: int
    next_offset: int
    tree: dict[str, dict[str, Any]]
    subtree_versions: dict[str, int]
    author: str = ""


class Restore(msgspec.Struct, array_like=True, frozen=True, tag="restore"):
    """Replace the whole tree unconditionally.

    Operators publish one when the log has lost the configuration. It does not depend on
    earlier records, so processes that have read them and those that have not agree.
    """

    record_id: bytes
    author: str
    tree: dict[str, dict[str, Any]]
    comment: str = ""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Change | Snapshot | Restore)


def encode_record(record):
    """Return the encoded record."""
    return _encoder.encode(record)


def decode_record(data):
    """Return the decoded record; raise InvalidRecord if it is not valid."""
    try:
        record = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidRecord(f"record cannot be decoded: {error}") from error
    if isinstance(record, Change):
        _validate_change(record, len(data))
    else:
        _validate_tree(record.tree)
    return record


def _validate_change(change, size):
    if size > MAX_CHANGE_BYTES:
        raise InvalidRecord(f"change of {size} bytes exceeds {MAX_CHANGE_BYTES}")
    if not change.sets and not change.deletes:
        raise InvalidRecord("change neither sets nor deletes a value")
    for path in (*change.sets, *change.deletes):
        split_path(path)
    for path, value in change.sets.items():
        validate_plain_data(value, path)


def _validate_tree(tree):
    unknown = set(tree) - {DEFAULTS_KEY, TEAMS_KEY}
    if unknown:
        raise InvalidRecord(f"unknown branches: {', '.join(sorted(unknown))}")
    for name in tree.get(TEAMS_KEY, {}):
        split_path(f"{TEAMS_KEY}.{name}")
    validate_plain_data(tree, "tree")


def split_path(path):
    """Return the name of a path's subtree and the list of keys below it."""
    parts = path.split(".")
    if len(parts) > MAX_DEPTH or not all(parts):
        raise InvalidRecord(f"{path!r} is not a valid path")
    if parts[0] == DEFAULTS_KEY:
        return DEFAULTS_KEY, parts[1:]
    if parts[0] == TEAMS_KEY and len(parts) > 1 and NAME_PATTERN.fullmatch(parts[1]):
        return f"{TEAMS_KEY}.{parts[1]}", parts[2:]
    raise InvalidRecord(f"{path!r} does not start with defaults or teams.<name>")


def touched_subtrees(change):
    """Return the names of the subtrees in which a change sets or deletes values."""
    return sorted({split_path(p)[0] for p in (*change.sets, *change.deletes)})


def validate_plain_data(value, path, depth=0):
    """Raise InvalidRecord unless the value consists of tables, lists and scalars."""
    if depth > MAX_DEPTH:
        raise InvalidRecord(f"{path}: nested deeper than {MAX_DEPTH} levels")
    if isinstance(value, dict):
        for key, inner in value.items():
            if not isinstance(key, str) or not key or "." in key:
                raise InvalidRecord(f"{path}: {key!r} is not a valid key")
            validate_plain_data(inner, f"{path}.{key}", depth + 1)
    elif isinstance(value, list):
        for inner in value:
            validate_plain_data(inner, path, depth + 1)
    elif isinstance(value, float):
        if not math.isfinite(value):
            raise InvalidRecord(f"{path}: {value} is not a finite number")
    elif not isinstance(value, (str, int)):
        raise InvalidRecord(f"{path}: values of this type are not allowed")
