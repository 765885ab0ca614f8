"""System checks of settings files, listening addresses and the log service."""

from . import live, settings
from .messages import CheckMessage, Level, create_error, create_warning
from .registry import CheckContext, Tags, has_errors, register, run_checks

__all__ = [
    "CheckContext",
    "CheckMessage",
    "Level",
    "Tags",
    "create_error",
    "create_warning",
    "has_errors",
    "live",
    "register",
    "run_checks",
    "settings",
]
