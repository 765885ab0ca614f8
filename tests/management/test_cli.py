import sys
import threading
import types

import msgspec
import pytest
from cheroot import wsgi

from turmericknot.core.exceptions import AddressInUse
from turmericknot.management import cli, registry

ENTRY_SETTINGS = 'entry_id = "e"\nfailure_domain = "ub-1"\nregion = "ub"\n'
JOB_FILE = """
team = "carts"
task_class = "price"
deadline_s = 5
idempotent = true
[[tasks]]
payload = "{}"
repeat = 3
"""


@pytest.fixture
def run_cli(capsys):
    def run_cli(*arguments):
        code = cli.run_command_line(arguments)
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return run_cli


@pytest.fixture
def job_file(tmp_path):
    path = tmp_path / "job.toml"
    path.write_text(JOB_FILE)
    return str(path)


@pytest.fixture
def fake_entry():
    """Yield a server that gives a preset answer and records its requests."""
    state = types.SimpleNamespace(requests=[], status="200 OK", body={})

    def app(environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        data = environ["wsgi.input"].read(length)
        path = environ["PATH_INFO"] + "?" + environ["QUERY_STRING"]
        state.requests.append((environ["REQUEST_METHOD"], path, data))
        start_response(state.status, [("Content-Type", "application/json")])
        body = state.body
        return [body if isinstance(body, bytes) else msgspec.json.encode(body)]

    server = wsgi.Server(("127.0.0.1", 0), app, numthreads=2)
    server.prepare()
    thread = threading.Thread(target=server.serve)
    thread.start()
    state.address = f"127.0.0.1:{server.bind_addr[1]}"
    yield state
    server.stop()
    thread.join()


def test_help_of_every_command_is_plain_text(run_cli):
    """Guards against a pager that blocks a script and codes that garble its output."""
    code, out, _ = run_cli("--help")
    assert code == 0
    assert "Exit codes:" in out
    for path, function in registry.load_commands().items():
        assert " ".join(path) in out
        code, text, _ = run_cli(*path, "--help")
        assert code == 0
        assert text.startswith(f"Usage: turmericknot {' '.join(path)}")
        assert "\x1b" not in text
        for parameter in function.__wrapped__.__kwdefaults__ or ():
            assert f"--{parameter.replace('_', '-')}" in text


@pytest.mark.parametrize(
    "arguments, message",
    [
        ([], ""),
        (["job"], ""),
        (["jbo"], "did you mean 'job'?"),
        (["job", "sumbit"], "did you mean 'submit'?"),
        (["job", "submit"], "required argument: file"),
        (["check"], "name one settings file"),
        (["version", "now"], "Usage: turmericknot version"),
        (["status", "127.0.0.1:1", "--jsno"], "Usage: turmericknot status"),
        (["status", "nowhere"], "host:port"),
        (["status", "--json=maybe"], "allowed: True or False"),
        (["job", "wait", "carts", "k", "soon"], "EXPIRES_AT: found 'soon'"),
        (["entry", "run", "absent.toml"], "No such file"),
        (["job", "submit", "absent.toml"], "No such file"),
        (["config", "check", "absent"], "absent is not a directory"),
        (["config", "show", "--at", "first"], "--at: found 'first'"),
    ],
)
def test_wrong_usage_exits_with_code_2(run_cli, arguments, message):
    code, _, err = run_cli(*arguments)
    assert code == 2
    assert message in err
    assert "Traceback" not in err


def test_mistyped_option_prevents_the_run(run_cli, fake_entry, job_file):
    """Guards against fire running a command before it rejects the other arguments."""
    code, _, _ = run_cli("job", "submit", job_file, "--entri", fake_entry.address)
    assert (code, fake_entry.requests) == (2, [])


def test_switch_takes_no_value_from_the_next_argument(run_cli, fake_entry, job_file):
    """Guards against fire taking the file name for the value of the switch."""
    fake_entry.body = {"status": "complete", "claimed": False}
    arguments = ("--entry", fake_entry.address)
    code, out, _ = run_cli("job", "submit", "--json", job_file, *arguments)
    assert (code, msgspec.json.decode(out)) == (0, fake_entry.body)
    code, out, _ = run_cli("job", "submit", "--json=False", job_file, *arguments)
    assert ["claimed", "no"] in [line.split() for line in out.splitlines()]


@pytest.mark.parametrize(
    "status, answer, code",
    [
        ("200 OK", {"status": "complete", "results": []}, 0),
        ("202 Accepted", {"status": "pending"}, 4),
        ("500 Internal Server Error", {"status": "failed"}, 1),
        ("400 Bad Request", {"error": "tasks is missing"}, 2),
        ("400 Bad Request", {"status": "not_run", "reason": "never_runnable"}, 3),
        ("409 Conflict", {"status": "not_run", "reason": "key_conflict"}, 2),
        ("404 Not Found", {"status": "unknown", "reason": "not_found"}, 2),
        ("429 Too Many Requests", {"status": "not_run", "reason": "overload"}, 3),
        ("504 Gateway Timeout", {"status": "unknown"}, 4),
        ("500 Internal Server Error", {"error": "bug"}, 4),
        ("413 Request Entity Too Large", b"too large", 2),
        ("200 OK", b"<html>", 4),
    ],
)
def test_exit_code_of_each_job_answer(
    run_cli, fake_entry, job_file, status, answer, code
):
    fake_entry.status, fake_entry.body = status, answer
    result, _, err = run_cli("job", "submit", job_file, "--entry", fake_entry.address)
    assert (result, "Traceback" in err) == (code, False)


def test_submission_prints_key_and_expiry(run_cli, fake_entry, job_file):
    """Guards against a job that cannot be resubmitted for lack of key and expiry."""
    fake_entry.body = {"status": "complete"}
    arguments = ("--entry", fake_entry.address, "--key", "2026")
    _, _, err = run_cli("job", "submit", job_file, *arguments)
    ((method, path, data),) = fake_entry.requests
    body = msgspec.json.decode(data)
    assert (method, path) == ("POST", "/v1/jobs?")
    assert len(body["tasks"]) == 3
    assert body["key"] == "2026"
    assert f"key=2026 expires_at={body['expires_at']!r}" in err


def test_accepted_job_without_wait_exits_with_success(run_cli, fake_entry, job_file):
    fake_entry.status, fake_entry.body = "202 Accepted", {"status": "pending"}
    arguments = ("--entry", fake_entry.address, "--wait-s", "0")
    assert run_cli("job", "submit", job_file, *arguments)[0] == 0
    body = msgspec.json.decode(fake_entry.requests[0][2])
    assert (body["wait"], body["wait_s"]) == (False, 0)


def test_team_and_key_are_escaped_in_paths(run_cli, fake_entry):
    """Guards against a key with a slash addressing another job."""
    fake_entry.body = {"status": "not_run", "reason": "cancelled"}
    arguments = ("--entry", fake_entry.address)
    code, _, _ = run_cli("job", "cancel", "a/b", "k?x", "12.5", *arguments)
    assert code == 0
    assert fake_entry.requests[0][0] == "DELETE"
    assert fake_entry.requests[0][1].endswith("?expires_at=12.5")


def test_unreachable_log_exit_code(run_cli):
    code, _, err = run_cli("config", "show", "--log-url", "http://127.0.0.1:1")
    assert (code, "no answer" in err) == (5, True)


def test_unreachable_entry_exit_code(run_cli, job_file):
    code, _, err = run_cli("job", "submit", job_file, "--entry", "127.0.0.1:1")
    assert (code, "no entry answers" in err) == (5, True)


def test_status_prints_fields_and_tables(run_cli, fake_entry):
    fake_entry.body = {
        "entry": "e1",
        "scheduler": {"slots": 8, "teams": {"carts": {"running": 3, "due": 2.5}}},
        "agents": [],
        "histograms": [
            {"name": "response", "team": "carts", "count": 4, "p50": 1.0},
        ],
    }
    code, out, _ = run_cli("status", fake_entry.address)
    assert code == 0
    lines = [line.split() for line in out.splitlines()]
    assert ["scheduler.slots", "8"] in lines
    assert ["carts", "3", "2.5"] in lines
    assert ["response", "carts", "4", "1.0"] in lines


def test_check_reports_findings_and_exit_code(run_cli, tmp_path):
    path = tmp_path / "entry.toml"
    path.write_text(ENTRY_SETTINGS)
    assert run_cli("check", str(path))[0] == 0
    path.write_text(ENTRY_SETTINGS + "htp_address = '127.0.0.1:1'")
    code, out, err = run_cli("check", str(path), "--json")
    assert code == 2
    assert msgspec.json.decode(out)[0]["id"] == "tk.E002"


def test_typed_error_of_a_service_prints_no_traceback(run_cli, tmp_path, monkeypatch):
    def serve(settings):
        raise AddressInUse(f"{settings.announce_address} is taken")

    module = types.ModuleType("turmericknot.agent.service")
    module.serve = serve
    monkeypatch.setitem(sys.modules, "turmericknot.agent.service", module)
    path = tmp_path / "agent.toml"
    text = ENTRY_SETTINGS.replace("entry_id", "agent_id")
    path.write_text(
        text + "seed_entries = ['127.0.0.1:1']\nannounce_address = '127.0.0.1:18099'"
    )
    code, _, err = run_cli("agent", "run", str(path))
    assert (code, err) == (2, "error: 127.0.0.1:18099 is taken\n")
