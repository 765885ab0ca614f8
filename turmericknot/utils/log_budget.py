"""Bounded logging to standard output: a budget per event, and no waiting.

A process that logs more than its budget leaves lines out and says how many; a reader
that does not keep up costs lines, never time.
"""

import os
import time

import structlog

# Lines of one event in a second. A busy entry of today's sites writes about 150
# starts a second; the budget lets a crest of twice as many through.
LINES_PER_EVENT = 300
# Bytes that may wait for a reader before further lines are left out.
MAX_WAITING_BYTES = 256 * 1024
STDOUT = 1


def create_budget(lines_per_event=LINES_PER_EVENT, clock=time.monotonic):
    """Return a structlog processor that drops events beyond the budget.

    The first line of an event after a pause carries ``left_out``, the number of its
    lines that were dropped before.
    """
    used = {}  # event -> [second, lines, left out]

    def check(logger, method, fields):
        second = int(clock())
        state = used.setdefault(fields["event"], [second, 0, 0])
        if state[0] != second:
            state[0], state[1] = second, 0
        if state[1] >= lines_per_event:
            state[2] += 1
            raise structlog.DropEvent
        state[1] += 1
        if state[2]:
            fields["left_out"] = state[2]
            state[2] = 0
        return fields

    return check


class UnblockedWriter:
    """Write lines to a file descriptor that may be a full pipe."""

    __slots__ = ("_fd", "_waiting", "_left_out")

    def __init__(self, fd):
        self._fd = fd
        self._waiting = b""
        self._left_out = 0

    def msg(self, line):
        """Write a line, or leave it out when too many bytes wait already."""
        data = line.encode() + b"\n"
        if len(self._waiting) + len(data) > MAX_WAITING_BYTES:
            self._left_out += 1
            return
        if self._left_out and not self._waiting:
            note = f"level=warning event=log.left_out lines={self._left_out}\n"
            data = note.encode() + data
            self._left_out = 0
        self._waiting += data
        try:
            written = os.write(self._fd, self._waiting)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more: there is nowhere to report that to.
            written = len(self._waiting)
        self._waiting = self._waiting[written:]

    debug = info = warning = error = critical = exception = msg


def create_stdout_writer():
    """Return a writer to standard output, which never blocks from now on."""
    os.set_blocking(STDOUT, False)
    return UnblockedWriter(STDOUT)
