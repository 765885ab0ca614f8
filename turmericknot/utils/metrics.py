"""Metrics over statsd (UDP); nothing is sent while no address is configured."""

import re

import statsd

from turmericknot.core.exceptions import ConfigurationError

DEFAULT_PREFIX = "turmericknot"
# Dots separate levels in statsd, colons and bars separate its fields.
_RESERVED = re.compile(r"[^A-Za-z0-9_-]")

_client = None


def configure_metrics(address, prefix=DEFAULT_PREFIX):
    """Send metrics to ``host:port`` under the prefix; an empty address sends none."""
    global _client
    close_metrics()
    if not address:
        return
    host, _, port = address.rpartition(":")
    try:
        _client = statsd.StatsClient(host.strip("[]"), int(port), prefix=prefix)
    except (OSError, ValueError) as error:
        raise ConfigurationError(f"statsd address {address!r}: {error}") from error


def close_metrics():
    """Stop sending metrics."""
    global _client
    client, _client = _client, None
    if client is not None:
        client.close()


def record_duration(name, team, task_class, value_ms):
    """Send a duration in milliseconds for a team and a task class."""
    if _client is not None:
        _client.timing(_path(name, team, task_class), value_ms)


def increment_counter(name, amount=1, team=""):
    """Increase a counter."""
    if _client is not None:
        _client.incr(_path(name, team), amount)


def _path(*parts):
    """Join the parts that are set; a name written with dots keeps its levels."""
    levels = [part for part in parts[0].split(".") if part]
    levels += [part for part in parts[1:] if part]
    return ".".join(_RESERVED.sub("_", level) for level in levels)
