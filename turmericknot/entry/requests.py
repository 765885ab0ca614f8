"""Requests of callers that wait for an answer of the dispatcher."""

import itertools
import queue
from contextlib import contextmanager

from turmericknot.core.passive import PassiveService


class Waiter:
    """One waiting request."""

    __slots__ = ("request", "_answers")

    def __init__(self, request):
        self.request = request
        self._answers = queue.SimpleQueue()

    def put(self, answer):
        """Hand the answer over; only the first one is used."""
        self._answers.put(answer)

    def get(self, timeout_s):
        """Return the answer, or None when it does not arrive in time."""
        try:
            return self._answers.get(timeout=max(0.0, timeout_s))
        except queue.Empty:
            return None


class Requests(PassiveService):
    """All waiting requests by number."""

    __slots__ = ("_waiters", "_numbers")

    def __init__(self):
        self._waiters = {}
        self._numbers = itertools.count(1)

    def __len__(self):
        return len(self._waiters)

    @contextmanager
    def waiting(self):
        """Yield a Waiter with a new number; forget it at the end."""
        waiter = Waiter(next(self._numbers))
        self._waiters[waiter.request] = waiter
        try:
            yield waiter
        finally:
            del self._waiters[waiter.request]

    def respond(self, request, answer):
        """Answer a request unless its caller stopped waiting."""
        waiter = self._waiters.get(request)
        if waiter is not None:
            waiter.put(answer)

    def respond_all(self, answer):
        """Answer every waiting request."""
        for waiter in list(self._waiters.values()):
            waiter.put(answer)


def create_requests_service(kernel, settings):
    """Return an empty table."""
    return Requests()
