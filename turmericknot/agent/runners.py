"""One actor per slot runs tasks on the target; another one stops and throttles."""

from base64 import b64encode

import msgspec
import pykka

from turmericknot.clients.target_client import RunRequest, create_target_client
from turmericknot.core.exceptions import TargetError, TargetLost, TargetRefused
from turmericknot.dispatch import events
from turmericknot.utils.logging import get_logger
from turmericknot.wire.messages import TaskStatus

from .connection import create_slot_client

_STATUSES = {
    "ok": TaskStatus.OK,
    "failed": TaskStatus.FAILED,
    "stopped": TaskStatus.STOPPED,
}


class RunnerActor(pykka.ThreadingActor):
    """Run one task at a time over an own connection to the target."""

    use_daemon_thread = True

    def __init__(self, runners):
        super().__init__()
        self._runners = runners
        self._client = None
        self._address = None

    def on_receive(self, message):
        """Run a StartTask to its end and report it."""
        if self._address != self._runners.address:
            self._connect()
        try:
            finished = _run(self._client, message)
        except Exception:
            # Without an outcome the slot would stay in use until the lease lapses.
            get_logger().exception("task.runner_failed", index=message.task.index)
            finished = _unknown(message, "runner_failed")
        # Idle first: the report may lead to the next task.
        self._runners.release(self.actor_ref)
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
    """Make the short calls about running tasks."""

    use_daemon_thread = True

    def __init__(self, runners):
        super().__init__()
        self._runners = runners

    def on_receive(self, message):
        """Call ``method(lease, ...)``; a task that ended meanwhile needs nothing."""
        method, *arguments = message
        client = create_target_client(self._runners.address, pool_size=1)
        try:
            getattr(client, method)(*arguments)
        except TargetError as error:
            get_logger().info("target.call_failed", call=method, error=str(error))
        finally:
            client.close()


class Runners:
    """Idle and busy runners; they are created as tasks need them."""

    __slots__ = ("_kernel", "_address", "_idle", "_all", "_control")

    def __init__(self, kernel):
        self._kernel = kernel
        self._address = ""
        self._idle = []
        self._all = []
        self._control = None

    @property
    def address(self):
        """Return the address of the target."""
        return self._address

    def set_target(self, address):
        """Use this address from the next task on."""
        self._address = address

    def start(self):
        """Start the actor for short calls."""
        self._control = ControlActor.start(self)

    def stop(self):
        """Stop the idle runners; one with a task ends with the process."""
        for actor in [*self._idle, self._control]:
            actor.stop(block=False)

    def start_task(self, command):
        """Run a task on an idle runner; TaskFinished follows."""
        try:
            runner = self._idle.pop()
        except IndexError:
            runner = RunnerActor.start(self)
            self._all.append(runner)
        runner.tell(command)

    def stop_task(self, command):
        """Stop a running task."""
        self._control.tell(("stop", _lease(command)))

    def throttle_task(self, command):
        """Set the share of its processors that a running task may use."""
        self._control.tell(("throttle", _lease(command), command.share))

    def release(self, runner):
        """Take a runner back that has finished its task."""
        self._idle.append(runner)

    def post(self, event):
        """Hand an event to the dispatcher."""
        self._kernel.get("dispatcher").post(event)


def create_runners(kernel, settings):
    """Return the service that runs tasks on the target."""
    return Runners(kernel)


def _unknown(command, error):
    return events.TaskFinished(
        command.job, command.task.index, TaskStatus.UNKNOWN, b"", 0.0, error
    )


def _run(client, command):
    """Run a task and return its TaskFinished."""
    job, index = command.job, command.task.index
    try:
        result = client.run(_request(command))
    except TargetRefused as error:
        get_logger().warning("task.refused", index=index, error=str(error))
        return events.TaskFinished(
            job, index, TaskStatus.FAILED, b"", 0.0, "target_refused", started=False
        )
    except TargetLost as error:
        get_logger().warning("task.lost", index=index, error=str(error))
        return _unknown(command, "target_lost")
    status = _STATUSES.get(result.status, TaskStatus.UNKNOWN)
    output = as_json(result.output)
    return events.TaskFinished(job, index, status, output, result.run_ms, result.error)


def as_json(output):
    """Return the output as one JSON value; text that is not JSON becomes a string."""
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


def _request(command):
    task = command.task
    return RunRequest(
        _lease_of(command.job, task.index),
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


def _lease(command):
    return _lease_of(command.job, command.index)


def _lease_of(job, index):
    """Name the only start of a task; the same on every call about it."""
    return f"{job.hex()}-{index}"
