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


def test_consecutive_offsets_and_partial_pages(log_client):
    offsets = [log_client.append("claims", f"{i}".encode()).offset for i in range(3)]
    page = log_client.read("claims", 1, max_records=1)
    assert offsets == [0, 1, 2]
    assert [(r.offset, r.data) for r in page.records] == [(1, b"1")]
    assert (page.next_offset, page.caught_up) == (3, False)
    assert abs(page.log_time - time.time()) < 1
    assert log_client.read("claims", 2).caught_up


def test_long_poll_returns_when_record_is_appended(log_client):
    """Guards against delivering a record only when the long poll times out."""
    timer = threading.Timer(0.2, log_client.append, ("config", b"x"))
    started_at = time.monotonic()
    timer.start()
    page = log_client.read("config", 0, wait_s=5)
    assert [r.data for r in page.records] == [b"x"]
    assert time.monotonic() - started_at < 2


def test_lost_response_raises_outcome_unknown_for_written_record(
    log_client, log_service
):
    """Guards against appending a record again after its response was lost."""
    log_service.configure(lose_answers=1)
    with pytest.raises(AppendOutcomeUnknown):
        log_client.append("claims", b"x")
    assert [r.data for r in log_client.read("claims", 0).records] == [b"x"]


def test_append_timeout_raises_outcome_unknown(log_client, log_service):
    log_service.configure(mode="hang")
    with pytest.raises(AppendOutcomeUnknown):
        log_client.append("claims", b"x", timeout_s=0.2)
    with pytest.raises(LogUnavailable):
        log_client.read("claims", 0, timeout_s=0.2)
    log_service.configure(mode="up")
    assert log_client.read("claims", 0).records == []


def test_unavailable_service_raises_append_not_written(log_client, log_service):
    log_service.configure(mode="unavailable")
    with pytest.raises(AppendNotWritten):
        log_client.append("claims", b"x")
    with pytest.raises(LogUnavailable):
        log_client.info()


def test_append_over_rate_limit_raises_append_not_written(log_client, log_service):
    log_service.configure(appends_per_s=0.5)
    with pytest.raises(AppendNotWritten):
        for _ in range(3):
            log_client.append("claims", b"x")


def test_unreachable_service_raises_append_not_written():
    log_client = create_log_client("http://127.0.0.1:9")
    with pytest.raises(AppendNotWritten):
        log_client.append("claims", b"x")


def test_trimmed_read_reports_first_offset(log_client, log_service):
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
