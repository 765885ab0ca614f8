"""Tests of the distribution of configurations to entries and agents."""

import time

from tests.entry.conftest import TEAMS, publish_teams, wait_until


def active_version(entry):
    return entry.status()["config_version"]


def test_change_becomes_active_at_entries_and_agents(federation):
    """Guards against changes that reach only some processes, or reach them late."""
    entries = [federation.add_entry() for _ in range(2)]
    federation.add_agent()
    federation.wait_ready()
    published_at = time.monotonic()
    publish_teams(
        federation.log, {"binders": {"allowance": 8}}, base=active_version(entries[0])
    )
    roles = [*entries, *federation.agents]
    wait_until(lambda: all(active_version(role) == 2 for role in roles), timeout_s=3)
    assert time.monotonic() - published_at < 3


def test_new_entry_gets_the_configuration_from_a_peer_while_the_log_is_down(federation):
    """Guards against entries that refuse all jobs until the log is available again."""
    first = federation.add_entry()
    wait_until(lambda: active_version(first) == 1)
    federation.log.configure(mode="unavailable")
    second = federation.add_entry(seed_entries=[first.settings["link_address"]])
    wait_until(lambda: active_version(second) == 1)
    assert second.status()["peers"] == 1


def test_conflicting_change_is_skipped(federation):
    """Guards against a change overwriting a newer version than it is based on."""
    entry = federation.add_entry()
    wait_until(lambda: active_version(entry) == 1)
    publish_teams(federation.log, TEAMS, base=0)
    log = entry.log_path
    wait_until(lambda: "config.skipped" in log.read_text())
    assert active_version(entry) == 1
