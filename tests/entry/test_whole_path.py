"""End-to-end tests of jobs over HTTP with entry, agent and target processes."""

from concurrent.futures import ThreadPoolExecutor

from tests.entry.conftest import job_body


def expected_outputs(body):
    return [task["payload"]["echo"] for task in body["tasks"]]


def assert_complete(answer, body):
    status, content = answer
    assert (status, content["status"]) == (200, "complete"), content
    assert [r["index"] for r in content["results"]] == list(range(len(body["tasks"])))
    assert [r["output"] for r in content["results"]] == expected_outputs(body)


def test_jobs_complete_and_tasks_start_once(federation):
    """Guards against mixed-up or missing results and repeated starts of tasks."""
    for _ in range(2):
        federation.add_entry()
    for _ in range(3):
        federation.add_agent()
    federation.wait_ready()
    bodies = [job_body(f"job-{number}") for number in range(6)]
    with ThreadPoolExecutor(12) as pool:
        calls = [
            (body, pool.submit(entry.call, "POST", "/v1/jobs", body))
            for body in bodies
            for entry in federation.entries  # each job is sent to both entries
        ]
        for body, call in calls:
            assert_complete(call.result(), body)
    starts = federation.task_starts()
    assert len(starts) == 600
    assert set(starts.values()) == {1}
