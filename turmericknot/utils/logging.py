"""Logging of events, one per line, as key=value pairs.

Lines are written to standard error, or to standard output if the platform collects it.
"""

import logging
import sys

import structlog

from turmericknot.core.exceptions import ConfigurationError

LOG_LEVEL_NUMBERS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def _create_stderr_logger(*_args):
    """Return a logger to the current ``sys.stderr``, which tests may replace."""
    return structlog.WriteLogger(sys.stderr)


def configure_logging(level="info"):
    """Log events of this level and above to standard error.

    Raise ConfigurationError if the level is unknown.
    """
    if level not in LOG_LEVEL_NUMBERS:
        allowed = ", ".join(LOG_LEVEL_NUMBERS)
        raise ConfigurationError(f"log level {level!r} is not one of: {allowed}")
    _configure_structlog(LOG_LEVEL_NUMBERS[level], [], _create_stderr_logger, False)


def configure_stdout_logging():
    """Log to standard output, rate-limited and without blocking."""
    # Imported here because the command line does not need it.
    from .log_budget import create_event_rate_limiter, create_stdout_writer

    writer = create_stdout_writer()
    _configure_structlog(
        logging.INFO, [create_event_rate_limiter()], lambda *_args: writer, True
    )


def _configure_structlog(level, leading_processors, logger_factory, cache_loggers):
    structlog.configure(
        processors=[
            *leading_processors,
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
        cache_logger_on_first_use=cache_loggers,
    )


def get_logger(**fields):
    """Return a logger that adds these fields to every line."""
    return structlog.get_logger(**fields)


configure_logging()
