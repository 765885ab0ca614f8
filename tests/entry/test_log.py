"""The tail of the claims against pages as the client returns them."""

import time

import pytest

from turmericknot.clients.log_client import LogPage, LogRecord
from turmericknot.core.exceptions import RecordsTrimmed
from turmericknot.dispatch import events
from turmericknot.entry.log import Tail, read_once


class FakeClient:
    """Return pages, or raise exceptions, in turn."""

    def __init__(self, *answers):
        self.answers = list(answers)

    def read(self, stream, start, wait_s, max_records):
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def page(*offsets, next_offset, age_s=0.0):
    records = [LogRecord(offset, 0.0, b"") for offset in offsets]
    return LogPage(0, next_offset, time.time() - age_s, time.monotonic(), records)


@pytest.fixture
def posted():
    return []


@pytest.fixture
def create_tail(posted):
    return lambda *answers: Tail(FakeClient(*answers), "claims", posted.append)


def kinds(posted):
    return [
        event.offset if isinstance(event, events.LogRecordRead) else type(event)
        for event in posted
    ]


def test_records_of_two_readers_arrive_once_and_in_order(create_tail, posted):
    """Guards against a claim that is applied twice or out of order."""
    tail = create_tail(page(0, 1, next_offset=3), page(0, 1, 2, next_offset=3))
    assert not read_once(tail, 0.0)
    assert read_once(tail, 0.0)
    tail.deliver(page(1, 2, next_offset=3))
    assert kinds(posted) == [0, 1, 2, events.LogCaughtUp, events.LogCaughtUp]


def test_answer_that_waited_in_a_paused_process_does_not_set_the_clock(
    create_tail, posted
):
    """Guards against refusals for clock skew after a pause of the process."""
    tail = create_tail(page(0, next_offset=1, age_s=5.0), page(next_offset=1))
    assert read_once(tail, 2.0)
    assert kinds(posted) == [0, events.LogCaughtUp]
    assert abs(time.time() - posted[-1].log_time) < 1


def test_trimmed_records_matter_only_to_a_reader_that_had_started(create_tail, posted):
    """Guards against a new entry that retires because old claims were trimmed."""
    tail = create_tail(
        RecordsTrimmed(5), page(5, next_offset=6), RecordsTrimmed(9), RecordsTrimmed(9)
    )
    read_once(tail, 0.0)
    read_once(tail, 0.0)
    assert kinds(posted) == [5, events.LogCaughtUp]
    read_once(tail, 0.0)
    read_once(tail, 0.0)
    assert kinds(posted)[2:] == [events.LogTrimmed]
