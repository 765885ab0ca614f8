"""HTTP requests that wait for an answer from the dispatcher."""

import itertools
import queue
from contextlib import contextmanager

from turmericknot.core.passive import PassiveService


class WaitingRequest:
    """A request that waits in its HTTP thread."""

    __slots__ = ("request_id", "_answers")

    def __init__(self, request_id):
        self.request_id = request_id
        self._answers = queue.SimpleQueue()

    def deliver_answer(self, answer):
        """Pass the answer to the waiting thread; only the first answer is used."""
        self._answers.put(answer)

    def await_answer(self, timeout_s):
        """Return the answer, or None after a timeout."""
        try:
            return self._answers.get(timeout=max(0.0, timeout_s))
        except queue.Empty:
            return None


class WaitingRequests(PassiveService):
    """All waiting requests by request id."""

    __slots__ = ("_requests", "_request_ids")

    def __init__(self):
        self._requests = {}
        self._request_ids = itertools.count(1)

    def __len__(self):
        return len(self._requests)

    @contextmanager
    def open_request(self):
        """Yield a WaitingRequest with a new id; remove it at the end of the block."""
        waiting_request = WaitingRequest(next(self._request_ids))
        self._requests[waiting_request.request_id] = waiting_request
        try:
            yield waiting_request
        finally:
            del self._requests[waiting_request.request_id]

    def respond(self, request_id, answer):
        """Answer a request if its caller is still waiting."""
        waiting_request = self._requests.get(request_id)
        if waiting_request is not None:
            waiting_request.deliver_answer(answer)

    def respond_all(self, answer):
        """Answer every waiting request."""
        for waiting_request in list(self._requests.values()):
            waiting_request.deliver_answer(answer)


def create_requests_service(kernel, settings):
    """Return the service that tracks waiting requests."""
    return WaitingRequests()
