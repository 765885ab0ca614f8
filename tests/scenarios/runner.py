"""Runs parsed scenarios against a federation of real processes."""

import threading
import time
from dataclasses import dataclass, field

import urllib3

from tests.federation import publish_configuration

REQUEST_TIMEOUT_S = 40.0
STARTS_STOP_MARGIN_S = 0.2
LOG_DEFAULTS = {
    "mode": "up",
    "appends": "up",
    "append_delay_ms": 4,
    "read_delay_ms": 0,
    "lose_answers": 0,
}


@dataclass(slots=True)
class SubmittedJob:
    """A job of a scenario and the answers to all submissions of it."""

    body: dict
    attempts: list = field(default_factory=list)  # (entry, answer or None)
    lock: threading.Lock = field(default_factory=threading.Lock)
    threads: list = field(default_factory=list)


@dataclass(slots=True)
class ScenarioRun:
    """State of one run of a scenario.

    ``starts_before`` holds the starts of each task before the run.
    """

    federation: object
    number: int
    jobs: dict = field(default_factory=dict)
    starts_before: dict = field(default_factory=dict)


def run_scenario(federation, scenario, number):
    """Run a scenario; raise AssertionError if an expectation or invariant fails."""
    run = ScenarioRun(federation, number, starts_before=federation.count_starts())
    for step in scenario.steps:
        _actions[step.action](run, *step.arguments, **step.options)
    for job in run.jobs.values():
        for thread in job.threads:
            thread.join(REQUEST_TIMEOUT_S)
    check_invariants(run)


def check_invariants(run):
    """Check that no task was started twice and that all answers are valid."""
    for task, count in run.federation.count_starts().items():
        run_starts = count - run.starts_before.get(task, 0)
        assert run_starts <= 1, f"task {task} started {run_starts} times"
    for name, job in run.jobs.items():
        for entry, answer in job.attempts:
            if answer is not None:
                check_answer(name, job, entry, answer)


def check_answer(name, job, entry, answer):
    """Check that an answer has all results of its own job, or none."""
    if answer["status"] != "complete":
        assert not answer.get("results"), f"{name}: partial answer from {entry}"
        return
    indexes = [result["index"] for result in answer["results"]]
    assert indexes == list(range(len(job.body["tasks"]))), f"{name}: incomplete results"
    for task, result in zip(job.body["tasks"], answer["results"], strict=True):
        assert result["output"] == task["payload"]["echo"], (
            f"{name}: result of another task"
        )


def restore_federation(federation):
    """Undo all faults, so that the next scenario starts with a healthy federation."""
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


def _register_action(name):
    def register(function):
        _actions[name] = function
        return function

    return register


@_register_action("submit")
def submit_job(
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
    run.jobs[name] = SubmittedJob(body)
    resubmit_job(run, name, entry)


@_register_action("again")
def resubmit_job(run, name, entry):
    job = run.jobs[name]
    thread = threading.Thread(
        target=_send_submission, args=(run, job, entry), daemon=True
    )
    job.threads.append(thread)
    thread.start()


def _send_submission(run, job, entry):
    url = f"{run.federation.entry_urls[entry]}/v1/jobs"
    try:
        _, answer = run.federation.call("POST", url, job.body, REQUEST_TIMEOUT_S)
    except urllib3.exceptions.HTTPError:
        answer = None
    with job.lock:
        job.attempts.append((entry, answer))


@_register_action("cancel")
def cancel_job(run, name, entry):
    body = run.jobs[name].body
    base = run.federation.entry_urls[entry]
    path = f"/v1/jobs/{body['team']}/{body['key']}?expires_at={body['expires_at']!r}"
    run.federation.call("DELETE", base + path)


@_register_action("wait")
def wait_seconds(run, seconds):
    time.sleep(seconds)


@_register_action("kill")
def kill_process(run, name):
    run.federation.kill(name)


@_register_action("pause")
def pause_process(run, name):
    run.federation.pause(name)


@_register_action("resume")
def resume_process(run, name):
    run.federation.resume(name)


@_register_action("start")
def start_process(run, name):
    run.federation.start(name)


@_register_action("stop")
def stop_process(run, name):
    run.federation.terminate(name)


@_register_action("cut")
def cut_links(run, *entries):
    run.federation.send_relay_command("cut", *entries)


@_register_action("stall")
def stall_links(run, *entries):
    run.federation.send_relay_command("stall", *entries)


@_register_action("heal")
def heal_links(run, *entries):
    run.federation.send_relay_command("heal", *entries)


@_register_action("delay")
def delay_links(run, seconds, *entries):
    run.federation.send_relay_command(f"delay {seconds * 1000.0}", *entries)


@_register_action("log_down")
def log_down(run):
    run.federation.configure_log(mode="unavailable")


@_register_action("log_up")
def log_up(run):
    run.federation.configure_log(mode="up")


@_register_action("log_hangs")
def log_hangs(run):
    run.federation.configure_log(mode="hang")


@_register_action("log_slow")
def log_slow(run, seconds):
    run.federation.configure_log(append_delay_ms=seconds * 1000.0)


@_register_action("log_loses")
def log_loses(run, count):
    run.federation.configure_log(lose_answers=count)


@_register_action("log_trim")
def log_trim(run):
    streams = run.federation.configure_log()[1]["streams"]
    for name, (_, after) in streams.items():
        run.federation.configure_log(trim={"stream": name, "first": after})


@_register_action("target_fails")
def target_fails(run, worker):
    run.federation.configure_target(worker, fail=True)


@_register_action("target_hangs")
def target_hangs(run, worker):
    run.federation.configure_target(worker, hang=True)


@_register_action("target_slow")
def target_slow(run, worker, factor):
    run.federation.configure_target(worker, slow_factor=float(factor))


@_register_action("target_recovers")
def target_recovers(run, worker):
    run.federation.configure_target(worker, fail=False, hang=False, slow_factor=1.0)


@_register_action("target_leaves")
def target_leaves(run, worker):
    run.federation.leaving_workers.add(worker)
    url = f"{run.federation.target_urls[worker]}/control/leave"
    run.federation.call("POST", url, {})


@_register_action("publish")
def publish_team_setting(run, team, key, value):
    publish_configuration(run.federation, {team: {key: value}})


# Expectations.


@_register_action("expect")
def expect_status(run, name, statuses, within_s):
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
        answer_statuses = {
            answer["status"],
            f"{answer['status']}:{answer.get('reason', '')}",
        }
        assert answer_statuses & statuses, f"{name}: expected {statuses}, got {answer}"


@_register_action("expect_starts")
def expect_no_new_starts(run, worker, within_s):
    """Check that a worker starts no more tasks after ``within_s``."""
    time.sleep(within_s + STARTS_STOP_MARGIN_S)
    url = f"{run.federation.target_urls[worker]}/control/starts"
    before = run.federation.call("GET", url)[1]["starts"]
    time.sleep(1.0)
    after = run.federation.call("GET", url)[1]["starts"]
    assert sum(after.values()) == sum(before.values()), f"{worker} got new work"


@_register_action("expect_exit")
def expect_clean_exit(run, name, within_s):
    assert run.federation.wait_for_exit(name, within_s) == 0


@_register_action("expect_answers")
def expect_answers(run, name, within_s):
    run.federation.wait_until(
        lambda: run.federation.status(name), f"{name} answers", within_s
    )


@_register_action("expect_version")
def expect_one_version(run, within_s):
    def is_one_version_in_force():
        entry_statuses = [
            run.federation.status(name) for name in run.federation.entry_urls
        ]
        versions = {status["config_version"] for status in entry_statuses}
        versions |= {status["agents_config_min"] for status in entry_statuses}
        return len(versions) == 1

    run.federation.wait_until(
        is_one_version_in_force, "one version is in force", within_s
    )
