"""Tests of the HTTP API over a real socket with a fake dispatcher."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest
import urllib3

from tests.entry.conftest import job_body
from tests.federation import free_addresses
from turmericknot.conf.schema import EntrySettings
from turmericknot.core.kernel import Kernel
from turmericknot.dispatch import events
from turmericknot.dispatch.tasks import Answer, JobStatus, Reason, TaskAnswer
from turmericknot.entry.api import create_api_service
from turmericknot.entry.requests import create_requests_service

HTTP_THREADS = 20


class FakeDispatcher:
    """Answer events with ``answer`` while ``answering`` is set."""

    is_responsive = True

    def __init__(self, requests):
        self.events = []
        self.answer = Answer(b"", JobStatus.COMPLETE)
        self.answering = threading.Event()
        self.answering.set()
        self._requests = requests

    def post(self, event):
        self.events.append(event)
        if self.answering.is_set():
            self._requests.respond(event.request, self.answer)

    def answer_all(self):
        self.answering.set()
        self._requests.respond_all(self.answer)


class FakeConfig:
    """Active configuration with a class and a team that set defaults."""

    def __init__(self):
        self.tree = {
            "defaults": {"classes": {"check": {"idempotent": True}}},
            "teams": {"buyers": {"deadline_s": 7.0, "classes": {"lot": {}}}},
        }


class ApiClient:
    def __init__(self, url, dispatcher):
        self.url, self.dispatcher = url, dispatcher

    def __call__(self, method, path, body=None):
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        response = urllib3.request(
            method, self.url + path, body=data, retries=False, timeout=10
        )
        return response.status, response.data


@pytest.fixture
def client():
    kernel = Kernel()
    requests = kernel.register("requests", create_requests_service(kernel, None))
    dispatcher = kernel.register("dispatcher", FakeDispatcher(requests))
    kernel.register("config", FakeConfig())
    (address,) = free_addresses(1)
    settings = EntrySettings(
        "e1", "fd1", "r1", address, http_threads=HTTP_THREADS, max_body_bytes=100_000
    )
    api = create_api_service(kernel, settings)
    api.start()
    yield ApiClient(f"http://{address}", dispatcher)
    api.stop()


def test_payloads_and_outputs_are_not_changed(client):
    """Guards against parsing JSON values, which changes large integers, for example."""
    client.dispatcher.answer = Answer(
        b"", JobStatus.COMPLETE, results=[TaskAnswer(0, b'{"n": 1e400}', 5.0)]
    )
    payload = b'{"a": [1, 2.50, null], "n": 123456789012345678901234567890}'
    head = msgspec.json.encode(job_body("k", 0))[:-1].replace(b',"tasks":[]', b"")
    status, data = client(
        "POST", "/v1/jobs", head + b',"tasks":[{"payload":%s}]}' % payload
    )
    assert status == 200 and b'"output":{"n": 1e400}' in data
    spec = client.dispatcher.events[0].spec
    assert spec.tasks[0].payload == payload


def test_digest_covers_only_what_is_run(client):
    """Guards against a key conflict when the same submission is sent again."""
    body = job_body("k", 2)
    other = job_body("k", 2, run_ms=21)
    for each in (body, {**body, "deadline_s": 5, "wait": False}, other):
        client("POST", "/v1/jobs", each)
    submitted = [e for e in client.dispatcher.events if type(e) is events.JobSubmitted]
    first, repeated, changed = (event.spec.digest for event in submitted)
    assert first == repeated != changed


def test_omitted_job_fields_use_configured_defaults(client):
    """Guards against ignoring the defaults of task classes and teams."""
    body = job_body("k", team="buyers", task_class="check")
    del body["deadline_s"]
    client("POST", "/v1/jobs", body)
    client("POST", "/v1/jobs", {**body, "task_class": "lot", "idempotent": False})
    checked, lot = (event.spec for event in client.dispatcher.events)
    assert (checked.deadline_s, checked.idempotent) == (7.0, True)
    assert (lot.deadline_s, lot.idempotent) == (7.0, False)


def test_job_without_any_deadline_is_rejected(client):
    body = job_body("k")
    del body["deadline_s"]
    status, data = client("POST", "/v1/jobs", body)
    assert status == 400 and b"$.deadline_s" in data


@pytest.mark.parametrize(
    ("body", "status", "error"),
    [
        (b"{", 400, b"malformed_json"),
        (b'{"team": "\xff"}', 400, b"malformed_json"),
        (b"{}", 400, b"team"),
        ({**job_body("k"), "tasks": []}, 400, b"$.tasks"),
        ({**job_body("k"), "deadline_s": 0}, 400, b"$.deadline_s"),
        ({**job_body("k"), "key": "x" * 201}, 400, b"$.key"),
        ({**job_body("k"), "tasks": [{"size_ms": "long"}]}, 400, b"$.tasks[0].size_ms"),
        (b" " * 200_000, 413, b"exceeds the maximum"),
    ],
)
def test_invalid_bodies_are_rejected_with_an_error(client, body, status, error):
    """Guards against invalid bodies that reach the dispatcher or cause a 500."""
    answer = client("POST", "/v1/jobs", body)
    assert answer[0] == status and error in answer[1], answer
    assert client.dispatcher.events == []


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/v1/nothing", 404),
        ("PUT", "/v1/jobs", 405),
        ("PUT", "/v1/jobs/t/k", 405),
        ("GET", "/v1/jobs/t/k", 400),
        ("GET", "/v1/jobs/t/k?expires_at=nan", 400),
        ("GET", "/v1/healthz", 200),
    ],
)
def test_status_of_paths_and_parameters(client, method, path, status):
    assert client(method, path)[0] == status


@pytest.mark.parametrize(
    ("job_status", "reason", "status"),
    [
        (JobStatus.FAILED, Reason.TASK_FAILED, 500),
        (JobStatus.FAILED, Reason.KEY_CONFLICT, 409),
        (JobStatus.NOT_RUN, Reason.OVERLOAD, 429),
        (JobStatus.NOT_RUN, Reason.NEVER_RUNNABLE, 422),
        (JobStatus.NOT_RUN, Reason.DRAINING, 503),
        (JobStatus.UNKNOWN, Reason.MAY_HAVE_STARTED, 504),
        (JobStatus.UNKNOWN, Reason.NOT_FOUND, 404),
        (JobStatus.PENDING, Reason.NONE, 202),
    ],
)
def test_http_status_of_answers(client, job_status, reason, status):
    client.dispatcher.answer = Answer(b"", job_status, reason)
    assert client("POST", "/v1/tasks", job_body("k"))[0] == status


def test_key_with_reserved_characters_identifies_the_same_job(client):
    """Guards against a job that its caller cannot look up because of its key."""
    body = job_body("a/b ü")
    client("POST", "/v1/jobs", body)
    query = f"expires_at={body['expires_at']!r}"
    client("GET", f"/v1/jobs/carts/a%2Fb%20%C3%BC?{query}")
    submitted, awaited = client.dispatcher.events
    assert submitted.spec.job == awaited.job


def test_waiting_callers_do_not_block_others(client):
    """Guards against waiting callers using up the threads for other requests."""
    client.dispatcher.answering.clear()
    with ThreadPoolExecutor(4 * HTTP_THREADS) as pool:
        calls = [
            pool.submit(client, "POST", "/v1/jobs", job_body(f"k{number}", 1))
            for number in range(4 * HTTP_THREADS)
        ]
        deadline = time.monotonic() + 5
        while len(client.dispatcher.events) < len(calls):
            assert time.monotonic() < deadline, "not all requests got a thread in time"
            time.sleep(0.01)
        assert client("GET", "/v1/healthz")[0] == 200
        client.dispatcher.answer_all()
        assert {call.result()[0] for call in calls} == {200}


def test_caller_that_does_not_wait_gets_pending(client):
    client.dispatcher.answering.clear()
    status, _ = client("POST", "/v1/jobs", {**job_body("k"), "wait": False})
    assert status == 202
    assert type(client.dispatcher.events[-1]) is events.RequestAbandoned
