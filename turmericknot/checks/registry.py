"""Registry of the system checks."""

from dataclasses import dataclass, field

from .messages import Level


class Tags:
    """Groups of checks."""

    SETTINGS = "settings"  # read the settings files only
    LIVE = "live"  # bind addresses and call the log service


@dataclass(slots=True)
class CheckContext:
    """Input of the checks.

    ``settings`` maps a file name to its settings. ``fetch_log_info`` takes the URL of
    a log service and returns its retention, append rate and clock.
    """

    settings: dict = field(default_factory=dict)
    fetch_log_info: object = None


_checks = []


def register(tag):
    """Register a check: a function that takes a CheckContext and returns messages."""

    def decorate(check):
        _checks.append((tag, check))
        return check

    return decorate


def run_checks(context, tags=(Tags.SETTINGS,)):
    """Run the checks that have one of the tags and return their messages."""
    messages = []
    for tag, check in _checks:
        if tag in tags:
            messages.extend(check(context))
    return messages


def has_errors(messages):
    """Return whether any message prevents the process from starting."""
    return any(message.level == Level.ERROR for message in messages)
