"""Run a small federation on loopback and check what it answers.

Starts the stand-ins, two entries and six agents as processes, publishes two teams,
submits a job of several hundred tasks for each team, and submits it again through
the other entry while it runs. Ends with 0 when every answer is whole and no task was
started twice.
"""

import secrets
import shutil
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.federation import FederationError, federation
from turmericknot.core.ids import job_id
from turmericknot.dispatch.tasks import JobStatus
from turmericknot.management import output
from turmericknot.management.commands.status import print_histograms
from turmericknot.utils.histograms import create_histogram_registry

DIRECTORY = Path("build") / "run"
ENTRIES = 2
AGENTS = 6
SLOTS = 8
TASKS = 400
RUN_MS = (20, 40, 60, 80)  # run times of the tasks in turn
TEAMS = {
    "carts": {"allowance": 24, "weight": 1.0},
    "binders": {"allowance": 24, "weight": 1.0},
}
DEADLINE_S = 30.0
KEY_LIFETIME_S = 120.0
# The second copy of a job arrives while the first one runs.
RESUBMIT_AFTER_S = 0.2
PROGRESS_INTERVAL_S = 0.5


class DemoFault(Exception):
    """An answer or the count of starts is not what it has to be."""


def main():
    """Run the demo and return the exit code."""
    shutil.rmtree(DIRECTORY, ignore_errors=True)
    DIRECTORY.mkdir(parents=True)
    started = time.monotonic()
    print(f"starting {ENTRIES} entries, {AGENTS} agents and as many targets")
    try:
        with federation(
            DIRECTORY, entries=ENTRIES, agents=AGENTS, slots=SLOTS, teams=TEAMS
        ) as fed:
            say(started, "every entry sees every agent")
            run(fed, started)
        say(started, "all processes have stopped")
    except (DemoFault, FederationError) as error:
        print(f"FAILED: {error}\nlogs are in {DIRECTORY}/", file=sys.stderr)
        return 1
    print("OK: every answer is whole and no task was started twice")
    return 0


def run(fed, started):
    """Submit the jobs, wait for the answers and check them."""
    jobs = [create_job(team) for team in TEAMS]
    submitted = time.monotonic()
    with ThreadPoolExecutor(2 * len(jobs)) as executor:
        futures = []
        for number, job in enumerate(jobs):
            for copy in range(2):
                entry = fed.entries[(number + copy) % ENTRIES]
                delay_s = copy * RESUBMIT_AFTER_S
                futures.append(executor.submit(submit, fed, entry, job, delay_s))
        show_progress(fed, futures, len(jobs) * TASKS, started)
        answers = [future.result() for future in futures]
    say(started, f"{len(jobs)} jobs took {time.monotonic() - submitted:.2f} s")
    show_answers(answers)
    for job, answer, _ in answers:
        check_answer(job, answer)
    check_same(answers)
    check_starts(fed.starts(), jobs)
    show_response_times(fed)


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
                    "run_ms": RUN_MS[index % len(RUN_MS)],
                    "echo": echo(key, index),
                },
                "size_ms": RUN_MS[index % len(RUN_MS)],
            }
            for index in range(TASKS)
        ],
        "wait": True,
    }


def echo(key, index):
    """Return the output that the target gives for a task."""
    return f"{key}/{index}"


def submit(fed, entry, job, delay_s):
    """Submit a job and return it with its answer and the entry."""
    time.sleep(delay_s)
    _, answer = fed.call(
        "POST", f"{entry}/v1/jobs", job, timeout_s=DEADLINE_S + PROGRESS_INTERVAL_S + 5
    )
    return job, answer, entry


def show_progress(fed, futures, tasks, started):
    """Print how many tasks were started until every answer is there."""
    while not all(future.done() for future in futures):
        starts = sum(fed.starts().values())
        say(started, f"{starts} of {tasks} tasks started")
        time.sleep(PROGRESS_INTERVAL_S)


def show_answers(answers):
    """Print each answer in short."""
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
    """Check that an answer is complete and made of the job's own results."""
    name = f"{job['team']}/{job['key']}"
    if answer.get("status") != JobStatus.COMPLETE:
        raise DemoFault(f"{name}: {answer}")
    found = [(one["index"], one["output"]) for one in answer["results"]]
    wanted = [(index, echo(job["key"], index)) for index in range(TASKS)]
    if found != wanted:
        wrong = sorted(set(wanted) ^ set(found))[:5]
        raise DemoFault(f"{name}: results missing, doubled or foreign: {wrong}")


def check_same(answers):
    """Check that both copies of a job have one job id and one answer."""
    results = {}
    for job, answer, _ in answers:
        first = results.setdefault(job["key"], answer)
        if (answer["job"], answer["results"]) != (first["job"], first["results"]):
            raise DemoFault(f"{job['key']}: the two copies were answered differently")


def check_starts(starts, jobs):
    """Check that the targets started each task exactly once."""
    wanted = set()
    for job in jobs:
        name = job_id(job["team"], job["key"], job["expires_at"]).hex()
        wanted |= {f"{name}/{index}" for index in range(TASKS)}
    twice = sorted(task for task, count in starts.items() if count > 1)
    if twice:
        raise DemoFault(f"{len(twice)} tasks were started twice: {twice[:5]}")
    if set(starts) != wanted:
        different = sorted(set(starts) ^ wanted)[:5]
        raise DemoFault(f"starts and tasks differ: {different}")
    print(f"\n{len(starts)} tasks, each started once")


def show_response_times(fed):
    """Print the histograms of all entries, merged."""
    registry = create_histogram_registry()
    for name in fed.entry_urls:
        registry.merge(fed.status(name).get("histograms", ()))
    print_histograms(registry.snapshot())
    print()


def say(started, text):
    """Print a line with the seconds since the start."""
    print(f"{time.monotonic() - started:6.1f} s  {text}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
