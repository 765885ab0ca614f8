"""The command ``turmericknot``: parse, run, and turn errors into exit codes."""

import contextlib
import difflib
import io
import os
import sys

import fire
from fire.core import FireExit

from turmericknot.core.exceptions import TurmericknotError, UsageError

from . import exit_codes
from .help import PROGRAM, command_help, group_help, usage
from .registry import (
    Invocation,
    build_tree,
    execute,
    load_commands,
    set_switches,
)

HELP_WORDS = ("--help", "-h", "help")


def main(arguments=None):
    """Run a command line and end the process with its exit code."""
    sys.exit(run(sys.argv[1:] if arguments is None else arguments))


def run(arguments):
    """Run a command line and return its exit code."""
    try:
        return _run(list(arguments))
    except TurmericknotError as error:
        for line in str(error).splitlines() or [type(error).__name__]:
            # An indented line belongs to the error above it.
            print(line if line[:1].isspace() else f"error: {line}", file=sys.stderr)
        return exit_codes.for_error(error)
    except KeyboardInterrupt:
        return exit_codes.INTERRUPTED
    except BrokenPipeError:
        # The reader of our output has gone; nothing more can be written there.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return exit_codes.BROKEN_PIPE


def _run(arguments):
    """Print help or run the command that the arguments name."""
    commands = load_commands()
    wants_help = not arguments or any(word in HELP_WORDS for word in arguments[:1])
    if wants_help:
        sys.stdout.write(group_help((), commands))
        return exit_codes.OK if arguments else exit_codes.USAGE
    path = _find(arguments, commands)
    wants_help = any(word in HELP_WORDS[:2] for word in arguments)
    if path not in commands:
        sys.stdout.write(group_help(path, commands))
        return exit_codes.OK if wants_help else exit_codes.USAGE
    if wants_help:
        sys.stdout.write(command_help(path, commands[path]))
        return exit_codes.OK
    return execute(_parse(arguments, path, commands))


def _find(arguments, commands):
    """Return the path of the command or group; raise UsageError for a wrong word."""
    path = ()
    for word in arguments:
        if path in commands or word.startswith("-"):
            break
        depth = len(path)
        names = {one[depth] for one in commands if one[:depth] == path}
        if word not in names:
            close = difflib.get_close_matches(word, names, n=1)
            hint = f"did you mean {close[0]!r}?" if close else f"see {PROGRAM} --help"
            raise UsageError(f"unknown command {' '.join((*path, word))!r}; {hint}")
        path = (*path, word)
    return path


def _parse(arguments, path, commands):
    """Return the Invocation that fire makes of the arguments."""
    quiet = io.StringIO()
    try:
        with contextlib.redirect_stderr(quiet):
            invocation = fire.Fire(
                build_tree(commands),
                command=set_switches(commands[path], arguments),
                name=PROGRAM,
                serialize=lambda result: None,
            )
    except FireExit as stop:
        raise UsageError(_explain(stop, path, commands)) from None
    if not isinstance(invocation, Invocation):
        raise UsageError(f"too many arguments\n{usage(path, commands[path])}")
    return invocation


def _explain(stop, path, commands):
    """Return the reason for which fire refused the arguments, and the usage."""
    reason = stop.trace.elements[-1].ErrorAsStr() or "wrong arguments"
    return f"{reason}\n{usage(path, commands[path])}"


if __name__ == "__main__":
    main()
