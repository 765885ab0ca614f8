"""The directory of TOML files that operators keep in version control.

``federation.toml`` holds the table ``defaults``; ``teams/<name>.toml`` holds one team.
``base.toml`` is written by the tool: the version that the files are based on and a
digest of each subtree, by which an edited file is told from one that is merely old.
"""

import hashlib
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import tomli_w

from turmericknot.core.exceptions import ConfigurationError

from .diff import MISSING, diff_values, to_change
from .records import DEFAULTS, TEAMS
from .schema import Problem, check_tree
from .tree import get_subtree, subtrees_by_name

FEDERATION_FILE = "federation.toml"
BASE_FILE = "base.toml"


@dataclass(slots=True)
class Base:
    """What the files of a directory are based on."""

    version: int = 0
    digests: dict = field(default_factory=dict)


@dataclass(slots=True)
class Edit:
    """What an operator changed in the files since the base version."""

    base: int
    differences: list
    edited: list  # names of subtrees
    stale: list  # not edited here, changed by others since

    @property
    def change(self):
        """Return ``(sets, deletes)`` for a Change."""
        return to_change(self.differences)


def load_directory(path):
    """Return ``(tree, problems)`` of the files below ``path``."""
    root, problems = Path(path), []
    if not root.is_dir():
        raise ConfigurationError(f"{path} is not a directory")
    tree = {TEAMS: {}}
    federation = root / FEDERATION_FILE
    if federation.exists():
        tree = _load(federation, problems)
        if TEAMS in tree:
            problems.append(Problem(f"{FEDERATION_FILE}: {TEAMS}", "belongs in files"))
        tree = {**tree, TEAMS: {}}
    for file in sorted((root / TEAMS).glob("*.toml")):
        tree[TEAMS][file.stem] = _load(file, problems)
    return tree, problems + check_tree(tree)


def _load(file, problems):
    try:
        return tomllib.loads(file.read_text(encoding="utf-8"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        problems.append(Problem(file.name, f"not valid TOML: {error}"))
        return {}


def load_base(path):
    """Return the Base of a directory; version 0 when it was never published."""
    file = Path(path) / BASE_FILE
    if not file.exists():
        return Base()
    try:
        raw = tomllib.loads(file.read_text(encoding="utf-8"))
        return Base(int(raw["version"]), dict(raw["digests"]))
    except (tomllib.TOMLDecodeError, KeyError, TypeError, ValueError) as error:
        raise ConfigurationError(f"{file} is damaged: {error}") from error


def digest(subtree):
    """Return a digest of a subtree that does not depend on the order of keys."""
    data = msgspec.json.encode(subtree, order="deterministic")
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def find_edit(files, base, merge):
    """Return the Edit of the tree in the files against the merged tree.

    A subtree counts as edited when its digest differs from the one of the base. That
    way a file that is merely old does not undo what others published meanwhile.
    """
    present = subtrees_by_name(files)
    names = sorted(present.keys() | subtrees_by_name(merge.tree).keys())
    differences, edited, stale = [], [], []
    for name in names:
        ours, theirs = present.get(name), get_subtree(merge.tree, name)
        old = MISSING if theirs is None else theirs
        changes = diff_values(old, MISSING if ours is None else ours, name)
        if not changes:
            continue
        known = base.digests.get(name)
        if known == (None if ours is None else digest(ours)):
            stale.append(name)
            continue
        edited.append(name)
        differences += changes
    return Edit(base.version, differences, edited, stale)


def write_subtrees(path, tree, names):
    """Write the named subtrees of a tree to their files; remove those without."""
    root = Path(path)
    (root / TEAMS).mkdir(parents=True, exist_ok=True)
    for name in names:
        subtree = get_subtree(tree, name)
        if name == DEFAULTS:
            content = {} if subtree is None else {DEFAULTS: subtree}
            (root / FEDERATION_FILE).write_text(tomli_w.dumps(content), "utf-8")
            continue
        file = root / TEAMS / f"{name.partition('.')[2]}.toml"
        if subtree is None:
            file.unlink(missing_ok=True)
        else:
            file.write_text(tomli_w.dumps(subtree), "utf-8")


def write_base(path, merge):
    """Record the merged state as the base of the files."""
    digests = {name: digest(sub) for name, sub in subtrees_by_name(merge.tree).items()}
    content = {"version": merge.version, "digests": digests}
    (Path(path) / BASE_FILE).write_text(tomli_w.dumps(content), "utf-8")
