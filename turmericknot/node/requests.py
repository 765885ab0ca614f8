"""Requests about jobs, asked of the owner of the shard wherever it is.

A submission carries the id of its job, so it may be asked again of a later owner.
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

# A request waits this long for a shard whose owner changes just now.
OWNER_WAIT_S = 1.0
ATTEMPT_S = 1.1  # until a lost answer of the owner is noticed
POLL_S = 0.02


@dataclass(slots=True)
class Answer:
    """Answer of an owner."""

    outcome: Outcome
    retry_after: float = 0.0
    reason: str = ""


@dataclass(slots=True)
class RemoteWaiter:
    """A request that another entry has forwarded."""

    stream: int
    request: int


class Requests:
    """Requests under way to other entries."""

    __slots__ = ("_node", "_last", "_waiting")

    def __init__(self, node):
        self._node = node
        self._last = 0
        self._waiting = {}  # request -> (stream, Future)

    async def submit(self, shard, job_id, record, encoded, timeout_s):
        """Hand a job to the owner of its shard and return its Answer."""

        def ask_here(waiter):
            now = steady_time()
            job_requests.submit_job(
                self._node.owner, shard, job_id, record, waiter, now
            )

        def message(number):
            return SubmitRequest(number, shard, job_id, encoded)

        return await self._ask(shard, ask_here, message, timeout_s)

    async def status(self, shard, job_id, timeout_s):
        """Return the Answer with the state of a job."""

        def ask_here(waiter):
            job_requests.answer_job_state(
                self._node.owner, shard, job_id, waiter, steady_time()
            )

        def message(number):
            return StatusRequest(number, shard, job_id)

        return await self._ask(shard, ask_here, message, timeout_s)

    async def cancel(self, shard, job_id, timeout_s):
        """Cancel a job and return the Answer."""

        def ask_here(waiter):
            job_requests.cancel_job(
                self._node.owner, shard, job_id, waiter, steady_time()
            )

        def message(number):
            return CancelRequest(number, shard, job_id)

        return await self._ask(shard, ask_here, message, timeout_s)

    def answered(self, message):
        """Take the answer of another entry."""
        _, future = self._waiting.pop(message.request, (None, None))
        if future is not None and not future.done():
            outcome = Outcome(message.outcome)
            future.set_result(Answer(outcome, message.retry_after, message.reason))

    def stream_closed(self, stream):
        """End the attempts of requests that were sent on a stream."""
        lost = [n for n, (used, _) in self._waiting.items() if used == stream]
        for number in lost:
            _, future = self._waiting.pop(number)
            if not future.done():
                future.set_result(Answer(Outcome.UNDECIDED, reason="link_lost"))

    async def _ask(self, shard, ask_here, message, timeout_s):
        """Ask the owner until it decides or the time is over."""
        start = steady_time()
        last = Answer(Outcome.NOT_READY, 1.0, "no_owner")
        is_undecided = False
        while True:
            left = timeout_s - (steady_time() - start)
            if left <= 0:
                break
            answer = await self._attempt(shard, ask_here, message, left)
            if answer is None:
                if steady_time() - start > OWNER_WAIT_S:
                    break
                await asyncio.sleep(POLL_S)
                continue
            if answer.outcome not in (Outcome.NOT_READY, Outcome.UNDECIDED):
                return answer
            last = answer
            is_undecided = is_undecided or answer.outcome is Outcome.UNDECIDED
            if answer.reason not in ("not_owner", "owner_changed", "link_lost"):
                break
            self._node.membership.ask_refresh()
            await asyncio.sleep(POLL_S)
        if is_undecided:
            return Answer(Outcome.UNDECIDED, reason=last.reason)
        return last

    async def _attempt(self, shard, ask_here, message, left):
        """Ask the present owner once; return None when none can be asked."""
        node = self._node
        future = asyncio.get_running_loop().create_future()
        number = None
        if shard in node.owner.shards:
            ask_here(future)
            node.decided()
        else:
            stream = node.peers.stream_of(node.membership.owner(shard))
            if stream is None:
                node.membership.ask_refresh()
                return None
            self._last += 1
            number = self._last
            self._waiting[number] = (stream, future)
            node.links.send(stream, message(number))
            node.links.flush()
        try:
            async with asyncio.timeout(min(left, ATTEMPT_S)):
                return await future
        except TimeoutError:
            return Answer(Outcome.UNDECIDED, reason="no_answer")
        finally:
            self._waiting.pop(number, None)


def create_requests(node):
    """Return the requests of an entry."""
    return Requests(node)


def answer_waiter(links, command):
    """Carry out AnswerRequest."""
    waiter = command.waiter
    if isinstance(waiter, RemoteWaiter):
        message = RequestOutcome(
            waiter.request, int(command.outcome), command.retry_after, command.reason
        )
        links.send(waiter.stream, message)
    elif not waiter.done():
        answer = Answer(command.outcome, command.retry_after, command.reason)
        waiter.set_result(answer)
