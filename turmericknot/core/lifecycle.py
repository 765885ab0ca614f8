"""Why and when a process stops: signals, a finished drain, retirement, a fault."""

import signal
import threading
from contextlib import contextmanager
from enum import Enum

from .passive import PassiveService


class RoleOutcome(Enum):
    """How a run of a role ended."""

    STOPPED = "stopped"
    RETIRED = "retired"
    FAILED = "failed"


class Lifecycle(PassiveService):
    """Let any thread end the run; the main thread waits for that."""

    __slots__ = ("_shutdown_requested", "_drained", "_outcome", "_reason")

    def __init__(self):
        self._shutdown_requested = threading.Event()
        self._drained = threading.Event()
        self._outcome = None
        self._reason = ""

    @property
    def outcome(self):
        """Return the Outcome, or None while the role runs."""
        return self._outcome

    @property
    def reason(self):
        """Return why the run ends."""
        return self._reason

    def request_shutdown(self, outcome, reason=""):
        """End the run; the first outcome counts, but a fault always counts."""
        if self._outcome is None or outcome is RoleOutcome.FAILED:
            self._outcome, self._reason = outcome, reason
        self._shutdown_requested.set()
        if outcome is not RoleOutcome.STOPPED:
            self._drained.set()  # nothing is left to wait for

    def mark_drained(self):
        """Note that nothing is in flight any more."""
        self._drained.set()

    def wait_for_shutdown(self):
        """Block until the run ends."""
        self._shutdown_requested.wait()

    def wait_until_drained(self, timeout_s):
        """Return whether everything in flight ended in time."""
        return self._drained.wait(timeout_s)


def create_lifecycle(kernel, settings):
    """Return the lifecycle service of a process."""
    return Lifecycle()


@contextmanager
def shutdown_on_signals(lifecycle):
    """Let SIGTERM and SIGINT end the run while the block is active."""

    def stop(number, frame):
        lifecycle.request_shutdown(RoleOutcome.STOPPED, signal.Signals(number).name)

    numbers = (signal.SIGTERM, signal.SIGINT)
    previous = [(number, signal.signal(number, stop)) for number in numbers]
    try:
        yield
    finally:
        for number, handler in previous:
            signal.signal(number, handler)
