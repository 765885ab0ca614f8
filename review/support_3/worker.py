"""Stand-in for a worker of the platform, as the users' page on the protocol tells it.

The spec of a task holds words: ``ms=N`` is its run time, ``fail=N`` lets its first N
runs end as failed. ``late_share`` of the calls get no answer and are carried out 2 to
12 s later; ``lost_share`` are carried out and not answered.
"""

import asyncio
import json
import random
import time
from dataclasses import dataclass, field

from .web import Reply, Server, request

REPORT_S = 1.5
MAX_LEASE_MS = 1000
STOP_S = 0.01
EXPECT_HEADER = "x-turmericknot-expect-instance"


@dataclass(slots=True)
class RunRow:
    """One run of a task on one life of a worker; times are of ``time.monotonic``."""

    task: str
    run: int
    worker: str
    life: int
    spec: str
    started_at: float
    ended_at: float | None = None
    how: str = ""
    number: int = 0
    listed_at: float | None = None
    noted_at: float | None = None
    has_lapsed_before_note: bool = False


@dataclass(slots=True)
class Life:
    """What a worker holds from one start to the next crash."""

    number: int
    born: int
    started_at: float
    sequence: int = 0
    fence: int = 0
    lease_ms: int = 0
    has_lapsed: bool = True
    running: dict = field(default_factory=dict)  # task -> (RunRow, ms, timer, cpu)
    ended: list = field(default_factory=list)  # RunRow, not noted
    last_number: int = 0
    highest: dict = field(default_factory=dict)  # task -> highest run ended or stopped

    @property
    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * 1000)


class Worker:
    """A worker beside an agent; ``rows`` collects the runs of all workers."""

    def __init__(self, name, rows, cpu=16000, service="service", seed=1):
        self.name = name
        self.rows = rows
        self.cpu = cpu
        self.service = service
        self.random = random.Random(seed)
        self.state = "ready"
        self.remaining_ms = 0
        self.wall_offset_ms = 0  # by which the time of day of its machine is off
        self.keeps_id = True
        self.late_share = 0.0
        self.lost_share = 0.0
        self.labels = ["a", "r1-1"]
        self.acknowledged_states = []  # (time, state, born)
        self.started_late = []
        self.guards = True  # whether it rejects what does not fit
        self.over_capacity = []  # starts that brought it over its capacity
        self.life = None
        self.lives = 0
        self.address = ""
        self.agent_address = ""
        self.server = None
        self._tasks = []
        self._run_ended = asyncio.Event()

    @property
    def id(self):
        return self.name if self.keeps_id else f"{self.name}-{self.life.number}"

    @property
    def born(self):
        return self.life.born

    @property
    def up_since(self):
        return self.life.started_at

    async def start(self):
        """Start the first life; it reports once ``agent_address`` is known."""
        await self._start_life("127.0.0.1", 0)
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._report()),
            loop.create_task(self._watch_lease()),
        ]

    def stop(self):
        """End the worker for good."""
        for task in self._tasks:
            task.cancel()
        if self.life is not None:
            self.crash()

    async def _start_life(self, host, port):
        self.lives += 1
        born = int(time.time() * 1000) + self.wall_offset_ms
        self.life = Life(self.lives, born, time.monotonic())
        self.server = Server(self._handle)
        self.address = await self.server.start(host, port)

    def crash(self):
        """End the present life with all its runs, without a word."""
        life, self.life = self.life, None
        self.server.stop()
        for row, _, timer, _ in life.running.values():
            timer.cancel()
            row.ended_at, row.how = time.monotonic(), "crashed"

    async def restart(self):
        """Start the next life at the same address."""
        host, _, port = self.address.rpartition(":")
        await self._start_life(host, int(port))

    async def _report(self):
        while True:
            life = self.life
            if life is None or not self.agent_address:
                await asyncio.sleep(0.02)
                continue
            life.sequence += 1
            body = {
                "service": self.service,
                "addr": self.address,
                "zone": "z",
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0},
                "labels": self.labels,
                "clock_ms": life.clock_ms,
                "seq": life.sequence,
                "born": life.born,
            }
            if self.state == "draining":
                body["remaining_ms"] = self.remaining_ms
            state = self.state
            try:
                status, _ = await request(
                    self.agent_address,
                    "PUT",
                    f"/instances/{self.id}",
                    json.dumps(body).encode(),
                    timeout_s=1.0,
                )
                if status == 200:
                    row = (time.monotonic(), state, life.born)
                    self.acknowledged_states.append(row)
            except (OSError, EOFError, TimeoutError):
                pass
            sleep_until = time.monotonic() + REPORT_S
            while time.monotonic() < sleep_until and self.life is life:
                await asyncio.sleep(0.02)

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.005)
            life = self.life
            if life is None or life.has_lapsed or life.clock_ms <= life.lease_ms:
                continue
            life.has_lapsed = True
            for row in life.ended:
                row.has_lapsed_before_note = True
            for task in list(life.running):
                self._end_run(life, task, "lapsed")

    async def _handle(self, call):
        life = self.life
        if life is None:
            return None
        body = json.loads(call.body)
        luck = self.random.random()
        if luck < self.late_share:
            asyncio.get_running_loop().create_task(self._carry_out(call, body))
            return None
        reply = await self._execute(life, call, body)
        return None if luck < self.late_share + self.lost_share else reply

    async def _carry_out(self, call, body):
        await asyncio.sleep(self.random.uniform(2.0, 12.0))
        if self.life is not None:
            await self._execute(self.life, call, body, is_late=True)

    async def _execute(self, life, call, body, is_late=False):
        expected = call.headers.get(EXPECT_HEADER)
        if expected is not None and expected != self.id:
            return _reply(life, 421)
        if body.get("fence_token", 0) < life.fence:
            return _reply(life, 409, reason="fence")
        life.fence = body.get("fence_token", 0)
        if call.path == "/run-start":
            return self._run_start(life, body, is_late)
        if call.path == "/run-stop":
            return self._run_stop(life, body)
        if call.path == "/hold":
            return await self._hold(life, body)
        return _reply(life, 400)

    def _extend_lease(self, life, body):
        if "deadline_ms" not in body:
            return
        deadline_ms = min(body["deadline_ms"], life.clock_ms + MAX_LEASE_MS)
        if deadline_ms > life.clock_ms:
            life.lease_ms = max(life.lease_ms, deadline_ms)
            life.has_lapsed = False

    def _run_start(self, life, body, is_late):
        task, run = body["task"], body["run"]
        known = life.running.get(task)
        if known is not None and known[0].run == run:
            self._extend_lease(life, body)
            return _reply(life, 200)
        if known is not None or run <= life.highest.get(task, 0):
            self._extend_lease(life, body)
            return _reply(life, 409, reason="old")
        if body["deadline_ms"] <= life.clock_ms:
            return _reply(life, 409, reason="late")
        words = dict(word.split("=") for word in body["spec"].split())
        cpu = int(words.get("cpu", 1000))
        if sum(row[3] for row in life.running.values()) + cpu > self.cpu:
            if self.guards:
                self._extend_lease(life, body)
                return _reply(life, 409, reason="room")
            self.over_capacity.append((time.monotonic(), task, run))
        self._extend_lease(life, body)
        row = RunRow(task, run, self.name, life.number, body["spec"], time.monotonic())
        self.rows.append(row)
        if is_late:
            self.started_late.append(row)
        run_ms = int(words["ms"])
        failing = int(words.get("fail", 0))
        earlier = sum(other.task == task for other in self.rows) - 1
        how = "failed" if earlier < failing else "done"
        timer = asyncio.get_running_loop().call_later(
            run_ms / 1000, self._end_run, life, task, how
        )
        life.running[task] = (row, run_ms, timer, cpu)
        return _reply(life, 200)

    def _run_stop(self, life, body):
        task, run = body["task"], body["run"]
        life.highest[task] = max(life.highest.get(task, 0), run)
        known = life.running.get(task)
        if known is not None and known[0].run <= run:
            asyncio.get_running_loop().call_later(
                STOP_S, self._stop_run, life, task, known[0]
            )
        return _reply(life, 200)

    def _stop_run(self, life, task, row):
        known = life.running.get(task)
        if known is not None and known[0] is row:
            self._end_run(life, task, "stopped")

    async def _hold(self, life, body):
        self._extend_lease(life, body)
        now = time.monotonic()
        for row in life.ended:
            if row.number <= body.get("last_seen", 0):
                row.noted_at = now
        life.ended = [row for row in life.ended if row.noted_at is None]
        if not life.ended and body.get("wait_ms"):
            try:
                async with asyncio.timeout(body["wait_ms"] / 1000):
                    await self._run_ended.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        running = []
        for task, (row, run_ms, _, cpu) in life.running.items():
            percent = min(100, int(100 * (now - row.started_at) * 1000 / run_ms))
            running.append([task, row.run, "", percent, cpu])
        ended = []
        for row in life.ended[:500]:
            row.listed_at = row.listed_at or now
            ended.append([row.number, row.task, row.run, row.how, ""])
        return _reply(life, 200, running=running, ended=ended, born=life.born)

    def _end_run(self, life, task, how):
        row, _, timer, _ = life.running.pop(task)
        timer.cancel()
        life.last_number += 1
        row.ended_at, row.how, row.number = time.monotonic(), how, life.last_number
        row.has_lapsed_before_note = how == "lapsed"
        life.highest[task] = max(life.highest.get(task, 0), row.run)
        life.ended.append(row)
        event, self._run_ended = self._run_ended, asyncio.Event()
        event.set()


def _reply(life, status, **fields):
    body = json.dumps({"clock_ms": life.clock_ms, **fields}).encode()
    return Reply(status, body, {"Content-Type": "application/json"})
