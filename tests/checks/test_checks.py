import socket
import time

import pytest

from turmericknot.checks import Tags, has_errors, run_checks
from turmericknot.checks.settings import load_settings_files
from turmericknot.clients.log_client import LogInfo
from turmericknot.core.exceptions import LogUnavailable

ENTRY = 'entry_id = "{id}"\nfailure_domain = "ub-1"\nregion = "ub"\n'
AGENT = 'agent_id = "{id}"\nfailure_domain = "ub-1"\nregion = "ub"\n'


@pytest.fixture
def check_files(tmp_path):
    """Return a function that writes settings files and checks them."""

    def check_files(*texts, tags=(Tags.SETTINGS,), fetch_log_info=None):
        paths = []
        for number, text in enumerate(texts):
            paths.append(tmp_path / f"{number}.toml")
            paths[-1].write_text(text)
        context, messages = load_settings_files(paths)
        context.fetch_log_info = fetch_log_info
        return [*messages, *run_checks(context, tags)]

    return check_files


def get_ids(messages):
    return [message.id for message in messages]


def test_valid_files_pass(check_files):
    agent = AGENT.format(id="a") + 'seed_entries = ["127.0.0.1:8081"]'
    assert check_files(ENTRY.format(id="e"), agent) == []


@pytest.mark.parametrize(
    "text, expected",
    [
        ("entry_id = ", "tk.E001"),
        (ENTRY.format(id="e") + "colour = 1", "tk.E002"),
        (ENTRY.format(id="e") + "http_threads = 0", "tk.E003"),
        (ENTRY.format(id="e") + "[membership]\nsuspect_after_s = 0.5", "tk.E004"),
        (ENTRY.format(id="e") + 'http_address = "127.0.0.1:8081"', "tk.E011"),
        (AGENT.format(id="a"), "tk.E012"),
        (ENTRY.format(id="e") + 'link_address = "0.0.0.0:8081"', "tk.E013"),
        (ENTRY.format(id="e") + "[membership]\nsuspect_after_s = 1.5", "tk.W011"),
    ],
)
def test_each_finding_has_its_id(check_files, text, expected):
    """Guards against changed ids, which scripts and documentation refer to."""
    messages = check_files(text)
    assert get_ids(messages) == [expected]
    assert has_errors(messages) == expected.startswith("tk.E")


def test_files_are_compared_with_each_other(check_files):
    """Guards against entries with one id that take each other's claims as their own."""
    other = ENTRY.format(id="e") + "[claims]\nmax_clock_skew_s = 3"
    assert get_ids(check_files(ENTRY.format(id="e"), other)) == ["tk.E010", "tk.E014"]


def test_fences_outlive_keys(check_files):
    """Guards against an agent that accepts starts from a fenced owner again."""
    agent = AGENT.format(id="a") + 'seed_entries = ["127.0.0.1:1"]\n'
    agent += "fence_lifetime_s = 603"
    assert get_ids(check_files(agent, ENTRY.format(id="e"))) == ["tk.E015"]


def create_log_info_function(retention_s=3600, clock_offset_s=0.0):
    # The clock is read at the call: pytest evaluates the parameters at collection,
    # long before the test runs.
    return lambda url: LogInfo(retention_s, 400, time.time() + clock_offset_s)


def raise_log_unavailable(url):
    raise LogUnavailable("connection refused")


@pytest.mark.parametrize(
    "fetch_log_info, expected",
    [
        (create_log_info_function(), []),
        (create_log_info_function(retention_s=603.9), ["tk.E030"]),
        (create_log_info_function(retention_s=604), []),
        (create_log_info_function(clock_offset_s=-60), ["tk.E031"]),
        (create_log_info_function(clock_offset_s=60), ["tk.E031"]),
        (raise_log_unavailable, ["tk.E021"]),
    ],
)
def test_log_service(check_files, fetch_log_info, expected):
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    text = ENTRY.format(id="e") + f'http_address = "{address}"\n'
    messages = check_files(text, tags=(Tags.LIVE,), fetch_log_info=fetch_log_info)
    assert [id for id in get_ids(messages) if id != "tk.E020"] == expected


def test_port_in_use(check_files):
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        text = AGENT.format(id="a") + f'announce_address = "{address}"'
        (message,) = check_files(text, tags=(Tags.LIVE,))
    assert message.id == "tk.E020"
    assert address in message.text
