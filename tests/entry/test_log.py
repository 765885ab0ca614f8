"""Tests of the tail of stream ``claims`` with a fake log client."""

import time

import pytest

from turmericknot.clients.log_client import LogPage, LogRecord
from turmericknot.core.exceptions import RecordsTrimmed
from turmericknot.dispatch import events
from turmericknot.entry.log import LogTail, read_page


class FakeLogClient:
    """Return pages or raise exceptions in the given order."""

    def __init__(self, *answers):
        self.answers = list(answers)

    def read(self, stream, start, wait_s, max_records):
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def create_page(*offsets, next_offset, age_s=0.0):
    records = [LogRecord(offset, 0.0, b"") for offset in offsets]
    return LogPage(0, next_offset, time.time() - age_s, time.monotonic(), records)


@pytest.fixture
def posted_events():
    return []


@pytest.fixture
def create_tail(posted_events):
    return lambda *answers: LogTail(
        FakeLogClient(*answers), "claims", posted_events.append
    )


def summarize_events(posted_events):
    return [
        event.offset if isinstance(event, events.LogRecordRead) else type(event)
        for event in posted_events
    ]


def test_records_of_two_readers_are_posted_once_and_in_order(
    create_tail, posted_events
):
    """Guards against applying a claim twice or out of order."""
    tail = create_tail(
        create_page(0, 1, next_offset=3), create_page(0, 1, 2, next_offset=3)
    )
    assert not read_page(tail, 0.0)
    assert read_page(tail, 0.0)
    tail.post_page(create_page(1, 2, next_offset=3))
    assert summarize_events(posted_events) == [
        0,
        1,
        2,
        events.LogCaughtUp,
        events.LogCaughtUp,
    ]


def test_response_read_after_a_pause_does_not_set_the_log_time(
    create_tail, posted_events
):
    """Guards against rejecting jobs for clock skew after a pause of the process."""
    tail = create_tail(
        create_page(0, next_offset=1, age_s=5.0), create_page(next_offset=1)
    )
    assert read_page(tail, 2.0)
    assert summarize_events(posted_events) == [0, events.LogCaughtUp]
    assert abs(time.time() - posted_events[-1].log_time) < 1


def test_trimmed_records_are_reported_only_to_a_started_reader(
    create_tail, posted_events
):
    """Guards against retiring a new entry because old claims were trimmed."""
    tail = create_tail(
        RecordsTrimmed(5),
        create_page(5, next_offset=6),
        RecordsTrimmed(9),
        RecordsTrimmed(9),
    )
    read_page(tail, 0.0)
    read_page(tail, 0.0)
    assert summarize_events(posted_events) == [5, events.LogCaughtUp]
    read_page(tail, 0.0)
    read_page(tail, 0.0)
    assert summarize_events(posted_events)[2:] == [events.LogTrimmed]
