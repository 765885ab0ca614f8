"""Help texts of the commands, printed plainly."""

import inspect
import textwrap

from fire import docstrings

from . import exit_codes

PROGRAM = "turmericknot"
_WIDTH = 80
_COLUMN = 24


def group_help(path, commands):
    """Return the help of a group of commands; the empty path is the program."""
    name = " ".join((PROGRAM, *path))
    lines = [f"Usage: {name} COMMAND ...", ""]
    if not path:
        lines += ["A dispatcher for sub-second tasks.", ""]
    lines.append("Commands:")
    for command in sorted(commands):
        if command[: len(path)] == path:
            summary = docstrings.parse(commands[command].__doc__).summary
            lines += _entry(" ".join(command), summary)
    lines += ["", f"Help of a command: {PROGRAM} COMMAND --help"]
    if not path:
        lines += ["", "Exit codes:"]
        for code, meaning in exit_codes.MEANINGS.items():
            lines += _entry(str(code), meaning)
    return "\n".join(lines) + "\n"


def command_help(path, function):
    """Return the help of one command."""
    parsed = docstrings.parse(inspect.cleandoc(function.__doc__))
    lines = [usage(path, function), "", parsed.summary]
    if parsed.description:
        lines += ["", parsed.description]
    texts = {argument.name: argument.description for argument in parsed.args or ()}
    positional, options = _parameters(function)
    for title, parameters in (("Arguments:", positional), ("Options:", options)):
        if parameters:
            lines += ["", title]
        for parameter in parameters:
            text = texts.get(parameter.name, "")
            lines += _entry(_label(parameter), text + _default(parameter))
    return "\n".join(lines) + "\n"


def usage(path, function):
    """Return the usage line of a command."""
    positional, options = _parameters(function)
    words = [PROGRAM, *path, *(_label(parameter) for parameter in positional)]
    words += [f"[{_label(parameter)}]" for parameter in options]
    return textwrap.fill(f"Usage: {' '.join(words)}", _WIDTH, subsequent_indent=" " * 7)


def _parameters(function):
    """Return positional parameters and options of a command."""
    parameters = inspect.signature(function).parameters.values()
    options = [one for one in parameters if one.kind == one.KEYWORD_ONLY]
    return [one for one in parameters if one not in options], options


def _label(parameter):
    """Return how a parameter is written on the command line."""
    if parameter.kind == parameter.VAR_POSITIONAL:
        return f"{parameter.name.upper()}..."
    if parameter.kind != parameter.KEYWORD_ONLY:
        name = parameter.name.upper()
        return name if parameter.default is parameter.empty else f"[{name}]"
    name = parameter.name.replace("_", "-")
    return f"--{name}" if parameter.default is False else f"--{name}=..."


def _default(parameter):
    """Return the default of a parameter as a remark."""
    if parameter.default in (parameter.empty, False, "", None):
        return ""
    return f" (default: {parameter.default})"


def _entry(label, text):
    """Return the lines of a label and its text in two columns."""
    indent = " " * _COLUMN
    lines = textwrap.wrap(text, _WIDTH - _COLUMN) or [""]
    first = f"  {label}".ljust(_COLUMN - 1)
    if len(first) >= _COLUMN:
        return [first, *(indent + line for line in lines)]
    return [f"{first} {lines[0]}", *(indent + line for line in lines[1:])]
