"""Run a small federation on loopback and check its answers.

Starts the stand-ins, two entries and six agents as processes and publishes two teams.
Submits a job of several hundred tasks for each team, and submits it again through the
other entry while it runs. Exits with 0 if every answer is complete and every task was
started exactly once.
"""

import secrets
import shutil
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.federation import FederationError, federation
from turmericknot.core.ids import compute_job_id
from turmericknot.dispatch.tasks import JobStatus
from turmericknot.management import output
from turmericknot.management.commands.status import print_histograms
from turmericknot.utils.histograms import create_histogram_registry

DIRECTORY = Path("build") / "run"
ENTRIES = 2
AGENTS = 6
SLOTS_PER_AGENT = 8
TASKS_PER_JOB = 400
TASK_RUN_MS = (20, 40, 60, 80)  # assigned to the tasks in rotation
TEAMS = {
    "carts": {"allowance": 24, "weight": 1.0},
    "binders": {"allowance": 24, "weight": 1.0},
}
DEADLINE_S = 30.0
KEY_LIFETIME_S = 120.0
# The second copy of a job is submitted while the first one runs.
RESUBMIT_DELAY_S = 0.2
PROGRESS_INTERVAL_S = 0.5


class DemoError(Exception):
    """An answer or the number of task starts is not as expected."""


def main():
    """Run the demo and return the exit code."""
    shutil.rmtree(DIRECTORY, ignore_errors=True)
    DIRECTORY.mkdir(parents=True)
    started_at = time.monotonic()
    print(f"starting {ENTRIES} entries, {AGENTS} agents and as many targets")
    try:
        with federation(
            DIRECTORY,
            entries=ENTRIES,
            agents=AGENTS,
            slots=SLOTS_PER_AGENT,
            teams=TEAMS,
        ) as fed:
            print_elapsed(started_at, "every entry sees every agent")
            run_jobs(fed, started_at)
        print_elapsed(started_at, "all processes have stopped")
    except (DemoError, FederationError) as error:
        print(f"FAILED: {error}\nlogs are in {DIRECTORY}/", file=sys.stderr)
        return 1
    print("OK: every answer is complete and no task was started twice")
    return 0


def run_jobs(fed, started_at):
    """Submit the jobs, wait for the answers and check them."""
    jobs = [create_job(team) for team in TEAMS]
    submitted_at = time.monotonic()
    with ThreadPoolExecutor(2 * len(jobs)) as executor:
        futures = []
        for number, job in enumerate(jobs):
            for copy in range(2):
                entry = fed.entry_url_list[(number + copy) % ENTRIES]
                delay_s = copy * RESUBMIT_DELAY_S
                futures.append(executor.submit(submit_job, fed, entry, job, delay_s))
        print_progress(fed, futures, len(jobs) * TASKS_PER_JOB, started_at)
        answers = [future.result() for future in futures]
    print_elapsed(
        started_at, f"{len(jobs)} jobs took {time.monotonic() - submitted_at:.2f} s"
    )
    print_answers(answers)
    for job, answer, _ in answers:
        check_answer(job, answer)
    check_copies_agree(answers)
    check_started_once(fed.count_starts(), jobs)
    print_response_times(fed)


def create_job(team):
    """Return the body of a submission."""
    key = f"demo-{team}-{secrets.token_hex(4)}"
    return {
        "team": team,
        "key": key,
        "expires_at": round(time.time() + KEY_LIFETIME_S, 3),
        "deadline_s": DEADLINE_S,
        "task_class": "price" if team == "carts" else "availability",
        "idempotent": False,
        "tasks": [
            {
                "payload": {
                    "run_ms": TASK_RUN_MS[index % len(TASK_RUN_MS)],
                    "echo": expected_output(key, index),
                },
                "size_ms": TASK_RUN_MS[index % len(TASK_RUN_MS)],
            }
            for index in range(TASKS_PER_JOB)
        ],
        "wait": True,
    }


def expected_output(key, index):
    """Return the output that the target is asked to return for a task."""
    return f"{key}/{index}"


def submit_job(fed, entry, job, delay_s):
    """Submit a job after a delay; return the job, its answer and the entry."""
    time.sleep(delay_s)
    _, answer = fed.call(
        "POST", f"{entry}/v1/jobs", job, timeout_s=DEADLINE_S + PROGRESS_INTERVAL_S + 5
    )
    return job, answer, entry


def print_progress(fed, futures, tasks, started_at):
    """Print the number of started tasks until all answers have arrived."""
    while not all(future.done() for future in futures):
        starts = sum(fed.count_starts().values())
        print_elapsed(started_at, f"{starts} of {tasks} tasks started")
        time.sleep(PROGRESS_INTERVAL_S)


def print_answers(answers):
    """Print a table with a summary of each answer."""
    print()
    columns = ("team", "entry", "status", "reason", "claimed", "results", "last output")
    rows = [
        (
            job["team"],
            entry,
            answer.get("status"),
            answer.get("reason"),
            answer.get("claimed"),
            len(answer.get("results", ())),
            answer["results"][-1]["output"] if answer.get("results") else "",
        )
        for job, answer, entry in answers
    ]
    output.print_table(columns, rows)


def check_answer(job, answer):
    """Check that an answer is complete and has exactly the results of its job."""
    name = f"{job['team']}/{job['key']}"
    if answer.get("status") != JobStatus.COMPLETE:
        raise DemoError(f"{name}: {answer}")
    actual = [(one["index"], one["output"]) for one in answer["results"]]
    expected = [
        (index, expected_output(job["key"], index)) for index in range(TASKS_PER_JOB)
    ]
    if actual != expected:
        wrong = sorted(set(expected) ^ set(actual))[:5]
        raise DemoError(
            f"{name}: results are missing, duplicated or of another job: {wrong}"
        )


def check_copies_agree(answers):
    """Check that both copies of a job have the same job id and results."""
    results = {}
    for job, answer, _ in answers:
        first = results.setdefault(job["key"], answer)
        if (answer["job"], answer["results"]) != (first["job"], first["results"]):
            raise DemoError(f"{job['key']}: the two copies got different answers")


def check_started_once(starts, jobs):
    """Check that the targets started each task exactly once."""
    expected = set()
    for job in jobs:
        name = compute_job_id(job["team"], job["key"], job["expires_at"]).hex()
        expected |= {f"{name}/{index}" for index in range(TASKS_PER_JOB)}
    repeated = sorted(task for task, count in starts.items() if count > 1)
    if repeated:
        raise DemoError(f"{len(repeated)} tasks were started twice: {repeated[:5]}")
    if set(starts) != expected:
        different = sorted(set(starts) ^ expected)[:5]
        raise DemoError(
            f"the started tasks differ from the submitted ones: {different}"
        )
    print(f"\n{len(starts)} tasks, each started once")


def print_response_times(fed):
    """Print the merged histograms of all entries."""
    registry = create_histogram_registry()
    for name in fed.entry_urls:
        registry.merge(fed.status(name).get("histograms", ()))
    print_histograms(registry.snapshot())
    print()


def print_elapsed(started_at, text):
    """Print a line that starts with the seconds since the start."""
    print(f"{time.monotonic() - started_at:6.1f} s  {text}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
