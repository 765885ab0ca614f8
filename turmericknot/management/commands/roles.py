"""``turmericknot entry run`` and ``turmericknot agent run``."""

import importlib

from turmericknot import checks
from turmericknot.clients.log_client import create_log_client
from turmericknot.conf.rules import LOG_LEVELS
from turmericknot.core.exceptions import ConfigurationError, UsageError
from turmericknot.management.registry import register
from turmericknot.utils import logging, metrics

# An entry starts while the log service is down: it serves peers' configuration and
# idempotent jobs, and takes claims again when the log is back.
_TOLERATED = ("tk.E021",)


@register("entry", "run")
def run_entry(settings, *, log_level=""):
    """Run an entry in the foreground until SIGTERM or SIGINT.

    An entry accepts jobs over HTTP, owns them and sends their tasks to agents. A
    stop refuses new jobs and finishes the accepted ones within drain_timeout_s.

    Args:
        settings: settings file of the entry (TOML)
        log_level: overrides log_level of the file
    """
    return _run("entry", settings, log_level)


@register("agent", "run")
def run_agent(settings, *, log_level=""):
    """Run an agent in the foreground until SIGTERM or SIGINT.

    An agent stands beside one target and starts tasks in its slots. A stop returns
    queued tasks to their entries and lets running ones finish.

    Args:
        settings: settings file of the agent (TOML)
        log_level: overrides log_level of the file
    """
    return _run("agent", settings, log_level)


def _run(role, path, log_level):
    """Check the settings, run the role's service and return its exit code."""
    if log_level and log_level not in LOG_LEVELS:
        allowed = ", ".join(LOG_LEVELS)
        raise UsageError(f"--log-level: found {log_level!r}; allowed: {allowed}")
    settings = _checked_settings(role, path)
    logging.configure_logging(log_level or settings.log_level)
    metrics.configure_metrics(settings.statsd_address)
    # Imported here, so that the other commands start without the role's libraries.
    service = importlib.import_module(f"turmericknot.{role}.service")
    return service.serve(settings)


def _checked_settings(role, path):
    """Return the settings in the file or raise ConfigurationError with findings."""
    context, messages = checks.settings.load_settings_files([path], role)
    context.fetch_log_info = read_log_info
    messages += checks.run_checks(context, (checks.Tags.SETTINGS, checks.Tags.LIVE))
    fatal = [message for message in messages if _is_fatal(message)]
    if fatal:
        raise ConfigurationError("\n".join(str(message) for message in fatal))
    for message in messages:
        logging.get_logger().warning(
            "check", id=message.id, text=message.text, hint=message.hint
        )
    return context.settings[str(path)]


def _is_fatal(message):
    return message.level == checks.Level.ERROR and message.id not in _TOLERATED


def read_log_info(url):
    """Return what the log service says of itself."""
    client = create_log_client(url, pool_size=1)
    try:
        return client.info()
    finally:
        client.close()
