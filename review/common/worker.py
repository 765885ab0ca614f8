"""Stand-in for a worker of the platform, written from the pages on running tasks.

It guards its capacity, keeps the highest fence token, measures leases on its own clock
and lists ends until they are acknowledged. A task runs for the milliseconds in its
spec and ends as ``done``. The worker reports to its agent every 1.5 s.
"""

import asyncio
import contextlib
import time

import msgspec

from turmericknot.aio.client import create_http_client
from turmericknot.aio.server import Response, create_http_server
from turmericknot.core.exceptions import CallError

REPORT_INTERVAL_S = 1.5
REPORT_RETRY_S = 0.3  # after a report without an answer, and while it is down
MAX_LEASE_MS = 1000
LEASE_CHECK_S = 0.01
CUT_ANSWER_S = 60.0  # past the time-out of each call
MAX_LISTED_ENDS = 500
MEMORY_MB = 65536


class Run:
    """One run of a task on a worker."""

    def __init__(self, number, length_ms, cpu, row):
        self.number = number
        self.length_ms = length_ms
        self.cpu = cpu
        self.started_at = time.monotonic()
        self.timer = None
        self.row = row  # what the record of the site says of this run

    @property
    def percent(self):
        elapsed_ms = (time.monotonic() - self.started_at) * 1000
        return min(99, int(100 * elapsed_ms / self.length_ms))


class Worker:
    """A worker that listens on a socket; ``site`` keeps the record of all runs."""

    def __init__(self, site, number, cpu, labels):
        self.site = site
        self.number = number
        self.cpu = cpu
        self.labels = labels
        self.incarnation = 0
        self.address = ""
        self.reports_address = ""
        self.is_up = False
        self.is_cut = False  # nothing passes between the worker and its agent
        self._server = None
        self._reset()

    def _reset(self):
        """Forget everything, as a new process."""
        self.incarnation += 1
        self.id = f"i-{self.number}-{self.incarnation}"
        self.born = int(time.time() * 1000)
        self._clock_origin = time.monotonic()
        self._sequence = 0
        self._fence = 0
        self._deadline_ms = 0
        self._last_end = 0
        self._ends = []
        self._highest = {}  # task -> highest run that was stopped or has ended
        self.runs = {}  # task -> Run
        self._end_listed = asyncio.Event()

    @property
    def clock_ms(self):
        return int((time.monotonic() - self._clock_origin) * 1000)

    async def start(self):
        """Listen, and keep the address for later incarnations."""
        self._server = create_http_server(self._handle)
        await self._server.start(self.address or "127.0.0.1:0")
        host, port = self._server._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.is_up = True

    async def watch_lease(self):
        """End all runs when the lease has expired; runs until cancelled."""
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            if self.runs and self.clock_ms > self._deadline_ms:
                for task in list(self.runs):
                    self._end(task, "lapsed")

    async def send_reports(self):
        """Send reports to the agent until cancelled."""
        client = create_http_client(self.reports_address)
        while True:
            delay_s = REPORT_RETRY_S
            if self.is_up and not self.is_cut:
                target = f"/instances/{self.id}"
                with contextlib.suppress(CallError):
                    await client.request("PUT", target, self._report(), timeout_s=1.0)
                    delay_s = REPORT_INTERVAL_S
            await asyncio.sleep(delay_s)

    def _report(self):
        self._sequence += 1
        return msgspec.json.encode(
            {
                "service": self.site.service,
                "addr": self.address,
                "zone": "z0",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": MEMORY_MB, "gpu": 0},
                "labels": self.labels,
                "clock_ms": self.clock_ms,
                "seq": self._sequence,
                "born": self.born,
            }
        )

    def crash(self):
        """End the process: its runs end with it, and its connections are reset."""
        self.is_up = False
        self._server.stop()
        for task, run in self.runs.items():
            run.timer.cancel()
            self.site.run_ended(run.row, task, "lost with its worker")
        self.site.note(f"worker {self.id} crashes")
        self._reset()

    async def restart(self):
        """Start the next process of a crashed worker, under another id."""
        await self.start()
        self.site.note(f"worker {self.id} is up")

    def cut(self):
        """Cut the worker off from its agent; it runs on."""
        self.is_cut = True
        self.site.note(f"worker {self.id} is cut off")

    def crash_behind_cut(self):
        """End the process and start the next one, unseen by the agent."""
        for task, run in self.runs.items():
            run.timer.cancel()
            self.site.run_ended(run.row, task, "lost with its worker")
        self.site.note(f"worker {self.id} crashes behind the cut")
        self._reset()

    async def end_cut(self):
        """Let the next process, which knows no earlier connection, be reached."""
        self._server.stop()
        await self.start()
        self.is_cut = False
        self.site.note(f"the cut ends; worker {self.id} is up")

    async def _handle(self, request):
        if self.is_cut:
            await asyncio.sleep(CUT_ANSWER_S)
        if not self.is_up:
            return Response(503)
        if request.headers.get("x-turmericknot-expect-instance", self.id) != self.id:
            return Response(421)
        body = msgspec.json.decode(request.body)
        fence = body.get("fence_token", 0)
        if fence < self._fence:
            return self._answer(409, reason="fence")
        self._fence = fence
        if "deadline_ms" in body:
            latest = self.clock_ms + MAX_LEASE_MS
            self._deadline_ms = max(self._deadline_ms, min(body["deadline_ms"], latest))
        if request.path == "/run-start":
            return self._start(body)
        if request.path == "/run-stop":
            return self._stop(body)
        if request.path == "/hold":
            return await self._hold(body)
        return Response(404)

    def _answer(self, status, **fields):
        body = msgspec.json.encode({"clock_ms": self.clock_ms, **fields})
        return Response(status, body)

    def _start(self, body):
        task, number = body["task"], body["run"]
        current = self.runs.get(task)
        if current is not None and current.number == number:
            return self._answer(200)
        if number <= self._highest.get(task, 0) or current is not None:
            return self._answer(409, reason="old")
        if body["deadline_ms"] <= self.clock_ms:
            return self._answer(409, reason="late")
        cpu = self.site.step_of(task).get("cpu", 0)
        if sum(run.cpu for run in self.runs.values()) + cpu > self.cpu:
            return self._answer(409, reason="room")
        length_ms = int(body["spec"])
        run = Run(number, length_ms, cpu, self.site.run_started(self, body))
        self.runs[task] = run
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(length_ms / 1000, self._end, task, "done")
        return self._answer(200)

    def _stop(self, body):
        task, number = body["task"], body["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            self._end(task, "stopped")
        return self._answer(200)

    def _end(self, task, how):
        run = self.runs.pop(task)
        run.timer.cancel()
        self._highest[task] = max(self._highest.get(task, 0), run.number)
        self._last_end += 1
        self._ends.append([self._last_end, task, run.number, how, ""])
        self.site.run_ended(run.row, task, how)
        self._end_listed.set()
        self._end_listed = asyncio.Event()

    async def _hold(self, body):
        self._ends = [end for end in self._ends if end[0] > body["last_seen"]]
        if not self._ends and body.get("wait_ms"):
            try:
                async with asyncio.timeout(body["wait_ms"] / 1000):
                    await self._end_listed.wait()
            except TimeoutError:
                pass
        running = [
            [task, run.number, "", run.percent, run.cpu]
            for task, run in self.runs.items()
        ]
        ends = self._ends[:MAX_LISTED_ENDS]
        return self._answer(200, running=running, ended=ends, born=self.born)
