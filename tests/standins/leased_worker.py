"""Stand-in for a worker of the platform: leases, runs, ends and fence tokens.

It reports itself to an agent, runs tasks for the milliseconds in their spec
(``"80"``; ``"fail 80"`` fails), and kills everything when its lease ends.
``violations`` lists what a worker must never see.
"""

import asyncio
import time

import msgspec

from turmericknot.aio.client import create_http_client
from turmericknot.aio.server import Response, create_http_server
from turmericknot.core.exceptions import CallError

REPORT_INTERVAL_S = 0.3
HOLD_MAX_MS = 1000
EXPECT_HEADER = "x-turmericknot-expect-instance"


class LeasedWorker:
    """One worker over a real socket; ``starts`` is shared by a whole site."""

    def __init__(self, name, cpu, starts):
        self.name = name
        self.cpu = cpu
        self.starts = starts  # task -> list of [worker, run, begun, ended, how]
        self.violations = []
        self.running = {}  # task -> (run, spec, begun, handle, row)
        self.ended = []
        self.last_number = 0
        self.stopped = {}  # task -> highest run stopped or ended
        self.fence = 0
        self.deadline_ms = 0
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.sequence = 0
        self.state = "ready"
        self.is_silent = False  # sends no reports
        self.changed = asyncio.Event()
        self.server = create_http_server(self.handle)
        self.address = ""

    @property
    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000)

    async def start(self):
        await self.server.start("127.0.0.1:0")
        host, port = self.server._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def send_reports(self, agent_address):
        """Report to the agent for ever."""
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
                pass  # the agent is down: the next report finds it or not
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.01)
            if self.running and self.clock_ms > self.deadline_ms:
                for task in list(self.running):
                    self._end(task, "lapsed")

    async def handle(self, request):
        if request.headers.get(EXPECT_HEADER, self.name) != self.name:
            return Response(421)
        body = msgspec.json.decode(request.body)
        fence = body.get("fence_token", 0)
        if fence < self.fence:
            return self._answer(409, reason="fence")
        self.fence = fence
        if "deadline_ms" in body:
            limit = self.clock_ms + HOLD_MAX_MS
            self.deadline_ms = max(self.deadline_ms, min(body["deadline_ms"], limit))
        name = request.path.strip("/").replace("-", "_")
        return await getattr(self, name)(body)

    async def run_start(self, body):
        task, run = body["task"], body["run"]
        if task in self.running and self.running[task][0] == run:
            return self._answer(200)
        if run <= self.stopped.get(task, 0) or task in self.running:
            return self._answer(409, reason="old")
        if body["deadline_ms"] < self.clock_ms:
            return self._answer(409, reason="late")
        rows = self.starts.setdefault(task, [])
        for row in rows:
            if row[3] is None:
                self.violations.append(f"{task} runs twice: {row} and {run}")
        row = [self.name, run, time.monotonic(), None, ""]
        rows.append(row)
        words = body["spec"].split()
        how = "failed" if words[0] == "fail" else "done"
        loop = asyncio.get_running_loop()
        handle = loop.call_later(int(words[-1]) / 1000, self._end, task, how)
        self.running[task] = (run, body["spec"], time.monotonic(), handle, row)
        return self._answer(200)

    async def run_stop(self, body):
        task, run = body["task"], body["run"]
        self.stopped[task] = max(self.stopped.get(task, 0), run)
        if task in self.running and self.running[task][0] <= run:
            self._end(task, "stopped")
        return self._answer(200)

    async def hold(self, body):
        seen = body["last_seen"]
        self.ended = [end for end in self.ended if end[0] > seen]
        if not self.ended and body.get("wait_ms"):
            try:
                async with asyncio.timeout(body["wait_ms"] / 1000):
                    await self.changed.wait()
            except TimeoutError:
                pass
        running = []
        for task, (run, spec, begun, _, _) in self.running.items():
            share = (time.monotonic() - begun) * 1000 / int(spec.split()[-1])
            running.append([task, run, "", min(100, int(100 * share)), 0])
        return self._answer(
            200, running=running, ended=self.ended[:500], born=self.born
        )

    def _end(self, task, how):
        run, _, _, handle, row = self.running.pop(task)
        handle.cancel()
        row[3], row[4] = time.monotonic(), how
        self.stopped[task] = max(self.stopped.get(task, 0), run)
        self.last_number += 1
        self.ended.append([self.last_number, task, run, how, ""])
        self.changed.set()
        self.changed = asyncio.Event()

    def _answer(self, status, **fields):
        body = {"clock_ms": self.clock_ms, **fields}
        return Response(status, msgspec.json.encode(body))
