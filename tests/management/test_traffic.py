"""Sums of messages and processor time over log files."""

import pytest

from turmericknot.management.commands.traffic import traffic

LINE = (
    "   {second}.0 {process} timestamp=2026-01-01T00:00:0{second}.0Z level=info"
    " event=process.traffic role={role} seconds=5.0 cpu={cpu}"
    ' sent="{sent}" received="{received}"\n'
)


@pytest.fixture
def log_file(tmp_path):
    rows = [
        ("1", "front-1", "entry", 0.5, "Grant:10:200", "GrantRequest:10:100"),
        ("6", "front-1", "entry", 0.5, "Grant:20:400", ""),
        ("1", "front-2", "entry", 1.0, "", ""),
        ("1", "side-1", "agent", 0.1, "RoomReport:15:90", ""),
    ]
    names = ("second", "process", "role", "cpu", "sent", "received")
    path = tmp_path / "day.log"
    path.write_text(
        "".join(LINE.format(**dict(zip(names, row, strict=True))) for row in rows)
    )
    return str(path)


def test_rates_are_those_of_one_process(log_file, capsys):
    """Guards against sums over processes that are read as the load of one."""
    assert traffic(log_file) == 0
    rows = [line.split() for line in capsys.readouterr().out.splitlines()]
    assert ["entry", "2", "2.0", "0.1333"] in rows
    assert ["entry", "sent", "Grant", "2.0", "40.0"] in rows
    assert ["agent", "sent", "RoomReport", "3.0", "18.0"] in rows


def test_logs_without_figures_exit_with_an_error(tmp_path, capsys):
    (tmp_path / "empty.log").write_text("no event\n")
    assert traffic(str(tmp_path / "empty.log")) == 1
