"""Requests about jobs, sent to the owner of the job's shard.

The owner is this entry or a peer. A submission carries the id of its job, so it can
be repeated safely at a later owner of the shard.
"""

import asyncio
from dataclasses import dataclass

from turmericknot.scheduling import job_requests
from turmericknot.scheduling.commands import Outcome
from turmericknot.wire.shard_messages import (
    CancelRequest,
    RequestOutcome,
    StatusRequest,
    SubmitRequest,
)

from .clock import steady_time

# How long a request waits for an owner while the ownership of the shard changes.
OWNER_WAIT_TIMEOUT_S = 1.0
ATTEMPT_TIMEOUT_S = 1.1  # after this time the owner's answer counts as lost
RETRY_DELAY_S = 0.02
# The reasons of an answer after which a later owner may decide otherwise.
_RETRY_REASONS = frozenset({"not_owner", "owner_changed", "link_lost"})
# Outcomes that say that the job was not taken, but only by the attempt they answer.
_NOT_TAKEN_OUTCOMES = frozenset({Outcome.REFUSED, Outcome.NOT_READY})


@dataclass(slots=True)
class Answer:
    """The owner's answer to a request."""

    outcome: Outcome
    retry_after: float = 0.0
    reason: str = ""


@dataclass(slots=True)
class RemoteWaiter:
    """The origin of a request that another entry has forwarded."""

    stream: int
    request: int


class OwnerRequests:
    """Requests to the owners of shards."""

    __slots__ = ("_node", "_last_number", "_waiting_by_number")

    def __init__(self, node):
        self._node = node
        self._last_number = 0
        self._waiting_by_number = {}  # request number -> (stream, Future)

    async def submit(self, shard, job_id, record, encoded_record, timeout_s):
        """Submit a job to the owner of its shard; return the Answer."""

        def request_locally(waiter):
            now = steady_time()
            job_requests.submit_job(
                self._node.owner, shard, job_id, record, waiter, now
            )

        def create_message(number):
            return SubmitRequest(number, shard, job_id, encoded_record)

        return await self._request_owner(
            shard, request_locally, create_message, timeout_s
        )

    async def status(self, shard, job_id, timeout_s):
        """Request the state of a job; return the Answer."""

        def request_locally(waiter):
            job_requests.answer_job_state(
                self._node.owner, shard, job_id, waiter, steady_time()
            )

        def create_message(number):
            return StatusRequest(number, shard, job_id)

        return await self._request_owner(
            shard, request_locally, create_message, timeout_s
        )

    async def cancel(self, shard, job_id, timeout_s):
        """Cancel a job; return the Answer."""

        def request_locally(waiter):
            job_requests.cancel_job(
                self._node.owner, shard, job_id, waiter, steady_time()
            )

        def create_message(number):
            return CancelRequest(number, shard, job_id)

        return await self._request_owner(
            shard, request_locally, create_message, timeout_s
        )

    def on_outcome(self, message):
        """Complete the request to which a RequestOutcome of a peer belongs."""
        _, future = self._waiting_by_number.pop(message.request, (None, None))
        if future is not None and not future.done():
            outcome = Outcome(message.outcome)
            future.set_result(Answer(outcome, message.retry_after, message.reason))

    def on_stream_closed(self, stream):
        """Complete the attempts that were sent on a closed stream as undecided."""
        lost = [
            request_number
            for request_number, (used_stream, _) in self._waiting_by_number.items()
            if used_stream == stream
        ]
        for number in lost:
            _, future = self._waiting_by_number.pop(number)
            if not future.done():
                future.set_result(Answer(Outcome.UNDECIDED, reason="link_lost"))

    async def _request_owner(self, shard, request_locally, create_message, timeout_s):
        """Repeat a request to the owner until it is decided or the time is up.

        An attempt without an answer may still be carried out: by an owner that was
        paused, or one that has stored the job. A refusal of a later attempt says
        nothing about it, so the request as a whole is then undecided.
        """
        started_at = steady_time()
        last_answer = Answer(Outcome.NOT_READY, 1.0, "no_owner")
        is_undecided = False
        while True:
            remaining_s = timeout_s - (steady_time() - started_at)
            if remaining_s <= 0:
                break
            answer = await self._try_owner(
                shard, request_locally, create_message, remaining_s
            )
            if answer is None:
                if steady_time() - started_at > OWNER_WAIT_TIMEOUT_S:
                    break
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            last_answer = answer
            is_undecided = is_undecided or answer.outcome is Outcome.UNDECIDED
            if answer.reason not in _RETRY_REASONS:
                break
            self._node.membership.request_owner_refresh()
            await asyncio.sleep(RETRY_DELAY_S)
        if is_undecided and last_answer.outcome in _NOT_TAKEN_OUTCOMES:
            return Answer(Outcome.UNDECIDED, reason=last_answer.reason)
        return last_answer

    async def _try_owner(self, shard, request_locally, create_message, remaining_s):
        """Send a request once; return None if no owner can be reached."""
        node = self._node
        future = asyncio.get_running_loop().create_future()
        number = None
        if shard in node.owner.shards:
            request_locally(future)
            node.execute_commands()
        else:
            stream = node.peers.find_stream(node.membership.owner_of(shard))
            if stream is None:
                node.membership.request_owner_refresh()
                return None
            self._last_number += 1
            number = self._last_number
            self._waiting_by_number[number] = (stream, future)
            node.links.send(stream, create_message(number))
            node.links.flush()
        try:
            async with asyncio.timeout(min(remaining_s, ATTEMPT_TIMEOUT_S)):
                return await future
        except TimeoutError:
            return Answer(Outcome.UNDECIDED, reason="no_answer")
        finally:
            self._waiting_by_number.pop(number, None)


def create_requests(node):
    """Return the requests of an entry to the owners of shards."""
    return OwnerRequests(node)


def deliver_answer(links, command):
    """Execute an AnswerRequest: send the answer to its local or remote waiter."""
    waiter = command.waiter
    if isinstance(waiter, RemoteWaiter):
        message = RequestOutcome(
            waiter.request, int(command.outcome), command.retry_after, command.reason
        )
        links.send(waiter.stream, message)
    elif not waiter.done():
        answer = Answer(command.outcome, command.retry_after, command.reason)
        waiter.set_result(answer)
