"""Access to the platform's log: appends, and reads of stream ``claims``.

A thread reads new claims by long polling. The dispatcher can request an immediate read.
"""

import random
import threading
import time

import pykka

from turmericknot.clients.log_client import MAX_RECORDS_PER_READ, create_log_client
from turmericknot.core.exceptions import (
    AppendNotWritten,
    AppendOutcomeUnknown,
    LogUnavailable,
    RecordsTrimmed,
)
from turmericknot.dispatch import events
from turmericknot.utils.backoff import jittered_delays
from turmericknot.utils.logging import get_logger

CLAIMS_STREAM = "claims"
LONG_POLL_WAIT_S = 2.0
# A long poll response whose log time differs from the local clock by more than this may
# have been read late, after a pause of the process. It does not set the log time.
STALE_RESPONSE_S = 0.5
# An append takes several milliseconds; one that hangs must not block all others.
APPEND_ACTOR_COUNT = 4
RETRY_DELAY_MIN_S = 0.05
RETRY_DELAY_MAX_S = 1.0


class AppendActor(pykka.ThreadingActor):
    """Append records and post the outcome of each append."""

    use_daemon_thread = True

    def __init__(self, client, post):
        super().__init__()
        self._client = client
        self._post = post

    def on_receive(self, message):
        """Append the record of a ``(stream, record id, data)`` message."""
        stream, record_id, data = message
        try:
            appended = self._client.append(stream, data)
        except AppendNotWritten as error:
            self._report(record_id, False, error)
        except AppendOutcomeUnknown as error:
            self._report(record_id, None, error)
        else:
            self._post(events.AppendSucceeded(record_id, appended.offset))

    def _report(self, record_id, written, error):
        get_logger().warning("log.append_failed", written=written, error=str(error))
        self._post(events.AppendFailed(record_id, written))


class ReadActor(pykka.ThreadingActor):
    """Read the claims to their end when the dispatcher cannot await the long poll."""

    use_daemon_thread = True

    def __init__(self, tail):
        super().__init__()
        self._tail = tail

    def on_receive(self, message):
        """Read pages until the end of the stream."""
        self._tail.read_pending = False
        try:
            while not read_page(self._tail, 0.0):
                pass
        except LogUnavailable as error:
            get_logger().warning("log.read_failed", error=str(error))
            self._tail.post(events.LogReadFailed())


class LogTail:
    """Position in a stream that is shared by two reader threads.

    Each record is posted once and in order, whichever thread reads it.
    """

    __slots__ = ("client", "post", "stream", "next_offset", "read_pending", "_lock")

    def __init__(self, client, stream, post):
        self.client = client
        self.post = post
        self.stream = stream
        self.next_offset = 0
        self.read_pending = False
        self._lock = threading.Lock()

    def post_page(self, page, is_current=True):
        """Post the new records of a page; return whether the page reaches the end.

        LogCaughtUp is posted only if ``is_current``, that is, if the log time of the
        page is not out of date.
        """
        with self._lock:
            for record in page.records:
                if record.offset >= self.next_offset:
                    self.next_offset = record.offset + 1
                    self.post(
                        events.LogRecordRead(record.offset, record.data, record.time)
                    )
            if page.caught_up and is_current:
                self.post(
                    events.LogCaughtUp(
                        self.next_offset, page.log_time, page.requested_at
                    )
                )
        return page.caught_up

    def skip_trimmed(self, first_offset):
        """Continue at the oldest retained record after older ones were trimmed."""
        with self._lock:
            if first_offset <= self.next_offset:
                return
            # A new reader starts at the oldest retained record and has missed none.
            has_missed_records = self.next_offset > 0
            self.next_offset = first_offset
            if has_missed_records:
                self.post(events.LogTrimmed(first_offset))


def read_page(tail, wait_s):
    """Read one page; return whether the end of the stream was reached."""
    try:
        page = tail.client.read(
            tail.stream, tail.next_offset, wait_s, MAX_RECORDS_PER_READ
        )
    except RecordsTrimmed as error:
        get_logger().warning("log.trimmed", first_offset=error.first_offset)
        tail.skip_trimmed(error.first_offset)
        return False
    if wait_s and abs(time.time() - page.log_time) > STALE_RESPONSE_S:
        tail.post_page(page, is_current=False)
        return read_page(tail, 0.0)
    return tail.post_page(page)


def poll_until_stopped(read, stopping, report_unavailable):
    """Call ``read()`` until ``stopping`` is set; back off while the log is unavailable.

    ``report_unavailable()`` is called after each failed read.
    """
    delays = jittered_delays(random.Random(), RETRY_DELAY_MIN_S, RETRY_DELAY_MAX_S)
    while not stopping.is_set():
        try:
            read()
        except LogUnavailable as error:
            if stopping.is_set():
                return
            get_logger().warning("log.unavailable", error=str(error))
            report_unavailable()
            stopping.wait(next(delays))
        else:
            delays = jittered_delays(
                random.Random(), RETRY_DELAY_MIN_S, RETRY_DELAY_MAX_S
            )


class LogConnection:
    """Connection to the log: actors that append and read, and a thread that polls."""

    __slots__ = (
        "_client",
        "_tail",
        "_append_actors",
        "_next_actor",
        "_read_actor",
        "_stopping",
    )

    def __init__(self, client, post):
        self._client = client
        self._tail = LogTail(client, CLAIMS_STREAM, post)
        self._append_actors = []
        self._next_actor = 0
        self._read_actor = None
        self._stopping = threading.Event()

    @property
    def client(self):
        """Return the client of the log service."""
        return self._client

    def start(self):
        """Start the actors and the thread that polls the claims."""
        post = self._tail.post
        self._append_actors = [
            AppendActor.start(self._client, post) for _ in range(APPEND_ACTOR_COUNT)
        ]
        self._read_actor = ReadActor.start(self._tail)
        threading.Thread(target=self._tail_claims, name="claims", daemon=True).start()

    def stop(self):
        """Stop the actors; the thread ends after the long poll in progress."""
        self._stopping.set()
        for actor in [*self._append_actors, self._read_actor]:
            actor.stop(block=False)

    def append(self, stream, record_id, data):
        """Append a record; AppendSucceeded or AppendFailed is posted afterwards."""
        self._next_actor = (self._next_actor + 1) % APPEND_ACTOR_COUNT
        self._append_actors[self._next_actor].tell((stream, record_id, data))

    def read_now(self):
        """Read the claims to their end; LogCaughtUp or LogReadFailed is posted then."""
        # The dispatcher may request reads for many jobs in one batch. One read serves
        # all requests that are made before it is sent.
        if not self._tail.read_pending:
            self._tail.read_pending = True
            self._read_actor.tell(None)

    def status(self):
        """Return figures for the status page."""
        return {"url": self._client.url, "next_offset": self._tail.next_offset}

    def _tail_claims(self):
        tail = self._tail
        poll_until_stopped(
            lambda: read_page(tail, LONG_POLL_WAIT_S),
            self._stopping,
            lambda: tail.post(events.LogReadFailed()),
        )


def create_log_connection(kernel, settings):
    """Return the service that connects an entry to the log."""
    return LogConnection(
        create_log_client(settings.log_url),
        lambda event: kernel.get("dispatcher").post(event),
    )
