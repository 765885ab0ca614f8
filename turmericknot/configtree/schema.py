"""Schema of a team's subtree and of ``defaults``.

A rule is a function ``rule(value, path, report, strict)``. The rules of the keys
below are part of the merge and may not change, or processes of different versions
would disagree about a record. A key added later is checked before publishing only
(``strict``) and must be read leniently.
"""

import difflib
from dataclasses import dataclass

from .records import DEFAULTS, NAME, TEAMS

MAX_SECONDS = 86_400.0
MAX_COUNT = 10**9


@dataclass(slots=True)
class Problem:
    """One finding; a warning does not prevent publishing."""

    path: str
    message: str
    hint: str = ""
    warning: bool = False

    def __str__(self):
        level = "warning" if self.warning else "error"
        hint = f" ({self.hint})" if self.hint else ""
        return f"{level}: {self.path}: {self.message}{hint}"


def _number(minimum, maximum, above=False):
    """Return a rule for numbers; with ``above`` the minimum itself is excluded."""

    def rule(value, path, report, strict):
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            report(Problem(path, f"must be a number, not {_kind(value)}"))
        elif value > maximum or value < minimum or (above and value == minimum):
            low = f"above {minimum:g}" if above else f"at least {minimum:g}"
            text = f"must be {low} and at most {maximum:g}, not {value:g}"
            report(Problem(path, text))

    return rule


def _integer(minimum, maximum):
    in_range = _number(minimum, maximum)

    def rule(value, path, report, strict):
        if isinstance(value, bool) or not isinstance(value, int):
            report(Problem(path, f"must be a whole number, not {_kind(value)}"))
        else:
            in_range(value, path, report, strict)

    return rule


def _boolean(value, path, report, strict):
    if not isinstance(value, bool):
        report(Problem(path, f"must be true or false, not {_kind(value)}"))


def _table(rules):
    """Return a rule for a table with known keys."""

    def rule(value, path, report, strict):
        if not isinstance(value, dict):
            report(Problem(path, f"must be a table, not {_kind(value)}"))
            return
        for key, inner in value.items():
            if key in rules:
                rules[key](inner, f"{path}.{key}", report, strict)
            elif strict:
                report(
                    Problem(
                        f"{path}.{key}", "unknown key", suggest_spelling(key, rules)
                    )
                )

    return rule


def _by_class(inner_rule):
    """Return a rule for a table whose keys are names of task classes."""

    def rule(value, path, report, strict):
        if not isinstance(value, dict):
            report(Problem(path, f"must be a table, not {_kind(value)}"))
            return
        for name, inner in value.items():
            if not NAME.fullmatch(name):
                text = "a class name has lower-case letters, digits, - and _"
                report(Problem(f"{path}.{name}", text))
            inner_rule(inner, f"{path}.{name}", report, strict)

    return rule


def _kind(value):
    kinds = {bool: "true or false", str: "text", dict: "a table", list: "a list"}
    return kinds.get(type(value), type(value).__name__)


def suggest_spelling(key, known):
    """Return a hint for a misspelt key."""
    close = difflib.get_close_matches(key, list(known), n=1)
    if close:
        return f"did you mean {close[0]!r}?"
    return f"known: {', '.join(sorted(known))}"


_seconds = _number(0, MAX_SECONDS, above=True)
_count = _integer(0, MAX_COUNT)

_subtree = _table(
    {
        "allowance": _count,
        "weight": _number(0, 1e6, above=True),
        "priorities": _by_class(_integer(-1000, 1000)),
        "limits": _table(
            {
                "max_running": _count,
                "max_queued": _count,
                "max_tasks_per_job": _count,
                "max_processors": _number(0, MAX_COUNT),
                "max_memory_mb": _count,
                "max_accelerators": _count,
            }
        ),
        "classes": _by_class(
            _table(
                {
                    "deadline_s": _seconds,
                    "estimate_ms": _number(0, MAX_SECONDS * 1000, above=True),
                    "idempotent": _boolean,
                }
            )
        ),
        "retry": _table({"budget_share": _number(0, 1)}),
        "deadline_s": _seconds,
    }
)


def check_subtree(value, path, strict):
    """Return the problems of one subtree; ``strict`` also reports unknown keys."""
    problems = []
    _subtree(value, path, problems.append, strict)
    return problems


def check_tree(tree):
    """Return every problem of a whole tree, for a check before publishing."""
    problems = []
    for key in sorted(set(tree) - {DEFAULTS, TEAMS}):
        hint = suggest_spelling(key, (DEFAULTS, TEAMS))
        problems.append(Problem(key, "unknown branch", hint))
    defaults = tree.get(DEFAULTS, {})
    problems += check_subtree(defaults, DEFAULTS, strict=True)
    for name, team in sorted(tree.get(TEAMS, {}).items()):
        path = f"{TEAMS}.{name}"
        if not NAME.fullmatch(name):
            text = "a team name has lower-case letters, digits, - and _"
            problems.append(Problem(path, text))
        problems += check_subtree(team, path, strict=True)
        if isinstance(team, dict) and isinstance(defaults, dict):
            problems += _check_together(team, defaults, path)
    return problems


def _check_together(team, defaults, path):
    """Return problems that only show when several keys are seen together."""
    problems = []
    if "allowance" not in team and "allowance" not in defaults:
        text = "no allowance here or in defaults: the team cannot run anything"
        problems.append(Problem(path, text))
    # A table of the team replaces the one of the defaults.
    classes = _dict(team.get("classes", defaults.get("classes")))
    for name in _dict(team.get("priorities")):
        if classes and name not in classes:
            hint = suggest_spelling(name, classes)
            at = f"{path}.priorities.{name}"
            problems.append(Problem(at, "no class of this name", hint, warning=True))
    return problems


def _dict(value):
    return value if isinstance(value, dict) else {}
