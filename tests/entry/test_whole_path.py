"""Jobs over HTTP through real entries, agents and targets."""

from concurrent.futures import ThreadPoolExecutor

from tests.entry.conftest import job


def expected(body):
    return [task["payload"]["echo"] for task in body["tasks"]]


def assert_whole(answer, body):
    status, content = answer
    assert (status, content["status"]) == (200, "complete"), content
    assert [r["index"] for r in content["results"]] == list(range(len(body["tasks"])))
    assert [r["output"] for r in content["results"]] == expected(body)


def test_jobs_are_answered_whole_and_started_once(federation):
    """Guards against mixed-up, partial and repeated work on the whole path."""
    for _ in range(2):
        federation.add_entry()
    for _ in range(3):
        federation.add_agent()
    federation.wait_ready()
    bodies = [job(f"job-{number}") for number in range(6)]
    with ThreadPoolExecutor(12) as pool:
        calls = [
            (body, pool.submit(entry.call, "POST", "/v1/jobs", body))
            for body in bodies
            for entry in federation.entries  # each job is sent to both entries
        ]
        for body, call in calls:
            assert_whole(call.result(), body)
    starts = federation.starts()
    assert len(starts) == 600
    assert set(starts.values()) == {1}
