"""``turmericknot job submit``, ``job wait`` and ``job cancel``."""

import sys

from turmericknot.conf import global_settings
from turmericknot.dispatch.tasks import JobStatus
from turmericknot.management import client, exit_codes, job_files, output
from turmericknot.management.arguments import to_number
from turmericknot.management.registry import register

DEFAULT_ENTRY = global_settings.HTTP_ADDRESS
MAX_WAIT_S = 86400
_OUTPUT_CHARACTERS = 60
_ROWS_SHOWN = 20


@register("job", "submit")
def submit(
    file,
    *,
    entry=DEFAULT_ENTRY,
    key="",
    expires_at="",
    expires_in_s="300",
    wait_s="60",
    json=False,
):
    """Submit a job and wait for its whole answer.

    The command prints the key and expires_at that it used. Submitting the same job
    again with both is safe: no task starts twice.

    Args:
        file: job file, TOML or .json: the body of POST /v1/jobs
        entry: http_address of an entry
        key: idempotency key; else the one of the file, else a random one
        expires_at: expiry of the key in seconds since the epoch; else the one of the
            file
        expires_in_s: lifetime of the key when there is no expires_at
        wait_s: how long to wait for the answer; 0 returns at once
        json: print the answer as JSON
    """
    lifetime_s = to_number(expires_in_s, "--expires-in-s", 0.001, MAX_WAIT_S)
    expiry = to_number(expires_at, "--expires-at") if expires_at else None
    body = job_files.read_job(file, key, expiry, lifetime_s)
    wait = to_number(wait_s, "--wait-s", 0, MAX_WAIT_S)
    body["wait"] = wait > 0
    body["wait_s"] = wait
    print(f"key={body['key']} expires_at={body['expires_at']!r}", file=sys.stderr)
    answer = client.submit_job(entry, body, wait)
    code = _show(answer, json)
    accepted = answer.get("status") == JobStatus.PENDING and not body["wait"]
    return exit_codes.OK if accepted else code


@register("job", "wait")
def wait(team, key, expires_at, *, entry=DEFAULT_ENTRY, wait_s="60", json=False):
    """Wait for the answer of a job that was submitted before.

    Args:
        team: team of the job
        key: idempotency key of the job
        expires_at: expiry of the key, as given at submission
        entry: http_address of an entry
        wait_s: how long to wait
        json: print the answer as JSON
    """
    expiry = to_number(expires_at, "EXPIRES_AT")
    wait = to_number(wait_s, "--wait-s", 0, MAX_WAIT_S)
    return _show(client.await_job(entry, team, key, expiry, wait), json)


@register("job", "cancel")
def cancel(team, key, expires_at, *, entry=DEFAULT_ENTRY, json=False):
    """Cancel a job; once this returns, no task of it starts any more.

    Args:
        team: team of the job
        key: idempotency key of the job
        expires_at: expiry of the key, as given at submission
        entry: http_address of an entry
        json: print the answer as JSON
    """
    expiry = to_number(expires_at, "EXPIRES_AT")
    answer = client.cancel_job(entry, team, key, expiry)
    code = _show(answer, json)
    was_cancelled = answer.get("reason") == "cancelled"
    return exit_codes.OK if was_cancelled else code


def _show(answer, as_json):
    """Print an answer and return its exit code."""
    if as_json:
        output.print_json(answer)
    else:
        _print_answer(answer)
    return exit_codes.for_answer(answer)


def _print_answer(answer):
    """Print the state of the job and the first results."""
    fields = ("status", "reason", "detail", "retry_after_s", "claimed", "job")
    rows = [(name, answer.get(name)) for name in fields]
    # False is shown: ``claimed`` matters when it is false.
    rows = [row for row in rows if row[1] is False or row[1]]
    output.print_table(("field", "value"), rows)
    results = answer.get("results") or []
    if not results:
        return
    print()
    shown = [
        (one["index"], one["run_ms"], _short(one["output"]))
        for one in results[:_ROWS_SHOWN]
    ]
    output.print_table(("index", "run_ms", "output"), shown)
    if len(results) > _ROWS_SHOWN:
        print(f"... {len(results)} results; --json prints all of them")


def _short(text):
    """Return an output cut to the width of a cell."""
    text = str(text)
    cut = len(text) > _OUTPUT_CHARACTERS
    return f"{text[:_OUTPUT_CHARACTERS]}..." if cut else text
