"""Requests to the owners of shards, with answers that the test chooses."""

import asyncio
from types import SimpleNamespace

import pytest

from turmericknot.node.requests import create_requests
from turmericknot.scheduling.commands import Outcome
from turmericknot.wire.shard_messages import RequestOutcome

STREAM = 1


async def submit(answers):
    """Submit a job to a peer; each attempt gets the next (outcome, reason)."""
    loop = asyncio.get_running_loop()

    def send(stream, message):
        outcome, reason = answers.pop(0)
        if reason == "link_lost":
            loop.call_soon(requests.on_stream_closed, stream)
        else:
            reply = RequestOutcome(message.request, int(outcome), 2.0, reason)
            loop.call_soon(requests.on_outcome, reply)

    node = SimpleNamespace(
        owner=SimpleNamespace(shards={}),
        peers=SimpleNamespace(find_stream=lambda member: STREAM),
        membership=SimpleNamespace(
            owner_of=lambda shard: "peer", request_owner_refresh=lambda: None
        ),
        links=SimpleNamespace(send=send, flush=lambda: None),
    )
    requests = create_requests(node)
    return await requests.submit(0, "00000000000000a1", None, b"", timeout_s=1.0)


LOST = (Outcome.UNDECIDED, "link_lost")
CHANGED = (Outcome.UNDECIDED, "owner_changed")
REFUSED = (Outcome.REFUSED, "backlog")


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        ([LOST, REFUSED], Outcome.UNDECIDED),
        ([CHANGED, (Outcome.NOT_READY, "not_owner"), REFUSED], Outcome.UNDECIDED),
        ([CHANGED, (Outcome.NOT_READY, "store_unavailable")], Outcome.UNDECIDED),
        ([LOST, (Outcome.ACCEPTED, "known")], Outcome.ACCEPTED),
        ([(Outcome.NOT_READY, "not_owner"), REFUSED], Outcome.REFUSED),
    ],
)
def test_refusal_does_not_answer_for_an_undecided_attempt(answers, expected):
    """The earlier attempt may be accepted after a later one was refused."""
    assert asyncio.run(submit(answers)).outcome is expected
