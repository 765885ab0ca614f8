"""``turmericknot config``: arguments and exit codes around the library calls."""

import sys

from turmericknot.conf import global_settings
from turmericknot.configtree.publish import IN_FORCE_TIMEOUT_S, PUBLISH_TIMEOUT_S
from turmericknot.management import exit_codes
from turmericknot.management.arguments import to_number
from turmericknot.management.registry import register

from . import config

DEFAULT_LOG = global_settings.LOG_URL
_CODES = {
    config.OK: exit_codes.OK,
    config.FAILED: exit_codes.USAGE,
    config.CONFLICT: exit_codes.USAGE,
    config.UNKNOWN: exit_codes.UNKNOWN,
    config.NOT_IN_FORCE: exit_codes.UNKNOWN,
}


def _run(command, *arguments, **options):
    """Print the result of a library call and return its exit code."""
    # The wrapped function raises typed errors, which have exit codes of their own.
    result = command.__wrapped__(*arguments, **options)
    print(result.text, file=sys.stderr if result.code else sys.stdout)
    return _CODES[result.code]


@register("config", "check")
def check(directory):
    """Check the files of a configuration without the log service.

    Args:
        directory: directory with federation.toml and teams/*.toml
    """
    return _run(config.check, directory)


@register("config", "diff")
def diff(directory, *, log_url=DEFAULT_LOG):
    """Show what publishing a directory would change.

    Args:
        directory: directory with federation.toml and teams/*.toml
        log_url: address of the log service
    """
    return _run(config.diff, directory, log_url)


@register("config", "publish")
def publish(
    directory,
    *,
    log_url=DEFAULT_LOG,
    author="",
    comment="",
    wait=False,
    entries="",
    restore=False,
    timeout_s=str(PUBLISH_TIMEOUT_S),
    wait_timeout_s=str(IN_FORCE_TIMEOUT_S),
):
    """Publish the edited files of a directory.

    A team that others changed since the files were read is a conflict: nothing is
    published, and the difference is shown.

    Args:
        directory: directory with federation.toml and teams/*.toml
        log_url: address of the log service
        author: name in the history; else the user who runs the command
        comment: remark in the history
        wait: wait until the version is in force at the entries
        entries: entries to ask, http://host:port separated by commas
        restore: put everything in force when the log has lost its content
        timeout_s: how long to try to publish
        wait_timeout_s: how long to wait for the entries
    """
    return _run(
        config.publish,
        directory,
        log_url,
        author=author,
        comment=comment,
        wait=wait,
        entries=entries,
        restore=restore,
        timeout_s=to_number(timeout_s, "--timeout-s"),
        wait_timeout_s=to_number(wait_timeout_s, "--wait-timeout-s"),
    )


@register("config", "show")
def show(*, log_url=DEFAULT_LOG, at="", team=""):
    """Show the configuration in force as TOML.

    Args:
        log_url: address of the log service
        at: an earlier version
        team: only the settings of this team
    """
    version = int(to_number(at, "--at", 1)) if at else None
    return _run(config.show, log_url, at=version, team=team or None)


@register("config", "history")
def history(*, log_url=DEFAULT_LOG, count="20"):
    """List the newest changes: accepted, conflicting and invalid ones.

    Args:
        log_url: address of the log service
        count: how many
    """
    return _run(config.history, log_url, count=int(to_number(count, "--count", 1)))
