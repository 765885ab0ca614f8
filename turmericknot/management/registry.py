"""Registry of the commands of ``turmericknot``."""

import functools
import importlib
import importlib.util
import inspect
from dataclasses import dataclass, field

from fire import decorators

from turmericknot.core.exceptions import UsageError

# Each module registers its commands when it is imported. Modules that are not part
# of this build are skipped.
COMMAND_MODULES = (
    "roles",
    "checks",
    "configuration",
    "jobs",
    "status",
    "load",
    "explain",
    "traffic",
    "experiment",
    "platform",
    "version",
)
_PACKAGE = "turmericknot.management.commands"

_commands = {}


@dataclass(slots=True)
class Invocation:
    """A command with its arguments, called after the whole command line is parsed."""

    function: object
    arguments: tuple
    options: dict = field(default_factory=dict)


def execute_invocation(invocation):
    """Run a command and return its exit code.

    This is not a method, because fire would call it when its name is left over on the
    command line.
    """
    return invocation.function(*invocation.arguments, **invocation.options) or 0


def register_command(*path):
    """Register a function as the command with this path, such as ``job submit``.

    The first paragraph of its docstring and the lines under ``Args:`` are its help
    text. Arguments are passed as text; only switches, whose default is False, are
    converted to booleans.
    """

    def decorate(function):
        _commands[path] = _defer_execution(function)
        return function

    return decorate


def _defer_execution(function):
    """Return a function for fire that returns an Invocation instead of running.

    Fire calls a function before it checks the rest of the command line, so that a
    mistyped option would be reported only after the command has run.
    """

    @functools.wraps(function)
    def parse(*arguments, **options):
        return Invocation(function, arguments, options)

    parse = decorators.SetParseFn(str)(parse)
    return decorators.SetParseFns(
        **dict.fromkeys(switch_names(function), _parse_switch)
    )(parse)


def switch_names(function):
    """Return the names of the options that take no value: those with default False."""
    defaults = inspect.unwrap(function).__kwdefaults__ or {}
    return [name for name, default in defaults.items() if default is False]


def expand_switches(function, arguments):
    """Return the arguments with ``--name`` as ``--name=True`` for each switch.

    Fire would take the argument after a bare switch, such as a file name, for the
    value of the switch.
    """
    names = {f"--{name}".replace("_", "-") for name in switch_names(function)}
    return [
        f"{argument}=True" if argument.replace("_", "-") in names else argument
        for argument in arguments
    ]


def _parse_switch(text):
    """Return the boolean value of a switch; raise UsageError for another text."""
    if text.lower() not in ("true", "false"):
        raise UsageError(f"found {text!r}; allowed: True or False")
    return text.lower() == "true"


def load_commands():
    """Import every command module of this build and return the commands by path."""
    for name in COMMAND_MODULES:
        module = f"{_PACKAGE}.{name}"
        if importlib.util.find_spec(module) is not None:
            importlib.import_module(module)
    return dict(_commands)


def build_command_tree(commands):
    """Return the commands as nested dicts, one level for each word of a path."""
    tree = {}
    for path, function in commands.items():
        group = tree
        for name in path[:-1]:
            group = group.setdefault(name, {})
        group[path[-1]] = function
    return tree
