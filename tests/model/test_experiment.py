"""The model of a site in virtual time, and the experiments that play it."""

import msgspec
import pytest

from turmericknot.core.exceptions import ConfigurationError, SettingsError
from turmericknot.management.commands.experiment import run
from turmericknot.model.description import (
    Experiment,
    Kind,
    Trouble,
    Variant,
    load_experiment,
)
from turmericknot.model.play import play_run, replaced_constants
from turmericknot.scheduling import workers

EXPERIMENT = """
entries = 2
agents = 4
worker_cpu = 8000
duration_s = 3.0
seeds = [1, 2]
[[kinds]]
name = "check"
jobs_per_s = 10.0
tasks = 3
cpu = 1000
run_s = 0.1
"""


@pytest.fixture
def create_experiment():
    def create(jobs_per_s=20.0, tasks=4, **fields):
        kind = Kind("check", jobs_per_s, tasks=tasks, cpu=1000, run_s=0.1)
        fields = {"entries": 3, "agents": 6, "worker_cpu": 8000} | fields
        return Experiment(kinds=[kind], duration_s=6.0, **fields)

    return create


def play(experiment, seed=1):
    return play_run(experiment, Variant("as is"), seed)


def test_run_depends_on_its_seed_alone(create_experiment):
    """Guards against figures that cannot be repeated."""
    experiment = create_experiment()
    encoded = [msgspec.json.encode(play(experiment, seed)) for seed in (1, 1, 2)]
    assert encoded[0] == encoded[1] != encoded[2]


def test_quiet_site_serves_all_jobs_in_time(create_experiment):
    """Guards against a model whose links or workers lose work."""
    figures = play(create_experiment())
    assert figures["kinds"]["check"]["jobs"] > 60
    assert figures["in_time"] == 1.0


def test_more_work_than_the_workers_can_do_is_refused(create_experiment):
    figures = play(create_experiment(jobs_per_s=300.0))["kinds"]["check"]
    assert figures["refused"] > 0.2 and figures["in_time"] < 0.9


@pytest.mark.parametrize(
    "trouble",
    [
        Trouble("slow", at_s=1.0, for_s=3.0, share=0.5, factor=6.0),
        Trouble("failing", at_s=1.0, for_s=3.0, share=0.4),
        Trouble("lost_answers", at_s=1.0, for_s=3.0, share=0.6),
        Trouble("entry_loss", at_s=1.0, for_s=2.0, share=0.34),
        Trouble("deadly", at_s=1.0, for_s=3.0, share=0.1),
    ],
)
def test_troubles_cost_jobs_while_they_last(create_experiment, trouble):
    """Guards against a trouble that the model does not play."""
    figures = play(create_experiment(troubles=[trouble]))
    assert figures["worst_window"] < 1.0
    assert figures["in_time"] > 0.5


def test_constants_are_replaced_for_one_run(create_experiment):
    before = workers.AGENT_SAMPLE_SIZE
    variant = Variant("small sample", {"workers.AGENT_SAMPLE_SIZE": 2})
    play_run(create_experiment(), variant, 1)
    assert workers.AGENT_SAMPLE_SIZE == before
    with replaced_constants(variant.constants):
        assert workers.AGENT_SAMPLE_SIZE == 2


def test_unknown_constant_is_an_error():
    with pytest.raises(ConfigurationError, match="workers.NO_SUCH"):
        with replaced_constants({"workers.NO_SUCH": 1}):
            pass


def test_all_problems_of_a_file_are_listed(tmp_path):
    path = tmp_path / "experiment.toml"
    path.write_text(
        EXPERIMENT.replace("agents = 4", "agents = 0").replace(
            "tasks = 3", "tasks = -1"
        )
    )
    with pytest.raises(SettingsError) as caught:
        load_experiment(path)
    text = "\n".join(caught.value.problems)
    assert "agents: found 0" in text and "kinds.0.tasks: found -1" in text


def test_command_compares_the_variants(tmp_path, capsys):
    path = tmp_path / "experiment.toml"
    path.write_text(EXPERIMENT)
    assert run(str(path), plots=str(tmp_path / "plots")) == 0
    assert "check" in (tmp_path / "plots" / "response-0.svg").read_text()
    captured = capsys.readouterr()
    assert "as is" in captured.out and "check" in captured.out
    assert "played 2 of 2" in captured.err


def test_shipped_experiments_are_valid():
    for name in ("lunch-wave", "lost-answers", "large-wave", "deadly-tasks"):
        load_experiment(f"examples/experiments/{name}.toml")


def test_other_kinds_are_served_while_tasks_of_one_crash_workers():
    """A storm of deadly tasks at the crest must not take down every worker."""
    experiment = load_experiment("examples/experiments/deadly-tasks.toml")
    [storm] = experiment.troubles
    storm = msgspec.structs.replace(storm, share=0.3)
    in_time = {}
    for name, troubles in (("calm", []), ("storm", [storm])):
        figures = play(msgspec.structs.replace(experiment, troubles=troubles), seed=7)
        in_time[name] = figures["kinds"]["confirm"]["in_time"]
    assert in_time["storm"] > 0.9 * in_time["calm"]


def test_wide_urgent_jobs_are_in_time_although_starts_are_lost(create_experiment):
    """Of jobs of eight tasks, a quarter have a start that gets no answer."""
    trouble = Trouble("lost_answers", at_s=0.0, for_s=6.0, share=0.035)
    experiment = create_experiment(troubles=[trouble], jobs_per_s=10.0, tasks=8)
    assert play(experiment)["in_time"] >= 0.99
