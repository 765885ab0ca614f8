"""Metrics over statsd (UDP); nothing is sent unless an address is configured."""

import re

import statsd

from turmericknot.core.exceptions import ConfigurationError

DEFAULT_PREFIX = "turmericknot"
# Dots separate the levels of a statsd name; colons and bars separate its fields.
_RESERVED_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]")

_client = None


def configure_metrics(address, prefix=DEFAULT_PREFIX):
    """Send metrics to ``host:port`` under a prefix; an empty address disables them."""
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
        _client.timing(_build_metric_name(name, team, task_class), value_ms)


def increment_counter(name, amount=1, team=""):
    """Increase a counter by ``amount``, for a team if one is given."""
    if _client is not None:
        _client.incr(_build_metric_name(name, team), amount)


def _build_metric_name(*parts):
    """Join the non-empty parts with dots; the first may itself contain dots."""
    levels = [part for part in parts[0].split(".") if part]
    levels += [part for part in parts[1:] if part]
    return ".".join(_RESERVED_CHARACTERS.sub("_", level) for level in levels)
