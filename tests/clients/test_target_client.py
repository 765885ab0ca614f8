import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest

from turmericknot.clients.target_client import RunRequest, create_target_client
from turmericknot.core.exceptions import TargetError, TargetLost, TargetRefused

JOB = b"j" * 16


def create_request(index=0, lease_s=10.0, memory_mb=0, **work):
    payload = msgspec.json.encode(work)
    return RunRequest(
        f"lease-{index}", lease_s, JOB, index, payload, memory_mb=memory_mb
    )


@pytest.fixture
def executor():
    with ThreadPoolExecutor(4) as executor:
        yield executor


def wait_for_starts(target_process, count):
    """Wait until the target has started ``count`` tasks."""
    deadline = time.monotonic() + 5
    while target_process.get("/control/starts")["started"] < count:
        assert time.monotonic() < deadline
        time.sleep(0.01)


def test_run_returns_the_output_and_counts_the_start(target_client, target_process):
    result = target_client.run(create_request(3, run_ms=50, echo="hello"))
    assert (result.status, result.output) == ("ok", b"hello")
    assert result.run_ms >= 50
    assert target_process.get("/control/starts")["starts"] == {f"{JOB.hex()}/3": 1}


def test_failure_is_a_result(target_client, target_process):
    assert target_client.run(create_request(fail=True)).status == "failed"
    target_process.configure(fail=True)
    assert target_client.run(create_request(run_ms=1)).status == "failed"


def test_refused_task_is_not_started(target_client, target_process, executor):
    """Guards against reporting a refused task as possibly started."""
    futures = [
        executor.submit(target_client.run, create_request(i, run_ms=60000))
        for i in range(2)
    ]
    wait_for_starts(target_process, 2)
    with pytest.raises(TargetRefused):
        target_client.run(create_request(2, run_ms=1))
    for lease in ("lease-0", "lease-1"):
        target_client.stop(lease)
    assert [r.result(5).status for r in futures] == ["stopped", "stopped"]
    with pytest.raises(TargetRefused):
        target_client.run(create_request(4, memory_mb=10**6))
    assert target_process.get("/control/starts")["started"] == 2


def test_lost_and_unreachable_targets_are_distinguished(
    target_client, target_process, executor
):
    """Guards against starting a task again after its response was lost."""
    future = executor.submit(target_client.run, create_request(run_ms=60000))
    wait_for_starts(target_process, 1)
    target_process.process.kill()
    # The listening socket may accept connections until the process has ended.
    target_process.process.wait()
    with pytest.raises(TargetLost):
        future.result(timeout=5)
    with pytest.raises(TargetRefused):
        create_target_client(target_process.address).run(create_request())


def test_lease_ends_a_hanging_task(target_client, target_process):
    target_process.configure(hang=True)
    result = target_client.run(create_request(lease_s=0.3, run_ms=1))
    assert (result.status, result.error) == ("failed", "lease exceeded")


def test_stop_throttle_and_checkpoint(target_client, target_process, executor):
    future = executor.submit(target_client.run, create_request(run_ms=1000))
    wait_for_starts(target_process, 1)
    saved_ms = target_client.checkpoint("lease-0")
    time.sleep(1.2)
    assert saved_ms < 1000 and not future.done()
    target_client.throttle("lease-0", 1.0)
    assert future.result().run_ms > 1200
    stopped_future = executor.submit(target_client.run, create_request(1, run_ms=60000))
    wait_for_starts(target_process, 2)
    target_client.stop("lease-1")
    assert stopped_future.result(timeout=5).status == "stopped"
    with pytest.raises(TargetError):
        target_client.stop("lease-1")


def test_usage_is_reported_with_a_lag(target_client, target_process, executor):
    target_process.configure(usage_lag_s=1.0)
    future = executor.submit(target_client.run, create_request(run_ms=60000))
    wait_for_starts(target_process, 1)
    assert target_client.usage().leases == []
    deadline = time.monotonic() + 10
    while not (usage := target_client.usage()).leases:
        assert time.monotonic() < deadline
        time.sleep(0.05)
    assert [u.lease for u in usage.leases] == ["lease-0"]
    assert time.time() - usage.as_of >= 1.0
    target_client.stop("lease-0")
    assert future.result(5).status == "stopped"
