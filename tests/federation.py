"""A federation of real processes on loopback, for scenarios, the demo and the bench.

``federation()`` starts the stand-ins, the entries and the agents as separate
processes, publishes a configuration and stops all processes by id at the end.
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
PORT_RANGE = range(20_000, 32_000)
DEFAULT_TEAMS = {
    "carts": {"allowance": 80, "weight": 1.0},
    "binders": {"allowance": 80, "weight": 1.0},
}


_used_ports = set()


class FederationError(Exception):
    """A process of the federation failed or did not reach a state in time."""


@dataclass(slots=True)
class FederationProcess:
    """One process with the command that starts it."""

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
    """The processes of a federation by name, and their addresses."""

    directory: Path
    http: urllib3.PoolManager
    processes: dict = field(default_factory=dict)
    entry_urls: dict = field(default_factory=dict)  # entry -> base URL
    agent_urls: dict = field(default_factory=dict)
    target_urls: dict = field(default_factory=dict)
    # entry -> address that its peers dial
    link_addresses: dict = field(default_factory=dict)
    log_url: str = ""
    relay_control_address: str = ""
    # workers whose target announced that it leaves
    leaving_workers: set = field(default_factory=set)

    @property
    def entry_url_list(self):
        return list(self.entry_urls.values())

    def start(self, name):
        process = self.processes[name]
        log_file = open(process.log_path, "ab")
        process.handle = subprocess.Popen(
            process.command,
            cwd=ROOT,
            stdout=log_file,
            stderr=log_file,
            stdin=subprocess.DEVNULL,
        )
        log_file.close()

    def signal(self, name, signal_number):
        os.kill(self.processes[name].pid, signal_number)

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
        """Return how often each task was started, summed over the reachable targets."""
        start_counts = {}
        for url in self.target_urls.values():
            try:
                _, body = self.call("GET", f"{url}/control/starts", timeout_s=5.0)
            except urllib3.exceptions.HTTPError:
                continue
            for task, count in body["starts"].items():
                start_counts[task] = start_counts.get(task, 0) + count
        return start_counts

    def send_relay_command(self, command, *entries):
        """Send a command to the relay: cut, stall, heal or "delay MS".

        It applies to the links of ``entries``, by default to all links.
        """
        link_addresses = [self.link_addresses[entry] for entry in entries]
        command_line = " ".join([command, *link_addresses]) + "\n"
        with socket.create_connection(
            parse_address(self.relay_control_address), 5.0
        ) as connection:
            connection.sendall(command_line.encode())
            connection.recv(16)

    def log_tail(self, name, lines=15):
        text = self.processes[name].log_path.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def wait_until(self, condition, description, timeout_s=READY_TIMEOUT_S):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            try:
                if condition():
                    return
            except (urllib3.exceptions.HTTPError, KeyError):
                pass
            time.sleep(0.05)
        logs = "\n".join(f"{n}: {self.log_tail(n, 4)}" for n in self.processes)
        raise FederationError(f"timeout waiting until {description}\n{logs}")


def free_addresses(count):
    """Return loopback addresses with ports that are free at present.

    No address is returned twice. The ports are below the ephemeral range, so that no
    outgoing connection takes one before it is bound.
    """
    addresses = []
    while len(addresses) < count:
        port = random.choice(PORT_RANGE)
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


def parse_address(address):
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
        fed.wait_until(
            lambda: _all_agents_usable(fed, agents), "every entry sees every agent"
        )
        yield fed
    finally:
        _stop_all(fed)
        http.clear()


def publish_configuration(fed, teams, base=None):
    """Publish teams with the command line, as an operator does; return its output."""
    config_directory = fed.directory / "federation"
    (config_directory / "teams").mkdir(parents=True, exist_ok=True)
    (config_directory / "federation.toml").touch()
    for name, settings in teams.items():
        team_path = config_directory / "teams" / f"{name}.toml"
        existing = tomllib.loads(team_path.read_text()) if team_path.exists() else {}
        team_path.write_text(tomli_w.dumps({**existing, **settings}))
    command = [
        sys.executable,
        "-m",
        "turmericknot",
        "config",
        "publish",
        str(config_directory),
    ]
    command += ["--log_url", fed.log_url]
    completed = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=30
    )
    if completed.returncode:
        raise FederationError(f"publish failed: {completed.stdout}{completed.stderr}")
    return completed.stdout


def _start_log(fed, options):
    (address,) = free_addresses(1)
    fed.log_url = f"http://{address}"
    _start_process(
        fed, "log", "tests.standins.log_service", "--address", address, *options
    )
    fed.wait_until(
        lambda: fed.call("GET", f"{fed.log_url}/v1/info")[0] == 200, "the log answers"
    )


def _start_entries(fed, count, relay, overrides):
    listen_addresses = free_addresses(count)
    advertised_addresses = listen_addresses
    if relay:
        fed.relay_control_address, *advertised_addresses = free_addresses(count + 1)
        pairs = [
            f"{p}={t}"
            for p, t in zip(advertised_addresses, listen_addresses, strict=True)
        ]
        _start_process(
            fed, "relay", "tests.standins.relay", fed.relay_control_address, *pairs
        )
    for number in range(count):
        name = f"e{number + 1}"
        (http_address,) = free_addresses(1)
        fed.entry_urls[name] = f"http://{http_address}"
        fed.link_addresses[name] = advertised_addresses[number]
        settings = {
            "entry_id": name,
            "failure_domain": f"fd{number % 3 + 1}",
            "region": "r1",
            "http_address": http_address,
            "link_address": listen_addresses[number],
            "advertised_link_address": advertised_addresses[number],
            "log_url": fed.log_url,
            **overrides,
        }
        _start_role(fed, "entry", name, settings)
    fed.wait_until(
        lambda: all(
            fed.call("GET", f"{url}/v1/healthz", timeout_s=2.0)[0] == 200
            for url in fed.entry_url_list
        ),
        "entries are healthy",
    )


def _start_agents(fed, count, slots, overrides):
    for number in range(count):
        name, worker = f"a{number + 1}", f"w{number + 1}"
        announce_address, target_address = free_addresses(2)
        settings = {
            "agent_id": name,
            "failure_domain": f"fd{number % 3 + 1}",
            "region": "r1",
            "announce_address": announce_address,
            "seed_entries": list(fed.link_addresses.values()),
            **overrides,
        }
        fed.agent_urls[name] = f"http://{announce_address}"
        fed.target_urls[worker] = f"http://{target_address}"
        _start_role(fed, "agent", name, settings)
        options = ["--address", target_address, "--agent", f"http://{announce_address}"]
        options += ["--worker", worker, "--slots", str(slots)]
        _start_process(fed, worker, "tests.standins.target", *options)


def _start_role(fed, role, name, settings):
    settings_path = fed.directory / f"{name}.toml"
    settings_path.write_text(tomli_w.dumps(settings))
    _start_process(fed, name, "turmericknot", role, "run", str(settings_path))


def _start_process(fed, name, module, *arguments):
    command = [sys.executable, "-m", module, *arguments]
    fed.processes[name] = FederationProcess(
        name, command, fed.directory / f"{name}.log"
    )
    fed.start(name)


def _all_agents_usable(fed, agents):
    return all(
        len(fed.status(name)["agents"]) == agents
        and all(agent["usable"] for agent in fed.status(name)["agents"])
        for name in fed.entry_urls
    )


def _stop_all(fed):
    """Stop the agents, then the entries, then the stand-ins, all by process id."""
    names = list(fed.processes)
    stop_order = [n for n in names if n in fed.agent_urls]
    stop_order += [n for n in names if n in fed.entry_urls]
    stop_order += [n for n in names if n not in stop_order]
    for name in stop_order:
        process = fed.processes[name]
        if process.is_running:
            fed.resume(name)
            fed.terminate(name)
    deadline = time.monotonic() + STOP_TIMEOUT_S
    for name in stop_order:
        process = fed.processes[name]
        try:
            process.handle.wait(max(0.1, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.handle.kill()
            process.handle.wait()
