"""Tests that run every scenario of this folder against real processes."""

from pathlib import Path

import pytest
from lark.exceptions import UnexpectedInput

from tests.federation import federation
from tests.scenarios import language, runner

SCENARIOS = [
    pytest.param(scenario, number, id=f"{path.stem}:{scenario.name}")
    for path in sorted(Path(__file__).parent.glob("*.scn"))
    for number, scenario in enumerate(language.parse_scenarios(path.read_text()))
]


@pytest.fixture(scope="module")
def running_federation(tmp_path_factory):
    directory = tmp_path_factory.mktemp("scenarios")
    with federation(directory, entries=2, agents=3, slots=4, relay=True) as running:
        yield running


@pytest.fixture
def healthy_federation(running_federation):
    yield running_federation
    runner.restore_federation(running_federation)


@pytest.mark.parametrize(("scenario", "number"), SCENARIOS)
def test_scenario(healthy_federation, scenario, number):
    runner.run_scenario(healthy_federation, scenario, number)


def test_syntax_error_names_the_line():
    with pytest.raises(UnexpectedInput) as error:
        language.parse_scenarios('scenario "x"\n  kill\n  kill e1')
    assert error.value.line == 2
