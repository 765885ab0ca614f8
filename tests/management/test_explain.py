"""Job histories from log files, and the check of platform settings."""

import pytest

from turmericknot.management.commands.explain import explain
from turmericknot.management.commands.platform import check
from turmericknot.management.log_history import count_job_outcomes, parse_log_line

ENTRY_LOG = (
    "timestamp=2026-01-01T00:00:01.0Z level=info event=job.accepted job=a1 queue=q\n"
    "timestamp=2026-01-01T00:00:03.0Z level=info event=job.finished job=a1 queue=q"
    " state=succeeded left_out=7\n"
    "Traceback (most recent call last):\n"
    "timestamp=2026-01-01T00:00:02.5Z level=info event=job.refused job=a2"
    ' reason="no room"\n'
)
AGENT_LOG = (
    "   1.5 side-1 timestamp=2026-01-01T00:00:02.0Z level=info event=run.ended job=a1"
    " task=0.0 run=1 how=done\n"
)


@pytest.fixture
def log_files(tmp_path):
    (tmp_path / "entry-1.log").write_text(ENTRY_LOG)
    (tmp_path / "agents.log").write_text(AGENT_LOG)
    return [str(tmp_path / "entry-1.log"), str(tmp_path / "agents.log")]


def test_history_is_sorted_by_time(log_files, capsys):
    """Guards against a history that lists the events of one process after another."""
    assert explain("a1", *log_files) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[2] for line in lines[:3]] == [
        "job.accepted",
        "run.ended",
        "job.finished",
    ]
    assert "side-1" in lines[1] and "how=done" in lines[1]
    assert lines[3] == "left out: 7 lines of job.finished"


def test_unknown_job_exits_with_an_error(log_files, capsys):
    """Guards against a script that cannot tell that no line was found."""
    assert explain("ff", *log_files) == 1


def test_summary_lists_states_and_reasons(log_files, capsys):
    assert explain("-", *log_files, summary=True) == 0
    out = capsys.readouterr().out
    assert "no room" in out and "succeeded" in out


def test_line_without_an_event_is_skipped():
    """Guards against a failure on a traceback between the events of a log."""
    assert parse_log_line("Traceback (most recent call last):", "p") is None
    assert count_job_outcomes([]) == []


def test_platform_check_reports_all_problems(tmp_path, capsys):
    """Guards against problems that an operator finds only one at a time."""
    path = tmp_path / "entry.toml"
    path.write_text('node = 5\naddress = "10.0.0.1"\n')
    assert check("entry", str(path)) == 2
    errors = capsys.readouterr().err
    assert "node" in errors and "store" in errors and "jobs_address" in errors
