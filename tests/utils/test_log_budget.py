import os

import pytest
import structlog

from turmericknot.utils.log_budget import UnblockedWriter, create_budget


def test_budget_of_an_event():
    """Guards against a flood of one event that fills the log and the processor."""
    now = [5.0]
    check = create_budget(2, lambda: now[0])
    for _ in range(2):
        check(None, "info", {"event": "a"})
    for _ in range(3):
        with pytest.raises(structlog.DropEvent):
            check(None, "info", {"event": "a"})
    check(None, "info", {"event": "b"})
    now[0] = 6.0
    assert check(None, "info", {"event": "a"})["left_out"] == 3
    assert "left_out" not in check(None, "info", {"event": "a"})


def test_full_pipe_costs_lines_but_no_time():
    """Guards against a process that stops because nobody reads its log."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    log = UnblockedWriter(writer)
    for _ in range(200):
        log.msg("x" * 10_000)
    taken = 0
    os.set_blocking(reader, False)
    try:
        for _ in range(100):
            while True:
                try:
                    taken += len(os.read(reader, 1 << 20))
                except BlockingIOError:
                    break
            log.msg("y")
        assert taken > 100_000
        assert log._waiting == b""
    finally:
        os.close(reader)
        log.msg("z")  # the reader is gone
        os.close(writer)
