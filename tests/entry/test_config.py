"""Configuration on its way into the entries."""

import time

from tests.entry.conftest import TEAMS, publish, wait_until


def version(entry):
    return entry.status()["config_version"]


def test_change_is_in_force_at_entries_and_agents(federation):
    """Guards against changes that reach only some processes, or late."""
    entries = [federation.add_entry() for _ in range(2)]
    federation.add_agent()
    federation.wait_ready()
    published_at = time.monotonic()
    publish(federation.log, {"binders": {"allowance": 8}}, base=version(entries[0]))
    roles = [*entries, *federation.agents]
    wait_until(lambda: all(version(role) == 2 for role in roles), timeout_s=3)
    assert time.monotonic() - published_at < 3


def test_new_entry_takes_the_configuration_of_a_peer_while_the_log_is_down(federation):
    """Guards against entries that refuse all work until the log is back."""
    first = federation.add_entry()
    wait_until(lambda: version(first) == 1)
    federation.log.configure(mode="unavailable")
    second = federation.add_entry(seed_entries=[first.settings["link_address"]])
    wait_until(lambda: version(second) == 1)
    assert second.status()["peers"] == 1


def test_conflicting_change_leaves_the_version_alone(federation):
    """Guards against a late change that overwrites what it has not seen."""
    entry = federation.add_entry()
    wait_until(lambda: version(entry) == 1)
    publish(federation.log, TEAMS, base=0)
    log = entry.log_path
    wait_until(lambda: "config.skipped" in log.read_text())
    assert version(entry) == 1
