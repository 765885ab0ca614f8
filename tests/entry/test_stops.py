"""Tests of processes that stop, are killed or paused, or fail to start."""

import signal
import subprocess
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.entry.conftest import job_body, wait_until
from tests.entry.test_whole_path import assert_complete


def start_two_entries_and_three_agents(federation):
    for _ in range(2):
        federation.add_entry()
    for _ in range(3):
        federation.add_agent()
    federation.wait_ready()


def count_running_tasks(federation):
    return sum(t.get("/control/starts")["running"] for t in federation.targets)


def test_graceful_stops_lose_no_results(federation):
    """Guards against losing answers and results in a graceful stop."""
    start_two_entries_and_three_agents(federation)
    entry = federation.entries[0]
    with ThreadPoolExecutor(4) as pool:
        body = job_body("stop", 40, run_ms=300)
        call = pool.submit(entry.call, "POST", "/v1/jobs", body)
        wait_until(lambda: count_running_tasks(federation) >= 8)
        agent_stop = pool.submit(federation.agents[0].stop)
        entry_stop = pool.submit(entry.stop)
        assert_complete(call.result(), body)
        assert agent_stop.result() == 0
        assert entry_stop.result() == 0
    assert set(federation.task_starts().values()) == {1}


def test_job_of_a_killed_entry_is_finished_by_another(federation):
    """Guards against starting tasks again that a killed entry had started."""
    start_two_entries_and_three_agents(federation)
    first, second = federation.entries
    body = job_body("kill", 36, run_ms=200)
    assert first.call("POST", "/v1/jobs", {**body, "wait": False})[0] == 202
    wait_until(lambda: count_running_tasks(federation) >= 8)
    first.process.send_signal(signal.SIGKILL)
    assert_complete(second.call("POST", "/v1/jobs", body), body)
    starts = federation.task_starts()
    assert len(starts) == 36 and set(starts.values()) == {1}


def test_job_with_a_killed_agent_ends_as_unknown(federation):
    """Guards against starting tasks again whose outcome was lost with their agent."""
    start_two_entries_and_three_agents(federation)
    body = job_body("lost", 24, run_ms=500)
    with ThreadPoolExecutor(1) as pool:
        call = pool.submit(federation.entries[0].call, "POST", "/v1/jobs", body)
        wait_until(lambda: count_running_tasks(federation) == 12)
        federation.agents[0].process.send_signal(signal.SIGKILL)
        status, answer = call.result()
    assert (status, answer["status"]) == (504, "unknown")
    assert set(federation.task_starts().values()) == {1}


def test_paused_entry_does_not_block_the_other(federation):
    """Guards against a stream to a paused process blocking the other streams."""
    start_two_entries_and_three_agents(federation)
    first, second = federation.entries
    first.process.send_signal(signal.SIGSTOP)
    try:
        body = job_body("paused", 100)
        assert_complete(second.call("POST", "/v1/jobs", body), body)
    finally:
        first.process.send_signal(signal.SIGCONT)


@pytest.mark.parametrize("taken", ["http_address", "link_address"])
def test_address_in_use_fails_the_start(federation, taken):
    """Guards against an entry that runs without one of its listeners."""
    first = federation.add_entry()
    wait_until(lambda: first.call("GET", "/v1/healthz")[0] == 200)
    second = federation.add_entry(**{taken: first.settings[taken]})
    try:
        code = second.process.wait(15)
    except subprocess.TimeoutExpired:
        pytest.fail("the second entry keeps running")
    assert code == 2
    assert first.settings[taken] in second.log_path.read_text()
