"""Execute the commands that report: log lines, metrics and counters."""

from turmericknot.dispatch import commands
from turmericknot.utils import metrics
from turmericknot.utils.logging import get_logger


def report_executors(**fields):
    """Return executors of Record, Count and LogEvent; ``fields`` mark log lines."""
    log = get_logger(**fields)

    def write(command):
        getattr(log, command.level)(command.event, **command.fields)

    return {
        commands.Record: lambda c: metrics.record(
            c.name, c.team, c.task_class, c.value_ms
        ),
        commands.Count: lambda c: metrics.count(c.name, c.amount, c.team),
        commands.LogEvent: write,
    }
