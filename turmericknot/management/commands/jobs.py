"""Commands ``turmericknot job submit``, ``job wait`` and ``job cancel``."""

import sys

from turmericknot.conf import global_settings
from turmericknot.dispatch.tasks import JobStatus
from turmericknot.management import client, exit_codes, job_files, output
from turmericknot.management.arguments import parse_number
from turmericknot.management.registry import register_command

DEFAULT_ENTRY_ADDRESS = global_settings.HTTP_ADDRESS
MAX_WAIT_S = 86400
_MAX_OUTPUT_CHARACTERS = 60
_MAX_RESULT_ROWS = 20


@register_command("job", "submit")
def submit(
    file,
    *,
    entry=DEFAULT_ENTRY_ADDRESS,
    key="",
    expires_at="",
    expires_in_s="300",
    wait_s="60",
    json=False,
):
    """Submit a job and wait for its complete answer.

    The command prints the key and expires_at that it used. It is safe to submit the
    same job again with both: no task starts twice.

    Args:
        file: job file, TOML or .json: the body of POST /v1/jobs
        entry: http_address of an entry
        key: idempotency key (default: the key in the file, else a random one)
        expires_at: expiry of the key in seconds since the epoch (default: the one in
            the file)
        expires_in_s: lifetime of the key in seconds when there is no expires_at
        wait_s: how long to wait for the answer, in seconds; 0 returns immediately
        json: print the answer as JSON
    """
    lifetime_s = parse_number(expires_in_s, "--expires-in-s", 0.001, MAX_WAIT_S)
    expiry = parse_number(expires_at, "--expires-at") if expires_at else None
    body = job_files.read_job_file(file, key, expiry, lifetime_s)
    wait = parse_number(wait_s, "--wait-s", 0, MAX_WAIT_S)
    body["wait"] = wait > 0
    body["wait_s"] = wait
    print(f"key={body['key']} expires_at={body['expires_at']!r}", file=sys.stderr)
    answer = client.submit_job(entry, body, wait)
    code = _print_and_get_exit_code(answer, json)
    accepted = answer.get("status") == JobStatus.PENDING and not body["wait"]
    return exit_codes.OK if accepted else code


@register_command("job", "wait")
def wait(
    team, key, expires_at, *, entry=DEFAULT_ENTRY_ADDRESS, wait_s="60", json=False
):
    """Wait for the answer of a job that was submitted earlier.

    Args:
        team: team of the job
        key: idempotency key of the job
        expires_at: expiry of the key, as given at submission
        entry: http_address of an entry
        wait_s: how long to wait
        json: print the answer as JSON
    """
    expiry = parse_number(expires_at, "EXPIRES_AT")
    wait = parse_number(wait_s, "--wait-s", 0, MAX_WAIT_S)
    return _print_and_get_exit_code(
        client.await_job(entry, team, key, expiry, wait), json
    )


@register_command("job", "cancel")
def cancel(team, key, expires_at, *, entry=DEFAULT_ENTRY_ADDRESS, json=False):
    """Cancel a job; after the command returns, none of its tasks starts.

    Args:
        team: team of the job
        key: idempotency key of the job
        expires_at: expiry of the key, as given at submission
        entry: http_address of an entry
        json: print the answer as JSON
    """
    expiry = parse_number(expires_at, "EXPIRES_AT")
    answer = client.cancel_job(entry, team, key, expiry)
    code = _print_and_get_exit_code(answer, json)
    was_cancelled = answer.get("reason") == "cancelled"
    return exit_codes.OK if was_cancelled else code


def _print_and_get_exit_code(answer, as_json):
    """Print a job answer and return its exit code."""
    if as_json:
        output.print_json(answer)
    else:
        _print_answer(answer)
    return exit_codes.code_for_answer(answer)


def _print_answer(answer):
    """Print the status of a job and its first results."""
    fields = ("status", "reason", "detail", "retry_after_s", "claimed", "job")
    rows = [(name, answer.get(name)) for name in fields]
    # Empty fields are left out, but False is printed: ``claimed`` matters when false.
    rows = [row for row in rows if row[1] is False or row[1]]
    output.print_table(("field", "value"), rows)
    results = answer.get("results") or []
    if not results:
        return
    print()
    result_rows = [
        (result["index"], result["run_ms"], _truncate_output(result["output"]))
        for result in results[:_MAX_RESULT_ROWS]
    ]
    output.print_table(("index", "run_ms", "output"), result_rows)
    if len(results) > _MAX_RESULT_ROWS:
        print(f"... {len(results)} results; --json prints all of them")


def _truncate_output(text):
    """Return the output of a task, truncated to the maximum cell width."""
    text = str(text)
    is_truncated = len(text) > _MAX_OUTPUT_CHARACTERS
    return f"{text[:_MAX_OUTPUT_CHARACTERS]}..." if is_truncated else text
