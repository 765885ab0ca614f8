"""First steps of a new user, run against real processes."""

import socket
import subprocess
import sys
import time

import pytest
import tomli_w
import urllib3

from tests.federation import free_addresses
from tests.standins.processes import running_log_service

COMMAND = [sys.executable, "-m", "turmericknot"]
START_TIMEOUT_S = 15
MAX_BODY_BYTES = 2048


def run_turmericknot(*arguments):
    return subprocess.run(
        [*COMMAND, *arguments], capture_output=True, text=True, timeout=30
    )


@pytest.fixture(scope="module")
def write_settings_file(tmp_path_factory):
    directory = tmp_path_factory.mktemp("settings")

    def write_settings(**changes):
        http_address, link_address, log_address = free_addresses(3)
        settings = {
            "entry_id": "entry-1",
            "failure_domain": "ub-1",
            "region": "ub",
            "http_address": http_address,
            "link_address": link_address,
            "log_url": f"http://{log_address}",
            "max_body_bytes": MAX_BODY_BYTES,
            **changes,
        }
        path = directory / f"{http_address.replace(':', '-')}.toml"
        path.write_text(tomli_w.dumps(settings))
        return str(path), settings

    return write_settings


@pytest.fixture(scope="module")
def entry_without_log(write_settings_file):
    """Yield the address of an entry that cannot reach its log service."""
    path, settings = write_settings_file()
    process = subprocess.Popen(
        [*COMMAND, "entry", "run", path], stderr=subprocess.PIPE, text=True
    )
    address = settings["http_address"]
    deadline = time.monotonic() + START_TIMEOUT_S
    while not _is_healthy(address):
        assert time.monotonic() < deadline and process.poll() is None
        time.sleep(0.05)
    yield address
    process.terminate()
    _, stderr_text = process.communicate(timeout=40)
    assert process.returncode == 0
    assert "id=tk.E021" in stderr_text
    assert "Traceback" not in stderr_text


def _is_healthy(address):
    try:
        return send_request(address, "GET", "/v1/healthz").status == 200
    except urllib3.exceptions.HTTPError:
        return False


def send_request(address, method, path, body=None):
    url = f"http://{address}{path}"
    return urllib3.request(method, url, body=body, timeout=10, retries=False)


def test_all_errors_of_a_settings_file_are_shown(write_settings_file):
    path, _ = write_settings_file(htp_address="127.0.0.1:1", http_threads=0)
    completed = run_turmericknot("entry", "run", path)
    assert completed.returncode == 2
    assert (
        "htp_address" in completed.stderr
        and "did you mean 'http_address'" in completed.stderr
    )
    assert "http_threads: found 0; allowed: an integer: 1 to 1024" in completed.stderr
    assert "Traceback" not in completed.stderr


def test_entry_start_with_port_in_use(write_settings_file):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        path, _ = write_settings_file(http_address=address)
        completed = run_turmericknot("entry", "run", path)
    assert (completed.returncode, "tk.E020" in completed.stderr) == (2, True)
    assert address in completed.stderr and "Traceback" not in completed.stderr


def test_log_retention_shorter_than_the_key_lifetime(write_settings_file):
    """Guards against an entry that starts although claims expire before their keys."""
    with running_log_service("--retention-s", "60") as log_service:
        path, _ = write_settings_file(log_url=log_service.url)
        completed = run_turmericknot("entry", "run", path)
    assert (completed.returncode, "tk.E030" in completed.stderr) == (2, True)


def test_live_check_of_an_unreachable_log(write_settings_file):
    path, settings = write_settings_file()
    completed = run_turmericknot("check", path, "--live")
    assert completed.returncode == 2
    assert "tk.E021" in completed.stderr and settings["log_url"] in completed.stderr


@pytest.mark.parametrize(
    "body, status, error",
    [
        (b"{", 400, "malformed_json"),
        (b"\xff\xfe", 400, "malformed_json"),
        (b"[]", 400, "invalid_body"),
        (b'{"team": 1}', 400, "invalid_body"),
        (b'{"team": "shop"}', 400, "invalid_body"),
        (b" " * (MAX_BODY_BYTES + 1), 413, None),
    ],
)
def test_invalid_request_bodies(entry_without_log, body, status, error):
    """Guards against a caller who can stop an entry with an invalid request."""
    answer = send_request(entry_without_log, "POST", "/v1/jobs", body)
    assert answer.status == status
    if error:
        assert answer.json()["error"] == error
        assert answer.json()["detail"]
    assert send_request(entry_without_log, "GET", "/v1/healthz").status == 200


@pytest.mark.parametrize(
    "headers, data, status",
    [
        (b"Transfer-Encoding: chunked", b"1000\r\n" + b" " * 4096 + b"\r\n", b"413"),
        (b"Transfer-Encoding: chunked", b"zz\r\n", b"400"),
        (b"Content-Length: -5", b"", b"400"),
        (b"Content-Length: five", b"", b"400"),
    ],
)
def test_invalid_body_lengths(entry_without_log, headers, data, status):
    """Guards against an invalid length that is reported as an error of the entry."""
    host, port = entry_without_log.split(":")
    with socket.create_connection((host, int(port)), timeout=10) as connection:
        request = b"POST /v1/jobs HTTP/1.1\r\nHost: e\r\n" + headers
        connection.sendall(request + b"\r\n\r\n" + data)
        assert connection.recv(4096).split()[1] == status


def test_job_without_configuration_is_refused(entry_without_log):
    """An entry that never read the log cannot rule out that another entry ran the job.

    The exit code is therefore that of an unknown outcome.
    """
    job = "examples/jobs/lot-reservation.toml"
    completed = run_turmericknot("job", "submit", job, f"--entry={entry_without_log}")
    assert completed.returncode == 4
    assert "no_configuration" in completed.stdout


def test_status_of_an_entry_without_log(entry_without_log):
    completed = run_turmericknot("status", entry_without_log)
    assert completed.returncode == 0
    assert "config_version" in completed.stdout
