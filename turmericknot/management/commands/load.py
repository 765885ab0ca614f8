"""``turmericknot load``: play a workload against running entries."""

from turmericknot.core.exceptions import TurmericknotError
from turmericknot.load import player, report, trace, workload
from turmericknot.management.registry import register

EXIT_OK = 0
EXIT_FAULT = 1


class LoadFault(TurmericknotError):
    """An answer was lost, doubled, partial or another job's."""


@register("load")
def load(workload_file, *entries, output="build/load", name="load"):
    """Play WORKLOAD_FILE against ENTRIES (base URLs) and write a report.

    The exit code is 0 when every job got its whole answer or a typed failure.

    Args:
        workload_file: description of the workload (TOML)
        entries: base URLs of entries, such as http://127.0.0.1:8080
        output: directory of the report
        name: name of the run; it seeds the arrivals
    """
    description = workload.load_workload(workload_file)
    jobs = trace.generate_trace(description, name)
    outcomes = player.play_trace(jobs, list(entries))
    ideal = trace.ideal_response_times(jobs)
    summary = report.summarize(jobs, outcomes, ideal)
    report.write_report(output, name, summary, jobs, outcomes, ideal)
    figures = summary["groups"]["all"]
    print(
        f"{summary['jobs']} jobs, {figures['complete']} complete, p50 "
        f"{figures['response_ms_p50']:.1f} ms, "
        f"p99 {figures['response_ms_p99']:.1f} ms, "
        f"ratio p50 {figures['ratio_p50']:.3f}; report in {output}/report.md"
    )
    for outcome in report.faults(outcomes)[:10]:
        print(f"job {outcome.number}: {outcome.status} {outcome.fault}")
    return EXIT_FAULT if summary["faults"] else EXIT_OK
