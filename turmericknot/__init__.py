"""A dispatcher for sub-second tasks that share one compute budget."""

__version__ = "0.1.0"
