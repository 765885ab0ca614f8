"""Differences between configuration trees, as path changes and as text."""

from dataclasses import dataclass

import msgspec

MISSING = msgspec.UNSET


@dataclass(slots=True)
class Difference:
    """A path whose value differs; MISSING means that the path has no value."""

    path: str
    old: object
    new: object

    def __str__(self):
        if self.old is MISSING:
            return f"+ {self.path} = {_format_value(self.new)}"
        if self.new is MISSING:
            return f"- {self.path} = {_format_value(self.old)}"
        return f"~ {self.path} = {_format_value(self.old)} -> {_format_value(self.new)}"


def diff_values(old, new, path):
    """Return the differences between two values at ``path``, recursing into tables."""
    if isinstance(old, dict) and isinstance(new, dict):
        differences = []
        for key in sorted(old.keys() | new.keys()):
            values = old.get(key, MISSING), new.get(key, MISSING)
            differences += diff_values(*values, f"{path}.{key}" if path else key)
        return differences
    # 1, 1.0 and True compare equal in Python but are different settings.
    if type(old) is type(new) and old == new:
        return []
    return [Difference(path, old, new)]


def to_sets_and_deletes(differences):
    """Return the ``(sets, deletes)`` of a Change that makes these differences."""
    sets = {d.path: d.new for d in differences if d.new is not MISSING}
    deletes = [d.path for d in differences if d.new is MISSING]
    return sets, deletes


def _format_value(value):
    return msgspec.json.encode(value).decode()
