"""Calls of an agent to its worker that fail in unexpected ways."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from turmericknot.core.exceptions import WorkerUnavailable
from turmericknot.node.agent import (
    LOST_RENEWAL_INTERVAL_S,
    AgentNode,
)
from turmericknot.node.clock import steady_time
from turmericknot.platform.settings import OptionSettings
from turmericknot.scheduling import renewal_pace, worker_leases, worker_starts
from turmericknot.scheduling.worker_types import (
    LeaseRenewalResult,
    StartCall,
    WorkerLife,
)
from turmericknot.wire import shard_messages as wire

SHARD, STREAM = 1 << 20, 7


class FailingClient:
    """A client of the worker whose calls raise an error that no caller expects."""

    async def start(self, call, may_send):
        raise RuntimeError("unexpected")

    async def stop(self, call):
        raise RuntimeError("unexpected")


@pytest.fixture
def run_with_agent():
    """Run ``test(node)`` with an agent that has requested the start of one run."""

    def run(test):
        async def main():
            store = SimpleNamespace(address="127.0.0.1:1", partitions=1)
            bounds = SimpleNamespace(lease_ms=1000, stop_grace_s=6.0)
            node = AgentNode(
                SimpleNamespace(
                    node="side-1",
                    service="s",
                    failure_domain="d",
                    store=store,
                    bounds=bounds,
                    options=OptionSettings(),
                    worker_address="127.0.0.1:1",
                )
            )
            node._worker_client = FailingClient()
            await test(node)

        asyncio.run(main())

    return run


def request_start(runs):
    """Request the start of a run under a valid grant; return its StartCall."""
    now = steady_time()
    runs.is_synced = True
    runs.life = WorkerLife("i", 1, "s", True, 4000, 1024, 0, [], now, now)
    grant = wire.Grant(1, [wire.ShardEpoch(SHARD, 1)])
    worker_leases.grant_received(runs, STREAM, grant, now, now)
    start = wire.RunStart("00000000000000a1", 0, 0, 1, 1000, 64, 0, "x")
    message = wire.StartRuns(SHARD, 1, runs.life.key, [start])
    worker_starts.start_runs(runs, STREAM, message, now)
    return next(call for call in runs.pop_commands() if isinstance(call, StartCall))


def test_unexpected_error_of_a_start_is_settled_by_a_renewal(run_with_agent):
    """Guards against an agent that exits, and loses all runs, for one failed call."""

    async def test(node):
        call = request_start(node._runs)
        fence = node._runs.fence
        node._call_worker(call)
        await asyncio.gather(*node._worker_calls)
        assert not node._shutdown.is_set()
        assert node._runs.runs[call.name].is_start_unanswered
        assert node._runs.fence > fence

    run_with_agent(test)


def test_unexpected_error_of_a_stop_leaves_the_agent_running(run_with_agent):
    async def test(node):
        call = request_start(node._runs)
        await node._stop_run(call)
        assert not node._shutdown.is_set()

    run_with_agent(test)


class SilentClient(FailingClient):
    """A client whose first renewal waits for an end; the next ones are answered."""

    def __init__(self):
        self.waits = []

    async def renew_lease(self, call, wait_s, answer_time_s):
        self.waits.append(wait_s)
        if wait_s:
            await asyncio.sleep(10)
        return LeaseRenewalResult(int(call.life.clock * 1000) + 1, call.life.born)


def test_lost_answer_is_settled_while_a_renewal_waits(run_with_agent):
    """Replays late orders at the peak: a tenth of the answers to starts are lost.

    Each run whose start has no answer blocks its capacity until a renewal that was
    sent later shows whether it runs.
    """

    async def test(node):
        call = request_start(node._runs)
        client = node._worker_client = SilentClient()
        renewal = asyncio.create_task(node._renew_lease_once(0.25))
        await asyncio.sleep(0.01)
        worker_starts.start_unanswered(node._runs, call.name, steady_time())
        node._renew_now.set()
        await asyncio.sleep(0.02)
        assert client.waits == [0.25, 0.0]
        assert call.name not in node._runs.runs
        renewal.cancel()

    run_with_agent(test)


class LosingClient(FailingClient):
    """A client to which the answer of the first renewal is lost."""

    def __init__(self):
        self.waits = []

    async def renew_lease(self, call, wait_s, answer_time_s):
        self.waits.append(wait_s)
        if len(self.waits) == 1:
            await asyncio.sleep(LOST_RENEWAL_INTERVAL_S)
            raise WorkerUnavailable("no answer")
        await asyncio.sleep(10)


def test_renewal_is_repeated_at_once_when_its_answer_is_lost(run_with_agent):
    """Until the next answer, no end of a run is seen and no lease is extended.

    Two lost answers of renewals that wait would take as long as the lease.
    """

    async def test(node):
        request_start(node._runs)
        node._renew_now.clear()
        client = node._worker_client = LosingClient()
        loop = asyncio.create_task(node._renew_lease())
        await asyncio.sleep(LOST_RENEWAL_INTERVAL_S + 0.02)
        assert client.waits == [renewal_pace.WAIT_S, 0.0]
        loop.cancel()

    run_with_agent(test)


def test_unanswered_start_is_settled_although_a_renewal_is_lost(run_with_agent):
    """Each further renewal that waits for an end would keep the capacity blocked."""

    async def test(node):
        call = request_start(node._runs)
        worker_starts.start_unanswered(node._runs, call.name, steady_time())
        client = node._worker_client = LosingClient()
        loop = asyncio.create_task(node._renew_lease())
        await asyncio.sleep(LOST_RENEWAL_INTERVAL_S + 0.02)
        assert client.waits == [0.0, 0.0]
        loop.cancel()

    run_with_agent(test)


class ResettingClient(FailingClient):
    """A client whose connections are all reset at once."""

    def __init__(self):
        self.calls = 0

    async def renew_lease(self, call, wait_s, answer_time_s):
        self.calls += 1
        raise WorkerUnavailable("connection reset")


def test_renewals_to_a_worker_that_resets_connections_are_spaced(run_with_agent):
    """Guards against an agent that spends its processor time on a broken worker."""

    async def test(node):
        request_start(node._runs)
        client = node._worker_client = ResettingClient()
        loop = asyncio.create_task(node._renew_lease())
        await asyncio.sleep(5 * LOST_RENEWAL_INTERVAL_S)
        loop.cancel()
        assert 2 <= client.calls <= 6

    run_with_agent(test)


def test_report_without_all_fields_does_not_replace_the_worker(run_with_agent):
    """Guards against a malformed report that ends the runs of a worker at work."""

    async def test(node):
        request_start(node._runs)
        worker, runs = node._runs.life.key, dict(node._runs.runs)
        report = {
            "service": "s",
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": 4000, "mem_mb": 1024, "gpu": 0},
            "labels": [],
            "clock_ms": 1000,
            "seq": 1,
            "born": 2,
        }
        body = msgspec.json.encode(report)
        request = SimpleNamespace(method="PUT", path="/instances/i-other", body=body)
        response = await node._handle_worker_report(request)
        assert response.status == 400
        assert (node._runs.life.key, node._runs.runs) == (worker, runs)

    run_with_agent(test)
