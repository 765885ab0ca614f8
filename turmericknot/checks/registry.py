"""Registry of the system checks."""

from dataclasses import dataclass, field

from .messages import Level


class Tags:
    """Groups of checks."""

    SETTINGS = "settings"  # need nothing but the settings files
    LIVE = "live"  # need the network: addresses and the log service


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
    """Register a function of a CheckContext that returns a list of messages."""

    def decorate(check):
        _checks.append((tag, check))
        return check

    return decorate


def run_checks(context, tags=(Tags.SETTINGS,)):
    """Return the messages of all checks with one of the tags."""
    messages = []
    for tag, check in _checks:
        if tag in tags:
            messages.extend(check(context))
    return messages


def has_errors(messages):
    """Tell whether a message keeps a process from starting."""
    return any(message.level == Level.ERROR for message in messages)
