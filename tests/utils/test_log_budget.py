import os

import pytest
import structlog

from turmericknot.utils.log_budget import (
    NonBlockingLogWriter,
    create_event_rate_limiter,
)


def test_rate_limit_is_per_event():
    """Guards against a frequent event that fills the log and uses up the processor."""
    now = [5.0]
    limit_rate = create_event_rate_limiter(2, lambda: now[0])
    for _ in range(2):
        limit_rate(None, "info", {"event": "a"})
    for _ in range(3):
        with pytest.raises(structlog.DropEvent):
            limit_rate(None, "info", {"event": "a"})
    limit_rate(None, "info", {"event": "b"})
    now[0] = 6.0
    assert limit_rate(None, "info", {"event": "a"})["left_out"] == 3
    assert "left_out" not in limit_rate(None, "info", {"event": "a"})


def test_full_pipe_drops_lines_without_blocking():
    """Guards against a process that blocks because its log is not read."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    log = NonBlockingLogWriter(writer)
    for _ in range(200):
        log.msg("x" * 10_000)
    bytes_read = 0
    os.set_blocking(reader, False)
    try:
        for _ in range(100):
            while True:
                try:
                    bytes_read += len(os.read(reader, 1 << 20))
                except BlockingIOError:
                    break
            log.msg("y")
        assert bytes_read > 100_000
        assert log._pending == b""
    finally:
        os.close(reader)
        log.msg("z")  # the reading end is closed
        os.close(writer)
