"""Stand-in for a worker of the platform, with a lease, a fence and lists of runs.

The spec of a task is ``MS CPU``: how long it works, in milliseconds, and what it takes
of the worker's processors, in thousandths of a core.
"""

import asyncio
import random
import time

from .web import ListeningSocket, NoAnswer, WebServer, call

LEASE_MAX_MS = 1000
STOP_S = 0.02
MAX_ENDS = 500
LEASE_CHECK_S = 0.01
MUTE_S = 5.0  # callers give up before
CUT_S = 30.0  # likewise
HEARTBEAT_S = 1.5
DRAIN_S = 2.0
HEARTBEAT_TIMEOUT_S = 1.0


class Worker:
    """One worker beside an agent; ``log(text)`` writes to the record of the case.

    ``starts`` is shared by all workers: rows of [task, run, worker, start, end, how,
    noted], the times in seconds of ``time.monotonic``. ``noted`` is when ``last_seen``
    reached the end, if the lease has not lapsed between the two.
    """

    def __init__(self, name, starts, log, cpu=16000, labels=("a", "r1-1"), guards=True):
        self.base_name = name
        self.cpu = cpu
        self.labels = list(labels)
        self.guards = guards
        self.starts = starts
        self.log = log
        self.lives = 0
        self.is_up = False
        self.state = "ready"
        self.keeps_id = False  # whether later processes start under the same id
        self.failed_share = 0.0  # of the runs that end ``failed`` after their work
        self.rng = random.Random(name)
        self.drained_at = None  # when its ``draining`` was acknowledged
        self.is_mute = False  # whether it carries out calls without an answer
        self.failing_orders = set()  # paths of calls that fail, with nothing done
        self.failed_calls = 0
        self.late_orders = set()  # paths of calls that get no answer, done late
        self.late_s = 12.0
        self.drain_starts = 0  # starts too late after ``draining`` was acknowledged
        self.tasks_at_crash = []  # at work when it last crashed behind a cut
        self.overfull_starts = 0  # starts beyond the capacity, if it does not guard it
        self.calls = {}  # path -> number
        self.late_calls = {}  # path -> number
        self.address = ""
        self.agent_address = ""
        self._tasks = []
        self._server = None

    async def start(self):
        """Start a process of the worker, which holds and knows nothing."""
        self.lives += 1
        if self.lives == 1 or not self.keeps_id:
            self.id = f"{self.base_name}-{self.lives}"
        self.born = int(time.time() * 1000)
        self._clock_origin = time.monotonic()
        self._sequence = 0
        self._fence = 0
        self._deadline_ms = 0
        self._running = {}  # task -> [run, spec ms, start time, timer, row]
        self._ends = []  # [number, task, run, how, saved]
        self._end_rows = {}  # number -> row of an end that the agent has not noted
        self._last_end = 0
        self._closed_runs = {}  # task -> highest run that ended or was stopped
        self._run_ended = asyncio.Event()
        self._heartbeat_due = asyncio.Event()
        self.drained_at = None
        self.state = "ready"
        self.is_cut = False
        self._listener = ListeningSocket()
        self._listener.bind(self.address or "127.0.0.1:0")
        self._server = WebServer(self._handle)
        await self._server.start_on(self._listener)
        self.address = self._server.address
        self.is_up = True
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._watch_lease())]
        if self.agent_address:
            self._tasks.append(loop.create_task(self._send_heartbeats()))

    def follow(self, agent_address):
        """Begin to report to the agent on the machine."""
        self.agent_address = agent_address
        loop = asyncio.get_running_loop()
        self._tasks.append(loop.create_task(self._send_heartbeats()))

    def crash(self):
        """End the process with all that runs on it; it says nothing."""
        self._server.stop()
        self._listener.close()
        self._end_process()

    def _end_process(self):
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        for task in list(self._running):
            self._end(task, "crashed")

    async def cut(self, seconds, crash_after_s):
        """Be cut off for some time, crash behind the cut, and start again at its end.

        The worker runs on until its lease ends. Nothing that it is sent arrives, and
        connections to it are neither accepted nor refused.
        """
        self.log(f"{self.id} is cut off with {len(self._running)} tasks")
        self.is_cut = True
        self._server.stop_accepting()
        await self._listener.block()
        await asyncio.sleep(crash_after_s)
        self.log(f"{self.id} crashes with {len(self._running)} tasks")
        self.tasks_at_crash = self.running
        self._end_process()
        await asyncio.sleep(seconds - crash_after_s)
        self._server.stop()
        self._listener.close()
        await self.start()
        self.log(f"{self.id} is started")

    @property
    def running(self):
        """Return the names of the tasks that are at work."""
        return list(self._running)

    @property
    def clock_ms(self):
        return int((time.monotonic() - self._clock_origin) * 1000)

    async def _send_heartbeats(self):
        while True:
            self._sequence += 1
            body = {
                "service": "service",
                "addr": self.address,
                "zone": "zone-a",
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0},
                "labels": self.labels,
                "clock_ms": self.clock_ms,
                "seq": self._sequence,
                "born": self.born,
            }
            if self.state == "draining":
                left_s = self._leaves_at - time.monotonic()
                body["remaining_ms"] = max(0, int(left_s * 1000))
            try:
                if self.is_cut:
                    raise ConnectionResetError("cut off")
                await call(
                    self.agent_address,
                    "PUT",
                    f"/instances/{self.id}",
                    body,
                    timeout_s=HEARTBEAT_TIMEOUT_S,
                )
                if body["state"] == "draining" and self.drained_at is None:
                    self.drained_at = time.monotonic()
                    self.log(f"{self.id}: draining is acknowledged")
            except (OSError, TimeoutError):
                pass
            self._heartbeat_due.clear()
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    await self._heartbeat_due.wait()
            except TimeoutError:
                pass

    async def leave(self, notice_s):
        """Report ``draining``, serve on for some time, then leave and end."""
        self.state = "draining"
        self._leaves_at = time.monotonic() + notice_s
        self._heartbeat_due.set()
        await asyncio.sleep(notice_s)
        if not self.is_up:
            return
        self.log(f"{self.id} leaves")
        try:
            path = f"/instances/{self.id}"
            await call(self.agent_address, "DELETE", path, timeout_s=1.0)
        except (OSError, TimeoutError):
            pass
        self.crash()

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            if self.clock_ms > self._deadline_ms:
                for task in list(self._running):
                    self._end(task, "lapsed")
                # Ends that are noted after a lapse stand for nothing.
                self._end_rows.clear()

    async def _handle(self, request):
        path = request.path
        if self.is_cut or not self.is_up:
            await asyncio.sleep(CUT_S)
            raise NoAnswer
        self.calls[path] = self.calls.get(path, 0) + 1
        if path in self.failing_orders:
            self.failed_calls += 1
            self.log(f"{self.id} fails {path} {request.body.decode()}")
            return 503, {}
        if path in self.late_orders:
            self.late_calls[path] = self.late_calls.get(path, 0) + 1
            self.log(f"{self.id} leaves {path} {request.body.decode()} unanswered")
            asyncio.get_running_loop().call_later(
                self.late_s, self._do_late, self.lives, request
            )
            await asyncio.sleep(self.late_s)
            raise NoAnswer
        if request.headers.get("x-turmericknot-expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms}
        answer = await self._execute(request)
        if self.is_mute:
            await asyncio.sleep(MUTE_S)
            raise NoAnswer
        return answer

    def _do_late(self, life, request):
        if life == self.lives and self.is_up:
            self.log(f"{self.id} carries out {request.path} late")
            asyncio.get_running_loop().create_task(self._execute(request))

    async def _execute(self, request):
        body = request.json()
        fence = body.get("fence_token", 0)
        if fence < self._fence:
            return 409, {"clock_ms": self.clock_ms, "reason": "fence"}
        self._fence = fence
        if request.path == "/hold":
            self._extend_lease(body)
            return await self._hold(body)
        if request.path == "/run-start":
            return self._run_start(body)
        if request.path == "/run-stop":
            return await self._run_stop(body)
        return 404, {}

    def _extend_lease(self, body):
        if "deadline_ms" in body:
            latest_ms = self.clock_ms + LEASE_MAX_MS
            self._deadline_ms = max(
                self._deadline_ms, min(body["deadline_ms"], latest_ms)
            )

    def _run_start(self, body):
        task, run = body["task"], body["run"]
        if task in self._running and self._running[task][0] == run:
            return 200, {"clock_ms": self.clock_ms}
        if body["deadline_ms"] <= self.clock_ms:
            return self._refuse("late")
        if task in self._running or run <= self._closed_runs.get(task, 0):
            self._extend_lease(body)
            return self._refuse("old")
        work_ms, cpu = (int(word) for word in body["spec"].split())
        used = cpu + sum(rest[-1] for rest in self._running.values())
        if used > self.cpu:
            if self.guards:
                self._extend_lease(body)
                return self._refuse("room")
            self.log(f"{self.id} is over its capacity")
            self.overfull_starts += 1
        self._extend_lease(body)
        work_s = work_ms / 1000
        row = [task, run, self.id, time.monotonic(), None, "", None]
        self.starts.append(row)
        if self.drained_at and row[3] - self.drained_at > DRAIN_S:
            self.log(f"{self.id} is draining and starts a task")
            self.drain_starts += 1
        self.log(f"{self.id} starts {task} run {run}")
        how = "failed" if self.rng.random() < self.failed_share else "done"
        timer = asyncio.get_running_loop().call_later(work_s, self._end, task, how)
        self._running[task] = [run, work_s, time.monotonic(), timer, row, cpu]
        return 200, {"clock_ms": self.clock_ms}

    def _refuse(self, reason):
        return 409, {"clock_ms": self.clock_ms, "reason": reason}

    async def _run_stop(self, body):
        task, run = body["task"], body["run"]
        self._closed_runs[task] = max(self._closed_runs.get(task, 0), run)
        if task in self._running and self._running[task][0] <= run:
            asyncio.get_running_loop().call_later(STOP_S, self._end, task, "stopped")
        return 200, {"clock_ms": self.clock_ms}

    async def _hold(self, body):
        self._ends = [end for end in self._ends if end[0] > body["last_seen"]]
        for number in [n for n in self._end_rows if n <= body["last_seen"]]:
            self._end_rows.pop(number)[6] = time.monotonic()
        if not self._ends and body.get("wait_ms"):
            try:
                async with asyncio.timeout(min(body["wait_ms"], 2000) / 1000):
                    await self._run_ended.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [
            [task, run, "", min(99, int(100 * (now - started_at) / work_s)), 1000]
            for task, (run, work_s, started_at, *_) in self._running.items()
        ]
        return 200, {
            "clock_ms": self.clock_ms,
            "running": running,
            "ended": self._ends[:MAX_ENDS],
            "born": self.born,
        }

    def _end(self, task, how):
        if task not in self._running:
            return
        run, _, _, timer, row, _ = self._running.pop(task)
        timer.cancel()
        row[4], row[5] = time.monotonic(), how
        self.log(f"{self.id} ends {task} run {run}: {how}")
        self._closed_runs[task] = max(self._closed_runs.get(task, 0), run)
        self._last_end += 1
        self._ends.append([self._last_end, task, run, how, ""])
        self._end_rows[self._last_end] = row
        self._run_ended.set()
        self._run_ended = asyncio.Event()
