"""A site of real entry and agent processes, connected to stand-ins of the platform.

The stand-ins run on the event loop of the test; each role is a separate process.
"""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from pathlib import Path

import msgspec
import tomli_w

from tests.federation import free_addresses, parse_address
from tests.standins.leased_worker import LeasedWorker
from tests.standins.store import StoreStandin
from turmericknot.aio.client import create_http_client

ROOT = Path(__file__).parents[2]
HOST = "jobs.example"
PREFIX = "/q/"
# Not a bound of the product. Starting five processes takes 3.5 s at a load of 20 on six
# cores.
START_TIMEOUT_S = 60
# Time in which a condition on a running site has to become true.
CONDITION_TIMEOUT_S = 15
STOP_TIMEOUT_S = 8


class PlatformSite:
    """The processes of a site by name, and the stand-ins that they connect to."""

    def __init__(self, directory):
        self.directory = Path(directory)
        self.store = StoreStandin()
        self.processes = {}
        self.settings = {}
        self.workers = []
        self.starts = {}
        self.tasks = []

    def address(self, name, field="jobs_address"):
        return self.settings[name][field]

    def publish_configuration(self, version=1, queue="q1", attempts=3):
        """Publish a configuration with one queue."""
        route = {
            "name": queue,
            "host": HOST,
            "prefix": PREFIX,
            "service": "service",
            "slo_ms": 60,
            "prio": 0,
            "attempts": attempts,
            "stretch": 1.6,
        }
        document = {
            "version": version,
            "routes": [route],
            "services": [{"name": "service", "enforces_capacity": True}],
            "limits": {},
        }
        self.store.put("keyed.op", "config", msgspec.json.encode(document))

    def start(self, name):
        """Start or restart the process with this name."""
        role = name.split("-")[0]
        path = self.directory / f"{name}.toml"
        path.write_text(tomli_w.dumps(self.settings[name]))
        with open(self.directory / f"{name}.log", "a") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "turmericknot.node", role],
                cwd=ROOT,
                env={**os.environ, "TURMERICKNOT_CONFIG": str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, name, signal_number):
        """Send a signal to a process of the site; wait for its end after SIGKILL."""
        self.processes[name].send_signal(signal_number)
        if signal_number == signal.SIGKILL:
            self.processes[name].wait()

    async def send_request(
        self, entry, method, job, body=None, deadline_ms=5000, timeout_s=None
    ):
        """Send a client's request and return (status, body).

        With ``timeout_s`` the client disconnects before the deadline that it sends.
        """
        client = create_http_client(self.address(entry))
        headers = (
            ("Host", HOST),
            ("X-Turmericknot-Deadline-Ms", str(deadline_ms)),
        )
        data = msgspec.json.encode(body) if body is not None else b""
        try:
            reply = await client.request(
                method, PREFIX + job, data, headers, timeout_s or deadline_ms / 1000
            )
        finally:
            client.close()
        return reply.status, msgspec.json.decode(reply.body) if reply.body else None

    async def wait_until(self, condition, timeout_s=CONDITION_TIMEOUT_S):
        """Wait until the coroutine function ``condition`` returns true."""
        async with asyncio.timeout(timeout_s):
            while not await condition():
                await asyncio.sleep(0.05)

    async def is_ready(self, entry):
        client = create_http_client(self.address(entry, "ready_address"))
        with contextlib.suppress(Exception):
            return (await client.request("GET", "/readyz")).status == 200
        return False

    @property
    def violations(self):
        return [text for worker in self.workers for text in worker.violations]


def job_body(tasks=4, run_ms=80, durable=False, spec=""):
    """Return the request body of a job with one step."""
    step = {
        "count": tasks,
        "cpu": 1000,
        "mem_mb": 64,
        "est_runtime_ms": run_ms,
    }
    body = {"spec": spec or str(run_ms), "steps": [step]}
    if not durable:
        body["best_effort"] = True
    return body


@contextlib.asynccontextmanager
async def platform_site(directory, entries=2, agents=3, cpu=4000):
    """Run a site for the duration of the block, then end all its processes."""
    site = PlatformSite(directory)
    await site.store.start()
    site.publish_configuration()
    loop = asyncio.get_running_loop()
    try:
        for number in range(entries):
            name = f"entry-{number}"
            site.settings[name] = _process_settings(site, name, ("jobs", "ready"))
            site.start(name)
        for number in range(agents):
            name = f"agent-{number}"
            worker = LeasedWorker(f"i-{number}", cpu, site.starts)
            await worker.start()
            site.workers.append(worker)
            settings = _process_settings(site, name, ("reports",))
            settings.update(
                worker_address=worker.address,
                service="service",
                failure_domain=f"z{number}",
            )
            site.settings[name] = settings
            site.start(name)
            report_loop = worker.send_reports(settings["reports_address"])
            site.tasks.append(loop.create_task(report_loop))

        async def all_entries_ready():
            for number in range(entries):
                if not await site.is_ready(f"entry-{number}"):
                    return False
            return True

        await site.wait_until(all_entries_ready, START_TIMEOUT_S)
        yield site
    finally:
        for task in site.tasks:
            task.cancel()
        for process in site.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in site.processes.values():
            try:
                await asyncio.to_thread(process.wait, STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        site.store.server.stop()


def _process_settings(site, name, listeners):
    link_address, metrics_address, *listen_addresses = free_addresses(
        2 + len(listeners)
    )
    settings = {
        "node": name,
        "address": "127.0.0.1",
        "failure_domain": "z",
        "link_port": parse_address(link_address)[1],
        "metrics_port": parse_address(metrics_address)[1],
        "heartbeat_ms": 300,
        "store": {
            "address": site.store.address,
            "partitions": site.store.partitions,
            "shortest_ttl_ms": 1000,
        },
        "bounds": {
            "lease_ms": 1000,
            "stop_grace_s": 6.0,
            "keep_s": 120.0,
        },
    }
    for listener, address in zip(listeners, listen_addresses, strict=True):
        settings[f"{listener}_address"] = address
    return settings
