"""Actors that call the target: one per slot runs tasks, one stops and throttles."""

from base64 import b64encode

import msgspec
import pykka

from turmericknot.clients.target_client import RunRequest, create_target_client
from turmericknot.core.exceptions import TargetError, TargetLost, TargetRefused
from turmericknot.dispatch import events
from turmericknot.utils.logging import get_logger
from turmericknot.wire.messages import TaskStatus

from .connection import create_slot_client

_STATUS_BY_RESULT = {
    "ok": TaskStatus.OK,
    "failed": TaskStatus.FAILED,
    "stopped": TaskStatus.STOPPED,
}


class RunnerActor(pykka.ThreadingActor):
    """Run one task at a time over a dedicated connection to the target."""

    use_daemon_thread = True

    def __init__(self, runners):
        super().__init__()
        self._runners = runners
        self._client = None
        self._address = None

    def on_receive(self, message):
        """Run the task of a StartTask command and post its TaskFinished."""
        if self._address != self._runners.address:
            self._connect()
        try:
            finished = _run_task(self._client, message)
        except Exception:
            # Without a TaskFinished the slot would stay in use until the lease expires.
            get_logger().exception("task.runner_failed", index=message.task.index)
            finished = _finished_as_unknown(message, "runner_failed")
        # Mark as idle first: the dispatcher may start the next task on TaskFinished.
        self._runners.mark_idle(self.actor_ref)
        self._runners.post(finished)

    def on_stop(self):
        """Close the connection."""
        if self._client is not None:
            self._client.close()

    def _connect(self):
        self.on_stop()
        self._address = self._runners.address
        self._client = create_slot_client(self._address)


class ControlActor(pykka.ThreadingActor):
    """Send stop and throttle calls for running tasks."""

    use_daemon_thread = True

    def __init__(self, runners):
        super().__init__()
        self._runners = runners

    def on_receive(self, message):
        """Call a method of the target client, given as ``(method, lease, ...)``.

        Errors are only logged: the task may have ended in the meantime.
        """
        method, *arguments = message
        client = create_target_client(self._runners.address, pool_size=1)
        try:
            getattr(client, method)(*arguments)
        except TargetError as error:
            get_logger().info("target.call_failed", call=method, error=str(error))
        finally:
            client.close()


class TaskRunners:
    """Pool of runner actors, which grows on demand."""

    __slots__ = (
        "_kernel",
        "_address",
        "_idle_runners",
        "_all_runners",
        "_control_actor",
    )

    def __init__(self, kernel):
        self._kernel = kernel
        self._address = ""
        self._idle_runners = []
        self._all_runners = []
        self._control_actor = None

    @property
    def address(self):
        """Return the address of the target."""
        return self._address

    def set_target_address(self, address):
        """Set the address of the target for calls that start from now on."""
        self._address = address

    def start(self):
        """Start the actor that stops and throttles tasks."""
        self._control_actor = ControlActor.start(self)

    def stop(self):
        """Stop the idle runners; a busy runner ends with the process."""
        for actor in [*self._idle_runners, self._control_actor]:
            actor.stop(block=False)

    def start_task(self, command):
        """Run a task on an idle or new runner, which posts TaskFinished at the end."""
        try:
            runner = self._idle_runners.pop()
        except IndexError:
            runner = RunnerActor.start(self)
            self._all_runners.append(runner)
        runner.tell(command)

    def stop_task(self, command):
        """Stop a running task."""
        self._control_actor.tell(("stop", _command_lease_id(command)))

    def throttle_task(self, command):
        """Set the share of its processors that a running task may use."""
        self._control_actor.tell(
            ("throttle", _command_lease_id(command), command.share)
        )

    def mark_idle(self, runner):
        """Return a runner that has finished its task to the pool."""
        self._idle_runners.append(runner)

    def post(self, event):
        """Post an event to the dispatcher."""
        self._kernel.get("dispatcher").post(event)


def create_task_runners(kernel, settings):
    """Return the service that runs tasks on the target."""
    return TaskRunners(kernel)


def _finished_as_unknown(command, error):
    return events.TaskFinished(
        command.job, command.task.index, TaskStatus.UNKNOWN, b"", 0.0, error
    )


def _run_task(client, command):
    """Run a task on the target and return its TaskFinished."""
    job, index = command.job, command.task.index
    try:
        result = client.run(_create_run_request(command))
    except TargetRefused as error:
        get_logger().warning("task.refused", index=index, error=str(error))
        return events.TaskFinished(
            job, index, TaskStatus.FAILED, b"", 0.0, "target_refused", started=False
        )
    except TargetLost as error:
        get_logger().warning("task.lost", index=index, error=str(error))
        return _finished_as_unknown(command, "target_lost")
    status = _STATUS_BY_RESULT.get(result.status, TaskStatus.UNKNOWN)
    output = encode_output(result.output)
    return events.TaskFinished(job, index, status, output, result.run_ms, result.error)


def encode_output(output):
    """Return the output of a task as one JSON value.

    Text that is not JSON becomes a string; binary data becomes a base64 string.
    """
    if not output:
        return b""
    try:
        msgspec.json.decode(output, type=msgspec.Raw)
        return output
    except (msgspec.DecodeError, UnicodeDecodeError):
        pass
    try:
        return msgspec.json.encode(output.decode())
    except UnicodeDecodeError:
        return msgspec.json.encode(b64encode(output).decode())


def _create_run_request(command):
    task = command.task
    return RunRequest(
        _lease_id(command.job, task.index),
        command.lease_s,
        command.job,
        task.index,
        task.payload,
        command.team,
        command.task_class,
        task.processors,
        task.memory_mb,
        task.accelerators,
    )


def _command_lease_id(command):
    return _lease_id(command.job, command.index)


def _lease_id(job, index):
    """Return the lease id of a task.

    A task is started at most once, so every call about it uses the same id.
    """
    return f"{job.hex()}-{index}"
