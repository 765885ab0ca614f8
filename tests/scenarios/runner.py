"""Run parsed scenarios against a federation of real processes."""

import threading
import time
from dataclasses import dataclass, field

import urllib3

from tests.federation import publish_configuration

REQUEST_TIMEOUT_S = 40.0
LEAVE_MARGIN_S = 0.2
LOG_DEFAULTS = {
    "mode": "up",
    "appends": "up",
    "append_delay_ms": 4,
    "read_delay_ms": 0,
    "lose_answers": 0,
}


@dataclass(slots=True)
class Submission:
    """A job of a scenario and the answers to its attempts."""

    body: dict
    attempts: list = field(default_factory=list)  # (entry, answer or None)
    lock: threading.Lock = field(default_factory=threading.Lock)
    threads: list = field(default_factory=list)


@dataclass(slots=True)
class Run:
    """State of one run of a scenario."""

    federation: object
    number: int
    jobs: dict = field(default_factory=dict)
    starts_before: dict = field(default_factory=dict)


def run_scenario(federation, scenario, number):
    """Play a scenario; raise AssertionError where an expectation fails."""
    run = Run(federation, number, starts_before=federation.count_starts())
    for step in scenario.steps:
        _actions[step.action](run, *step.arguments, **step.options)
    for job in run.jobs.values():
        for thread in job.threads:
            thread.join(REQUEST_TIMEOUT_S)
    check_promises(run)


def check_promises(run):
    """Check what must hold after every scenario."""
    for task, count in run.federation.count_starts().items():
        doubled = count - run.starts_before.get(task, 0)
        assert doubled <= 1, f"task {task} started {doubled} times"
    for name, job in run.jobs.items():
        for entry, answer in job.attempts:
            if answer is not None:
                check_answer(name, job, entry, answer)


def check_answer(name, job, entry, answer):
    """Check that a complete answer is whole and the job's own."""
    if answer["status"] != "complete":
        assert not answer.get("results"), f"{name}: partial answer from {entry}"
        return
    indexes = [result["index"] for result in answer["results"]]
    assert indexes == list(range(len(job.body["tasks"]))), f"{name}: not whole"
    for task, result in zip(job.body["tasks"], answer["results"], strict=True):
        assert result["output"] == task["payload"]["echo"], f"{name}: foreign answer"


def restore(federation):
    """Undo every fault, so that the next scenario starts from a whole federation."""
    if federation.relay_control_address:
        federation.send_relay_command("heal")
        federation.send_relay_command("delay 0")
    federation.configure_log(**LOG_DEFAULTS)
    for worker in federation.leaving_workers:
        federation.kill(worker)
    federation.leaving_workers.clear()
    for name, process in federation.processes.items():
        if not process.is_running:
            federation.start(name)
        federation.resume(name)
    for worker in federation.target_urls:
        federation.wait_until(
            lambda worker=worker: federation.configure_target(
                worker, fail=False, hang=False, slow_factor=1.0, announce=True
            ),
            f"target {worker} answers",
        )
    federation.wait_until(
        lambda: all(
            len([a for a in federation.status(name)["agents"] if a["usable"]])
            == len(federation.agent_urls)
            for name in federation.entry_urls
        ),
        "every entry uses every agent again",
        timeout_s=40.0,
    )


# Actions.

_actions = {}


def _action(name):
    def register(function):
        _actions[name] = function
        return function

    return register


@_action("submit")
def submit(
    run,
    name,
    count,
    run_s,
    entry,
    team="carts",
    task_class="price_check",
    idempotent=True,
    deadline_s=10.0,
    expires_s=300.0,
    processors=0,
):
    key = f"{name}-{run.number}-{time.time_ns()}"
    tasks = [
        {
            "payload": {"run_ms": run_s * 1000.0, "echo": f"{key}/{index}"},
            "size_ms": run_s * 1000.0,
            "processors": processors,
        }
        for index in range(count)
    ]
    body = {
        "team": team,
        "key": key,
        "expires_at": time.time() + expires_s,
        "deadline_s": deadline_s,
        "task_class": task_class,
        "idempotent": idempotent,
        "tasks": tasks,
        "wait_s": REQUEST_TIMEOUT_S,
    }
    run.jobs[name] = Submission(body)
    again(run, name, entry)


@_action("again")
def again(run, name, entry):
    job = run.jobs[name]
    thread = threading.Thread(target=_attempt, args=(run, job, entry), daemon=True)
    job.threads.append(thread)
    thread.start()


def _attempt(run, job, entry):
    url = f"{run.federation.entry_urls[entry]}/v1/jobs"
    try:
        _, answer = run.federation.call("POST", url, job.body, REQUEST_TIMEOUT_S)
    except urllib3.exceptions.HTTPError:
        answer = None
    with job.lock:
        job.attempts.append((entry, answer))


@_action("cancel")
def cancel(run, name, entry):
    body = run.jobs[name].body
    base = run.federation.entry_urls[entry]
    path = f"/v1/jobs/{body['team']}/{body['key']}?expires_at={body['expires_at']!r}"
    run.federation.call("DELETE", base + path)


@_action("wait")
def wait(run, seconds):
    time.sleep(seconds)


@_action("kill")
def kill(run, name):
    run.federation.kill(name)


@_action("pause")
def pause(run, name):
    run.federation.pause(name)


@_action("resume")
def resume(run, name):
    run.federation.resume(name)


@_action("start")
def start(run, name):
    run.federation.start(name)


@_action("stop")
def stop(run, name):
    run.federation.terminate(name)


@_action("cut")
def cut(run, *entries):
    run.federation.send_relay_command("cut", *entries)


@_action("stall")
def stall(run, *entries):
    run.federation.send_relay_command("stall", *entries)


@_action("heal")
def heal(run, *entries):
    run.federation.send_relay_command("heal", *entries)


@_action("delay")
def delay(run, seconds, *entries):
    run.federation.send_relay_command(f"delay {seconds * 1000.0}", *entries)


@_action("log_down")
def log_down(run):
    run.federation.configure_log(mode="unavailable")


@_action("log_up")
def log_up(run):
    run.federation.configure_log(mode="up")


@_action("log_hangs")
def log_hangs(run):
    run.federation.configure_log(mode="hang")


@_action("log_slow")
def log_slow(run, seconds):
    run.federation.configure_log(append_delay_ms=seconds * 1000.0)


@_action("log_loses")
def log_loses(run, count):
    run.federation.configure_log(lose_answers=count)


@_action("log_trim")
def log_trim(run):
    streams = run.federation.configure_log()[1]["streams"]
    for name, (_, after) in streams.items():
        run.federation.configure_log(trim={"stream": name, "first": after})


@_action("target_fails")
def target_fails(run, worker):
    run.federation.configure_target(worker, fail=True)


@_action("target_hangs")
def target_hangs(run, worker):
    run.federation.configure_target(worker, hang=True)


@_action("target_slow")
def target_slow(run, worker, factor):
    run.federation.configure_target(worker, slow_factor=float(factor))


@_action("target_recovers")
def target_recovers(run, worker):
    run.federation.configure_target(worker, fail=False, hang=False, slow_factor=1.0)


@_action("target_leaves")
def target_leaves(run, worker):
    run.federation.leaving_workers.add(worker)
    url = f"{run.federation.target_urls[worker]}/control/leave"
    run.federation.call("POST", url, {})


@_action("publish")
def publish(run, team, key, value):
    publish_configuration(run.federation, {team: {key: value}})


# Expectations.


@_action("expect")
def expect(run, name, statuses, within_s):
    job = run.jobs[name]
    deadline = time.monotonic() + within_s
    while time.monotonic() < deadline:
        with job.lock:
            answers = [answer for _, answer in job.attempts if answer]
        if answers:
            break
        time.sleep(0.02)
    assert answers, f"{name}: no answer within {within_s} s"
    for answer in answers:
        found = {answer["status"], f"{answer['status']}:{answer.get('reason', '')}"}
        assert found & statuses, f"{name}: expected {statuses}, got {answer}"


@_action("expect_starts")
def expect_starts(run, worker, within_s):
    """Check that a worker starts nothing later than ``within_s`` from now."""
    time.sleep(within_s + LEAVE_MARGIN_S)
    url = f"{run.federation.target_urls[worker]}/control/starts"
    before = run.federation.call("GET", url)[1]["starts"]
    time.sleep(1.0)
    after = run.federation.call("GET", url)[1]["starts"]
    assert sum(after.values()) == sum(before.values()), f"{worker} got new work"


@_action("expect_exit")
def expect_exit(run, name, within_s):
    assert run.federation.wait_for_exit(name, within_s) == 0


@_action("expect_answers")
def expect_answers(run, name, within_s):
    run.federation.wait_until(
        lambda: run.federation.status(name), f"{name} answers", within_s
    )


@_action("expect_version")
def expect_version(run, within_s):
    def in_force():
        found = [run.federation.status(name) for name in run.federation.entry_urls]
        versions = {status["config_version"] for status in found}
        versions |= {status["agents_config_min"] for status in found}
        return len(versions) == 1

    run.federation.wait_until(in_force, "one version is in force", within_s)
