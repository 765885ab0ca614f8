"""Submit the jobs of a trace to running entries in an open loop.

Each job is sent at its scheduled time whether or not earlier jobs have been answered.
Response times are measured from the scheduled time, so that a slow system cannot
delay its own measurement (coordinated omission).
"""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field

import msgspec
import urllib3

PLAYER_THREADS = 600
CONNECT_TIMEOUT_S = 1.0
ANSWER_MARGIN_S = 3.0
KEY_LIFETIME_S = 300.0
RETRY_DELAY_S = 0.05


@dataclass(slots=True)
class JobOutcome:
    """The result of submitting one job of the trace."""

    number: int
    status: str = "lost"
    reason: str = ""
    claimed: bool = True
    response_s: float = 0.0
    sent_late_s: float = 0.0
    finished_at_s: float = 0.0
    retry_after_s: float = 0.0
    attempts: int = 0
    fault: str = ""  # what is wrong with the answer; empty for a valid one
    run_ms: list[float] = field(default_factory=list)


@contextmanager
def open_http_pool(entries):
    """Yield a connection pool for the entries and close it afterwards."""
    pool = urllib3.PoolManager(
        num_pools=2 * len(entries), maxsize=PLAYER_THREADS, retries=False
    )
    try:
        yield pool
    finally:
        pool.clear()


def play_trace(trace, entries, on_second=None):
    """Submit every job of the trace and return a JobOutcome for each.

    ``entries`` are base URLs. ``on_second(elapsed_s)`` is called about once a second.
    """
    outcomes = [JobOutcome(number) for number in range(len(trace.jobs))]
    started_at = time.monotonic() + 0.2
    with (
        open_http_pool(entries) as pool,
        ThreadPoolExecutor(PLAYER_THREADS) as executor,
    ):
        next_second_s = 1.0
        for number, job in enumerate(trace.jobs):
            due_at = started_at + job.at_s
            while (wait_s := due_at - time.monotonic()) > 0:
                time.sleep(min(wait_s, 0.2))
            if on_second and time.monotonic() - started_at >= next_second_s:
                on_second(next_second_s)
                next_second_s += 1.0
            executor.submit(_play_job, pool, entries, job, outcomes[number], started_at)
    return outcomes


def _play_job(pool, entries, job, outcome, started_at):
    due_at = started_at + job.at_s
    outcome.sent_late_s = time.monotonic() - due_at
    body = _encode_submission(job)
    first_index = outcome.number % len(entries)
    if job.resubmit:
        duplicate = JobOutcome(outcome.number)
        other_entry = entries[(first_index + 1) % len(entries)]
        thread = threading.Timer(
            0.1,
            _submit_with_retries,
            (pool, [other_entry], body, job, duplicate, started_at),
        )
        thread.start()
        _submit_with_retries(pool, entries, body, job, outcome, started_at)
        thread.join()
        _compare_answers(outcome, duplicate)
        return
    _submit_with_retries(pool, entries, body, job, outcome, started_at)


def _submit_with_retries(pool, entries, body, job, outcome, started_at):
    """Submit a job; resubmit it to the next entry after a connection error."""
    due_at = started_at + job.at_s
    give_up_at = due_at + job.deadline_s + ANSWER_MARGIN_S
    entry_index = outcome.number % len(entries)
    while time.monotonic() < give_up_at:
        outcome.attempts += 1
        remaining_s = give_up_at - time.monotonic()
        try:
            response = pool.request(
                "POST",
                f"{entries[entry_index]}/v1/jobs",
                body=body,
                headers={"Content-Type": "application/json"},
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=remaining_s),
            )
        except urllib3.exceptions.HTTPError:
            entry_index = (entry_index + 1) % len(entries)
            time.sleep(RETRY_DELAY_S)
            continue
        _record_answer(response, job, outcome)
        break
    now = time.monotonic()
    outcome.response_s = now - due_at
    outcome.finished_at_s = now - started_at


def _record_answer(response, job, outcome):
    try:
        answer = msgspec.json.decode(response.data)
    except msgspec.DecodeError:
        outcome.fault = f"HTTP {response.status}: undecodable answer"
        return
    outcome.status = answer.get("status") or "error"
    outcome.reason = answer.get("reason", "")
    outcome.claimed = answer.get("claimed", True)
    outcome.retry_after_s = answer.get("retry_after_s") or 0.0
    if outcome.status == "complete":
        _check_results(answer, job, outcome)
    elif outcome.status not in ("failed", "not_run", "unknown"):
        outcome.fault = f"HTTP {response.status}: status {outcome.status}"


def _check_results(answer, job, outcome):
    results = answer.get("results", [])
    if [result["index"] for result in results] != list(range(len(job.run_ms))):
        outcome.fault = "partial answer"
        return
    for index, result in enumerate(results):
        if result["output"] != _expected_output(job, index):
            outcome.fault = f"task {index} has another task's output"
            return
    outcome.run_ms = [result["run_ms"] for result in results]


def _compare_answers(outcome, duplicate):
    """Record a fault when a job and its duplicate got contradictory answers."""
    statuses = {outcome.status, duplicate.status}
    if "complete" in statuses and "not_run" in statuses:
        outcome.fault = "one copy complete, the other not_run"


def _expected_output(job, index):
    return f"{job.key}/{index}"


def _encode_submission(job):
    tasks = [
        {
            "payload": {"run_ms": run_ms, "echo": _expected_output(job, index)},
            "size_ms": job.declared_ms[index],
        }
        for index, run_ms in enumerate(job.run_ms)
    ]
    return msgspec.json.encode(
        {
            "team": job.team,
            "key": job.key,
            "expires_at": time.time() + KEY_LIFETIME_S,
            "deadline_s": job.deadline_s,
            "task_class": job.task_class,
            "idempotent": job.idempotent,
            "tasks": tasks,
            "wait_s": job.deadline_s + ANSWER_MARGIN_S,
        }
    )
