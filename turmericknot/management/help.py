"""Help texts of the commands, as plain text without a pager or terminal codes."""

import inspect
import textwrap

from fire import docstrings

from . import exit_codes

PROGRAM = "turmericknot"
_LINE_WIDTH = 80
_TEXT_COLUMN = 24


def group_help(path, commands):
    """Return the help text of a command group, or of the program for an empty path."""
    name = " ".join((PROGRAM, *path))
    lines = [f"Usage: {name} COMMAND ...", ""]
    if not path:
        lines += ["A dispatcher for sub-second tasks.", ""]
    lines.append("Commands:")
    for command in sorted(commands):
        if command[: len(path)] == path:
            summary = docstrings.parse(commands[command].__doc__).summary
            lines += _two_column_lines(" ".join(command), summary)
    lines += ["", f"Help of a command: {PROGRAM} COMMAND --help"]
    if not path:
        lines += ["", "Exit codes:"]
        for code, meaning in exit_codes.MEANINGS.items():
            lines += _two_column_lines(str(code), meaning)
    return "\n".join(lines) + "\n"


def command_help(path, function):
    """Return the help text of a command."""
    parsed = docstrings.parse(inspect.cleandoc(function.__doc__))
    lines = [command_usage(path, function), "", parsed.summary]
    if parsed.description:
        lines += ["", parsed.description]
    texts = {argument.name: argument.description for argument in parsed.args or ()}
    positional, options = _split_parameters(function)
    for title, parameters in (("Arguments:", positional), ("Options:", options)):
        if parameters:
            lines += ["", title]
        for parameter in parameters:
            text = texts.get(parameter.name, "")
            lines += _two_column_lines(
                _parameter_label(parameter), text + _default_note(parameter)
            )
    return "\n".join(lines) + "\n"


def command_usage(path, function):
    """Return the usage line of a command."""
    positional, options = _split_parameters(function)
    usage_words = [
        PROGRAM,
        *path,
        *(_parameter_label(parameter) for parameter in positional),
    ]
    usage_words += [f"[{_parameter_label(parameter)}]" for parameter in options]
    return textwrap.fill(
        f"Usage: {' '.join(usage_words)}", _LINE_WIDTH, subsequent_indent=" " * 7
    )


def _split_parameters(function):
    """Return ``(positional parameters, options)`` of a command."""
    parameters = inspect.signature(function).parameters.values()
    options = [
        parameter
        for parameter in parameters
        if parameter.kind == parameter.KEYWORD_ONLY
    ]
    return [parameter for parameter in parameters if parameter not in options], options


def _parameter_label(parameter):
    """Return the notation of a parameter in usage and help texts."""
    if parameter.kind == parameter.VAR_POSITIONAL:
        return f"{parameter.name.upper()}..."
    if parameter.kind != parameter.KEYWORD_ONLY:
        name = parameter.name.upper()
        return name if parameter.default is parameter.empty else f"[{name}]"
    name = parameter.name.replace("_", "-")
    return f"--{name}" if parameter.default is False else f"--{name}=..."


def _default_note(parameter):
    """Return the note on the default of a parameter, or an empty text."""
    if parameter.default in (parameter.empty, False, "", None):
        return ""
    return f" (default: {parameter.default})"


def _two_column_lines(label, text):
    """Return lines with a label in the first column and a text in the second."""
    indent = " " * _TEXT_COLUMN
    lines = textwrap.wrap(text, _LINE_WIDTH - _TEXT_COLUMN) or [""]
    label_cell = f"  {label}".ljust(_TEXT_COLUMN - 1)
    if len(label_cell) >= _TEXT_COLUMN:
        return [label_cell, *(indent + line for line in lines)]
    return [f"{label_cell} {lines[0]}", *(indent + line for line in lines[1:])]
