"""Configuration files: a directory of TOML files kept in version control by operators.

``federation.toml`` holds the table ``defaults``; ``teams/<name>.toml`` holds one team.
``base.toml`` is written by the commands. It holds the version that the files are based
on and a digest of each subtree, to distinguish edited files from outdated ones.
"""

import hashlib
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import tomli_w

from turmericknot.core.exceptions import ConfigurationError

from .diff import MISSING, diff_values, to_sets_and_deletes
from .records import DEFAULTS_KEY, TEAMS_KEY
from .schema import Problem, check_tree
from .tree import get_subtree, subtrees_by_name

FEDERATION_FILE = "federation.toml"
BASE_FILE = "base.toml"


@dataclass(slots=True)
class DirectoryBase:
    """The published version, with digests of its subtrees, that files are based on."""

    version: int = 0
    digests: dict = field(default_factory=dict)


@dataclass(slots=True)
class DirectoryEdit:
    """Changes that an operator made to the files since the base version."""

    base: int
    differences: list
    edited: list  # names of subtrees edited in the files
    stale: list  # names of subtrees changed by others but not edited here

    @property
    def change(self):
        """Return ``(sets, deletes)`` for a Change."""
        return to_sets_and_deletes(self.differences)


def load_directory(path):
    """Return ``(tree, problems)`` for the files of a directory."""
    root, problems = Path(path), []
    if not root.is_dir():
        raise ConfigurationError(f"{path} is not a directory")
    tree = {TEAMS_KEY: {}}
    federation = root / FEDERATION_FILE
    if federation.exists():
        tree = _load_toml(federation, problems)
        if TEAMS_KEY in tree:
            problems.append(
                Problem(
                    f"{FEDERATION_FILE}: {TEAMS_KEY}",
                    "must be in files of their own",
                )
            )
        tree = {**tree, TEAMS_KEY: {}}
    for file in sorted((root / TEAMS_KEY).glob("*.toml")):
        tree[TEAMS_KEY][file.stem] = _load_toml(file, problems)
    return tree, problems + check_tree(tree)


def _load_toml(file, problems):
    try:
        return tomllib.loads(file.read_text(encoding="utf-8"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        problems.append(Problem(file.name, f"not valid TOML: {error}"))
        return {}


def load_base(path):
    """Return the DirectoryBase of a directory, version 0 if it was never published."""
    file = Path(path) / BASE_FILE
    if not file.exists():
        return DirectoryBase()
    try:
        raw = tomllib.loads(file.read_text(encoding="utf-8"))
        return DirectoryBase(int(raw["version"]), dict(raw["digests"]))
    except (tomllib.TOMLDecodeError, KeyError, TypeError, ValueError) as error:
        raise ConfigurationError(f"{file} is not a valid base file: {error}") from error


def digest_subtree(subtree):
    """Return a digest of a subtree that is independent of the order of its keys."""
    data = msgspec.json.encode(subtree, order="deterministic")
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def find_edit(files, base, merged):
    """Return the DirectoryEdit that turns the merged tree into the tree of the files.

    A subtree counts as edited only if its digest differs from that of the base, so
    that an outdated file does not undo what others have published in the meantime.
    """
    file_subtrees = subtrees_by_name(files)
    names = sorted(file_subtrees.keys() | subtrees_by_name(merged.tree).keys())
    differences, edited, stale = [], [], []
    for name in names:
        file_subtree, merged_subtree = (
            file_subtrees.get(name),
            get_subtree(merged.tree, name),
        )
        old = MISSING if merged_subtree is None else merged_subtree
        changes = diff_values(
            old, MISSING if file_subtree is None else file_subtree, name
        )
        if not changes:
            continue
        base_digest = base.digests.get(name)
        if base_digest == (
            None if file_subtree is None else digest_subtree(file_subtree)
        ):
            stale.append(name)
            continue
        edited.append(name)
        differences += changes
    return DirectoryEdit(base.version, differences, edited, stale)


def write_subtrees(path, tree, names):
    """Write the named subtrees to their files; delete the file of a missing team."""
    root = Path(path)
    (root / TEAMS_KEY).mkdir(parents=True, exist_ok=True)
    for name in names:
        subtree = get_subtree(tree, name)
        if name == DEFAULTS_KEY:
            content = {} if subtree is None else {DEFAULTS_KEY: subtree}
            (root / FEDERATION_FILE).write_text(tomli_w.dumps(content), "utf-8")
            continue
        file = root / TEAMS_KEY / f"{name.partition('.')[2]}.toml"
        if subtree is None:
            file.unlink(missing_ok=True)
        else:
            file.write_text(tomli_w.dumps(subtree), "utf-8")


def write_base(path, merged):
    """Write the base file for files that match the merged state."""
    digests = {
        name: digest_subtree(subtree)
        for name, subtree in subtrees_by_name(merged.tree).items()
    }
    content = {"version": merged.version, "digests": digests}
    (Path(path) / BASE_FILE).write_text(tomli_w.dumps(content), "utf-8")
