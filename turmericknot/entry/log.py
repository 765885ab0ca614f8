"""The platform's log: appends, the tail of ``claims`` and reads on demand."""

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

CLAIMS = "claims"
POLL_WAIT_S = 2.0
# An answer that seems this old may have waited while the process was paused; its
# time is not taken for the log's present clock.
STALE_ANSWER_S = 0.5
# Appends wait several milliseconds each; one that hangs must not hold up the rest.
APPENDERS = 4
RETRY_FIRST_S = 0.05
RETRY_LIMIT_S = 1.0


class AppendActor(pykka.ThreadingActor):
    """Append records and report what became of each."""

    use_daemon_thread = True

    def __init__(self, client, post):
        super().__init__()
        self._client = client
        self._post = post

    def on_receive(self, message):
        """Append ``(stream, record id, data)``."""
        stream, record, data = message
        try:
            appended = self._client.append(stream, data)
        except AppendNotWritten as error:
            self._report(record, False, error)
        except AppendOutcomeUnknown as error:
            self._report(record, None, error)
        else:
            self._post(events.AppendSucceeded(record, appended.offset))

    def _report(self, record, written, error):
        get_logger().warning("log.append_failed", written=written, error=str(error))
        self._post(events.AppendFailed(record, written))


class ReadActor(pykka.ThreadingActor):
    """Read the claims to their end when the dispatcher cannot wait for the tail."""

    use_daemon_thread = True

    def __init__(self, tail):
        super().__init__()
        self._tail = tail

    def on_receive(self, message):
        """Read until nothing is left."""
        self._tail.read_pending = False
        try:
            while not read_once(self._tail, 0.0):
                pass
        except LogUnavailable as error:
            get_logger().warning("log.read_failed", error=str(error))
            self._tail.post(events.LogReadFailed())


class Tail:
    """Position in a stream; two readers may deliver, each record once, in order."""

    __slots__ = ("client", "post", "stream", "next_offset", "read_pending", "_lock")

    def __init__(self, client, stream, post):
        self.client = client
        self.post = post
        self.stream = stream
        self.next_offset = 0
        self.read_pending = False
        self._lock = threading.Lock()

    def deliver(self, page, is_current=True):
        """Post the records that were not posted before; return whether all are.

        The end of the stream is posted only with a current page.
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

    def skip(self, first_offset):
        """Go on at the oldest record that is left."""
        with self._lock:
            if first_offset <= self.next_offset:
                return
            # A process that has read nothing yet starts at the oldest record.
            lost = self.next_offset > 0
            self.next_offset = first_offset
            if lost:
                self.post(events.LogTrimmed(first_offset))


def read_once(tail, wait_s):
    """Read one page; return whether the end was reached."""
    try:
        page = tail.client.read(
            tail.stream, tail.next_offset, wait_s, MAX_RECORDS_PER_READ
        )
    except RecordsTrimmed as error:
        get_logger().warning("log.trimmed", first_offset=error.first_offset)
        tail.skip(error.first_offset)
        return False
    if wait_s and abs(time.time() - page.log_time) > STALE_ANSWER_S:
        tail.deliver(page, is_current=False)
        return read_once(tail, 0.0)
    return tail.deliver(page)


def follow(read, stopping, failed):
    """Call ``read()`` until ``stopping`` is set; back off while the log is down."""
    delays = jittered_delays(random.Random(), RETRY_FIRST_S, RETRY_LIMIT_S)
    while not stopping.is_set():
        try:
            read()
        except LogUnavailable as error:
            if stopping.is_set():
                return
            get_logger().warning("log.unavailable", error=str(error))
            failed()
            stopping.wait(next(delays))
        else:
            delays = jittered_delays(random.Random(), RETRY_FIRST_S, RETRY_LIMIT_S)


class Log:
    """Actors for appends and reads, and the thread that follows the claims."""

    __slots__ = ("_client", "_tail", "_appenders", "_next", "_reader", "_stopping")

    def __init__(self, client, post):
        self._client = client
        self._tail = Tail(client, CLAIMS, post)
        self._appenders = []
        self._next = 0
        self._reader = None
        self._stopping = threading.Event()

    @property
    def client(self):
        """Return the client of the log service."""
        return self._client

    def start(self):
        """Start the actors and follow the claims."""
        post = self._tail.post
        self._appenders = [
            AppendActor.start(self._client, post) for _ in range(APPENDERS)
        ]
        self._reader = ReadActor.start(self._tail)
        threading.Thread(target=self._follow, name="claims", daemon=True).start()

    def stop(self):
        """Stop; a long poll in progress ends with its thread."""
        self._stopping.set()
        for actor in [*self._appenders, self._reader]:
            actor.stop(block=False)

    def append(self, stream, record, data):
        """Append a record; AppendSucceeded or AppendFailed follows."""
        self._next = (self._next + 1) % APPENDERS
        self._appenders[self._next].tell((stream, record, data))

    def read_now(self):
        """Read the claims to their end; LogCaughtUp or LogReadFailed follows."""
        # The dispatcher may ask for many jobs in one batch: one read serves all that
        # asked before it was sent.
        if not self._tail.read_pending:
            self._tail.read_pending = True
            self._reader.tell(None)

    def status(self):
        """Return figures for the status page."""
        return {"url": self._client.url, "next_offset": self._tail.next_offset}

    def _follow(self):
        tail = self._tail
        follow(
            lambda: read_once(tail, POLL_WAIT_S),
            self._stopping,
            lambda: tail.post(events.LogReadFailed()),
        )


def create_log(kernel, settings):
    """Return the log service of an entry."""
    return Log(
        create_log_client(settings.log_url),
        lambda event: kernel.get("dispatcher").post(event),
    )
