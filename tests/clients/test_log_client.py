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


def test_offsets_grow_by_one_and_pages_tell_what_is_missing(log):
    offsets = [log.append("claims", f"{i}".encode()).offset for i in range(3)]
    page = log.read("claims", 1, max_records=1)
    assert offsets == [0, 1, 2]
    assert [(r.offset, r.data) for r in page.records] == [(1, b"1")]
    assert (page.next_offset, page.caught_up) == (3, False)
    assert abs(page.log_time - time.time()) < 1
    assert log.read("claims", 2).caught_up


def test_long_poll_returns_with_the_next_record(log):
    """Guards against followers that see a record only when the poll ends."""
    timer = threading.Timer(0.2, log.append, ("config", b"x"))
    started = time.monotonic()
    timer.start()
    page = log.read("config", 0, wait_s=5)
    assert [r.data for r in page.records] == [b"x"]
    assert time.monotonic() - started < 2


def test_lost_answer_is_unknown_and_the_record_is_there(log, log_service):
    """Guards against a second write of a record that was written."""
    log_service.set(lose_answers=1)
    with pytest.raises(AppendOutcomeUnknown):
        log.append("claims", b"x")
    assert [r.data for r in log.read("claims", 0).records] == [b"x"]


def test_hanging_append_is_unknown(log, log_service):
    log_service.set(mode="hang")
    with pytest.raises(AppendOutcomeUnknown):
        log.append("claims", b"x", timeout_s=0.2)
    with pytest.raises(LogUnavailable):
        log.read("claims", 0, timeout_s=0.2)
    log_service.set(mode="up")
    assert log.read("claims", 0).records == []


def test_refused_append_is_not_written(log, log_service):
    log_service.set(mode="unavailable")
    with pytest.raises(AppendNotWritten):
        log.append("claims", b"x")
    with pytest.raises(LogUnavailable):
        log.info()


def test_append_rate_is_limited(log, log_service):
    log_service.set(appends_per_s=0.5)
    with pytest.raises(AppendNotWritten):
        for _ in range(3):
            log.append("claims", b"x")


def test_service_that_is_gone_is_not_reached():
    log = create_log_client("http://127.0.0.1:9")
    with pytest.raises(AppendNotWritten):
        log.append("claims", b"x")


def test_trimmed_offset_names_the_first_one(log, log_service):
    for i in range(5):
        log.append("config", f"{i}".encode())
    log_service.set(trim={"stream": "config", "first": 3})
    with pytest.raises(RecordsTrimmed) as caught:
        log.read("config", 2)
    assert caught.value.first_offset == 3
    log_service.set(retention_s=0)
    time.sleep(0.01)
    with pytest.raises(RecordsTrimmed) as caught:
        log.read("config", 3)
    assert caught.value.first_offset == 5
    assert log.append("config", b"x").offset == 5
