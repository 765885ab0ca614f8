"""Stand-in for a target: a worker that runs tasks by waiting.

The interface is stated in docs/reference/platform.md. A task's payload is JSON:
``{"run_ms": 50, "echo": "text", "fail": false}``. Calls under /control break the
target on purpose and report how often each task was started.
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
    Reply,
    bound_address,
    create_app,
    create_server,
    serve_until_terminated,
)

SPARE_THREADS = 12  # for calls other than run
ANNOUNCE_INTERVAL_S = 2.0
SAMPLE_INTERVAL_S = 0.1
MAX_HANG_S = 600.0
SETTINGS = {
    "slow_factor": float,  # multiplies every run time
    "fail": bool,  # fail every task at once
    "hang": bool,  # start tasks and never finish them
    "refuse": bool,  # answer every run with 503, without a start
    "announce": bool,
    "usage_lag_s": float,
}


class RunningTask:
    """One task that holds a slot."""

    __slots__ = ("done_ms", "lease", "memory_mb", "share", "started", "stopped", "work")

    def __init__(self, lease, memory_mb, work):
        self.lease, self.memory_mb = lease, memory_mb
        self.work = work  # milliseconds at full share
        self.done_ms = 0.0
        self.share = 1.0
        self.stopped = False
        self.started = time.monotonic()


class Target:
    """State of the target; ``changed`` guards it and wakes the tasks."""

    __slots__ = (
        "changed",
        "last_start",
        "leaving",
        "peak",
        "running",
        "busy_ms",
        "samples",
        "settings",
        "size",
        "starts",
    )

    def __init__(self, size):
        self.size = size  # what is announced
        self.changed = threading.Condition()
        self.running = {}
        self.busy_ms = 0.0  # of ended tasks
        self.starts = Counter()
        self.peak = 0
        self.last_start = 0.0  # wall clock
        self.leaving = False
        self.samples = deque(maxlen=600)
        self.settings = {
            "slow_factor": 1.0,
            "fail": False,
            "hang": False,
            "refuse": False,
            "announce": True,
            "usage_lag_s": 0.5,
        }


def admit(target, body):
    """Take a slot and count the start, or refuse without a start."""
    task = body["task"]
    if target.settings["refuse"]:
        raise Reply(503, {"error": "refused"})
    if len(target.running) >= target.size["slots"]:
        raise Reply(429, {"error": "no free slot"})
    if task.get("memory_mb", 0) > target.size["memory_mb"]:
        raise Reply(409, {"error": "task exceeds the worker's memory"})
    if body["lease"] in target.running:
        raise Reply(409, {"error": "lease is in use"})
    target.starts[f"{task['job']}/{task['index']}"] += 1
    target.last_start = time.time()
    work = body["work"].get("run_ms", 0) * target.settings["slow_factor"]
    running = RunningTask(body["lease"], task.get("memory_mb", 0), work)
    target.running[body["lease"]] = running
    target.peak = max(target.peak, len(target.running))
    return running


def execute(target, running, lease_s):
    """Wait until the work is done, stopped or the lease is over."""
    lease_end = running.started + lease_s
    at = running.started
    while not running.stopped:
        left_s = (running.work - running.done_ms) / 1000
        if left_s <= 0 and not target.settings["hang"]:
            return "ok", ""
        wait_s = lease_end - at
        if running.share > 0 and not target.settings["hang"]:
            wait_s = min(wait_s, left_s / running.share)
        if lease_end <= at:
            return "failed", "lease exceeded"
        share = running.share
        target.changed.wait(wait_s)
        now = time.monotonic()
        running.done_ms += (now - at) * 1000 * share
        at = now
    return "stopped", ""


def run(target, request):
    """Run one task; answer when it is done."""
    body = request.json()
    body["work"] = msgspec.json.decode(b64decode(body["payload"]) or b"{}")
    with target.changed:
        running = admit(target, body)
        try:
            if target.settings["fail"] or body["work"].get("fail"):
                status, error = "failed", "task failed"
            else:
                status, error = execute(target, running, body["lease_s"])
        finally:
            del target.running[running.lease]
            target.busy_ms += (time.monotonic() - running.started) * 1000
    output = str(body["work"].get("echo", "")).encode() if status == "ok" else b""
    run_ms = (time.monotonic() - running.started) * 1000
    return {
        "status": status,
        "output": b64encode(output).decode(),
        "run_ms": run_ms,
        "error": error,
    }


def find(target, request):
    body = request.json()
    running = target.running.get(body.get("lease"))
    if running is None:
        raise Reply(404, {"error": "no such lease"})
    return running, body


def stop(target, request):
    with target.changed:
        running, _ = find(target, request)
        running.stopped = True
        target.changed.notify_all()
    return {}


def throttle(target, request):
    with target.changed:
        running, body = find(target, request)
        running.share = min(1.0, max(0.0, float(body["share"])))
        target.changed.notify_all()
    return {"share": running.share}


def checkpoint(target, request):
    """Save the progress and suspend the task until it is throttled to a share."""
    with target.changed:
        running, _ = find(target, request)
        running.share = 0.0
        target.changed.notify_all()
    return {"done_ms": running.done_ms}


def usage(target, request):
    """Return the newest sample that is at least ``usage_lag_s`` old."""
    with target.changed:
        newest = time.time() - target.settings["usage_lag_s"]
        old = [sample for sample in target.samples if sample["as_of"] <= newest]
    return old[-1] if old else {"as_of": 0.0, "leases": []}


def sample_usage(target):
    while True:
        with target.changed:
            leases = [
                {
                    "lease": task.lease,
                    "run_ms": (time.monotonic() - task.started) * 1000,
                    "memory_mb": task.memory_mb,
                    "share": task.share,
                }
                for task in target.running.values()
            ]
            target.samples.append({"as_of": time.time(), "leases": leases})
        time.sleep(SAMPLE_INTERVAL_S)


def call_agent(agent, path, body):
    """Post to the agent; a missing agent is met again at the next announcement."""
    try:
        answer = urllib3.request(
            "POST", f"{agent}{path}", json=body, timeout=1.0, retries=False
        )
    except urllib3.exceptions.HTTPError:
        return False
    return answer.status < 300


def announce(target, agent):
    while True:
        if target.settings["announce"] and not target.leaving:
            call_agent(agent, "/v1/announce", target.size)
        time.sleep(ANNOUNCE_INTERVAL_S)


def report(target):
    with target.changed:
        return {
            "starts": dict(target.starts),
            "started": sum(target.starts.values()),
            "running": len(target.running),
            "busy_ms": target.busy_ms,
            "peak_running": target.peak,
            "last_start": target.last_start,
        }


def control(target, request):
    with target.changed:
        for key, value in request.json().items():
            if key not in SETTINGS:
                raise Reply(400, {"error": f"unknown setting {key}"})
            target.settings[key] = SETTINGS[key](value)
        target.changed.notify_all()
        return dict(target.settings)


def create_handler(target, agent):
    def leave(_):
        target.leaving = True
        body = {"worker": target.size["worker"]}
        return {"told": call_agent(agent, "/v1/leaving", body)}

    routes = {
        ("POST", "/v1/run"): lambda request: run(target, request),
        ("POST", "/v1/stop"): lambda request: stop(target, request),
        ("POST", "/v1/throttle"): lambda request: throttle(target, request),
        ("POST", "/v1/checkpoint"): lambda request: checkpoint(target, request),
        ("GET", "/v1/usage"): lambda request: usage(target, request),
        ("GET", "/control/starts"): lambda _: report(target),
        ("POST", "/control/set"): lambda request: control(target, request),
        ("POST", "/control/leave"): leave,
    }

    def handle(method, request):
        route = routes.get((method, request.path))
        if route is None:
            raise Reply(404, {"error": "no such resource"})
        try:
            return route(request)
        except (KeyError, TypeError, ValueError) as error:
            raise Reply(400, {"error": f"{type(error).__name__}: {error}"}) from error

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
    size = {
        "worker": arguments.worker,
        "address": "",
        "slots": arguments.slots,
        "processors": arguments.processors,
        "memory_mb": arguments.memory_mb,
        "accelerators": arguments.accelerators,
    }
    target = Target(size)
    app = create_app(create_handler(target, arguments.agent), time.time)
    threads = arguments.slots + SPARE_THREADS
    server = create_server(arguments.address, app, threads)
    size["address"] = bound_address(server)
    for loop, values in (
        (announce, (target, arguments.agent)),
        (sample_usage, (target,)),
    ):
        threading.Thread(target=loop, args=values, daemon=True).start()
    serve_until_terminated(server)
    os._exit(0)  # tasks in progress must not delay the end


if __name__ == "__main__":
    main()
