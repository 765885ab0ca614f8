"""Play a trace against running entries, open loop.

Each job is sent at its time whether or not earlier ones have been answered, and its
response time counts from that time, so that a slow system cannot slow down its own
measurement (coordinated omission).
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
RECONNECT_PAUSE_S = 0.05


@dataclass(slots=True)
class Outcome:
    """What became of one job of the trace."""

    number: int
    status: str = "lost"
    reason: str = ""
    claimed: bool = True
    response_s: float = 0.0
    sent_late_s: float = 0.0
    finished_at_s: float = 0.0
    retry_after_s: float = 0.0
    attempts: int = 0
    fault: str = ""  # why the answer is wrong
    run_ms: list[float] = field(default_factory=list)


@contextmanager
def http_pool(entries):
    """Yield a connection pool; close it at the end."""
    pool = urllib3.PoolManager(
        num_pools=2 * len(entries), maxsize=PLAYER_THREADS, retries=False
    )
    try:
        yield pool
    finally:
        pool.clear()


def play_trace(trace, entries, on_second=None):
    """Play the trace; return an Outcome for each job.

    ``entries`` are base URLs. ``on_second(elapsed_s)`` is called about once a second.
    """
    outcomes = [Outcome(number) for number in range(len(trace.jobs))]
    started_at = time.monotonic() + 0.2
    with http_pool(entries) as pool, ThreadPoolExecutor(PLAYER_THREADS) as executor:
        next_second = 1.0
        for number, job in enumerate(trace.jobs):
            due = started_at + job.at_s
            while (wait_s := due - time.monotonic()) > 0:
                time.sleep(min(wait_s, 0.2))
            if on_second and time.monotonic() - started_at >= next_second:
                on_second(next_second)
                next_second += 1.0
            executor.submit(_play_job, pool, entries, job, outcomes[number], started_at)
    return outcomes


def _play_job(pool, entries, job, outcome, started_at):
    due = started_at + job.at_s
    outcome.sent_late_s = time.monotonic() - due
    body = _encode(job)
    first = outcome.number % len(entries)
    if job.resubmit:
        copy = Outcome(outcome.number)
        other = entries[(first + 1) % len(entries)]
        thread = threading.Timer(
            0.1, _attempts, (pool, [other], body, job, copy, started_at)
        )
        thread.start()
        _attempts(pool, entries, body, job, outcome, started_at)
        thread.join()
        _compare(outcome, copy)
        return
    _attempts(pool, entries, body, job, outcome, started_at)


def _attempts(pool, entries, body, job, outcome, started_at):
    """Send a job; after a broken connection send it again to the next entry."""
    due = started_at + job.at_s
    give_up = due + job.deadline_s + ANSWER_MARGIN_S
    entry = outcome.number % len(entries)
    while time.monotonic() < give_up:
        outcome.attempts += 1
        left_s = give_up - time.monotonic()
        try:
            response = pool.request(
                "POST",
                f"{entries[entry]}/v1/jobs",
                body=body,
                headers={"Content-Type": "application/json"},
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=left_s),
            )
        except urllib3.exceptions.HTTPError:
            entry = (entry + 1) % len(entries)
            time.sleep(RECONNECT_PAUSE_S)
            continue
        _read_answer(response, job, outcome)
        break
    now = time.monotonic()
    outcome.response_s = now - due
    outcome.finished_at_s = now - started_at


def _read_answer(response, job, outcome):
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
        _check_whole(answer, job, outcome)
    elif outcome.status not in ("failed", "not_run", "unknown"):
        outcome.fault = f"HTTP {response.status}: status {outcome.status}"


def _check_whole(answer, job, outcome):
    results = answer.get("results", [])
    if [result["index"] for result in results] != list(range(len(job.run_ms))):
        outcome.fault = "partial answer"
        return
    for index, result in enumerate(results):
        if result["output"] != _echo(job, index):
            outcome.fault = f"task {index} has another task's output"
            return
    outcome.run_ms = [result["run_ms"] for result in results]


def _compare(outcome, copy):
    """Check that both copies of a submission were told the same."""
    both = {outcome.status, copy.status}
    if "complete" in both and "not_run" in both:
        outcome.fault = "one copy complete, the other not_run"


def _echo(job, index):
    return f"{job.key}/{index}"


def _encode(job):
    tasks = [
        {
            "payload": {"run_ms": run_ms, "echo": _echo(job, index)},
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
