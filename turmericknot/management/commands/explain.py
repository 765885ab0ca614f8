"""Command ``turmericknot explain``."""

from turmericknot.core.exceptions import UsageError
from turmericknot.management import exit_codes, output
from turmericknot.management.log_history import (
    count_job_outcomes,
    count_left_out_lines,
    job_history,
    read_log_lines,
)
from turmericknot.management.registry import register_command


@register_command("explain")
def explain(job, *logs, summary=False):
    """Print the log lines of all processes about one job, sorted by time.

    The exit code is 1 when no line names the job. docs/OPERATIONS.md explains how
    to read the result; docs/reference/events.md lists the events.

    Args:
        job: id of the job, 16 hexadecimal digits; "-" with --summary
        logs: files with the log output of the processes
        summary: print counts of the outcomes of all jobs instead
    """
    if not logs:
        raise UsageError("name one log file or more")
    lines = list(read_log_lines(logs))
    if summary:
        columns = ("outcome", "reason", "process", "jobs")
        output.print_table(columns, count_job_outcomes(lines))
    else:
        job_lines = job_history(job, lines)
        if not job_lines:
            print(f"no line names job {job}")
            return exit_codes.FAILED
        for line in job_lines:
            fields = " ".join(
                f"{key}={value}" for key, value in line.fields.items() if key != "job"
            )
            print(f"{line.timestamp}  {line.process:24}  {line.event:16}  {fields}")
    for event, line_count in sorted(count_left_out_lines(lines).items()):
        print(f"left out: {line_count} lines of {event}")
    return exit_codes.OK
