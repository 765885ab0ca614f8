"""The example files must work as the documentation describes."""

import tomllib
from pathlib import Path

import pytest

from turmericknot.management import cli, job_files

ROOT = Path(__file__).parents[2]
EXAMPLES = ROOT / "examples"
JOBS = sorted((EXAMPLES / "jobs").glob("*.toml"))


def load_team_settings():
    files = (EXAMPLES / "federation" / "teams").glob("*.toml")
    return {path.stem: tomllib.loads(path.read_text()) for path in files}


def test_example_settings_pass_the_check(capsys):
    files = [str(EXAMPLES / name) for name in ("entry.toml", "agent.toml")]
    assert cli.run_command_line(["check", *files]) == 0
    assert "0 errors, 0 warnings" in capsys.readouterr().out


def test_example_federation_passes_the_check(capsys):
    assert cli.run_command_line(["config", "check", str(EXAMPLES / "federation")]) == 0
    assert "warning" not in capsys.readouterr().out


@pytest.mark.parametrize("path", JOBS, ids=lambda path: path.stem)
def test_example_jobs_belong_to_a_team_of_the_example_federation(path):
    body = job_files.read_job_file(path)
    assert body["team"] in load_team_settings()
    assert isinstance(body["idempotent"], bool)
    assert "repeat" not in body["tasks"][0]
    assert body["key"] and body["expires_at"] > 0
