"""The process of an entry, without its sockets."""

import asyncio
import math
from types import SimpleNamespace

import msgspec
import pytest

from turmericknot.core.ids import shard_of_job
from turmericknot.node import entry
from turmericknot.node.constants import SHARD_COUNT
from turmericknot.node.entry import EntryNode
from turmericknot.scheduling import owner as decisions, runs
from turmericknot.scheduling.queues import Configuration, Queue

JOB_ID = "00000000000000a1"


@pytest.fixture
def run_with_entry():
    """Run ``test(node)`` with an entry that has a configuration with one queue."""

    def run(test):
        async def main():
            settings = SimpleNamespace(
                node="n",
                link_address="127.0.0.1:1",
                bounds=SimpleNamespace(keep_s=1.0, far_factor=1.0, stop_grace_s=1.2),
                store=SimpleNamespace(address="127.0.0.1:1", partitions=1),
            )
            node = EntryNode(settings)
            node.configuration = Configuration(1, [Queue("q", "h", "/q/", "s")], {}, {})
            await test(node)

        asyncio.run(main())

    return run


def create_submission(best_effort):
    job = {"spec": "x", "steps": [{"count": 1, "cpu": 1}], "best_effort": best_effort}
    return SimpleNamespace(
        method="POST",
        path=f"/q/{JOB_ID}",
        headers={"host": "h"},
        body=msgspec.json.encode(job),
        close_callbacks=[],
    )


def raise_unexpected(*arguments):
    raise RuntimeError("unexpected")


def test_nothing_starts_before_the_evacuations_are_known(run_with_entry):
    """A restarted entry takes over jobs before it has read the operator's topic."""

    async def test(node):
        assert node.owner.paused_until == math.inf
        node.apply_evacuations(frozenset({"z"}), 7)
        assert node.owner.paused_until < math.inf

    run_with_entry(test)


def test_unexpected_error_ends_a_best_effort_job(run_with_entry, monkeypatch):
    """Guards against a job that runs although its caller takes it for refused."""

    async def test(node):
        monkeypatch.setattr(runs, "schedule_tasks", raise_unexpected)
        response = await node.handle_request(create_submission(True))
        assert response.status == 504
        assert node._best_effort_shard.jobs == {}
        assert len(node.owner.waiting) == 0

    run_with_entry(test)


def test_unexpected_error_of_a_stored_job_leaves_it_undecided(
    run_with_entry, monkeypatch
):
    """Guards against a stored job that its caller takes for refused."""

    async def test(node):
        shard = shard_of_job(JOB_ID, SHARD_COUNT)
        node.owner.shards[shard] = decisions.Shard(shard, epoch=1)
        monkeypatch.setattr(EntryNode, "execute_commands", raise_unexpected)
        response = await node.handle_request(create_submission(False))
        assert response.status == 504

    run_with_entry(test)


@pytest.mark.parametrize("phase", range(4))
def test_waiting_callers_are_answered_before_the_exit(
    run_with_entry, monkeypatch, phase
):
    """Guards against connections that end without an answer at a planned stop."""
    monkeypatch.setattr(entry, "UNREADY_SERVING_S", 0.1)

    async def test(node):
        node.membership = SimpleNamespace(
            leave=lambda: asyncio.sleep(0), run_after_leave=lambda: asyncio.sleep(0)
        )
        ticks = asyncio.create_task(node._run_ticks())
        request = asyncio.create_task(node.handle_request(create_submission(True)))
        await asyncio.sleep(0.01 + phase * entry.TICK_INTERVAL_S / 4)
        [job] = node._best_effort_shard.jobs.values()
        job.possible_runs = 1  # its first step has run
        server = SimpleNamespace(
            close_after_responses=lambda: None, busy_connection_count=1
        )
        await node._drain(server, asyncio.create_task(asyncio.sleep(0)))
        assert request.done() and request.result().status == 504
        ticks.cancel()

    run_with_entry(test)
