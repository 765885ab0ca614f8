"""Background tasks on the event loop of a process."""

import asyncio

from turmericknot.utils.logging import get_logger


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
