"""Decoding of valid, malformed and random messages of the platform."""

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from turmericknot.aio.client import ClientResponse
from turmericknot.core.exceptions import (
    MessageError,
    SettingsError,
    UnsupportedJob,
    WorkerRefused,
    WorkerUnavailable,
)
from turmericknot.platform import (
    configuration,
    jobs,
    settings as node_settings,
    workers,
)
from turmericknot.scheduling.commands import Outcome
from turmericknot.scheduling.jobs import RunEnd
from turmericknot.scheduling.queues import Queue
from turmericknot.wire.shard_messages import RunName

QUEUE = Queue("q", "h.example", "/a/b/", "s", attempts=3, stretch=1.6, objective=0.06)


def encode(value):
    return msgspec.json.encode(value)


def test_job_is_converted_to_product_units():
    """A wrong unit would place tasks on workers without enough free capacity."""
    body = encode(
        {
            "spec": "x",
            "steps": [
                {"count": 2, "cpu": 1500, "mem_mb": 64, "est_runtime_ms": 250},
                {"count": 1, "after": [0], "requires": "a", "anti_affinity": 1},
            ],
            "best_effort": True,
            "a_new_field": 1,
        }
    )
    job = jobs.decode_job(QUEUE, body, 5.0)
    first, second = job.record.steps
    assert not job.is_durable
    assert (first.cpu, first.memory, first.estimate) == (1500, 64, 0.25)
    assert (second.after, second.required_label, second.max_per_worker) == (
        (0,),
        "a",
        1,
    )
    assert (job.record.attempts, job.record.objective) == (3, 0.06)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        encode({"spec": "x", "steps": []}),
        encode({"spec": "x" * 4001, "steps": [{"count": 1}]}),
        encode({"spec": "x", "steps": [{"count": 0}]}),
        encode({"spec": "x", "steps": [{"count": 1, "cpu": -1}]}),
        encode({"spec": "x", "steps": [{"count": 1, "after": [0]}]}),
        encode({"spec": "x", "steps": [{"count": 10**9}]}),
        encode({"spec": 1, "steps": [{"count": 1}]}),
    ],
)
def test_malformed_job_is_refused(body):
    """A malformed job must be refused before any of its tasks runs."""
    with pytest.raises(MessageError):
        jobs.decode_job(QUEUE, body, 0.0)


@pytest.mark.parametrize("field", ["gang", "long_running", "fills", "same_rack"])
def test_unsupported_step_is_refused(field):
    """Running a step without a property that it requires would be wrong."""
    body = encode({"spec": "x", "steps": [{"count": 1, field: True}]})
    with pytest.raises(UnsupportedJob):
        jobs.decode_job(QUEUE, body, 0.0)


@given(st.binary(max_size=200))
@settings(max_examples=200, deadline=None)
def test_random_bytes_raise_expected_errors(data):
    """A decoder that raises any other exception would end the process."""
    for decode in (
        lambda: jobs.decode_job(QUEUE, data, 0.0),
        lambda: configuration.decode_configuration(data),
        lambda: workers.decode_worker_report("i", data, 0.0),
        lambda: workers._decode_run_lists(data),
    ):
        try:
            decode()
        except (MessageError, WorkerUnavailable):
            pass


def test_longest_matching_prefix_selects_the_queue():
    """With the wrong queue a job would run on the wrong service."""
    body = encode(
        {
            "version": 7,
            "routes": [
                {
                    "name": "r1",
                    "host": "h",
                    "prefix": "/a/",
                    "service": "s",
                    "slo_ms": 60,
                },
                {"name": "r2", "host": "h", "prefix": "/a/b/", "service": "t"},
            ],
            "services": [{"name": "s", "enforces_capacity": True}],
            "limits": {"max_header_bytes": 1, "idle_timeout_ms": 5000},
        }
    )
    decoded_configuration = configuration.decode_configuration(body)
    assert decoded_configuration.find_queue("h:80", "/a/b/c").name == "r2"
    assert decoded_configuration.find_queue("h", "/a/c").name == "r1"
    assert decoded_configuration.find_queue("h", "/c") is None
    assert decoded_configuration.find_queue("g", "/a/c") is None
    assert decoded_configuration.queues[0].objective == 0.06
    assert decoded_configuration.limits.idle_timeout_s == 5.0


REPORT = {
    "service": "s",
    "addr": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "seq": 4,
    "born": 1791322888642,
}


def test_worker_report():
    """The capacity, state, clock and start time must be those that were reported."""
    life = workers.decode_worker_report("i-1", encode(REPORT), 9.0)
    assert (life.cpu, life.memory, life.usable) == (16000, 32768, True)
    assert (life.clock, life.clock_at, life.born) == (482.113, 9.0, 1791322888642)
    cold = encode({**REPORT, "cold_left_ms": 2500})
    assert workers.decode_worker_report("i-1", cold, 9.0).cold_s == 2.5
    for remaining_ms, leaves_at in ((1600, 10.6), (-5, 9.0)):
        body = {**REPORT, "state": "draining", "remaining_ms": remaining_ms}
        life = workers.decode_worker_report("i-1", encode(body), 9.0)
        assert (life.usable, life.leaves_at) == (False, leaves_at)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"state": "draining"},
        {"state": "draining", "remaining_ms": None},
        {"state": "draining", "remaining_ms": "1"},
        {"clock_ms": 10**400},
        {"capacity": {"cpu": 16000, "mem_mb": 32768}},
        *({name: None} for name in REPORT),
    ],
)
def test_malformed_worker_report(change):
    """A report with missing or invalid fields must be refused."""
    with pytest.raises(MessageError):
        workers.decode_worker_report("i-1", encode({**REPORT, **change}), 9.0)


@pytest.mark.parametrize("name", REPORT)
def test_worker_report_of_another_writer_is_refused(name):
    """Guards against tasks that run twice after a report that names no worker."""
    body = {field: value for field, value in REPORT.items() if field != name}
    with pytest.raises(MessageError):
        workers.decode_worker_report("i-1", encode(body), 9.0)


def test_worker_run_lists():
    """A wrongly decoded end would lose a task or run it twice."""
    body = encode(
        {
            "clock_ms": 1000,
            "born": 5,
            "running": [["00a1.0.1.17", 2, "", 41, 3], ["bad", 1, "", 0]],
            "ended": [
                [58, "00a1.0.1.9", 1, "done", ""],
                [59, "00a1.0.1.8", 1, "alone", ""],
                [60, "00a1.0.1.7", 1, "new-word", ""],
            ],
        }
    )
    result = workers._decode_run_lists(body)
    assert [row.name for row in result.running] == [RunName("00a1", 1, 17, 2)]
    assert [row.how for row in result.ended] == [
        RunEnd.DONE,
        RunEnd.OTHER,
        RunEnd.OTHER,
    ]


def test_status_codes_tell_whether_a_job_may_run():
    """429 and 503 state that a job will not run; 504 states that it may."""
    by_status = {}
    for outcome in Outcome:
        status = jobs.submission_response(outcome).status
        by_status.setdefault(status, set()).add(outcome)
    assert by_status[503] == {Outcome.NOT_READY, Outcome.UNSUPPORTED}
    assert by_status[429] == {Outcome.REFUSED}
    assert by_status[200] == {Outcome.ACCEPTED, Outcome.SUCCEEDED, Outcome.FAILED}
    assert Outcome.UNDECIDED in by_status[504]
    refused = jobs.submission_response(Outcome.REFUSED, 2.4)
    assert (refused.status, refused.headers) == (429, [("Retry-After", "2")])
    assert jobs.submission_response(Outcome.SUCCEEDED).body == b'{"state":"succeeded"}'
    assert jobs.status_response(Outcome.GONE).status == 410
    assert jobs.cancel_response(Outcome.UNDECIDED).status == 504


SETTINGS = {
    "node": "n",
    "address": "10.0.0.1",
    "failure_domain": "z",
    "link_port": 7720,
    "metrics_port": 7721,
    "heartbeat_ms": 1500,
    "jobs_address": "10.0.0.1:1",
    "ready_address": "10.0.0.1:2",
    "store": {"address": "10.0.0.2:1", "partitions": 24, "shortest_ttl_ms": 1000},
    "bounds": {"lease_ms": 1000, "stop_grace_s": 6, "keep_s": 120},
    "a_new_field": {},
}


def test_unknown_settings_are_ignored():
    """Fields added by a newer platform must not keep a process from starting."""
    loaded = node_settings.decode_settings("entry", SETTINGS)
    assert loaded.link_address == "10.0.0.1:7720"


@pytest.mark.parametrize(("contracts", "enabled"), [([], False), (["health"], True)])
def test_worker_health_follows_from_the_contracts(contracts, enabled):
    """A deployment that does not ask for the part must be served as before."""
    settings = SETTINGS | {"contracts": contracts}
    loaded = node_settings.decode_settings("entry", settings)
    assert loaded.options.worker_health == enabled


def test_all_settings_problems_are_reported_together():
    """An operator must not find the second problem only after fixing the first."""
    invalid = {**SETTINGS, "link_port": "x", "store": {"address": 5}}
    del invalid["jobs_address"]
    with pytest.raises(SettingsError) as caught:
        node_settings.decode_settings("entry", invalid)
    problems = " ".join(caught.value.problems)
    for name in ("link_port", "store.address", "store.partitions", "jobs_address"):
        assert name in problems


@pytest.mark.parametrize(("ends", "has_more_ends"), [(499, False), (500, True)])
def test_full_list_of_ends_may_lack_some(ends, has_more_ends):
    """A run that a full list lacks must not be taken for one that has vanished."""
    rows = [[n, f"00000000000000a1.0.0.{n}", 1, "done", ""] for n in range(1, ends + 1)]
    body = msgspec.json.encode({"clock_ms": 1, "running": [], "ended": rows})
    assert workers._decode_run_lists(body).has_more_ends is has_more_ends


@pytest.mark.parametrize(
    ("status", "body", "reason"),
    [
        (400, b"", "malformed"),
        (409, b'{"clock_ms":1,"reason":"room"}', "room"),
        (409, b"", "unnamed"),
    ],
)
def test_refusal_without_a_reason_is_not_taken_for_a_malformed_call(
    status, body, reason
):
    """A malformed call has certainly started nothing, a conflict may name a run."""
    with pytest.raises(WorkerRefused) as caught:
        workers._raise_unless_accepted(ClientResponse(status, {}, body))
    assert caught.value.reason == reason
