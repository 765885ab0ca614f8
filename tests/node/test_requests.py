"""Requests to the owners of shards, with answers that the test chooses."""

import asyncio
from types import SimpleNamespace

import pytest

from tests.scheduling.site import create_job_record
from turmericknot.node.entry import AppendListener
from turmericknot.node.requests import create_requests
from turmericknot.scheduling import job_requests, ownership
from turmericknot.scheduling.commands import Outcome, StoreRecord
from turmericknot.scheduling.owner import create_owner
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


def test_answer_to_an_append_of_an_earlier_epoch_decides_nothing():
    """The entry owns the shard again, and its jobs come from the store."""
    owner = create_owner()
    ownership.gain_shard(owner, 0, 2, [], 0.0)
    record = create_job_record()
    job_requests.submit_job(owner, 0, "00000000000000a1", record, "caller", 0.0)
    (job,) = owner.shards[0].jobs.values()
    batch = [c for c in owner.pop_commands() if isinstance(c, StoreRecord)]
    node = SimpleNamespace(owner=owner, execute_commands=lambda: None)
    listener = AppendListener(node)
    former, present = SimpleNamespace(epoch=1), SimpleNamespace(epoch=2)
    listener.on_not_written(former, batch)
    listener.on_written(former, batch, 0.0)
    assert owner.shards[0].jobs == {job.id: job}
    assert not job.is_stored
    listener.on_written(present, batch, 0.0)
    assert job.is_stored
