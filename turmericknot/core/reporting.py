"""Execute the commands that report: log lines, metrics and counters."""

from turmericknot.dispatch import commands
from turmericknot.utils import histograms, metrics
from turmericknot.utils.logging import get_logger


def record_duration(name, team, task_class, value_ms):
    """Send a duration to statsd and add it to the histograms of the process."""
    metrics.record_duration(name, team, task_class, value_ms)
    histograms.record_duration(name, team, task_class, value_ms)


def report_executors(**fields):
    """Return executors of Record, Count and LogEvent; ``fields`` mark log lines."""
    log = get_logger(**fields)

    def write(command):
        getattr(log, command.level)(command.event, **command.fields)

    return {
        commands.Record: lambda c: record_duration(
            c.name, c.team, c.task_class, c.value_ms
        ),
        commands.Count: lambda c: metrics.increment_counter(c.name, c.amount, c.team),
        commands.LogEvent: write,
    }
