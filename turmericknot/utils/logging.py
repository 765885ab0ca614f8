"""Log lines: one event per line as key=value pairs on standard error."""

import structlog


def get_logger(**fields):
    """Return a logger whose lines all carry these fields."""
    return structlog.get_logger(**fields)
