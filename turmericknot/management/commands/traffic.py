"""Command ``turmericknot traffic``."""

from turmericknot.core.exceptions import UsageError
from turmericknot.management import exit_codes, output
from turmericknot.management.log_history import read_log_lines
from turmericknot.management.registry import register_command
from turmericknot.management.traffic_summary import (
    processor_rows,
    sum_traffic,
    traffic_rows,
)


@register_command("traffic")
def traffic(*logs, json=False):
    """Print messages by kind and processor time of each role, from log files.

    Rates are those of one process of the role, as a mean over all of its processes
    in the files. The exit code is 1 when no line holds such figures.

    Args:
        logs: files with the log output of the processes
        json: print JSON instead of tables
    """
    if not logs:
        raise UsageError("name one log file or more")
    roles = sum_traffic(read_log_lines(logs))
    if not roles:
        print("no line of event process.traffic")
        return exit_codes.FAILED
    processor_columns = ("role", "processes", "processor_s", "cores")
    traffic_columns = ("role", "direction", "kind", "messages_per_s", "bytes_per_s")
    processors, messages = processor_rows(roles), traffic_rows(roles)
    if json:
        output.print_json(
            {
                "roles": [
                    dict(zip(processor_columns, row, strict=True)) for row in processors
                ],
                "messages": [
                    dict(zip(traffic_columns, row, strict=True)) for row in messages
                ],
            }
        )
    else:
        output.print_table(processor_columns, processors)
        output.print_table(traffic_columns, messages)
    return exit_codes.OK
