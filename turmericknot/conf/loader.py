"""Loading of settings files (TOML); all problems of a file are reported together."""

import difflib
import math
import tomllib
from dataclasses import dataclass

import msgspec

from turmericknot.core.exceptions import SettingsError

from .rules import ANY_VALUE, SETTING_RELATIONS, SETTING_RULES
from .schema import AgentSettings, EntrySettings

SETTINGS_BY_ROLE = {"entry": EntrySettings, "agent": AgentSettings}
_ID_KEY_BY_ROLE = {"entry": "entry_id", "agent": "agent_id"}
_TYPE_NAMES = {
    str: "a string",
    int: "an integer",
    float: "a number",
    tuple[str, ...]: "a list of strings",
}
_MAX_VALUE_CHARACTERS = 80


class SettingsProblemKind:
    """Kinds of problems of a settings file; each has its own system check id."""

    FILE = "file"
    KEY = "key"
    VALUE = "value"
    RELATION = "relation"


@dataclass(slots=True, frozen=True)
class SettingsProblem:
    """A problem of a settings file: place, value found and allowed values."""

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
    """Load a settings file; raise SettingsError with all its problems.

    Without ``role``, the key ``entry_id`` or ``agent_id`` determines the role.
    """
    document = _read_toml(path)
    detected_role = detect_role(path, document)
    if role not in (None, detected_role):
        raise SettingsError([_create_wrong_role_problem(path, detected_role, role)])
    settings, problems = build_settings(
        SETTINGS_BY_ROLE[detected_role], document, str(path)
    )
    if problems:
        raise SettingsError(problems)
    return settings


def detect_role(path, document):
    """Return the role that a parsed settings file belongs to."""
    roles = [role for role, key in _ID_KEY_BY_ROLE.items() if key in document]
    if len(roles) == 1:
        return roles[0]
    found = "both entry_id and agent_id" if roles else "neither entry_id nor agent_id"
    allowed = "exactly one of them, which determines the role"
    raise SettingsError(
        [SettingsProblem(str(path), "", found, allowed, SettingsProblemKind.KEY)]
    )


def _create_wrong_role_problem(path, detected_role, role):
    """Return the problem of a file that belongs to the other role."""
    allowed = f"{_ID_KEY_BY_ROLE[role]} and the settings of an {role}"
    return SettingsProblem(
        str(path),
        "",
        f"the settings of an {detected_role}",
        allowed,
        SettingsProblemKind.KEY,
    )


def build_settings(struct, document, file):
    """Return ``(settings, problems)`` of a parsed file.

    The settings are None if a key or a value is invalid.
    """
    problems = []
    values = _validate_table(struct, document, file, "", problems)
    if any(problem.kind != SettingsProblemKind.RELATION for problem in problems):
        return None, problems
    return struct(**values), problems


def _read_toml(path):
    """Return the parsed TOML file; raise SettingsError if it cannot be read."""
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as error:
        found, allowed = f"{error.strerror}", "a readable file"
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        found, allowed = f"invalid TOML ({error})", "a TOML document in UTF-8"
    raise SettingsError(
        [SettingsProblem(str(path), "", found, allowed, SettingsProblemKind.FILE)]
    )


def _validate_table(struct, document, file, prefix, problems):
    """Return the converted values of a table; append errors to ``problems``."""
    fields = {field.name: field for field in msgspec.structs.fields(struct)}
    for key in document:
        if key not in fields:
            problems.append(
                _create_unknown_key_problem(key, document[key], fields, file, prefix)
            )
    values = {}
    problem_count = len(problems)
    for name, field in fields.items():
        if name in document:
            value = document[name]
            values[name] = _validate_value(
                field.type, value, file, prefix + name, problems
            )
        elif field.required:
            problems.append(_create_missing_key_problem(name, file, prefix))
    if len(problems) == problem_count and prefix:
        section = prefix.rstrip(".")
        problems.extend(_find_relation_problems(section, struct(**values), file))
    return values


def _validate_value(field_type, value, file, key, problems):
    """Return a value converted to its field type, or None.

    A problem is appended to ``problems`` if the value is invalid.
    """
    if isinstance(field_type, type) and issubclass(field_type, msgspec.Struct):
        if isinstance(value, dict):
            values = _validate_table(field_type, value, file, f"{key}.", problems)
            return _create_struct(field_type, values)
        allowed = f"a table [{key}]"
    else:
        rule = SETTING_RULES.get(key, ANY_VALUE)
        converted = _convert_value(field_type, value)
        if converted is not None and rule.accepts(converted):
            return converted
        allowed = f"{_TYPE_NAMES[field_type]}: {rule.allowed}"
    problems.append(
        SettingsProblem(
            file, key, _format_value(value), allowed, SettingsProblemKind.VALUE
        )
    )
    return None


def _create_struct(struct, values):
    """Return the struct, or None if one of its values is invalid."""
    if any(value is None for value in values.values()):
        return None
    return struct(**values)


def _convert_value(field_type, value):
    """Return the value converted to the field type, or None if that fails.

    TOML allows nan and inf, which no setting accepts.
    """
    try:
        converted = msgspec.convert(value, field_type)
    except msgspec.ValidationError:
        return None
    if field_type is float and not math.isfinite(converted):
        return None
    return converted


def _find_relation_problems(section, settings, file):
    """Return a problem for each violated relation of the section."""
    return [
        SettingsProblem(
            file,
            f"{section}.{relation.key}",
            _format_relation(relation, settings),
            relation.allowed,
            SettingsProblemKind.RELATION,
        )
        for relation in SETTING_RELATIONS
        if relation.section == section and not relation.holds(settings)
    ]


def _format_relation(relation, settings):
    """Return the value of the relation's key and the values it is compared with."""
    compared = ", ".join(
        f"{key} = {getattr(settings, key):g}" for key in relation.compared_keys
    )
    return f"{getattr(settings, relation.key):g} with {compared}"


def _create_unknown_key_problem(key, value, fields, file, prefix):
    """Return the problem of a key that is not a setting."""
    matches = difflib.get_close_matches(key, fields, n=1)
    return SettingsProblem(
        file,
        prefix + key,
        f"unknown key with value {_format_value(value)}",
        ", ".join(sorted(fields)),
        SettingsProblemKind.KEY,
        prefix + matches[0] if matches else "",
    )


def _create_missing_key_problem(name, file, prefix):
    """Return the problem of a missing required key."""
    key = prefix + name
    allowed = SETTING_RULES.get(key, ANY_VALUE).allowed
    return SettingsProblem(file, key, "nothing", allowed, SettingsProblemKind.KEY)


def _format_value(value):
    """Return a value as text, truncated to fit on a line."""
    text = repr(value)
    if len(text) > _MAX_VALUE_CHARACTERS:
        return f"{text[:_MAX_VALUE_CHARACTERS]}..."
    return text
