import sys
import threading
import types

import msgspec
import pytest
from cheroot import wsgi

from turmericknot.core.exceptions import AddressInUse
from turmericknot.management import cli, registry

ENTRY = 'entry_id = "e"\nfailure_domain = "ub-1"\nregion = "ub"\n'
JOB = """
team = "carts"
task_class = "price"
deadline_s = 5
idempotent = true
[[tasks]]
payload = "{}"
repeat = 3
"""


@pytest.fixture
def run(capsys):
    def run(*arguments):
        code = cli.run(arguments)
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return run


@pytest.fixture
def job_file(tmp_path):
    path = tmp_path / "job.toml"
    path.write_text(JOB)
    return str(path)


@pytest.fixture
def fake_entry():
    """Yield a server that gives set answers and keeps the requests."""
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


def test_help_of_every_command_is_plain_text(run):
    """Guards against a pager or terminal codes that hang or garble a script."""
    code, out, _ = run("--help")
    assert code == 0
    assert "Exit codes:" in out
    for path, function in registry.load_commands().items():
        assert " ".join(path) in out
        code, text, _ = run(*path, "--help")
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
def test_wrong_usage(run, arguments, message):
    code, _, err = run(*arguments)
    assert code == 2
    assert message in err
    assert "Traceback" not in err


def test_mistyped_option_runs_nothing(run, fake_entry, job_file):
    """Guards against fire running a command before it finds the rest wrong."""
    code, _, _ = run("job", "submit", job_file, "--entri", fake_entry.address)
    assert (code, fake_entry.requests) == (2, [])


def test_switch_before_an_argument(run, fake_entry, job_file):
    """Guards against fire taking the file for the value of the switch."""
    fake_entry.body = {"status": "complete", "claimed": False}
    arguments = ("--entry", fake_entry.address)
    code, out, _ = run("job", "submit", "--json", job_file, *arguments)
    assert (code, msgspec.json.decode(out)) == (0, fake_entry.body)
    code, out, _ = run("job", "submit", "--json=False", job_file, *arguments)
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
def test_exit_codes_of_answers(run, fake_entry, job_file, status, answer, code):
    fake_entry.status, fake_entry.body = status, answer
    result, _, err = run("job", "submit", job_file, "--entry", fake_entry.address)
    assert (result, "Traceback" in err) == (code, False)


def test_submission_carries_what_a_resubmission_needs(run, fake_entry, job_file):
    fake_entry.body = {"status": "complete"}
    arguments = ("--entry", fake_entry.address, "--key", "2026")
    _, _, err = run("job", "submit", job_file, *arguments)
    ((method, path, data),) = fake_entry.requests
    body = msgspec.json.decode(data)
    assert (method, path) == ("POST", "/v1/jobs?")
    assert len(body["tasks"]) == 3
    assert body["key"] == "2026"
    assert f"key=2026 expires_at={body['expires_at']!r}" in err


def test_job_that_is_not_waited_for_is_a_success_when_accepted(
    run, fake_entry, job_file
):
    fake_entry.status, fake_entry.body = "202 Accepted", {"status": "pending"}
    arguments = ("--entry", fake_entry.address, "--wait-s", "0")
    assert run("job", "submit", job_file, *arguments)[0] == 0
    body = msgspec.json.decode(fake_entry.requests[0][2])
    assert (body["wait"], body["wait_s"]) == (False, 0)


def test_team_and_key_are_escaped_in_paths(run, fake_entry):
    """Guards against a key with a slash that would address another job."""
    fake_entry.body = {"status": "not_run", "reason": "cancelled"}
    arguments = ("--entry", fake_entry.address)
    code, _, _ = run("job", "cancel", "a/b", "k?x", "12.5", *arguments)
    assert code == 0
    assert fake_entry.requests[0][0] == "DELETE"
    assert fake_entry.requests[0][1].endswith("?expires_at=12.5")


def test_unreachable_log(run):
    code, _, err = run("config", "show", "--log-url", "http://127.0.0.1:1")
    assert (code, "no answer" in err) == (5, True)


def test_unreachable_entry(run, job_file):
    code, _, err = run("job", "submit", job_file, "--entry", "127.0.0.1:1")
    assert (code, "no entry answers" in err) == (5, True)


def test_status_tables(run, fake_entry):
    fake_entry.body = {
        "entry": "e1",
        "scheduler": {"slots": 8, "teams": {"carts": {"running": 3, "due": 2.5}}},
        "agents": [],
        "histograms": [
            {"name": "response", "team": "carts", "count": 4, "p50": 1.0},
        ],
    }
    code, out, _ = run("status", fake_entry.address)
    assert code == 0
    lines = [line.split() for line in out.splitlines()]
    assert ["scheduler.slots", "8"] in lines
    assert ["carts", "3", "2.5"] in lines
    assert ["response", "carts", "4", "1.0"] in lines


def test_check_reports_findings_and_code(run, tmp_path):
    path = tmp_path / "entry.toml"
    path.write_text(ENTRY)
    assert run("check", str(path))[0] == 0
    path.write_text(ENTRY + "htp_address = '127.0.0.1:1'")
    code, out, err = run("check", str(path), "--json")
    assert code == 2
    assert msgspec.json.decode(out)[0]["id"] == "tk.E002"


def test_typed_error_of_a_service_has_no_traceback(run, tmp_path, monkeypatch):
    def serve(settings):
        raise AddressInUse(f"{settings.announce_address} is taken")

    module = types.ModuleType("turmericknot.agent.service")
    module.serve = serve
    monkeypatch.setitem(sys.modules, "turmericknot.agent.service", module)
    path = tmp_path / "agent.toml"
    text = ENTRY.replace("entry_id", "agent_id")
    path.write_text(
        text + "seed_entries = ['127.0.0.1:1']\nannounce_address = '127.0.0.1:18099'"
    )
    code, _, err = run("agent", "run", str(path))
    assert (code, err) == (2, "error: 127.0.0.1:18099 is taken\n")
