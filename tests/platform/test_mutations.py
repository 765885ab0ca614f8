"""Decoding of valid messages with one element removed or replaced."""

import copy

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from turmericknot.core.exceptions import MessageError, StoreError, WorkerError
from turmericknot.platform import configuration, jobs, store, workers
from turmericknot.scheduling.jobs import RunEnd
from turmericknot.scheduling.queues import Queue

QUEUE = Queue("q", "h.example", "/a/b/", "s", attempts=3, stretch=1.6, objective=0.06)
JOB = {
    "spec": "x",
    "best_effort": True,
    "steps": [
        {"count": 2, "cpu": 1500, "mem_mb": 64, "est_runtime_ms": 250},
        {"count": 1, "after": [0], "requires": "a", "anti_affinity": 1},
    ],
}
REPORT = {
    "service": "s",
    "addr": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "draining",
    "cold_left_ms": 0,
    "remaining_ms": 1600,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "seq": 4,
    "born": 1768986228285,
}
TASK = "5c0e7a21d94b36f8.0.1.17"
LISTS = {
    "clock_ms": 482113,
    "born": 1768986228285,
    "running": [[TASK, 2, "", 41, 0]],
    "ended": [[58, TASK, 1, "done", ""]],
}
CONFIGURATION = {
    "version": 3,
    "routes": [{"name": "q", "host": "h", "prefix": "/a/", "service": "s", "prio": 1}],
    "services": [{"name": "s", "enforces_capacity": True}],
    "limits": {"max_body_bytes": 1000},
}
OWNERS = {"owners": [["keyed.jobs", 0, "member", 5]]}

replacement_values = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=20),
    st.lists(st.integers(), max_size=3),
    st.dictionaries(st.text(max_size=5), st.integers(), max_size=2),
)


def list_paths(value, path=()):
    """Return the path of every element of a message."""
    paths = [path] if path else []
    items = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list):
        items = enumerate(value)
    for key, element in items:
        paths += list_paths(element, (*path, key))
    return paths


@st.composite
def mutated_messages(draw, message):
    mutated = copy.deepcopy(message)
    path = draw(st.sampled_from(list_paths(message)))
    parent = mutated
    for key in path[:-1]:
        parent = parent[key]
    if draw(st.booleans()):
        parent[path[-1]] = draw(replacement_values)
    else:
        del parent[path[-1]]
    return msgspec.json.encode(mutated)


def check_run_lists(body):
    result = workers._decode_run_lists(body)
    for row in result.running:
        assert isinstance(row.percent, int)
    for row in result.ended:
        assert isinstance(row.number, int)
        assert isinstance(row.how, RunEnd)


DECODERS = {
    "job": (JOB, lambda body: jobs.decode_job(QUEUE, body, 0.0), MessageError),
    "report": (
        REPORT,
        lambda body: workers.decode_worker_report("i-1", body, 0.0),
        MessageError,
    ),
    "lists": (LISTS, check_run_lists, WorkerError),
    "configuration": (
        CONFIGURATION,
        configuration.decode_configuration,
        MessageError,
    ),
    "owners": (OWNERS, store._decode_owners, StoreError),
}


@pytest.mark.parametrize("name", DECODERS)
@settings(max_examples=300, derandomize=True, deadline=None)
@given(data=st.data())
def test_mutated_message_is_decoded_or_refused(name, data):
    """A message from another program must never end the process."""
    message, decode, error = DECODERS[name]
    body = data.draw(mutated_messages(message))
    try:
        decode(body)
    except error:
        pass
