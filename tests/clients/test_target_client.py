import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest

from turmericknot.clients.target_client import RunRequest, create_target_client
from turmericknot.core.exceptions import TargetError, TargetLost, TargetRefused

JOB = b"j" * 16


def request(index=0, lease_s=10.0, memory_mb=0, **work):
    payload = msgspec.json.encode(work)
    return RunRequest(
        f"lease-{index}", lease_s, JOB, index, payload, memory_mb=memory_mb
    )


@pytest.fixture
def pool():
    with ThreadPoolExecutor(4) as executor:
        yield executor


def started(worker, count):
    """Wait until the target has started ``count`` tasks."""
    end = time.monotonic() + 5
    while worker.get("/control/starts")["started"] < count:
        assert time.monotonic() < end
        time.sleep(0.01)


def test_run_returns_the_output_and_counts_the_start(target, worker):
    result = target.run(request(3, run_ms=50, echo="hello"))
    assert (result.status, result.output) == ("ok", b"hello")
    assert result.run_ms >= 50
    assert worker.get("/control/starts")["starts"] == {f"{JOB.hex()}/3": 1}


def test_failure_is_a_result(target, worker):
    assert target.run(request(fail=True)).status == "failed"
    worker.configure(fail=True)
    assert target.run(request(run_ms=1)).status == "failed"


def test_refused_task_is_not_started(target, worker, pool):
    """Guards against reporting a refused task as unknown."""
    running = [pool.submit(target.run, request(i, run_ms=60000)) for i in range(2)]
    started(worker, 2)
    with pytest.raises(TargetRefused):
        target.run(request(2, run_ms=1))
    for lease in ("lease-0", "lease-1"):
        target.stop(lease)
    assert [r.result(5).status for r in running] == ["stopped", "stopped"]
    with pytest.raises(TargetRefused):
        target.run(request(4, memory_mb=10**6))
    assert worker.get("/control/starts")["started"] == 2


def test_lost_target_is_told_from_one_not_reached(target, worker, pool):
    """Guards against a second start of a task whose answer was lost."""
    running = pool.submit(target.run, request(run_ms=60000))
    started(worker, 1)
    worker.process.kill()
    worker.process.wait()  # until then its listening socket may accept connections
    with pytest.raises(TargetLost):
        running.result(timeout=5)
    with pytest.raises(TargetRefused):
        create_target_client(worker.address).run(request())


def test_lease_ends_a_hanging_task(target, worker):
    worker.configure(hang=True)
    result = target.run(request(lease_s=0.3, run_ms=1))
    assert (result.status, result.error) == ("failed", "lease exceeded")


def test_stop_throttle_and_checkpoint(target, worker, pool):
    running = pool.submit(target.run, request(run_ms=1000))
    started(worker, 1)
    saved = target.checkpoint("lease-0")
    time.sleep(1.2)
    assert saved < 1000 and not running.done()
    target.throttle("lease-0", 1.0)
    assert running.result().run_ms > 1200
    stopped = pool.submit(target.run, request(1, run_ms=60000))
    started(worker, 2)
    target.stop("lease-1")
    assert stopped.result(timeout=5).status == "stopped"
    with pytest.raises(TargetError):
        target.stop("lease-1")


def test_usage_is_reported_late(target, worker, pool):
    worker.configure(usage_lag_s=1.0)
    running = pool.submit(target.run, request(run_ms=60000))
    started(worker, 1)
    assert target.usage().leases == []
    end = time.monotonic() + 10
    while not (usage := target.usage()).leases:
        assert time.monotonic() < end
        time.sleep(0.05)
    assert [u.lease for u in usage.leases] == ["lease-0"]
    assert time.time() - usage.as_of >= 1.0
    target.stop("lease-0")
    assert running.result(5).status == "stopped"
