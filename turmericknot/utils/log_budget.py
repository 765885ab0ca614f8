"""Rate-limited, non-blocking logging to standard output.

Lines beyond the limit of their event are dropped and counted. If the reader is too
slow, lines are dropped and the process does not block.
"""

import os
import time

import structlog

# A busy entry logs about 150 task starts per second; the limit allows peaks of twice
# that rate.
MAX_LINES_PER_EVENT_PER_S = 300
# Unwritten bytes beyond which further lines are dropped.
MAX_PENDING_BYTES = 256 * 1024
STDOUT = 1


def create_event_rate_limiter(
    max_lines_per_s=MAX_LINES_PER_EVENT_PER_S, clock=time.monotonic
):
    """Return a structlog processor that drops lines beyond ``max_lines_per_s``.

    The limit applies to each event separately. The next line of the event that passes
    carries ``left_out``, the number of lines dropped before it.
    """
    counters = {}  # event -> [second, lines written, lines dropped]

    def limit_rate(logger, method, fields):
        second = int(clock())
        counter = counters.setdefault(fields["event"], [second, 0, 0])
        if counter[0] != second:
            counter[0], counter[1] = second, 0
        if counter[1] >= max_lines_per_s:
            counter[2] += 1
            raise structlog.DropEvent
        counter[1] += 1
        if counter[2]:
            fields["left_out"] = counter[2]
            counter[2] = 0
        return fields

    return limit_rate


class NonBlockingLogWriter:
    """Write lines to a non-blocking file descriptor, such as a pipe.

    Bytes that a full pipe does not take stay pending, up to MAX_PENDING_BYTES;
    further lines are dropped and counted.
    """

    __slots__ = ("_fd", "_pending", "_dropped_lines")

    def __init__(self, fd):
        self._fd = fd
        self._pending = b""
        self._dropped_lines = 0

    def msg(self, line):
        """Write a line, or drop it if too many bytes are pending."""
        data = line.encode() + b"\n"
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self._dropped_lines += 1
            return
        if self._dropped_lines and not self._pending:
            note = f"level=warning event=log.left_out lines={self._dropped_lines}\n"
            data = note.encode() + data
            self._dropped_lines = 0
        self._pending += data
        try:
            written = os.write(self._fd, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, so the error cannot be reported anywhere and the
            # pending bytes are discarded.
            written = len(self._pending)
        self._pending = self._pending[written:]

    debug = info = warning = error = critical = exception = msg


def create_stdout_writer():
    """Switch standard output to non-blocking mode and return a writer to it."""
    os.set_blocking(STDOUT, False)
    return NonBlockingLogWriter(STDOUT)
