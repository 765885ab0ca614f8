"""Entry point of the command ``turmericknot``: parsing, running and exit codes."""

import contextlib
import difflib
import io
import os
import sys

import fire
from fire.core import FireExit

from turmericknot.core.exceptions import TurmericknotError, UsageError

from . import exit_codes
from .help import PROGRAM, command_help, command_usage, group_help
from .registry import (
    Invocation,
    build_command_tree,
    execute_invocation,
    expand_switches,
    load_commands,
)

HELP_ARGUMENTS = ("--help", "-h", "help")


def main(arguments=None):
    """Run a command line and end the process with its exit code."""
    sys.exit(run_command_line(sys.argv[1:] if arguments is None else arguments))


def run_command_line(arguments):
    """Run a command line and return its exit code."""
    try:
        return _dispatch(list(arguments))
    except TurmericknotError as error:
        for line in str(error).splitlines() or [type(error).__name__]:
            # An indented line continues the error before it.
            print(line if line[:1].isspace() else f"error: {line}", file=sys.stderr)
        return exit_codes.code_for_error(error)
    except KeyboardInterrupt:
        return exit_codes.INTERRUPTED
    except BrokenPipeError:
        # The reader has closed the pipe. Standard output is redirected, so that
        # flushing it at exit does not fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return exit_codes.BROKEN_PIPE


def _dispatch(arguments):
    """Print help or run the command named by the arguments; return the exit code."""
    commands = load_commands()
    help_requested = not arguments or any(
        word in HELP_ARGUMENTS for word in arguments[:1]
    )
    if help_requested:
        sys.stdout.write(group_help((), commands))
        return exit_codes.OK if arguments else exit_codes.USAGE
    path = _find_command(arguments, commands)
    help_requested = any(word in HELP_ARGUMENTS[:2] for word in arguments)
    if path not in commands:
        sys.stdout.write(group_help(path, commands))
        return exit_codes.OK if help_requested else exit_codes.USAGE
    if help_requested:
        sys.stdout.write(command_help(path, commands[path]))
        return exit_codes.OK
    return execute_invocation(_parse_invocation(arguments, path, commands))


def _find_command(arguments, commands):
    """Return the path of a command or group; raise UsageError for an unknown one."""
    path = ()
    for word in arguments:
        if path in commands or word.startswith("-"):
            break
        depth = len(path)
        names = {
            command_path[depth]
            for command_path in commands
            if command_path[:depth] == path
        }
        if word not in names:
            suggestions = difflib.get_close_matches(word, names, n=1)
            hint = (
                f"did you mean {suggestions[0]!r}?"
                if suggestions
                else f"see {PROGRAM} --help"
            )
            raise UsageError(f"unknown command {' '.join((*path, word))!r}; {hint}")
        path = (*path, word)
    return path


def _parse_invocation(arguments, path, commands):
    """Return the Invocation that fire parses from the arguments."""
    discarded_stderr = io.StringIO()
    try:
        with contextlib.redirect_stderr(discarded_stderr):
            invocation = fire.Fire(
                build_command_tree(commands),
                command=expand_switches(commands[path], arguments),
                name=PROGRAM,
                serialize=lambda result: None,
            )
    except FireExit as fire_exit:
        raise UsageError(_usage_error_text(fire_exit, path, commands)) from None
    if not isinstance(invocation, Invocation):
        raise UsageError(f"too many arguments\n{command_usage(path, commands[path])}")
    return invocation


def _usage_error_text(fire_exit, path, commands):
    """Return why fire rejected the arguments, followed by the usage line."""
    reason = fire_exit.trace.elements[-1].ErrorAsStr() or "wrong arguments"
    return f"{reason}\n{command_usage(path, commands[path])}"


if __name__ == "__main__":
    main()
