"""Stand-in for a target: a worker that simulates tasks by waiting.

It implements the interface in docs/reference/platform.md. A task's payload is JSON:
``{"run_ms": 50, "echo": "text", "fail": false}``. Calls under /control inject faults
and report how often each task was started.
"""

import argparse
import os
import threading
import time
from base64 import b64decode, b64encode
from collections import Counter, deque

import msgspec
import urllib3

from tests.standins.server import (
    ErrorReply,
    bound_address,
    create_app,
    create_server,
    serve_until_terminated,
)

NON_RUN_THREADS = 12  # serve calls other than /v1/run
ANNOUNCE_INTERVAL_S = 2.0
SAMPLE_INTERVAL_S = 0.1
MAX_HANG_S = 600.0
SETTING_TYPES = {
    "slow_factor": float,  # multiplies every run time
    "fail": bool,  # every task fails immediately
    "hang": bool,  # tasks start and do not finish before their lease ends
    "refuse": bool,  # /v1/run answers 503 and starts nothing
    "announce": bool,
    "usage_lag_s": float,
}


class RunningTask:
    """One task that occupies a slot."""

    __slots__ = (
        "done_ms",
        "lease",
        "memory_mb",
        "share",
        "started_at",
        "is_stopped",
        "work_ms",
    )

    def __init__(self, lease, memory_mb, work_ms):
        self.lease, self.memory_mb = lease, memory_mb
        self.work_ms = work_ms  # run time at a share of 1
        self.done_ms = 0.0
        self.share = 1.0
        self.is_stopped = False
        self.started_at = time.monotonic()


class Target:
    """State of the target; the condition ``changed`` locks it and wakes its tasks."""

    __slots__ = (
        "changed",
        "last_start_at",
        "is_leaving",
        "peak_running",
        "running",
        "busy_ms",
        "usage_samples",
        "settings",
        "announcement",
        "starts",
    )

    def __init__(self, announcement):
        self.announcement = announcement  # body of /v1/announce
        self.changed = threading.Condition()
        self.running = {}
        self.busy_ms = 0.0  # sum over ended tasks
        self.starts = Counter()
        self.peak_running = 0
        self.last_start_at = 0.0  # Unix time
        self.is_leaving = False
        self.usage_samples = deque(maxlen=600)
        self.settings = {
            "slow_factor": 1.0,
            "fail": False,
            "hang": False,
            "refuse": False,
            "announce": True,
            "usage_lag_s": 0.5,
        }


def admit_task(target, body):
    """Occupy a slot and count the start, or refuse the task."""
    task = body["task"]
    if target.settings["refuse"]:
        raise ErrorReply(503, {"error": "refused"})
    if len(target.running) >= target.announcement["slots"]:
        raise ErrorReply(429, {"error": "no free slot"})
    if task.get("memory_mb", 0) > target.announcement["memory_mb"]:
        raise ErrorReply(409, {"error": "task exceeds the worker's memory"})
    if body["lease"] in target.running:
        raise ErrorReply(409, {"error": "lease is in use"})
    target.starts[f"{task['job']}/{task['index']}"] += 1
    target.last_start_at = time.time()
    work_ms = body["work"].get("run_ms", 0) * target.settings["slow_factor"]
    running = RunningTask(body["lease"], task.get("memory_mb", 0), work_ms)
    target.running[body["lease"]] = running
    target.peak_running = max(target.peak_running, len(target.running))
    return running


def wait_for_end(target, running, lease_s):
    """Wait until the task is done or stopped, or its lease ends.

    Return its status and error. The caller holds ``target.changed``.
    """
    lease_end_at = running.started_at + lease_s
    updated_at = running.started_at
    while not running.is_stopped:
        remaining_s = (running.work_ms - running.done_ms) / 1000
        if remaining_s <= 0 and not target.settings["hang"]:
            return "ok", ""
        wait_s = lease_end_at - updated_at
        if running.share > 0 and not target.settings["hang"]:
            wait_s = min(wait_s, remaining_s / running.share)
        if lease_end_at <= updated_at:
            return "failed", "lease exceeded"
        share = running.share
        target.changed.wait(wait_s)
        now = time.monotonic()
        running.done_ms += (now - updated_at) * 1000 * share
        updated_at = now
    return "stopped", ""


def run_task(target, request):
    """Run one task and return its result."""
    body = request.json()
    body["work"] = msgspec.json.decode(b64decode(body["payload"]) or b"{}")
    with target.changed:
        running = admit_task(target, body)
        try:
            if target.settings["fail"] or body["work"].get("fail"):
                status, error = "failed", "task failed"
            else:
                status, error = wait_for_end(target, running, body["lease_s"])
        finally:
            del target.running[running.lease]
            target.busy_ms += (time.monotonic() - running.started_at) * 1000
    output = str(body["work"].get("echo", "")).encode() if status == "ok" else b""
    run_ms = (time.monotonic() - running.started_at) * 1000
    return {
        "status": status,
        "output": b64encode(output).decode(),
        "run_ms": run_ms,
        "error": error,
    }


def find_running_task(target, request):
    body = request.json()
    running = target.running.get(body.get("lease"))
    if running is None:
        raise ErrorReply(404, {"error": "no such lease"})
    return running, body


def stop_task(target, request):
    with target.changed:
        running, _ = find_running_task(target, request)
        running.is_stopped = True
        target.changed.notify_all()
    return {}


def throttle_task(target, request):
    with target.changed:
        running, body = find_running_task(target, request)
        running.share = min(1.0, max(0.0, float(body["share"])))
        target.changed.notify_all()
    return {"share": running.share}


def checkpoint_task(target, request):
    """Return the progress and suspend the task until its share is raised again."""
    with target.changed:
        running, _ = find_running_task(target, request)
        running.share = 0.0
        target.changed.notify_all()
    return {"done_ms": running.done_ms}


def latest_usage(target, request):
    """Return the newest usage sample that is at least ``usage_lag_s`` old."""
    with target.changed:
        newest = time.time() - target.settings["usage_lag_s"]
        old_samples = [
            sample for sample in target.usage_samples if sample["as_of"] <= newest
        ]
    return old_samples[-1] if old_samples else {"as_of": 0.0, "leases": []}


def sample_usage_periodically(target):
    while True:
        with target.changed:
            leases = [
                {
                    "lease": task.lease,
                    "run_ms": (time.monotonic() - task.started_at) * 1000,
                    "memory_mb": task.memory_mb,
                    "share": task.share,
                }
                for task in target.running.values()
            ]
            target.usage_samples.append({"as_of": time.time(), "leases": leases})
        time.sleep(SAMPLE_INTERVAL_S)


def call_agent(agent, path, body):
    """Post to the agent and return whether it accepted the call.

    A failed call is not retried; an agent that was down gets the next announcement.
    """
    try:
        answer = urllib3.request(
            "POST", f"{agent}{path}", json=body, timeout=1.0, retries=False
        )
    except urllib3.exceptions.HTTPError:
        return False
    return answer.status < 300


def announce_periodically(target, agent):
    while True:
        if target.settings["announce"] and not target.is_leaving:
            call_agent(agent, "/v1/announce", target.announcement)
        time.sleep(ANNOUNCE_INTERVAL_S)


def task_statistics(target):
    with target.changed:
        return {
            "starts": dict(target.starts),
            "started": sum(target.starts.values()),
            "running": len(target.running),
            "busy_ms": target.busy_ms,
            "peak_running": target.peak_running,
            "last_start": target.last_start_at,
        }


def apply_settings(target, request):
    with target.changed:
        for key, value in request.json().items():
            if key not in SETTING_TYPES:
                raise ErrorReply(400, {"error": f"unknown setting {key}"})
            target.settings[key] = SETTING_TYPES[key](value)
        target.changed.notify_all()
        return dict(target.settings)


def create_handler(target, agent):
    def leave(_):
        target.is_leaving = True
        body = {"worker": target.announcement["worker"]}
        return {"told": call_agent(agent, "/v1/leaving", body)}

    routes = {
        ("POST", "/v1/run"): lambda request: run_task(target, request),
        ("POST", "/v1/stop"): lambda request: stop_task(target, request),
        ("POST", "/v1/throttle"): lambda request: throttle_task(target, request),
        ("POST", "/v1/checkpoint"): lambda request: checkpoint_task(target, request),
        ("GET", "/v1/usage"): lambda request: latest_usage(target, request),
        ("GET", "/control/starts"): lambda _: task_statistics(target),
        ("POST", "/control/set"): lambda request: apply_settings(target, request),
        ("POST", "/control/leave"): leave,
    }

    def handle(method, request):
        route = routes.get((method, request.path))
        if route is None:
            raise ErrorReply(404, {"error": "no such resource"})
        try:
            return route(request)
        except (KeyError, TypeError, ValueError) as error:
            raise ErrorReply(
                400, {"error": f"{type(error).__name__}: {error}"}
            ) from error

    return handle


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1:0")
    parser.add_argument("--agent", required=True, help="http://ip:port")
    parser.add_argument("--worker", required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--processors", type=float, default=16)
    parser.add_argument("--memory-mb", type=int, default=32768)
    parser.add_argument("--accelerators", type=int, default=0)
    return parser.parse_args()


def main():
    arguments = parse_arguments()
    announcement = {
        "worker": arguments.worker,
        "address": "",
        "slots": arguments.slots,
        "processors": arguments.processors,
        "memory_mb": arguments.memory_mb,
        "accelerators": arguments.accelerators,
    }
    target = Target(announcement)
    app = create_app(create_handler(target, arguments.agent), time.time)
    threads = arguments.slots + NON_RUN_THREADS
    server = create_server(arguments.address, app, threads)
    announcement["address"] = bound_address(server)
    for function, function_args in (
        (announce_periodically, (target, arguments.agent)),
        (sample_usage_periodically, (target,)),
    ):
        threading.Thread(target=function, args=function_args, daemon=True).start()
    serve_until_terminated(server)
    os._exit(0)  # avoids waiting for running tasks


if __name__ == "__main__":
    main()
