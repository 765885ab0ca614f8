"""Executors of the commands that write logs and metrics."""

from turmericknot.dispatch import commands
from turmericknot.utils import histograms, metrics
from turmericknot.utils.logging import get_logger


def record_duration(name, team, task_class, value_ms):
    """Send a duration to statsd and add it to the process histograms."""
    metrics.record_duration(name, team, task_class, value_ms)
    histograms.record_duration(name, team, task_class, value_ms)


def create_report_executors(**fields):
    """Return executors of Record, Count and LogEvent.

    ``fields`` are added to every log line.
    """
    log = get_logger(**fields)

    def write_log_event(command):
        getattr(log, command.level)(command.event, **command.fields)

    return {
        commands.Record: lambda c: record_duration(
            c.name, c.team, c.task_class, c.value_ms
        ),
        commands.Count: lambda c: metrics.increment_counter(c.name, c.amount, c.team),
        commands.LogEvent: write_log_event,
    }
