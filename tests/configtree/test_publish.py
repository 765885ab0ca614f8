"""Publishing to the log service, and the ``config`` commands that use it."""

import threading
import time

import pytest

from tests.standins.server import bound_address, create_app, create_server
from turmericknot.configtree.publish import (
    PublishStatus,
    StreamReader,
    publish,
    wait_until_in_force,
)
from turmericknot.configtree.records import CONFIG_STREAM, Change, encode_record
from turmericknot.configtree.tree import state_to_snapshot
from turmericknot.management.commands import config

TEAM = "allowance = 40\n\n[limits]\nmax_running = 100\n"


@pytest.fixture
def directory(tmp_path):
    (tmp_path / "teams").mkdir()
    (tmp_path / "federation.toml").write_text("[defaults]\nweight = 1.0\n")
    (tmp_path / "teams" / "prices.toml").write_text(TEAM)
    return tmp_path


def create_change(record, base, **sets):
    paths = {f"teams.{path.replace('__', '.')}": v for path, v in sets.items()}
    return Change(record.encode(), base, "test", paths)


def read_current(log_client):
    reader = StreamReader(log_client)
    reader.read()
    return reader


def write_team_file(directory, text, team="prices"):
    (directory / "teams" / f"{team}.toml").write_text(text)


def test_lost_answer_is_read_back(log_client, log_service):
    """Guards against reporting a published change as failed or appending it twice."""
    log_service.configure(lose_answers=1)
    result = publish(
        read_current(log_client), create_change("one", 0, prices__allowance=4)
    )
    assert (result.status, result.version) == (PublishStatus.ACCEPTED, 1)
    assert log_service.configure()["appends"] == 1


def test_second_copy_of_a_record_takes_no_effect(log_client):
    """Guards against a late copy that reverts a change published after the first."""
    first = create_change("one", 0, prices__allowance=4)
    assert publish(read_current(log_client), first).status is PublishStatus.ACCEPTED
    publish(read_current(log_client), create_change("two", 1, prices__allowance=5))
    log_client.append(CONFIG_STREAM, encode_record(first))
    merge = read_current(log_client).state.merged
    assert (merge.version, merge.tree["teams"]["prices"]) == (2, {"allowance": 5})


def test_one_of_two_concurrent_changes_of_a_team_conflicts(log_client):
    readers = [read_current(log_client) for _ in range(3)]
    records = [
        create_change("one", 0, prices__allowance=4),
        create_change("two", 0, prices__weight=2),
        create_change("three", 0, stock__allowance=6),
    ]
    results = [publish(r, c) for r, c in zip(readers, records, strict=True)]
    assert [r.status for r in results] == ["accepted", "conflict", "accepted"]
    assert [str(d) for d in results[1].concurrent_changes] == [
        '+ teams.prices = {"allowance":4}'
    ]


def test_publish_status_when_the_log_does_not_answer(log_client, log_service):
    """Guards against NOT_WRITTEN for a change that may still take effect."""
    reader = read_current(log_client)
    log_service.configure(appends="unavailable")
    one = create_change("one", 0, prices__allowance=4)
    assert publish(reader, one, timeout_s=0.5).status is PublishStatus.NOT_WRITTEN
    log_service.configure(appends="up", append_delay_ms=4000)
    assert publish(reader, one, timeout_s=0.5).status is PublishStatus.UNKNOWN


def test_publish_survives_an_outage(log_client, log_service):
    reader = read_current(log_client)
    log_service.configure(mode="unavailable")
    threading.Timer(0.5, log_service.configure, kwargs={"mode": "up"}).start()
    assert publish(reader, create_change("one", 0, a__allowance=1)).version == 1


def test_commands_publish_only_what_was_edited(directory, tmp_path, log_service):
    """Guards against an outdated checkout that undoes other operators' changes."""
    url = log_service.url
    assert config.publish(str(directory), url).text == "published version 1"
    other = tmp_path / "other"
    (other / "teams").mkdir(parents=True)
    write_team_file(other, "allowance = 7\n", team="stock")
    assert config.publish(str(other), url).code == config.OK
    assert (other / "teams" / "prices.toml").exists()
    write_team_file(other, "allowance = 41\n")
    assert config.publish(str(other), url, author="ana").code == config.OK

    write_team_file(directory, TEAM.replace("100", "90"))
    assert config.diff(str(directory), url).text.splitlines()[-1].startswith("  teams.")
    conflict = config.publish(str(directory), url)
    assert conflict.code == config.CONFLICT
    assert "by ana" in conflict.text
    assert "~ teams.prices.allowance = 41 -> 40" in conflict.text

    write_team_file(directory, TEAM)  # same as the base, so not an edit
    assert config.publish(str(directory), url).code == config.OK
    assert "41" in (directory / "teams" / "prices.toml").read_text()
    assert "stock" in config.show(url).text
    assert "41" not in config.show(url, at=2).text
    assert len(config.history(url).text.splitlines()) == 3


def test_deleted_file_deletes_the_team(directory, log_service, log_client):
    config.publish(str(directory), log_service.url)
    (directory / "teams" / "prices.toml").unlink()
    assert config.publish(str(directory), log_service.url).code == config.OK
    assert read_current(log_client).state.merged.tree["teams"] == {}


def test_check_reports_every_problem(directory):
    text = "alowance = 3\nweight = 0\n[limits]\nmax_runing = true\n"
    write_team_file(directory, text)
    result = config.check(str(directory))
    assert result.code == config.FAILED
    assert "teams.prices.alowance: unknown key (did you mean 'allowance'?)" in (
        result.text
    )
    assert "teams.prices.weight: must be above 0" in result.text
    assert "did you mean 'max_running'?" in result.text
    assert "no allowance" in result.text


def test_publish_of_invalid_files_appends_nothing(directory, log_service):
    write_team_file(directory, "allowance = -1\n")
    assert config.publish(str(directory), log_service.url).code == config.FAILED
    assert log_service.configure()["appends"] == 0


def test_restore_is_accepted_only_when_the_log_has_lost_the_configuration(
    directory, log_service, log_client
):
    url = log_service.url
    config.publish(str(directory), url)
    assert config.publish(str(directory), url, restore=True).code == config.FAILED
    log_service.configure(trim={"stream": CONFIG_STREAM, "first": 1})
    assert "publish --restore" in config.publish(str(directory), url).text
    assert config.publish(str(directory), url, restore=True).code == config.OK
    state = read_current(log_client).state
    assert (state.is_complete, state.merged.version) == (True, 2)
    assert state.merged.tree["teams"]["prices"]["allowance"] == 40


def test_reader_starts_from_a_snapshot(log_client, log_service):
    """Guards against a trimmed log that leaves new processes without settings."""
    reader = read_current(log_client)
    publish(reader, create_change("one", 0, prices__allowance=4))
    publish(reader, create_change("two", 1, stock__allowance=5))
    log_client.append(
        CONFIG_STREAM, encode_record(state_to_snapshot(reader.state.merged, b"s"))
    )
    log_service.configure(trim={"stream": CONFIG_STREAM, "first": 2})
    publish(reader, create_change("three", 1, prices__allowance=6))
    merge = read_current(log_client).state.merged
    assert merge.tree == reader.state.merged.tree
    assert (merge.version, merge.subtree_versions["teams.prices"]) == (4, 4)


@pytest.fixture
def entry():
    """Serve GET /v1/status with the answers of a list; the last one is repeated."""
    answers = []

    def handle(method, request):
        return answers.pop(0) if len(answers) > 1 else answers[0]

    server = create_server("127.0.0.1:0", create_app(handle, time.time), 2)
    threading.Thread(target=server.serve, daemon=True).start()
    yield f"http://{bound_address(server)}", answers
    server.stop()


def test_wait_ends_when_entries_and_agents_have_the_version(entry):
    url, answers = entry
    answers += [
        {"config_version": 2, "agents_config_min": 2},
        {"config_version": 3, "agents_config_min": 0},
        {"config_version": 4, "agents_config_min": 3, "other": 1},
    ]
    assert wait_until_in_force([url], 3, timeout_s=5) == {}
    assert len(answers) == 1
    answers[:] = [{"config_version": 3, "agents_config_min": None}]
    assert wait_until_in_force([url], 3, timeout_s=0) == {}


def test_wait_returns_entries_that_lag(entry):
    """Guards against reporting a version as in force that an agent does not have."""
    url, answers = entry
    answers.append({"config_version": 3, "agents_config_min": 0})
    unreachable_url = "http://127.0.0.1:9"
    lagging = wait_until_in_force([url, unreachable_url], 3, timeout_s=0.1)
    assert lagging[url] == "an agent has 0"
    assert "no status" in lagging[unreachable_url]
