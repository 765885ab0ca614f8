"""Registry of the commands of ``turmericknot``."""

import functools
import importlib
import importlib.util
import inspect
from dataclasses import dataclass, field

from fire import decorators

from turmericknot.core.exceptions import UsageError

# Each module registers its commands when it is imported. One that is not part of
# this build is left out.
COMMAND_MODULES = (
    "roles",
    "checks",
    "configuration",
    "jobs",
    "status",
    "load",
    "explain",
    "platform",
    "version",
)
_PACKAGE = "turmericknot.management.commands"

_commands = {}


@dataclass(slots=True)
class Invocation:
    """A command with its arguments, to be called once all of them are parsed."""

    function: object
    arguments: tuple
    options: dict = field(default_factory=dict)


def execute(invocation):
    """Run a command and return its exit code.

    This is no method, because fire would call it for a word left on the command line.
    """
    return invocation.function(*invocation.arguments, **invocation.options) or 0


def register(*path):
    """Register a function as the command with this path, such as ``job submit``.

    The first paragraph of its docstring and the lines under ``Args:`` are its help.
    Arguments arrive as text; only switches (default False) become booleans.
    """

    def decorate(function):
        _commands[path] = _deferred(function)
        return function

    return decorate


def _deferred(function):
    """Return a function for fire that parses arguments without running anything.

    Fire calls a function before it looks at what is left of the command line, so a
    mistyped option would be reported only after the command has run.
    """

    @functools.wraps(function)
    def parse(*arguments, **options):
        return Invocation(function, arguments, options)

    parse = decorators.SetParseFn(str)(parse)
    return decorators.SetParseFns(**dict.fromkeys(switches(function), _to_switch))(
        parse
    )


def switches(function):
    """Return the names of the options of a command that take no value."""
    defaults = inspect.unwrap(function).__kwdefaults__ or {}
    return [name for name, default in defaults.items() if default is False]


def set_switches(function, arguments):
    """Return the arguments with ``--name`` as ``--name=True`` for each switch.

    fire would take the word after a bare switch, such as a file, for its value.
    """
    names = {f"--{name}".replace("_", "-") for name in switches(function)}
    return [
        f"{word}=True" if word.replace("_", "-") in names else word
        for word in arguments
    ]


def _to_switch(text):
    """Return the boolean in ``--name=True`` or ``--name=False``."""
    if text.lower() not in ("true", "false"):
        raise UsageError(f"found {text!r}; allowed: True or False")
    return text.lower() == "true"


def load_commands():
    """Return the commands by path, after importing every module that exists."""
    for name in COMMAND_MODULES:
        module = f"{_PACKAGE}.{name}"
        if importlib.util.find_spec(module) is not None:
            importlib.import_module(module)
    return dict(_commands)


def build_tree(commands):
    """Return nested dicts of the commands."""
    tree = {}
    for path, function in commands.items():
        group = tree
        for name in path[:-1]:
            group = group.setdefault(name, {})
        group[path[-1]] = function
    return tree
