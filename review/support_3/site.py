"""A small site: the project's entries and agents as processes, the rest as stand-ins.

The programs are started with the commands of the deploy file and settings as its
template renders them. Clients submit jobs as the users' page on the protocol tells it.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

from .store import Store
from .web import request
from .worker import Worker

ROOT = Path(__file__).resolve().parents[2]
HOST = "jobs.example"
PREFIX = "/q/"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 8.0
RESTART_DELAY_S = 0.2
RESEND_S = 1.3
PORTS = (10_000, 30_000)
# Contracts of a small site, and of one whose workers' health is watched as well.
BASE_CONTRACTS = (
    "base drain config cost recover sched platform advice upkeep sharing".split()
)
HEALTH_CONTRACTS = [*BASE_CONTRACTS[:5], "health", *BASE_CONTRACTS[5:]]

SETTINGS = """\
node = "{node}"
address = "127.0.0.1"
failure_domain = "z"
link_port = {link_port}
metrics_port = {metrics_port}
worker_orders = "rpc"
heartbeat_ms = 1500
contracts = {contracts}
{listeners}
[store]
address = "{store}"
partitions = 24
shortest_ttl_ms = 1000

[bounds]
lease_ms = 1000
stop_grace_s = 6
keep_s = 120
far_factor = 1.5
"""


class Site:
    """The processes of a site by name, its stand-ins and what was seen."""

    def __init__(self, folder, contracts):
        self.folder = Path(folder)
        self.contracts = contracts
        self.started_at = time.monotonic()
        self.events = []  # (time, text)
        self.rows = []  # RunRow of all workers
        self.store = Store(log=self.note)
        self.workers = {}
        self.addresses = {}  # entry -> address for clients
        self.ready_addresses = {}
        self.processes = {}
        self.own_ends = []  # (time, process, exit code) that no signal caused
        self.restarts = True
        self.expected_ends = set()
        self._settings = {}
        self._watchers = []

    def note(self, event, **fields):
        """Record what happened."""
        text = " ".join([event, *(f"{key}={value}" for key, value in fields.items())])
        self.events.append((time.monotonic(), text))

    def since_start(self, moment):
        return f"{moment - self.started_at:8.3f}"

    def publish(self, version=1, attempts=3, guards=True, queues=("q1",)):
        """Write a configuration as the operator does; each queue has its prefix."""
        routes = [
            {
                "name": queue,
                "host": HOST,
                "prefix": PREFIX if queue == "q1" else f"/{queue}/",
                "service": "service",
                "prio": 0,
                "attempts": attempts,
                "stretch": 1.6,
                "slo_ms": 60,
            }
            for queue in queues
        ]
        body = {
            "version": version,
            "routes": routes,
            "services": [{"name": "service", "enforces_capacity": guards}],
            "limits": {},
        }
        self.store.put("keyed.op", "config", json.dumps(body).encode())

    def start_process(self, name):
        """Start an entry or an agent."""
        role = name.split("-")[0]
        path = self.folder / f"{name}.toml"
        path.write_text(self._settings[name])
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["TURMERICKNOT_CONFIG"] = str(path)
        with open(self.folder / f"{name}.log", "a") as log:
            self.processes[name] = subprocess.Popen(
                ["python3", "-S", "-m", "turmericknot.node", role],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.note("process.started", name=name, pid=self.processes[name].pid)

    def signal(self, name, number):
        """Send a signal to a process of the site."""
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.expected_ends.add(self.processes[name].pid)
        with contextlib.suppress(ProcessLookupError):
            self.processes[name].send_signal(number)
        self.note("signal", name=name, number=signal.Signals(number).name)

    async def _keep_running(self, name):
        """Start a process again a short time after its end, as the platform does."""
        while True:
            await asyncio.sleep(0.02)
            process = self.processes[name]
            if process.poll() is None or not self.restarts:
                continue
            if process.pid not in self.expected_ends:
                self.own_ends.append((time.monotonic(), name, process.returncode))
            self.note("process.ended", name=name, code=process.returncode)
            await asyncio.sleep(RESTART_DELAY_S)
            if self.restarts:
                self.start_process(name)

    async def is_ready(self, entry):
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            status, _ = await request(self.ready_addresses[entry], "GET", "/readyz")
            return status == 200
        return False

    async def call(self, entry, method, job, body=None, deadline_ms=1500, prefix=None):
        """Send a client's request; return (status, decoded body), status 0: none."""
        data = b"" if body is None else json.dumps(body).encode()
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "X-Turmericknot-Deadline-Ms": str(deadline_ms),
        }
        try:
            status, reply = await request(
                self.addresses[entry],
                method,
                (prefix or PREFIX) + job,
                data,
                headers,
                deadline_ms / 1000,
            )
        except (OSError, EOFError, TimeoutError):
            return 0, None
        return status, json.loads(reply) if reply[:1] in (b"{", b"[") else None

    async def submit(self, job, body, entries=None, tries=12, deadline_ms=1500):
        """Submit a job until it is accepted or refused; return the last status."""
        names = list(entries or self.addresses)
        status = 0
        for attempt in range(tries):
            entry = names[attempt % len(names)]
            status, _ = await self.call(entry, "POST", job, body, deadline_ms)
            self.note("submit", job=job, entry=entry, status=status)
            if status not in (0, 502, 504):
                return status
            await asyncio.sleep(RESEND_S)
        return status

    async def state(self, job, tries=8):
        """Ask for the state of a job at the entries in turn; return (status, state)."""
        names = list(self.addresses)
        status = 0
        for attempt in range(tries):
            entry = names[attempt % len(names)]
            status, reply = await self.call(entry, "GET", job)
            if status in (200, 410):
                return status, (reply or {}).get("state", "")
            await asyncio.sleep(0.3)
        return status, ""

    def write_record(self, path, lines):
        """Write what was sent, answered and run."""
        rows = [(moment, text) for moment, text in self.events]
        for row in self.rows:
            what = f"run {row.task} run={row.run} worker={row.worker}.{row.life}"
            rows.append((row.started_at, f"{what} started"))
            if row.ended_at is not None:
                rows.append((row.ended_at, f"{what} ended {row.how}"))
            if row.noted_at is not None:
                rows.append((row.noted_at, f"{what} end taken note of"))
        text = [f"{self.since_start(moment)} {line}" for moment, line in sorted(rows)]
        Path(path).write_text("\n".join([*lines, "", *text]) + "\n")


def job_body(count=4, run_ms=100, cpu=1000, best_effort=False, fail=0, **fields):
    """Return the body of a job with one step."""
    spec = f"ms={run_ms} cpu={cpu}" + (f" fail={fail}" if fail else "")
    step = {"count": count, "cpu": cpu, "mem_mb": 64, "est_runtime_ms": run_ms}
    body = {"spec": spec, "steps": [step | fields]}
    return body | {"best_effort": True} if best_effort else body


def job_id(number):
    """Return the id of a job."""
    return f"{number:016x}"


def _free_ports(count, used):
    """Return free ports below those that the system gives to clients."""
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        if port in used:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        used.add(port)
        ports.append(port)
    return ports


@contextlib.asynccontextmanager
async def running_site(
    entries=2, agents=4, cpu=8000, contracts=BASE_CONTRACTS, folder=None, **publish
):
    """Run a site for the duration of the block, then end all its processes."""
    with tempfile.TemporaryDirectory() as temporary:
        site = Site(folder or temporary, contracts)
        site.publish(**publish)
        loop = asyncio.get_running_loop()
        used = set()
        try:
            for number in range(entries):
                link, metrics, jobs, ready = _free_ports(4, used)
                name = f"entry-{number}"
                site.addresses[name] = f"127.0.0.1:{jobs}"
                site.ready_addresses[name] = f"127.0.0.1:{ready}"
                listeners = (
                    f'jobs_address = "127.0.0.1:{jobs}"\n'
                    f'ready_address = "127.0.0.1:{ready}"'
                )
                await _add_process(site, name, link, metrics, listeners)
            for number in range(agents):
                link, metrics, reports = _free_ports(3, used)
                name = f"agent-{number}"
                worker = Worker(f"i-{number}", site.rows, cpu, seed=number)
                await worker.start()
                worker.agent_address = f"127.0.0.1:{reports}"
                site.workers[name] = worker
                listeners = (
                    f'reports_address = "127.0.0.1:{reports}"\n'
                    f'worker_address = "{worker.address}"\nservice = "service"'
                )
                await _add_process(site, name, link, metrics, listeners)
            site._watchers = [
                loop.create_task(site._keep_running(name)) for name in site.processes
            ]
            deadline = time.monotonic() + START_TIMEOUT_S
            while not all([await site.is_ready(name) for name in site.addresses]):
                if time.monotonic() > deadline:
                    raise TimeoutError("the entries are not ready")
                await asyncio.sleep(0.1)
            yield site
        finally:
            site.restarts = False
            for watcher in site._watchers:
                watcher.cancel()
            await _end_processes(site)
            for worker in site.workers.values():
                worker.stop()
            site.store.stop()


async def _add_process(site, name, link, metrics, listeners):
    site._settings[name] = SETTINGS.format(
        node=name,
        link_port=link,
        metrics_port=metrics,
        listeners=listeners,
        store=await site.store.open_for(name),
        contracts=json.dumps(site.contracts),
    )
    site.start_process(name)


async def _end_processes(site):
    for process in site.processes.values():
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
    for process in site.processes.values():
        await asyncio.to_thread(process.wait, STOP_TIMEOUT_S)
