"""Play a workload against running entries and report on it."""

from turmericknot.core.exceptions import TurmericknotError
from turmericknot.load import player, report, trace, workload

EXIT_OK = 0
EXIT_FAULT = 1


class LoadFault(TurmericknotError):
    """An answer was lost, doubled, partial or another job's."""


def load(workload_file, *entries, output="build/load", name="load"):
    """Play WORKLOAD_FILE against ENTRIES (base URLs) and write a report.

    Return the exit code: 0 when every job got its whole answer or a typed failure.
    """
    description = workload.load_workload(workload_file)
    jobs = trace.generate(description, name)
    outcomes = player.play(jobs, list(entries))
    ideal = trace.ideal_responses(jobs)
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
