"""A small site: the entry and agent programs as processes, beside stand-ins.

The programs are started with the commands of the deploy file, the settings have the
form of its template, with the bounds of the site ``arrieta-taller``.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from .store import Store
from .web import call
from .worker import Worker

ROOT = Path(__file__).resolve().parents[2]
HOST = "jobs.example"
PREFIX = "/jobs/"
URGENT_PREFIX = "/urgent/"
START_TIMEOUT_S = 30.0
PORTS = (12000, 30000)  # below those of outgoing connections
PORTS_PER_CASE = 101
STOP_TIMEOUT_S = 8.0  # for all processes together
CASE_TIMEOUT_S = 105.0
CONTRACTS = (
    "base drain config cost recover sched platform advice upkeep sharing".split()
)
# Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be brought about, so it says nothing on the rule."""


class Site:
    """The processes and stand-ins of a case; times are seconds from its start."""

    def __init__(self, folder, record):
        self.folder = Path(folder)
        self._record = record
        self._started_at = time.monotonic()
        self.store = Store()
        self.workers = {}  # agent -> Worker
        self.starts = []  # rows of all workers, see Worker
        self.processes = {}
        self._ports = _create_ports()
        self.addresses = {}  # (process, name of a listener) -> address

    @property
    def now(self):
        return time.monotonic() - self._started_at

    def at(self, monotonic):
        """Return a time of a worker's row on the clock of the record."""
        return monotonic - self._started_at

    def log(self, text):
        self._record.write(f"{self.now:8.3f} {text}\n")
        self._record.flush()

    def publish_configuration(self, version=1, attempts=3, guards=True):
        routes = [
            {
                "name": f"r-{priority}",
                "host": HOST,
                "prefix": prefix,
                "kind": "unsafe",
                "timeout_ms": 1500,
                "slo_ms": 60,
                "prio": priority,
                "service": "service",
                "attempts": attempts,
                "stretch": 1.6,
            }
            for prefix, priority in ((URGENT_PREFIX, 0), (PREFIX, 2))
        ]
        document = {
            "version": version,
            "routes": routes,
            "services": [{"name": "service", "enforces_capacity": guards}],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    def start(self, name):
        """Start or restart a process with the command of the deploy file."""
        role = name.split("-")[0]
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["TURMERICKNOT_CONFIG"] = str(self.folder / f"{name}.toml")
        with open(self.folder / f"{name}.log", "a") as output:
            self.processes[name] = subprocess.Popen(
                ["python3", "-S", "-m", "turmericknot.node", role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.log(f"{name} is started")

    def signal(self, name, number):
        self.log(f"{name} gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    async def write_settings(self, name, zone, worker=None):
        role = name.split("-")[0]
        listeners = ("jobs", "ready") if role == "entry" else ("reports",)
        ports = [next(self._ports) for _ in range(2 + len(listeners))]
        lines = {
            "node": name,
            "address": "127.0.0.1",
            "failure_domain": zone,
            "link_port": ports[0],
            "metrics_port": ports[1],
            "worker_orders": "rpc",
            "heartbeat_ms": 1500,
            "contracts": CONTRACTS,
        }
        for listener, port in zip(listeners, ports[2:], strict=True):
            address = f"127.0.0.1:{port}"
            self.addresses[name, listener] = address
            lines[f"{listener}_address"] = address
        if worker is not None:
            lines["worker_address"] = worker.address
            lines["service"] = "service"
        text = "".join(f"{key} = {json.dumps(value)}\n" for key, value in lines.items())
        text += f'\n[store]\naddress = "{await self.store.open_door(name)}"\n'
        text += f"partitions = {self.store.partitions}\nshortest_ttl_ms = 1000\n"
        text += "\n[bounds]\nlease_ms = 1000\nstop_grace_s = 6\nkeep_s = 120\n"
        text += "far_factor = 1.5\n"
        (self.folder / f"{name}.toml").write_text(text)

    async def request(
        self, entry, method, job, body=None, deadline_s=1.5, prefix=PREFIX
    ):
        """Send a client's request; return (status, body), or (0, None) without one."""
        headers = (
            ("Host", HOST),
            ("Content-Type", "application/json"),
            ("X-Turmericknot-Deadline-Ms", str(int(deadline_s * 1000))),
        )
        target = prefix + job
        address = self.addresses[entry, "jobs"]
        try:
            answer = await call(address, method, target, body, headers, deadline_s)
        except (OSError, TimeoutError) as error:
            self.log(f"{method} {target} at {entry}: no answer ({error!r})")
            return 0, None
        self.log(f"{method} {target} at {entry}: {answer[0]} {json.dumps(answer[1])}")
        return answer

    async def submit(self, job, body, entries, deadline_s=1.5, tries=20, prefix=PREFIX):
        """Submit a durable job until it is accepted; return the time of the answer."""
        for number in range(tries):
            entry = entries[number % len(entries)]
            status, _ = await self.request(entry, "POST", job, body, deadline_s, prefix)
            if 200 <= status < 300:
                return self.now
            await asyncio.sleep(0.3)
        raise CannotRun(f"job {job} was not accepted")

    async def wait_until(self, condition, timeout_s, what):
        """Wait until ``condition()`` is true; raise CannotRun after the time."""
        until = self.now + timeout_s
        while not condition():
            if self.now > until:
                raise CannotRun(f"not within {timeout_s} s: {what}")
            await asyncio.sleep(0.005)

    async def _wait_until_ready(self, entries):
        until = self.now + START_TIMEOUT_S
        for entry in entries:
            while True:
                address = self.addresses[entry, "ready"]
                with contextlib.suppress(OSError, TimeoutError):
                    if (await call(address, "GET", "/readyz", timeout_s=1.0))[0] == 200:
                        break
                if self.now > until:
                    raise CannotRun(f"{entry} is not ready")
                await asyncio.sleep(0.2)

    def running(self, task):
        """Return the workers, by agent, on which the task is at work."""
        return [agent for agent, w in self.workers.items() if task in w.running]

    def close(self):
        """End all processes that the case started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        until = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            try:
                process.wait(max(0.1, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def _create_ports():
    """Yield ports that are free, each once; cases that run side by side get others."""
    first, last = PORTS
    span = last - first
    offset = os.getpid() * PORTS_PER_CASE % span
    for number in range(span):
        port = first + (offset + number) % span
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        yield port


@contextlib.asynccontextmanager
async def run_site(
    folder, record, entries=2, agents=7, guards=True, attempts=3, other_kind=()
):
    """Run a site for the duration of the block, then end all its processes.

    ``other_kind`` names the agents whose workers are of the kind ``b``, not ``a``.
    """
    site = Site(folder, record)
    try:
        site.publish_configuration(attempts=attempts, guards=guards)
        names = [f"entry-{number}" for number in range(entries)]
        for number, name in enumerate(names):
            await site.write_settings(name, f"zone-{number % 3}")
            site.start(name)
        for number in range(agents):
            name = f"agent-{number}"
            rack = f"r1-{number // 3}"
            kind = "b" if name in other_kind else "a"
            worker = Worker(f"i-{number}", site.starts, site.log, labels=(kind, rack))
            worker.guards = guards
            await worker.start()
            site.workers[name] = worker
            await site.write_settings(name, f"zone-{number % 3}", worker)
            worker.follow(site.addresses[name, "reports"])
            site.start(name)
        await site._wait_until_ready(names)
        ended = [name for name, p in site.processes.items() if p.poll() is not None]
        if ended:
            raise CannotRun(f"could not be started: {ended}")
        # Entries refuse nothing until every worker has reported; traffic starts 12 s
        # after the machines at the users' sites.
        await asyncio.sleep(4.0)
        yield site
    finally:
        await asyncio.to_thread(site.close)


def job_body(count=1, work_ms=1000, cpu=500, steps=1, best_effort=False, label=""):
    """Return the body of a job whose steps follow one another."""
    rows = []
    for number in range(steps):
        step = {
            "count": count,
            "cpu": cpu,
            "mem_mb": 64,
            "est_runtime_ms": work_ms,
        }
        if number:
            step["after"] = [number - 1]
        if label:
            step["requires"] = label
        rows.append(step)
    body = {"spec": f"{work_ms} {cpu}", "steps": rows}
    if best_effort:
        body["best_effort"] = True
    return body


async def play_in_time(play, site_folder, record, has_trouble):
    """Play a case; raise TimeoutError if it takes too long."""
    async with asyncio.timeout(CASE_TIMEOUT_S):
        return await play(site_folder, record, has_trouble)


def run_case(folder, play):
    """Run ``play(site_folder, record, has_trouble)``; return the exit code.

    It is a coroutine function that returns (is broken, text).
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with open(Path(folder) / "record.txt", "w") as record:
        record.write(f"disruption: {'yes' if has_trouble else 'no'}\n")
        with tempfile.TemporaryDirectory() as site_folder:
            try:
                is_broken, text = asyncio.run(
                    play_in_time(play, site_folder, record, has_trouble)
                )
            except Exception as error:
                # Any error of the script itself says nothing on the rule.
                record.write(f"could not run: {error!r}\n")
                print(f"could not run: {error!r}")
                return NOT_RUN
            finally:
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for path in Path(site_folder).glob("*.log"):
                        (Path(keep) / path.name).write_bytes(path.read_bytes())
        record.write(text + "\n")
        print(text)
        return BROKEN if is_broken else HELD


def main(folder, play):
    """Run a case and end the process with its exit code."""
    sys.exit(run_case(folder, play))
