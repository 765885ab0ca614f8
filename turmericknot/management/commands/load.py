"""``turmericknot load``: play a workload against running entries."""

from turmericknot.core.exceptions import TurmericknotError
from turmericknot.load import player, report, trace, workload
from turmericknot.management.registry import register_command

EXIT_OK = 0
EXIT_FAULT = 1


class LoadFault(TurmericknotError):
    """An answer was lost, duplicated, partial or another job's."""


@register_command("load")
def load(workload_file, *entries, output="build/load", name="load"):
    """Play WORKLOAD_FILE against ENTRIES (base URLs) and write a report.

    The exit code is 0 when every job got a complete answer or a typed failure.

    Args:
        workload_file: description of the workload (TOML)
        entries: base URLs of entries, such as http://127.0.0.1:8080
        output: directory that the report is written to
        name: name of the run, part of the title and of the idempotency keys
    """
    description = workload.load_workload(workload_file)
    job_trace = trace.generate_trace(description, name)
    outcomes = player.play_trace(job_trace, list(entries))
    ideal_times_s = trace.ideal_response_times(job_trace)
    summary = report.summarize_run(job_trace, outcomes, ideal_times_s)
    report.write_report(output, name, summary, job_trace, outcomes, ideal_times_s)
    totals = summary["groups"]["all"]
    print(
        f"{summary['jobs']} jobs, {totals['complete']} complete, p50 "
        f"{totals['response_ms_p50']:.1f} ms, "
        f"p99 {totals['response_ms_p99']:.1f} ms, "
        f"ratio p50 {totals['ratio_p50']:.3f}; report in {output}/report.md"
    )
    for outcome in report.faulty_outcomes(outcomes)[:10]:
        print(f"job {outcome.number}: {outcome.status} {outcome.fault}")
    return EXIT_FAULT if summary["faults"] else EXIT_OK
