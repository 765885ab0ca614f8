"""Commands ``turmericknot entry run`` and ``turmericknot agent run``."""

import importlib

from turmericknot import checks
from turmericknot.clients.log_client import create_log_client
from turmericknot.conf.rules import LOG_LEVELS
from turmericknot.core.exceptions import ConfigurationError, UsageError
from turmericknot.management.registry import register_command
from turmericknot.utils import logging, metrics

# An entry also starts while the log service is unreachable (tk.E021): it uses the
# configuration of its peers, accepts idempotent jobs, and writes claims again once
# the log service is available.
_TOLERATED_CHECK_IDS = ("tk.E021",)


@register_command("entry", "run")
def run_entry(settings, *, log_level=""):
    """Run an entry in the foreground until SIGTERM or SIGINT.

    An entry accepts jobs over HTTP, owns them and sends their tasks to agents.
    While it stops, it refuses new jobs and finishes accepted ones within
    drain_timeout_s.

    Args:
        settings: settings file of the entry (TOML)
        log_level: overrides log_level of the file
    """
    return _run_role("entry", settings, log_level)


@register_command("agent", "run")
def run_agent(settings, *, log_level=""):
    """Run an agent in the foreground until SIGTERM or SIGINT.

    An agent runs next to one target and starts tasks in its slots. While it stops,
    it returns queued tasks to their entries and lets running ones finish.

    Args:
        settings: settings file of the agent (TOML)
        log_level: overrides log_level of the file
    """
    return _run_role("agent", settings, log_level)


def _run_role(role, path, log_level):
    """Check the settings, run the role's service and return its exit code."""
    if log_level and log_level not in LOG_LEVELS:
        allowed = ", ".join(LOG_LEVELS)
        raise UsageError(f"--log-level: found {log_level!r}; allowed: {allowed}")
    settings = _load_checked_settings(role, path)
    logging.configure_logging(log_level or settings.log_level)
    metrics.configure_metrics(settings.statsd_address)
    # A local import, so that other commands start without the libraries of the role.
    service = importlib.import_module(f"turmericknot.{role}.service")
    return service.serve(settings)


def _load_checked_settings(role, path):
    """Return the settings in a file.

    Raise ConfigurationError with all findings that prevent a start.
    """
    context, messages = checks.settings.load_settings_files([path], role)
    context.fetch_log_info = read_log_info
    messages += checks.run_checks(context, (checks.Tags.SETTINGS, checks.Tags.LIVE))
    fatal_messages = [message for message in messages if _is_fatal(message)]
    if fatal_messages:
        raise ConfigurationError("\n".join(str(message) for message in fatal_messages))
    for message in messages:
        logging.get_logger().warning(
            "check", id=message.id, text=message.text, hint=message.hint
        )
    return context.settings[str(path)]


def _is_fatal(message):
    return (
        message.level == checks.Level.ERROR and message.id not in _TOLERATED_CHECK_IDS
    )


def read_log_info(url):
    """Return the info of the log service at a URL."""
    client = create_log_client(url, pool_size=1)
    try:
        return client.info()
    finally:
        client.close()
