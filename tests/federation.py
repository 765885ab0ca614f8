"""A federation of real processes on loopback, for scenarios, the demo and the bench.

``federation()`` starts the stand-ins, the entries and the agents as separate
processes, publishes a configuration and stops everything by process id at the end.
"""

import os
import random
import signal
import socket
import subprocess
import sys
import time
import tomllib
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import tomli_w
import urllib3

ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 40.0
PORTS = range(20_000, 32_000)
DEFAULT_TEAMS = {
    "carts": {"allowance": 80, "weight": 1.0},
    "binders": {"allowance": 80, "weight": 1.0},
}


_used_ports = set()


class FederationError(Exception):
    """A process of the federation did not do what the test needs."""


@dataclass(slots=True)
class Process:
    """One process and how to start it again."""

    name: str
    command: list
    log_path: Path
    handle: subprocess.Popen = None

    @property
    def pid(self):
        return self.handle.pid

    @property
    def is_running(self):
        return self.handle is not None and self.handle.poll() is None


@dataclass(slots=True)
class Federation:
    """All processes by name with their addresses."""

    directory: Path
    http: urllib3.PoolManager
    processes: dict = field(default_factory=dict)
    entry_urls: dict = field(default_factory=dict)  # name -> base URL
    agent_urls: dict = field(default_factory=dict)
    target_urls: dict = field(default_factory=dict)
    link_addresses: dict = field(default_factory=dict)  # entry -> what peers dial
    log_url: str = ""
    relay_control_address: str = ""
    leaving_workers: set = field(
        default_factory=set
    )  # workers whose target announced leaving

    @property
    def entry_base_urls(self):
        return list(self.entry_urls.values())

    def start(self, name):
        process = self.processes[name]
        log = open(process.log_path, "ab")
        process.handle = subprocess.Popen(
            process.command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()

    def signal(self, name, number):
        os.kill(self.processes[name].pid, number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].handle.wait()

    def pause(self, name):
        self.signal(name, signal.SIGSTOP)

    def resume(self, name):
        self.signal(name, signal.SIGCONT)

    def terminate(self, name):
        self.signal(name, signal.SIGTERM)

    def wait_for_exit(self, name, timeout_s=STOP_TIMEOUT_S):
        return self.processes[name].handle.wait(timeout_s)

    def call(self, method, url, body=None, timeout_s=30.0):
        """Return (status, decoded JSON) of an HTTP call."""
        response = self.http.request(
            method,
            url,
            body=msgspec.json.encode(body) if body is not None else None,
            timeout=timeout_s,
            retries=False,
        )
        return response.status, msgspec.json.decode(response.data or b"null")

    def status(self, entry):
        return self.call("GET", f"{self.entry_urls[entry]}/v1/status")[1]

    def configure_log(self, **settings):
        return self.call("POST", f"{self.log_url}/control/set", settings)

    def configure_target(self, worker, **settings):
        url = f"{self.target_urls[worker]}/control/set"
        return self.call("POST", url, settings)

    def count_starts(self):
        """Return how often each task was started, summed over all targets."""
        total = {}
        for url in self.target_urls.values():
            try:
                _, body = self.call("GET", f"{url}/control/starts", timeout_s=5.0)
            except urllib3.exceptions.HTTPError:
                continue
            for task, count in body["starts"].items():
                total[task] = total.get(task, 0) + count
        return total

    def send_relay_command(self, command, *entries):
        """Send a command to the relay: cut, stall, heal, delay MS."""
        names = [self.link_addresses[entry] for entry in entries]
        line = " ".join([command, *names]) + "\n"
        with socket.create_connection(
            split(self.relay_control_address), 5.0
        ) as connection:
            connection.sendall(line.encode())
            connection.recv(16)

    def log_tail(self, name, lines=15):
        text = self.processes[name].log_path.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def wait_until(self, condition, what, timeout_s=READY_TIMEOUT_S):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            try:
                if condition():
                    return
            except (urllib3.exceptions.HTTPError, KeyError):
                pass
            time.sleep(0.05)
        logs = "\n".join(f"{n}: {self.log_tail(n, 4)}" for n in self.processes)
        raise FederationError(f"timeout waiting until {what}\n{logs}")


def free_addresses(count):
    """Return loopback addresses with ports that are free now.

    None is returned twice. The ports lie below those that the system gives to
    outgoing connections, which could otherwise take one before it is bound.
    """
    addresses = []
    while len(addresses) < count:
        port = random.choice(PORTS)
        if port not in _used_ports and _can_bind(port):
            _used_ports.add(port)
            addresses.append(f"127.0.0.1:{port}")
    return addresses


def _can_bind(port):
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


@contextmanager
def federation(
    directory,
    entries=2,
    agents=3,
    slots=8,
    teams=None,
    relay=False,
    log_options=(),
    entry_settings=None,
    agent_settings=None,
):
    """Yield a running Federation; stop its processes at the end."""
    directory = Path(directory)
    http = urllib3.PoolManager(maxsize=64, num_pools=64)
    fed = Federation(directory, http)
    try:
        _start_log(fed, log_options)
        publish_configuration(fed, teams or DEFAULT_TEAMS)
        _start_entries(fed, entries, relay, entry_settings or {})
        _start_agents(fed, agents, slots, agent_settings or {})
        fed.wait_until(lambda: _ready(fed, agents), "every entry sees every agent")
        yield fed
    finally:
        _stop_all(fed)
        http.clear()


def publish_configuration(fed, teams, base=None):
    """Publish teams with the command line, as an operator does."""
    tree = fed.directory / "federation"
    (tree / "teams").mkdir(parents=True, exist_ok=True)
    (tree / "federation.toml").touch()
    for name, settings in teams.items():
        path = tree / "teams" / f"{name}.toml"
        present = tomllib.loads(path.read_text()) if path.exists() else {}
        path.write_text(tomli_w.dumps({**present, **settings}))
    command = [sys.executable, "-m", "turmericknot", "config", "publish", str(tree)]
    command += ["--log_url", fed.log_url]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=30)
    if done.returncode:
        raise FederationError(f"publish failed: {done.stdout}{done.stderr}")
    return done.stdout


def _start_log(fed, options):
    (address,) = free_addresses(1)
    fed.log_url = f"http://{address}"
    _add(fed, "log", "tests.standins.log_service", "--address", address, *options)
    fed.wait_until(
        lambda: fed.call("GET", f"{fed.log_url}/v1/info")[0] == 200, "the log answers"
    )


def _start_entries(fed, count, relay, overrides):
    links = free_addresses(count)
    public = links
    if relay:
        fed.relay_control_address, *public = free_addresses(count + 1)
        pairs = [f"{p}={t}" for p, t in zip(public, links, strict=True)]
        _add(fed, "relay", "tests.standins.relay", fed.relay_control_address, *pairs)
    for number in range(count):
        name = f"e{number + 1}"
        (http,) = free_addresses(1)
        fed.entry_urls[name] = f"http://{http}"
        fed.link_addresses[name] = public[number]
        settings = {
            "entry_id": name,
            "failure_domain": f"fd{number % 3 + 1}",
            "region": "r1",
            "http_address": http,
            "link_address": links[number],
            "advertised_link_address": public[number],
            "log_url": fed.log_url,
            **overrides,
        }
        _add_role(fed, "entry", name, settings)
    fed.wait_until(
        lambda: all(
            fed.call("GET", f"{url}/v1/healthz", timeout_s=2.0)[0] == 200
            for url in fed.entry_base_urls
        ),
        "entries are healthy",
    )


def _start_agents(fed, count, slots, overrides):
    for number in range(count):
        name, worker = f"a{number + 1}", f"w{number + 1}"
        announce, target = free_addresses(2)
        settings = {
            "agent_id": name,
            "failure_domain": f"fd{number % 3 + 1}",
            "region": "r1",
            "announce_address": announce,
            "seed_entries": list(fed.link_addresses.values()),
            **overrides,
        }
        fed.agent_urls[name] = f"http://{announce}"
        fed.target_urls[worker] = f"http://{target}"
        _add_role(fed, "agent", name, settings)
        options = ["--address", target, "--agent", f"http://{announce}"]
        options += ["--worker", worker, "--slots", str(slots)]
        _add(fed, worker, "tests.standins.target", *options)


def _add_role(fed, role, name, settings):
    path = fed.directory / f"{name}.toml"
    path.write_text(tomli_w.dumps(settings))
    _add(fed, name, "turmericknot", role, "run", str(path))


def _add(fed, name, module, *arguments):
    command = [sys.executable, "-m", module, *arguments]
    fed.processes[name] = Process(name, command, fed.directory / f"{name}.log")
    fed.start(name)


def _ready(fed, agents):
    return all(
        len(fed.status(name)["agents"]) == agents
        and all(agent["usable"] for agent in fed.status(name)["agents"])
        for name in fed.entry_urls
    )


def _stop_all(fed):
    """Stop agents first, then entries, then the stand-ins; all by process id."""
    names = list(fed.processes)
    order = [n for n in names if n in fed.agent_urls]
    order += [n for n in names if n in fed.entry_urls]
    order += [n for n in names if n not in order]
    for name in order:
        process = fed.processes[name]
        if process.is_running:
            fed.resume(name)
            fed.terminate(name)
    deadline = time.monotonic() + STOP_TIMEOUT_S
    for name in order:
        process = fed.processes[name]
        try:
            process.handle.wait(max(0.1, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.handle.kill()
            process.handle.wait()
