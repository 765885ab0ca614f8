"""Stand-in for a worker of the platform, with leases and fence tokens.

It sends reports to an agent and runs each task for the number of milliseconds in the
task's spec (``"80"``; ``"fail 80"`` ends as failed, ``"deadly 80"`` crashes the worker
if it is the first task of a step). When its lease expires, it ends all its runs.
``violations`` lists tasks that were started while they were running.
"""

import asyncio
import time

import msgspec

from turmericknot.aio.client import create_http_client
from turmericknot.aio.server import Response, create_http_server
from turmericknot.core.exceptions import CallError

REPORT_INTERVAL_S = 0.3
MAX_LEASE_MS = 1000
CRASH_DELAY_S = 0.01  # from the start of a deadly task
CRASHED_S = 1.5  # from a crash to the start of the next process
EXPECT_HEADER = "x-turmericknot-expect-instance"


class LeasedWorker:
    """One worker that listens on a socket; all workers of a site share ``starts``."""

    def __init__(self, name, cpu, starts):
        self.name = name
        self.cpu = cpu
        self.starts = starts  # task -> [[worker, run, start time, end time, outcome]]
        self.violations = []
        self.running = {}  # task -> (run, spec, start time, timer, row of starts)
        # [number, task, run, outcome, ""] of ends that the agent has not confirmed
        self.unacknowledged_ends = []
        self.last_end_number = 0
        self.highest_ended_runs = {}  # task -> highest run that ended or was stopped
        self.fence_token = 0
        self.lease_deadline_ms = 0
        self.born = int(time.time() * 1000)
        self.clock_origin = time.monotonic()
        self.sequence = 0
        self.state = "ready"
        self.is_silent = False  # if true, no reports are sent
        self.is_down = False  # from a crash to the start of the next process
        self.crashed_tasks = []  # first task of a step that crashed the worker
        self.run_ended = asyncio.Event()
        self.server = create_http_server(self.handle)
        self.address = ""

    @property
    def clock_ms(self):
        return int((time.monotonic() - self.clock_origin) * 1000)

    async def start(self):
        await self.server.start("127.0.0.1:0")
        host, port = self.server._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def crash(self):
        """End the process with all runs; another one starts some time later."""
        if self.is_down:
            return
        self.is_silent = self.is_down = True
        self.server.stop()
        for _, _, _, timer, row in self.running.values():
            timer.cancel()
            row[3], row[4] = time.monotonic(), "crashed"
        self.running.clear()
        await asyncio.sleep(CRASHED_S)
        self.unacknowledged_ends = []
        self.last_end_number = 0
        self.highest_ended_runs = {}
        self.fence_token = 0
        self.lease_deadline_ms = 0
        self.clock_origin = time.monotonic()
        self.born = int(time.time() * 1000)
        self.name += "x"
        self.server = create_http_server(self.handle)
        await self.server.start(self.address)
        self.is_silent = self.is_down = False

    def _crash_soon(self, task):
        self.crashed_tasks.append(task)
        loop = asyncio.get_running_loop()
        loop.call_later(CRASH_DELAY_S, lambda: loop.create_task(self.crash()))

    async def send_reports(self, agent_address):
        """Start the lease check, then send reports to the agent until cancelled."""
        client = create_http_client(agent_address)
        asyncio.get_running_loop().create_task(self._watch_lease())
        while True:
            if self.is_silent:
                await asyncio.sleep(REPORT_INTERVAL_S)
                continue
            self.sequence += 1
            body = {
                "service": "service",
                "addr": self.address,
                "zone": "z",
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0},
                "labels": ["a", "r1-1"],
                "clock_ms": self.clock_ms,
                "seq": self.sequence,
                "born": self.born,
            }
            try:
                await client.request(
                    "PUT", f"/instances/{self.name}", msgspec.json.encode(body)
                )
            except CallError:
                pass  # the agent is unreachable; the next report tries again
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.01)
            if self.running and self.clock_ms > self.lease_deadline_ms:
                for task in list(self.running):
                    self._end_run(task, "lapsed")

    async def handle(self, request):
        if self.is_down:
            return Response(500)  # of a connection that is being closed
        if request.headers.get(EXPECT_HEADER, self.name) != self.name:
            return Response(421)
        body = msgspec.json.decode(request.body)
        fence_token = body.get("fence_token", 0)
        if fence_token < self.fence_token:
            return self._json_response(409, reason="fence")
        self.fence_token = fence_token
        if "deadline_ms" in body:
            latest_deadline_ms = self.clock_ms + MAX_LEASE_MS
            self.lease_deadline_ms = max(
                self.lease_deadline_ms, min(body["deadline_ms"], latest_deadline_ms)
            )
        method_name = request.path.strip("/").replace("-", "_")
        return await getattr(self, method_name)(body)

    async def run_start(self, body):
        task, run = body["task"], body["run"]
        if task in self.running and self.running[task][0] == run:
            return self._json_response(200)
        if run <= self.highest_ended_runs.get(task, 0) or task in self.running:
            return self._json_response(409, reason="old")
        if body["deadline_ms"] < self.clock_ms:
            return self._json_response(409, reason="late")
        start_rows = self.starts.setdefault(task, [])
        for row in start_rows:
            if row[3] is None:
                self.violations.append(f"{task} runs twice: {row} and {run}")
        row = [self.name, run, time.monotonic(), None, ""]
        start_rows.append(row)
        spec_words = body["spec"].split()
        outcome = "failed" if spec_words[0] == "fail" else "done"
        loop = asyncio.get_running_loop()
        timer = loop.call_later(
            int(spec_words[-1]) / 1000, self._end_run, task, outcome
        )
        self.running[task] = (run, body["spec"], time.monotonic(), timer, row)
        if spec_words[0] == "deadly" and task.endswith(".0"):
            self._crash_soon(task)
        return self._json_response(200)

    async def run_stop(self, body):
        task, run = body["task"], body["run"]
        self.highest_ended_runs[task] = max(self.highest_ended_runs.get(task, 0), run)
        if task in self.running and self.running[task][0] <= run:
            self._end_run(task, "stopped")
        return self._json_response(200)

    async def hold(self, body):
        last_seen = body["last_seen"]
        self.unacknowledged_ends = [
            end for end in self.unacknowledged_ends if end[0] > last_seen
        ]
        if not self.unacknowledged_ends and body.get("wait_ms"):
            try:
                async with asyncio.timeout(body["wait_ms"] / 1000):
                    await self.run_ended.wait()
            except TimeoutError:
                pass
        running = []
        for task, (run, spec, started_at, _, _) in self.running.items():
            progress = (time.monotonic() - started_at) * 1000 / int(spec.split()[-1])
            running.append([task, run, "", min(100, int(100 * progress)), 0])
        return self._json_response(
            200, running=running, ended=self.unacknowledged_ends[:500], born=self.born
        )

    def _end_run(self, task, outcome):
        run, _, _, timer, row = self.running.pop(task)
        timer.cancel()
        row[3], row[4] = time.monotonic(), outcome
        self.highest_ended_runs[task] = max(self.highest_ended_runs.get(task, 0), run)
        self.last_end_number += 1
        self.unacknowledged_ends.append([self.last_end_number, task, run, outcome, ""])
        self.run_ended.set()
        self.run_ended = asyncio.Event()

    def _json_response(self, status, **fields):
        body = {"clock_ms": self.clock_ms, **fields}
        return Response(status, msgspec.json.encode(body))
