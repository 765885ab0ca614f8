"""Log lines: one event per line as key=value pairs.

They go to standard error, or to standard output where the platform collects that.
"""

import logging
import sys

import structlog

from turmericknot.core.exceptions import ConfigurationError

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def _print_to_stderr(*_args):
    """Return a logger on the present stderr, which tests may have replaced."""
    return structlog.WriteLogger(sys.stderr)


def _print_to_stdout(*_args):
    return structlog.WriteLogger(sys.stdout)


def configure(level="info", to_stdout=False):
    """Write events of this level and above; raise ConfigurationError otherwise."""
    if level not in LEVELS:
        allowed = ", ".join(LEVELS)
        raise ConfigurationError(f"log level {level!r} is not one of: {allowed}")
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"],
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=_print_to_stdout if to_stdout else _print_to_stderr,
        cache_logger_on_first_use=to_stdout,
    )


def get_logger(**fields):
    """Return a logger whose lines all carry these fields."""
    return structlog.get_logger(**fields)


configure()
