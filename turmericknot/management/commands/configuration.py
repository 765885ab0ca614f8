"""Commands ``turmericknot config ...``: arguments and exit codes.

The commands themselves are implemented in ``config``.
"""

import sys

from turmericknot.conf import global_settings
from turmericknot.configtree.publish import IN_FORCE_TIMEOUT_S, PUBLISH_TIMEOUT_S
from turmericknot.management import exit_codes
from turmericknot.management.arguments import parse_number
from turmericknot.management.registry import register_command

from . import config

DEFAULT_LOG_URL = global_settings.LOG_URL
_EXIT_CODES = {
    config.OK: exit_codes.OK,
    config.FAILED: exit_codes.USAGE,
    config.CONFLICT: exit_codes.USAGE,
    config.UNKNOWN: exit_codes.UNKNOWN,
    config.NOT_IN_FORCE: exit_codes.UNKNOWN,
}


def _run_config_command(command, *arguments, **options):
    """Print the result of a function of ``config`` and return the exit code."""
    # The undecorated function raises typed errors, which have their own exit codes.
    result = command.__wrapped__(*arguments, **options)
    print(result.text, file=sys.stderr if result.code else sys.stdout)
    return _EXIT_CODES[result.code]


@register_command("config", "check")
def check(directory):
    """Check the files of a configuration without the log service.

    Args:
        directory: directory with federation.toml and teams/*.toml
    """
    return _run_config_command(config.check, directory)


@register_command("config", "diff")
def diff(directory, *, log_url=DEFAULT_LOG_URL):
    """Show what publishing a directory would change.

    Args:
        directory: directory with federation.toml and teams/*.toml
        log_url: address of the log service
    """
    return _run_config_command(config.diff, directory, log_url)


@register_command("config", "publish")
def publish(
    directory,
    *,
    log_url=DEFAULT_LOG_URL,
    author="",
    comment="",
    wait=False,
    entries="",
    restore=False,
    timeout_s=str(PUBLISH_TIMEOUT_S),
    wait_timeout_s=str(IN_FORCE_TIMEOUT_S),
):
    """Publish the edited files of a directory.

    It is a conflict when others have changed a team since the base version of the
    files: nothing is published, and the differences are printed.

    Args:
        directory: directory with federation.toml and teams/*.toml
        log_url: address of the log service
        author: name in the history (default: the user who runs the command)
        comment: remark in the history
        wait: wait until the version is in force at the entries
        entries: entries to query, http://host:port separated by commas
        restore: publish the whole directory when the log has lost its content
        timeout_s: how long to try to publish, in seconds
        wait_timeout_s: how long to wait for the entries, in seconds
    """
    return _run_config_command(
        config.publish,
        directory,
        log_url,
        author=author,
        comment=comment,
        wait=wait,
        entries=entries,
        restore=restore,
        timeout_s=parse_number(timeout_s, "--timeout-s"),
        wait_timeout_s=parse_number(wait_timeout_s, "--wait-timeout-s"),
    )


@register_command("config", "show")
def show(*, log_url=DEFAULT_LOG_URL, at="", team=""):
    """Show the configuration in force as TOML.

    Args:
        log_url: address of the log service
        at: version to show instead of the one in force
        team: show only the settings of this team
    """
    version = int(parse_number(at, "--at", 1)) if at else None
    return _run_config_command(config.show, log_url, at=version, team=team or None)


@register_command("config", "history")
def history(*, log_url=DEFAULT_LOG_URL, count="20"):
    """List the newest changes, whether accepted, conflicting or invalid.

    Args:
        log_url: address of the log service
        count: number of changes to list
    """
    return _run_config_command(
        config.history, log_url, count=int(parse_number(count, "--count", 1))
    )
