"""From the id of a job to its history, by logs alone."""

import pytest

from turmericknot.management.commands.explain import explain
from turmericknot.management.commands.platform import check
from turmericknot.management.log_history import count_outcomes, parse_line

ENTRY = (
    "timestamp=2026-01-01T00:00:01.0Z level=info event=job.accepted job=a1 queue=q\n"
    "timestamp=2026-01-01T00:00:03.0Z level=info event=job.finished job=a1 queue=q"
    " state=succeeded left_out=7\n"
    "Traceback (most recent call last):\n"
    "timestamp=2026-01-01T00:00:02.5Z level=info event=job.refused job=a2"
    ' reason="no room"\n'
)
AGENT = (
    "   1.5 side-1 timestamp=2026-01-01T00:00:02.0Z level=info event=run.ended job=a1"
    " task=0.0 run=1 how=done\n"
)


@pytest.fixture
def logs(tmp_path):
    (tmp_path / "entry-1.log").write_text(ENTRY)
    (tmp_path / "agents.log").write_text(AGENT)
    return [str(tmp_path / "entry-1.log"), str(tmp_path / "agents.log")]


def test_history_in_the_order_of_time(logs, capsys):
    """Lines of several processes must not have to be sorted by hand."""
    assert explain("a1", *logs) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[2] for line in lines[:3]] == [
        "job.accepted",
        "run.ended",
        "job.finished",
    ]
    assert "side-1" in lines[1] and "how=done" in lines[1]
    assert lines[3] == "left out: 7 lines of job.finished"


def test_unknown_job(logs, capsys):
    """A script must notice that nothing was found."""
    assert explain("ff", *logs) == 1


def test_summary_of_outcomes(logs, capsys):
    assert explain("-", *logs, summary=True) == 0
    out = capsys.readouterr().out
    assert "no room" in out and "succeeded" in out


def test_line_of_another_form():
    """Tracebacks stand between the events of a log."""
    assert parse_line("Traceback (most recent call last):", "p") is None
    assert count_outcomes([]) == []


def test_settings_of_a_role_are_checked(tmp_path, capsys):
    """An operator finds all problems of a file before a process starts."""
    path = tmp_path / "entry.toml"
    path.write_text('node = 5\naddress = "10.0.0.1"\n')
    assert check("entry", str(path)) == 2
    errors = capsys.readouterr().err
    assert "node" in errors and "store" in errors and "jobs_address" in errors
