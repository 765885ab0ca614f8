"""Background tasks of a process."""

import asyncio

from turmericknot.utils.logging import get_logger


def start_task(coroutine, name, failed):
    """Run a coroutine as a task; call ``failed(name)`` when it raises.

    A task that has failed leaves state that cannot be trusted: the process ends and
    the platform starts it again.
    """
    task = asyncio.get_running_loop().create_task(coroutine, name=name)

    def check(task):
        if task.cancelled() or task.exception() is None:
            return
        get_logger().error("task.failed", task=name, exc_info=task.exception())
        failed(name)

    task.add_done_callback(check)
    return task
