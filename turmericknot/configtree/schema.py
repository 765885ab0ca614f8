"""Schema of the subtrees ``defaults`` and ``teams.<name>``.

A rule is a function ``rule(value, path, add_problem, strict)``. The rules of the keys
below decide how records are merged and must not change, or processes of different
versions would disagree about a record. A key added later must be checked only before
publishing (``strict``), and its readers must tolerate invalid values.
"""

import difflib
from dataclasses import dataclass

from .records import DEFAULTS_KEY, NAME_PATTERN, TEAMS_KEY

MAX_SECONDS = 86_400.0
MAX_COUNT = 10**9


@dataclass(slots=True)
class Problem:
    """A problem found in a tree; warnings do not prevent publishing."""

    path: str
    message: str
    hint: str = ""
    warning: bool = False

    def __str__(self):
        level = "warning" if self.warning else "error"
        hint = f" ({self.hint})" if self.hint else ""
        return f"{level}: {self.path}: {self.message}{hint}"


def _number_rule(minimum, maximum, exclusive_minimum=False):
    """Return a rule for numbers; ``exclusive_minimum`` excludes the minimum itself."""

    def rule(value, path, add_problem, strict):
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            add_problem(Problem(path, f"must be a number, not {_type_name(value)}"))
        elif (
            value > maximum
            or value < minimum
            or (exclusive_minimum and value == minimum)
        ):
            lower_bound = (
                f"above {minimum:g}" if exclusive_minimum else f"at least {minimum:g}"
            )
            message = f"must be {lower_bound} and at most {maximum:g}, not {value:g}"
            add_problem(Problem(path, message))

    return rule


def _integer_rule(minimum, maximum):
    in_range = _number_rule(minimum, maximum)

    def rule(value, path, add_problem, strict):
        if isinstance(value, bool) or not isinstance(value, int):
            add_problem(
                Problem(path, f"must be a whole number, not {_type_name(value)}")
            )
        else:
            in_range(value, path, add_problem, strict)

    return rule


def _boolean_rule(value, path, add_problem, strict):
    if not isinstance(value, bool):
        add_problem(Problem(path, f"must be true or false, not {_type_name(value)}"))


def _table_rule(rules):
    """Return a rule for a table; ``rules`` holds the rule of each known key."""

    def rule(value, path, add_problem, strict):
        if not isinstance(value, dict):
            add_problem(Problem(path, f"must be a table, not {_type_name(value)}"))
            return
        for key, inner in value.items():
            if key in rules:
                rules[key](inner, f"{path}.{key}", add_problem, strict)
            elif strict:
                add_problem(
                    Problem(
                        f"{path}.{key}", "unknown key", suggest_spelling(key, rules)
                    )
                )

    return rule


def _class_table_rule(inner_rule):
    """Return a rule for a table with task class names as keys."""

    def rule(value, path, add_problem, strict):
        if not isinstance(value, dict):
            add_problem(Problem(path, f"must be a table, not {_type_name(value)}"))
            return
        for name, inner in value.items():
            if not NAME_PATTERN.fullmatch(name):
                message = "a class name has lower-case letters, digits, - and _"
                add_problem(Problem(f"{path}.{name}", message))
            inner_rule(inner, f"{path}.{name}", add_problem, strict)

    return rule


def _type_name(value):
    type_names = {bool: "true or false", str: "text", dict: "a table", list: "a list"}
    return type_names.get(type(value), type(value).__name__)


def suggest_spelling(key, known_keys):
    """Return a hint with the closest known key, or with all known keys."""
    matches = difflib.get_close_matches(key, list(known_keys), n=1)
    if matches:
        return f"did you mean {matches[0]!r}?"
    return f"known: {', '.join(sorted(known_keys))}"


_seconds_rule = _number_rule(0, MAX_SECONDS, exclusive_minimum=True)
_count_rule = _integer_rule(0, MAX_COUNT)

_subtree_rule = _table_rule(
    {
        "allowance": _count_rule,
        "weight": _number_rule(0, 1e6, exclusive_minimum=True),
        "priorities": _class_table_rule(_integer_rule(-1000, 1000)),
        "limits": _table_rule(
            {
                "max_running": _count_rule,
                "max_queued": _count_rule,
                "max_tasks_per_job": _count_rule,
                "max_processors": _number_rule(0, MAX_COUNT),
                "max_memory_mb": _count_rule,
                "max_accelerators": _count_rule,
            }
        ),
        "classes": _class_table_rule(
            _table_rule(
                {
                    "deadline_s": _seconds_rule,
                    "estimate_ms": _number_rule(
                        0, MAX_SECONDS * 1000, exclusive_minimum=True
                    ),
                    "idempotent": _boolean_rule,
                }
            )
        ),
        "retry": _table_rule({"budget_share": _number_rule(0, 1)}),
        "deadline_s": _seconds_rule,
    }
)


def check_subtree(value, path, strict):
    """Return the problems of a subtree; ``strict`` also reports unknown keys."""
    problems = []
    _subtree_rule(value, path, problems.append, strict)
    return problems


def check_tree(tree):
    """Return all problems of a tree, including those checked only before publishing."""
    problems = []
    for key in sorted(set(tree) - {DEFAULTS_KEY, TEAMS_KEY}):
        hint = suggest_spelling(key, (DEFAULTS_KEY, TEAMS_KEY))
        problems.append(Problem(key, "unknown branch", hint))
    defaults = tree.get(DEFAULTS_KEY, {})
    problems += check_subtree(defaults, DEFAULTS_KEY, strict=True)
    for name, team in sorted(tree.get(TEAMS_KEY, {}).items()):
        path = f"{TEAMS_KEY}.{name}"
        if not NAME_PATTERN.fullmatch(name):
            message = "a team name has lower-case letters, digits, - and _"
            problems.append(Problem(path, message))
        problems += check_subtree(team, path, strict=True)
        if isinstance(team, dict) and isinstance(defaults, dict):
            problems += _check_key_combinations(team, defaults, path)
    return problems


def _check_key_combinations(team, defaults, path):
    """Return the problems of combinations of keys that are valid individually."""
    problems = []
    if "allowance" not in team and "allowance" not in defaults:
        message = "no allowance here or in defaults: the team cannot run anything"
        problems.append(Problem(path, message))
    # The classes table of a team replaces that of the defaults.
    classes = _dict_or_empty(team.get("classes", defaults.get("classes")))
    for name in _dict_or_empty(team.get("priorities")):
        if classes and name not in classes:
            hint = suggest_spelling(name, classes)
            priority_path = f"{path}.priorities.{name}"
            problems.append(
                Problem(priority_path, "no class of this name", hint, warning=True)
            )
    return problems


def _dict_or_empty(value):
    return value if isinstance(value, dict) else {}
