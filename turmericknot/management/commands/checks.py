"""Command ``turmericknot check``."""

import sys

from turmericknot import checks
from turmericknot.core.exceptions import UsageError
from turmericknot.management import exit_codes, output
from turmericknot.management.registry import register_command

from .roles import read_log_info


@register_command("check")
def check_settings(*settings, live=False, json=False):
    """Check settings files of entries and agents, each alone and in combination.

    All findings are printed at once. The exit code is 2 when one of them prevents a
    process from starting. Ids are listed in docs/reference/cli.md.

    Args:
        settings: settings files (TOML)
        live: also bind the listening addresses and query the log service
        json: print the findings as JSON
    """
    if not settings:
        raise UsageError("name one settings file or more")
    context, messages = checks.settings.load_settings_files(settings)
    context.fetch_log_info = read_log_info
    tags = (checks.Tags.SETTINGS, checks.Tags.LIVE) if live else ("settings",)
    messages += checks.run_checks(context, tags)
    if json:
        output.print_json(messages)
    else:
        _print_messages(messages, len(settings))
    return exit_codes.USAGE if checks.has_errors(messages) else exit_codes.OK


def _print_messages(messages, file_count):
    """Print findings on standard error and their counts on standard output."""
    for message in messages:
        print(f"{message.level}: {message}", file=sys.stderr)
    errors = sum(message.level == checks.Level.ERROR for message in messages)
    warnings = len(messages) - errors
    print(f"{file_count} files checked: {errors} errors, {warnings} warnings")
