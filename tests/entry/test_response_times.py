from types import SimpleNamespace

import pytest

from turmericknot.dispatch.tasks import JobStatus
from turmericknot.entry import response_times
from turmericknot.utils import histograms


@pytest.fixture
def registry(monkeypatch):
    registry = histograms.create_histogram_registry()
    monkeypatch.setattr(histograms, "record_duration", registry.record_duration)
    return registry


def test_each_outcome_has_its_own_histogram(registry):
    """Guards against fast refusals lowering the response times of completed jobs."""
    spec = SimpleNamespace(team="carts", task_class="price")
    result = SimpleNamespace(run_ms=40.0)
    for status, results in (
        (JobStatus.COMPLETE, [result, result]),
        (JobStatus.NOT_RUN, []),
        (JobStatus.PENDING, []),
    ):
        answer = SimpleNamespace(status=status, results=results)
        response_times.record_response(spec, answer, 0.25)
    counts = {one["name"]: one["count"] for one in registry.snapshot()}
    assert counts == {"job.complete": 1, "job.not_run": 1, "task.run": 2}
