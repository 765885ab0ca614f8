"""A small site: the project's entries and agents as processes, stand-ins for the rest.

The programs are started with the commands of the deploy file. The store is the
project's own stand-in, the workers are those of ``worker.py``; both run in the process
of the script, and all addresses are loopback addresses. Figures are those of the
small site files: 32 cores a worker, leases of 1 s, 6 s of grace.
"""

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

import msgspec

from review.common.store import MachineStore
from review.common.worker import Worker

ROOT = Path(__file__).resolve().parents[2]
HOST = "jobs.example"
CONTRACTS = "base drain config cost recover sched platform advice upkeep sharing"
GRACE_S = 6
START_TIMEOUT_S = 30.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be brought to the point where the rule applies."""


class ConnectionEnded(Exception):
    """The connection ended without a complete answer."""


class Site:
    """Processes and stand-ins of a site, and the record of what was seen."""

    def __init__(self, directory, record_path):
        self.directory = Path(directory)
        self.service = "stock"
        self.store = MachineStore()
        self.workers = []
        self.settings = {}
        self.processes = {}
        self.runs = []  # rows: [task, run, worker id, start, end, how]
        self.jobs = {}  # id -> body
        self._tasks = []
        self._started_at = time.monotonic()
        self._record = open(record_path, "w")
        self._commands = _deploy_commands()

    @property
    def now(self):
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._started_at

    def note(self, text):
        """Write a line to the record."""
        self._record.write(f"{self.now:8.3f}  {text}\n")
        self._record.flush()

    # What the workers see.

    def step_of(self, task):
        """Return the step of a task as it was submitted."""
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def run_started(self, worker, body):
        row = [body["task"], body["run"], worker.id, self.now, None, ""]
        self.runs.append(row)
        self.note(f"run    {body['task']} run {body['run']} starts on {worker.id}")
        return row

    def run_ended(self, row, task, how):
        row[4], row[5] = self.now, how
        self.note(f"run    {task} run {row[1]} on {row[2]} ends: {how}")

    def runs_of(self, job):
        """Return the rows of the runs of a job."""
        return [row for row in self.runs if row[0].startswith(job + ".")]

    # Configuration and processes.

    def publish(self, queues, version=1):
        """Write the operator's configuration; ``queues`` maps prefixes to fields."""
        routes = [
            {
                "name": prefix.strip("/"),
                "host": HOST,
                "prefix": prefix,
                "service": self.service,
                "slo_ms": 60,
                "attempts": 3,
                "stretch": 1.6,
                **fields,
            }
            for prefix, fields in queues.items()
        ]
        document = {
            "version": version,
            "routes": routes,
            "services": [{"name": self.service, "enforces_capacity": True}],
            "limits": {},
        }
        self.store.put("keyed.op", "config", msgspec.json.encode(document))

    def start(self, name):
        """Start or restart a process with the command of the deploy file."""
        role = name.split("-")[0]
        path = self.directory / f"{name}.toml"
        path.write_text(_to_toml(self.settings[name]))
        with open(self.directory / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                self._commands[role],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "TURMERICKNOT_CONFIG": str(path),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self, name):
        """Send SIGKILL to a process and wait for its end."""
        self.note(f"{name} gets SIGKILL")
        self.processes[name].kill()
        self.processes[name].wait()

    def terminate(self, name):
        """Send SIGTERM to a process."""
        self.note(f"{name} gets SIGTERM")
        self.processes[name].send_signal(signal.SIGTERM)

    async def wait_for_exit(self, name):
        """Wait for the end of a stopped process; kill it after the grace time."""
        try:
            await asyncio.to_thread(self.processes[name].wait, GRACE_S)
        except subprocess.TimeoutExpired:
            self.kill(name)
        self.note(f"{name} has ended with {self.processes[name].returncode}")

    async def wait_until_ready(self, *names):
        """Wait until these entries answer the readiness probe with 200."""
        deadline = time.monotonic() + START_TIMEOUT_S
        for name in names:
            while not await self._is_ready(name):
                if time.monotonic() > deadline:
                    raise CouldNotRun(f"{name} is not ready")
                await asyncio.sleep(0.1)

    async def _is_ready(self, name):
        with contextlib.suppress(OSError, ConnectionEnded, TimeoutError):
            address = self.settings[name]["ready_address"]
            return (await call(address, "GET", "/readyz", timeout_s=1.0))[0] == 200
        return False

    # What clients do.

    async def request(
        self, entry, method, path, body=None, deadline_ms=15_000, is_noted=True
    ):
        """Send a client's request; return (status, body).

        Raise ConnectionEnded, OSError or TimeoutError without a complete answer.
        """
        if is_noted:
            self.note(f"client {method} {path} -> {entry}")
        if body is not None:
            self.jobs[path.rsplit("/", 1)[-1]] = body
        headers = f"X-Turmericknot-Deadline-Ms: {deadline_ms}\r\n"
        address = self.settings[entry]["jobs_address"]
        try:
            answer = await call(
                address, method, path, body, headers, deadline_ms / 1000
            )
        except (ConnectionEnded, OSError, TimeoutError) as error:
            if is_noted:
                self.note(f"client {method} {path} <- no answer: {error!r}")
            raise
        if is_noted:
            self.note(f"client {method} {path} <- {answer[0]} {answer[1]}")
        return answer

    async def submit(self, entry, path, body):
        """Submit a durable job until it is accepted, as clients do after no answer."""
        for _ in range(8):
            status = None
            with contextlib.suppress(ConnectionEnded, OSError, TimeoutError):
                status, _ = await self.request(entry, "POST", path, body)
            if status == 200:
                return
            if status not in (None, 502, 504):
                raise CouldNotRun(f"{path} was answered {status}")
            await asyncio.sleep(1.3)
        raise CouldNotRun(f"{path} was not accepted")

    async def state(self, entry, path):
        """Return the state that an entry shows for a job, or its status."""
        status, body = await self.request(entry, "GET", path)
        return body["state"] if status == 200 else status


async def call(address, method, path, body=None, headers="", timeout_s=5.0):
    """Make one HTTP call on a connection of its own; return (status, decoded body)."""
    host, port = address.rsplit(":", 1)
    data = json.dumps(body).encode() if body is not None else b""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{headers}"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
            )
            writer.write(head.encode() + data)
            return await _read_answer(reader)
        finally:
            writer.close()


async def _read_answer(reader):
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
        data = await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise ConnectionEnded(str(error)) from error
    return int(head[0].split()[1]), json.loads(data) if data else None


def job(count, cpu, run_ms, **fields):
    """Return the body of a job with one step; its tasks run for ``run_ms``."""
    best_effort = fields.pop("best_effort", False)
    step = {"count": count, "cpu": cpu, "mem_mb": 64, "est_runtime_ms": run_ms}
    body = {"spec": str(run_ms), "steps": [{**step, **fields}]}
    return {**body, "best_effort": True} if best_effort else body


@contextlib.asynccontextmanager
async def running_site(record_path, queues, entries, workers, cpu=32000):
    """Run a site for the duration of the block, then end all its processes.

    ``workers`` holds the labels of each worker.
    """
    with tempfile.TemporaryDirectory() as directory:
        site = Site(directory, record_path)
        await site.store.start()
        site.publish(queues)
        loop = asyncio.get_running_loop()
        try:
            for number in range(entries):
                name = f"entry-{number}"
                site.settings[name] = await _settings(site, name, ("jobs", "ready"))
                site.start(name)
            for number, labels in enumerate(workers):
                name = f"agent-{number}"
                worker = Worker(site, number, cpu, labels)
                await worker.start()
                site.workers.append(worker)
                settings = await _settings(site, name, ("reports",))
                settings["worker_address"] = worker.address
                settings["service"] = site.service
                site.settings[name] = settings
                worker.reports_address = settings["reports_address"]
                site.start(name)
                for coroutine in (worker.watch_lease(), worker.send_reports()):
                    site._tasks.append(loop.create_task(coroutine))
            names = [f"entry-{number}" for number in range(entries)]
            await site.wait_until_ready(*names)
            await _wait_for_agents(site, names)
            yield site
        finally:
            for task in site._tasks:
                task.cancel()
            for process in site.processes.values():
                process.kill()
                process.wait()
            site.store.stop()


async def _wait_for_agents(site, entries):
    """Wait until every entry can use every worker."""
    deadline = time.monotonic() + START_TIMEOUT_S
    for name in entries:
        address = f"127.0.0.1:{site.settings[name]['metrics_port']}"
        while await _usable_agents(address) < len(site.workers):
            if time.monotonic() > deadline:
                raise CouldNotRun(f"{name} does not have all workers")
            await asyncio.sleep(0.2)


async def _usable_agents(address):
    host, port = address.split(":")
    with contextlib.suppress(OSError, TimeoutError, ValueError):
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /metrics HTTP/1.0\r\nHost: metrics\r\n\r\n")
            text = (await reader.read(200_000)).decode()
            while not text.endswith("\n"):
                text += (await reader.read(200_000)).decode()
            writer.close()
        for line in text.splitlines():
            if "agents_usable" in line and not line.startswith("#"):
                return float(line.split()[-1])
    return 0


async def _settings(site, name, listeners):
    ports = _free_ports(2 + len(listeners))
    settings = {
        "node": name,
        "address": "127.0.0.1",
        "failure_domain": f"z{int(name[-1]) % 3}",
        "link_port": ports[0],
        "metrics_port": ports[1],
        "worker_orders": "rpc",
        "heartbeat_ms": 1500,
        "contracts": CONTRACTS.split(),
    }
    for listener, port in zip(listeners, ports[2:], strict=True):
        settings[f"{listener}_address"] = f"127.0.0.1:{port}"
    settings["store"] = {
        "address": await site.store.open_address(name),
        "partitions": site.store.partitions,
        "shortest_ttl_ms": 1000,
    }
    settings["bounds"] = {
        "lease_ms": 1000,
        "stop_grace_s": GRACE_S,
        "keep_s": 120,
        "far_factor": 1.5,
    }
    return settings


_given_ports = set()


def _free_ports(count):
    """Return ports that nobody listens on and that were not given before.

    They are below the range from which the system takes ports of connections.
    """
    ports = []
    while len(ports) < count:
        port = random.randrange(10_000, 32_000)
        if port in _given_ports:
            continue
        with contextlib.closing(socket.socket()) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given_ports.add(port)
        ports.append(port)
    return ports


def _to_toml(settings):
    lines, tables = [], []
    for name, value in settings.items():
        if isinstance(value, dict):
            tables += [f"[{name}]", _to_toml(value)]
        else:
            lines.append(f"{name} = {json.dumps(value)}")
    return "\n".join([*lines, *tables])


def _deploy_commands():
    """Return the command of each role in the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return {name: shlex.split(role["run"]) for name, role in deploy["roles"].items()}


def is_trouble_on():
    """Return whether the script plays the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(play, time_limit_s=110):
    """Run a case and exit: ``play()`` returns the rule's violations as texts."""

    async def limited():
        async with asyncio.timeout(time_limit_s):
            return await play()

    # The processes of the site are ended also when the script is.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(COULD_NOT_RUN))
    try:
        violations = asyncio.run(limited())
    except Exception as error:
        # Only a violation exits with 1; an error of the script says nothing of a rule.
        traceback.print_exc()
        print(f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    for text in violations:
        print(f"broken: {text}")
    if not violations:
        print("held")
    sys.exit(BROKEN if violations else HELD)
