"""``turmericknot explain``."""

from turmericknot.core.exceptions import UsageError
from turmericknot.management import exit_codes, output
from turmericknot.management.log_history import (
    count_outcomes,
    history_of,
    left_out,
    read_lines,
)
from turmericknot.management.registry import register


@register("explain")
def explain(job, *logs, summary=False):
    """Print what the logs of all processes say of one job, in the order of time.

    The exit code is 1 when no line names the job. docs/OPERATIONS.md tells how to
    read the result; docs/reference/events.md lists the events.

    Args:
        job: id of the job, 16 hexadecimal digits; "-" with --summary
        logs: files with the output of the processes
        summary: count the outcomes of all jobs instead
    """
    if not logs:
        raise UsageError("name one log file or more")
    lines = list(read_lines(logs))
    if summary:
        columns = ("outcome", "reason", "process", "jobs")
        output.print_table(columns, count_outcomes(lines))
    else:
        found = history_of(job, lines)
        if not found:
            print(f"no line names job {job}")
            return exit_codes.FAILED
        for line in found:
            fields = " ".join(
                f"{key}={value}" for key, value in line.fields.items() if key != "job"
            )
            print(f"{line.timestamp}  {line.process:24}  {line.event:16}  {fields}")
    for event, number in sorted(left_out(lines).items()):
        print(f"left out: {number} lines of {event}")
    return exit_codes.OK
