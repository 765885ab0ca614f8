"""Job files: the body of ``POST /v1/jobs`` in TOML or JSON."""

import secrets
import time
import tomllib
from pathlib import Path

import msgspec

from turmericknot.core.exceptions import RequestError

RANDOM_KEY_BYTES = 12
MAX_REPEAT = 100_000


def read_job_file(
    path, key="", expires_at=None, expires_in_s=300.0, wall_clock=time.time
):
    """Return the body of a job submission.

    A task with ``repeat = n`` stands for n equal tasks. ``key`` and ``expires_at``
    override those in the file. A missing key is generated at random, and a missing
    expiry is ``expires_in_s`` from now.
    """
    body = _load_table(Path(path))
    tasks = body.get("tasks")
    if not isinstance(tasks, list) or not tasks:
        raise RequestError(f"{path}: tasks: found nothing; allowed: a list of tasks")
    body["tasks"] = [
        task for listed_task in tasks for task in _expand_repeat(path, listed_task)
    ]
    if key:
        body["key"] = key
    if expires_at is not None:
        body["expires_at"] = expires_at
    body.setdefault("key", secrets.token_hex(RANDOM_KEY_BYTES))
    body.setdefault("expires_at", round(wall_clock() + expires_in_s, 3))
    return body


def _load_table(path):
    """Return the top-level table of a TOML or JSON file."""
    try:
        data = path.read_bytes()
        if path.suffix == ".json":
            body = msgspec.json.decode(data)
        else:
            body = tomllib.loads(data.decode())
    except OSError as error:
        raise RequestError(f"{path}: {error.strerror}") from error
    except (msgspec.DecodeError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise RequestError(f"{path}: not a job file: {error}") from error
    if not isinstance(body, dict):
        raise RequestError(f"{path}: found a list or value; allowed: a table")
    return body


def _expand_repeat(path, task):
    """Return the tasks that one item of the task list stands for."""
    if not isinstance(task, dict):
        raise RequestError(f"{path}: tasks: found {task!r}; allowed: tables")
    fields = dict(task)
    count = fields.pop("repeat", 1)
    if not isinstance(count, int) or not 1 <= count <= MAX_REPEAT:
        raise RequestError(
            f"{path}: repeat: found {count!r}; allowed: 1 to {MAX_REPEAT}"
        )
    return [fields] * count
