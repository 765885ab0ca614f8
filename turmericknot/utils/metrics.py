"""Metrics; nothing is sent while no address is configured."""


def record(name, team, task_class, value_ms):
    """Send a duration in milliseconds for a team and a task class."""


def count(name, amount=1, team=""):
    """Increase a counter."""
