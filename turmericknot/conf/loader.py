"""Load settings files (TOML) and report every problem of a file at once."""

import difflib
import math
import tomllib
from dataclasses import dataclass

import msgspec

from turmericknot.core.exceptions import SettingsError

from .rules import ANY, RELATIONS, RULES
from .schema import AgentSettings, EntrySettings

ROLES = {"entry": EntrySettings, "agent": AgentSettings}
_ID_KEYS = {"entry": "entry_id", "agent": "agent_id"}
_TYPE_NAMES = {
    str: "a string",
    int: "an integer",
    float: "a number",
    tuple[str, ...]: "a list of strings",
}
_MAX_FOUND_CHARACTERS = 80


class ProblemKind:
    """What is wrong with a settings file; system checks give each kind an id."""

    FILE = "file"
    KEY = "key"
    VALUE = "value"
    RELATION = "relation"


@dataclass(slots=True, frozen=True)
class Problem:
    """One problem: where it is, what was found and what is allowed."""

    file: str
    key: str
    found: str
    allowed: str
    kind: str
    suggestion: str = ""

    def __str__(self):
        place = f"{self.file}: {self.key}" if self.key else self.file
        text = f"{place}: found {self.found}; allowed: {self.allowed}"
        if self.suggestion:
            text += f"; did you mean {self.suggestion!r}?"
        return text


def load_settings(path, role=None):
    """Return the settings in a file; raise SettingsError with all its problems.

    Without ``role`` the file itself tells by its ``entry_id`` or ``agent_id``.
    """
    document = _read(path)
    found = detect_role(path, document)
    if role not in (None, found):
        raise SettingsError([_wrong_role(path, found, role)])
    settings, problems = build_settings(ROLES[found], document, str(path))
    if problems:
        raise SettingsError(problems)
    return settings


def detect_role(path, document):
    """Return the role that a parsed settings file is for."""
    roles = [role for role, key in _ID_KEYS.items() if key in document]
    if len(roles) == 1:
        return roles[0]
    found = "both entry_id and agent_id" if roles else "neither entry_id nor agent_id"
    allowed = "one of them, which tells the role"
    raise SettingsError([Problem(str(path), "", found, allowed, ProblemKind.KEY)])


def _wrong_role(path, found, role):
    """Return the problem of a file that is meant for the other role."""
    allowed = f"{_ID_KEYS[role]} and the settings of an {role}"
    return Problem(
        str(path), "", f"the settings of an {found}", allowed, ProblemKind.KEY
    )


def build_settings(struct, document, file):
    """Return ``(settings, problems)`` of a parsed file; settings may be None."""
    problems = []
    values = _values(struct, document, file, "", problems)
    if any(problem.kind != ProblemKind.RELATION for problem in problems):
        return None, problems
    return struct(**values), problems


def _read(path):
    """Return the parsed TOML file or raise SettingsError."""
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as error:
        found, allowed = f"{error.strerror}", "a readable file"
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        found, allowed = f"invalid TOML ({error})", "a TOML document in UTF-8"
    raise SettingsError([Problem(str(path), "", found, allowed, ProblemKind.FILE)])


def _values(struct, document, file, prefix, problems):
    """Return the checked values of a table, adding to the list of problems."""
    fields = {field.name: field for field in msgspec.structs.fields(struct)}
    for key in document:
        if key not in fields:
            problems.append(_unknown_key(key, document[key], fields, file, prefix))
    values = {}
    before = len(problems)
    for name, field in fields.items():
        if name in document:
            value = document[name]
            values[name] = _value(field.type, value, file, prefix + name, problems)
        elif field.required:
            problems.append(_missing_key(name, file, prefix))
    if len(problems) == before and prefix:
        section = prefix.rstrip(".")
        problems.extend(_broken_relations(section, struct(**values), file))
    return values


def _value(kind, value, file, path, problems):
    """Return one value in the type of its field, adding to the problems."""
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        if isinstance(value, dict):
            values = _values(kind, value, file, f"{path}.", problems)
            return _construct(kind, values)
        allowed = f"a table [{path}]"
    else:
        rule = RULES.get(path, ANY)
        converted = _convert(kind, value)
        if converted is not None and rule.accepts(converted):
            return converted
        allowed = f"{_TYPE_NAMES[kind]}: {rule.allowed}"
    problems.append(Problem(file, path, _shown(value), allowed, ProblemKind.VALUE))
    return None


def _construct(struct, values):
    """Return the struct, or None when a value of it was a problem."""
    if any(value is None for value in values.values()):
        return None
    return struct(**values)


def _convert(kind, value):
    """Return the value in the wanted type, or None; TOML knows nan and inf."""
    try:
        converted = msgspec.convert(value, kind)
    except msgspec.ValidationError:
        return None
    if kind is float and not math.isfinite(converted):
        return None
    return converted


def _broken_relations(section, settings, file):
    """Return a problem for each relation of the section that does not hold."""
    return [
        Problem(
            file,
            f"{section}.{relation.key}",
            _shown_relation(relation, settings),
            relation.allowed,
            ProblemKind.RELATION,
        )
        for relation in RELATIONS
        if relation.section == section and not relation.holds(settings)
    ]


def _shown_relation(relation, settings):
    """Return the value at fault and those it is compared with."""
    others = ", ".join(f"{key} = {getattr(settings, key):g}" for key in relation.others)
    return f"{getattr(settings, relation.key):g} with {others}"


def _unknown_key(key, value, fields, file, prefix):
    """Return the problem of a key that no setting has."""
    close = difflib.get_close_matches(key, fields, n=1)
    return Problem(
        file,
        prefix + key,
        f"unknown key with value {_shown(value)}",
        ", ".join(sorted(fields)),
        ProblemKind.KEY,
        prefix + close[0] if close else "",
    )


def _missing_key(name, file, prefix):
    """Return the problem of a required key that is absent."""
    path = prefix + name
    allowed = RULES.get(path, ANY).allowed
    return Problem(file, path, "nothing", allowed, ProblemKind.KEY)


def _shown(value):
    """Return a value as text, cut to a length that fits on a line."""
    text = repr(value)
    if len(text) > _MAX_FOUND_CHARACTERS:
        return f"{text[:_MAX_FOUND_CHARACTERS]}..."
    return text
