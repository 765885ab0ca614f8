"""Differences between trees, as changes of paths and as text."""

from dataclasses import dataclass

import msgspec

MISSING = msgspec.UNSET


@dataclass(slots=True)
class Difference:
    """One path whose value differs; MISSING stands for no value."""

    path: str
    old: object
    new: object

    def __str__(self):
        if self.old is MISSING:
            return f"+ {self.path} = {_text(self.new)}"
        if self.new is MISSING:
            return f"- {self.path} = {_text(self.old)}"
        return f"~ {self.path} = {_text(self.old)} -> {_text(self.new)}"


def diff_values(old, new, path):
    """Return the differences below ``path``, descending into tables."""
    if isinstance(old, dict) and isinstance(new, dict):
        found = []
        for key in sorted(old.keys() | new.keys()):
            inner = old.get(key, MISSING), new.get(key, MISSING)
            found += diff_values(*inner, f"{path}.{key}" if path else key)
        return found
    # 1 and 1.0 and True are equal in Python and different settings here.
    if type(old) is type(new) and old == new:
        return []
    return [Difference(path, old, new)]


def to_change(differences):
    """Return ``(sets, deletes)`` that turn the old values into the new ones."""
    sets = {d.path: d.new for d in differences if d.new is not MISSING}
    deletes = [d.path for d in differences if d.new is MISSING]
    return sets, deletes


def _text(value):
    return msgspec.json.encode(value).decode()
