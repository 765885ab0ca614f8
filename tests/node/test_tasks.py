"""Periodic tasks that meet unexpected errors."""

import asyncio

import pytest

from turmericknot.node import tasks


@pytest.fixture
def run_failing_task(monkeypatch):
    """Run a task that raises ``failures`` times; return (runs, names of failures)."""
    monkeypatch.setattr(tasks, "RESTART_DELAY_S", 0.0)

    def run(failures):
        runs, failed = [], []

        async def work():
            runs.append(1)
            if len(runs) <= failures:
                raise ValueError("one bad input")

        async def main():
            task = tasks.start_periodic_task(work, "work", failed.append)
            await asyncio.wait({task})
            await asyncio.sleep(0)

        asyncio.run(main())
        return len(runs), failed

    return run


def test_one_error_does_not_end_the_process(run_failing_task):
    """Guards against one bad input that takes a whole process down."""
    assert run_failing_task(1) == (2, [])


def test_errors_that_go_on_end_the_process(run_failing_task):
    """Guards against a process that looks alive and does nothing."""
    assert run_failing_task(100) == (tasks.MAX_FAILURES + 1, ["work"])
