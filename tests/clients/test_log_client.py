import threading
import time

import pytest

from turmericknot.clients.log_client import create_log_client
from turmericknot.core.exceptions import (
    AppendNotWritten,
    AppendOutcomeUnknown,
    LogUnavailable,
    RecordsTrimmed,
)


def test_offsets_grow_by_one_and_pages_tell_what_is_missing(log_client):
    offsets = [log_client.append("claims", f"{i}".encode()).offset for i in range(3)]
    page = log_client.read("claims", 1, max_records=1)
    assert offsets == [0, 1, 2]
    assert [(r.offset, r.data) for r in page.records] == [(1, b"1")]
    assert (page.next_offset, page.caught_up) == (3, False)
    assert abs(page.log_time - time.time()) < 1
    assert log_client.read("claims", 2).caught_up


def test_long_poll_returns_with_the_next_record(log_client):
    """Guards against followers that see a record only when the poll ends."""
    timer = threading.Timer(0.2, log_client.append, ("config", b"x"))
    started = time.monotonic()
    timer.start()
    page = log_client.read("config", 0, wait_s=5)
    assert [r.data for r in page.records] == [b"x"]
    assert time.monotonic() - started < 2


def test_lost_answer_is_unknown_and_the_record_is_there(log_client, log_service):
    """Guards against a second write of a record that was written."""
    log_service.configure(lose_answers=1)
    with pytest.raises(AppendOutcomeUnknown):
        log_client.append("claims", b"x")
    assert [r.data for r in log_client.read("claims", 0).records] == [b"x"]


def test_hanging_append_is_unknown(log_client, log_service):
    log_service.configure(mode="hang")
    with pytest.raises(AppendOutcomeUnknown):
        log_client.append("claims", b"x", timeout_s=0.2)
    with pytest.raises(LogUnavailable):
        log_client.read("claims", 0, timeout_s=0.2)
    log_service.configure(mode="up")
    assert log_client.read("claims", 0).records == []


def test_refused_append_is_not_written(log_client, log_service):
    log_service.configure(mode="unavailable")
    with pytest.raises(AppendNotWritten):
        log_client.append("claims", b"x")
    with pytest.raises(LogUnavailable):
        log_client.info()


def test_append_rate_is_limited(log_client, log_service):
    log_service.configure(appends_per_s=0.5)
    with pytest.raises(AppendNotWritten):
        for _ in range(3):
            log_client.append("claims", b"x")


def test_service_that_is_gone_is_not_reached():
    log_client = create_log_client("http://127.0.0.1:9")
    with pytest.raises(AppendNotWritten):
        log_client.append("claims", b"x")


def test_trimmed_offset_names_the_first_one(log_client, log_service):
    for i in range(5):
        log_client.append("config", f"{i}".encode())
    log_service.configure(trim={"stream": "config", "first": 3})
    with pytest.raises(RecordsTrimmed) as caught:
        log_client.read("config", 2)
    assert caught.value.first_offset == 3
    log_service.configure(retention_s=0)
    time.sleep(0.01)
    with pytest.raises(RecordsTrimmed) as caught:
        log_client.read("config", 3)
    assert caught.value.first_offset == 5
    assert log_client.append("config", b"x").offset == 5
