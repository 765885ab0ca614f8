"""Shutdown of a role: on signals, after a drain, on retirement or on failure."""

import signal
import threading
from contextlib import contextmanager
from enum import Enum

from .passive import PassiveService


class RoleOutcome(Enum):
    """How a role ended."""

    STOPPED = "stopped"
    RETIRED = "retired"
    FAILED = "failed"


class Lifecycle(PassiveService):
    """Shutdown of a role: any thread may request it, the main thread waits for it."""

    __slots__ = ("_shutdown_requested", "_drained", "_outcome", "_reason")

    def __init__(self):
        self._shutdown_requested = threading.Event()
        self._drained = threading.Event()
        self._outcome = None
        self._reason = ""

    @property
    def outcome(self):
        """Return the RoleOutcome, or None while the role runs."""
        return self._outcome

    @property
    def reason(self):
        """Return the reason for the shutdown."""
        return self._reason

    def request_shutdown(self, outcome, reason=""):
        """Request a shutdown; the first outcome is kept, but FAILED overrides it."""
        if self._outcome is None or outcome is RoleOutcome.FAILED:
            self._outcome, self._reason = outcome, reason
        self._shutdown_requested.set()
        if outcome is not RoleOutcome.STOPPED:
            self._drained.set()  # no drain follows

    def mark_drained(self):
        """Record that no work is in progress."""
        self._drained.set()

    def wait_for_shutdown(self):
        """Block until a shutdown is requested."""
        self._shutdown_requested.wait()

    def wait_until_drained(self, timeout_s):
        """Wait for the drain and return whether it finished within the timeout."""
        return self._drained.wait(timeout_s)


def create_lifecycle(kernel, settings):
    """Return the lifecycle service of a process."""
    return Lifecycle()


@contextmanager
def shutdown_on_signals(lifecycle):
    """Request a shutdown on SIGTERM and SIGINT while the context is active."""

    def stop(number, frame):
        lifecycle.request_shutdown(RoleOutcome.STOPPED, signal.Signals(number).name)

    numbers = (signal.SIGTERM, signal.SIGINT)
    previous = [(number, signal.signal(number, stop)) for number in numbers]
    try:
        yield
    finally:
        for number, handler in previous:
            signal.signal(number, handler)
