import pytest

from turmericknot.core.exceptions import ConfigurationError
from turmericknot.load import trace, workload
from turmericknot.load.workload import Distribution, Stream, Swing, Workload


@pytest.fixture
def workload_70():
    stream = Stream("t1", "c1", job_tasks=Distribution("constant", 4), deadline_s=5.0)
    return Workload([stream], duration_s=200.0, load=0.7)


def test_offered_load_matches_the_configured_load(workload_70):
    jobs = trace.generate_trace(workload_70, "x").jobs
    work_s = sum(sum(job.run_ms) for job in jobs) / 1000.0
    assert work_s / (80 * 200.0) == pytest.approx(0.7, rel=0.05)


def test_same_seed_gives_the_same_trace(workload_70):
    """Guards against policies being compared with different jobs."""
    assert trace.generate_trace(workload_70, "x") == trace.generate_trace(
        workload_70, "x"
    )


def test_swing_multiplies_the_rate(workload_70):
    workload_70.swings = [Swing(100.0, 100.0, 3.0)]
    jobs = trace.generate_trace(workload_70, "x").jobs
    before = sum(job.at_s < 100.0 for job in jobs)
    assert (len(jobs) - before) / before == pytest.approx(3.0, rel=0.15)


def test_ideal_response_times_with_full_slots():
    jobs = [
        trace.TraceJob(0.0, "t", "c", "a", True, 1.0, [100.0, 50.0], []),
        trace.TraceJob(0.0, "t", "c", "b", True, 1.0, [10.0], []),
    ]
    responses = trace.ideal_response_times(trace.Trace(jobs, 1.0, 2))
    assert responses == pytest.approx([0.1, 0.06])


def test_invalid_workload_error_names_file_and_key(tmp_path):
    path = tmp_path / "load.toml"
    path.write_text('streams = [{team = "t", task_class = "c", jobs_per_sec = 1}]')
    with pytest.raises(ConfigurationError, match="load.toml.*jobs_per_sec"):
        workload.load_workload(path)


@pytest.mark.parametrize("name", ["tsagaan", "arrieta"])
def test_example_workloads_can_be_read(name):
    """Guards against example files that the load generator can no longer read."""
    example = workload.load_workload(f"examples/workloads/{name}.toml")
    assert trace.generate_trace(example, "x").jobs
