"""Background tasks on the event loop of a process."""

import asyncio
from collections import deque

from turmericknot.utils.logging import get_logger

from .clock import steady_time

# A periodic task that fails more often than this within the window ends the process.
MAX_FAILURES = 3
FAILURE_WINDOW_S = 30.0
RESTART_DELAY_S = 0.1


def start_background_task(coroutine, name, on_failure):
    """Run a coroutine as a task; call ``on_failure(name)`` when it raises.

    The state that a failed task leaves behind cannot be trusted, so the process has
    to exit; the platform restarts it.
    """
    task = asyncio.get_running_loop().create_task(coroutine, name=name)

    def report_failure(task):
        if task.cancelled() or task.exception() is None:
            return
        get_logger().error("task.failed", task=name, exc_info=task.exception())
        on_failure(name)

    task.add_done_callback(report_failure)
    return task


def start_periodic_task(create_coroutine, name, on_failure):
    """Run ``create_coroutine()`` as a task, and start it again when it raises.

    One bad input or unexpected state must not take the process down. Failures that go
    on do: ``on_failure(name)`` is called after several within a short time.
    """
    return start_background_task(
        _run_and_restart(create_coroutine, name), name, on_failure
    )


async def _run_and_restart(create_coroutine, name):
    failed_at = deque()
    while True:
        try:
            return await create_coroutine()
        except Exception:
            now = steady_time()
            failed_at.append(now)
            while failed_at[0] < now - FAILURE_WINDOW_S:
                failed_at.popleft()
            if len(failed_at) > MAX_FAILURES:
                raise
            get_logger().exception("task.restarted", task=name)
            await asyncio.sleep(RESTART_DELAY_S)


async def wait_for_event(event, timeout_s):
    """Wait for an asyncio.Event for at most ``timeout_s``."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        pass
