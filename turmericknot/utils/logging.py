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


def configure_logging(level="info"):
    """Write events of this level and above; raise ConfigurationError otherwise."""
    if level not in LEVELS:
        allowed = ", ".join(LEVELS)
        raise ConfigurationError(f"log level {level!r} is not one of: {allowed}")
    _configure(LEVELS[level], [], _print_to_stderr, False)


def configure_stdout_logging():
    """Write to standard output within a budget, without ever waiting for a reader."""
    # Imported here: the command line has no use for it.
    from .log_budget import create_budget, create_stdout_writer

    writer = create_stdout_writer()
    _configure(logging.INFO, [create_budget()], lambda *_args: writer, True)


def _configure(level, first_processors, logger_factory, cache):
    structlog.configure(
        processors=[
            *first_processors,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"],
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=logger_factory,
        cache_logger_on_first_use=cache,
    )


def get_logger(**fields):
    """Return a logger whose lines all carry these fields."""
    return structlog.get_logger(**fields)


configure_logging()
