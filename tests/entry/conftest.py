"""Fixtures that run entries and agents as processes on free loopback ports."""

import subprocess
import sys
import time
from contextlib import ExitStack, contextmanager

import msgspec
import pytest
import tomli_w
import urllib3

from tests.federation import free_addresses
from tests.standins.processes import running_log_service, running_target
from turmericknot.clients.log_client import create_log_client
from turmericknot.configtree.records import CONFIG_STREAM, Change, encode_record

READY_TIMEOUT_S = 15
STOP_TIMEOUT_S = 10
TEAMS = {"carts": {"allowance": 80}, "binders": {"allowance": 80}}


class RoleProcess:
    """Process of one entry or agent."""

    def __init__(self, role, settings, log_path):
        self.settings = settings
        self.log_path = log_path
        address = settings.get("http_address") or settings["announce_address"]
        self.url = f"http://{address}"
        self.process = None
        self._role = role
        self.start()

    def start(self):
        settings_path = self.log_path.with_suffix(".toml")
        settings_path.write_text(tomli_w.dumps(self.settings))
        command = [sys.executable, "-m", "turmericknot", self._role, "run"]
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [*command, str(settings_path)], stdout=log, stderr=log
            )

    def stop(self):
        """Terminate the process and return its exit code."""
        self.process.terminate()
        try:
            return self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            raise

    def call(self, method, path, body=None, timeout_s=30):
        response = urllib3.request(
            method, self.url + path, json=body, timeout=timeout_s, retries=False
        )
        return response.status, msgspec.json.decode(response.data)

    def status(self):
        return self.call("GET", "/v1/status")[1]


class SmallFederation:
    """All processes of one test: log service, entries, agents and targets."""

    def __init__(self, stack, directory):
        self._stack = stack
        self._directory = directory
        self.log = stack.enter_context(running_log_service())
        self.entries, self.agents, self.targets = [], [], []
        publish_teams(self.log, TEAMS)

    def add_entry(self, **overrides):
        http, link = free_addresses(2)
        name = f"e{len(self.entries) + 1}"
        settings = {
            "entry_id": name,
            "failure_domain": "fd1",
            "region": "r1",
            "http_address": http,
            "link_address": link,
            "log_url": self.log.url,
            "drain_timeout_s": 5.0,
            **overrides,
        }
        self.entries.append(self._add("entry", name, settings))
        return self.entries[-1]

    def add_agent(self, slots=4, **overrides):
        (announce,) = free_addresses(1)
        name = f"a{len(self.agents) + 1}"
        settings = {
            "agent_id": name,
            "failure_domain": "fd1",
            "region": "r1",
            "announce_address": announce,
            "seed_entries": [entry.settings["link_address"] for entry in self.entries],
            "drain_timeout_s": 5.0,
            **overrides,
        }
        agent = self._add("agent", name, settings)
        self.agents.append(agent)
        target = running_target(agent.url, f"w{name}", "--slots", str(slots))
        self.targets.append(self._stack.enter_context(target))
        return agent

    def _add(self, role, name, settings):
        process = RoleProcess(role, settings, self._directory / f"{name}.log")
        self._stack.callback(process.stop)
        return process

    def wait_ready(self):
        names = {entry.settings["entry_id"] for entry in self.entries}

        def ready():
            for status in (entry.status() for entry in self.entries):
                usable = sum(agent["usable"] for agent in status["agents"])
                found = (usable, status["peers"], status["config_version"] > 0)
                if found != (len(self.agents), len(names) - 1, True):
                    return False
            return all(set(agent.status()["entries"]) == names for agent in self.agents)

        wait_until(ready)

    def task_starts(self):
        """Return the number of starts of each task, summed over all targets."""
        total = {}
        for target in self.targets:
            for task, count in target.get("/control/starts")["starts"].items():
                total[task] = total.get(task, 0) + count
        return total


def publish_teams(log, teams, base=0):
    """Append a configuration change that sets the teams."""
    sets = {f"teams.{name}": subtree for name, subtree in teams.items()}
    change = Change(b"r" * 12, base, "test", sets)
    client = create_log_client(log.url)
    client.append(CONFIG_STREAM, encode_record(change))
    client.close()


def wait_until(condition, timeout_s=READY_TIMEOUT_S):
    deadline = time.monotonic() + timeout_s
    while True:
        try:
            if condition():
                return
        except urllib3.exceptions.HTTPError:
            pass
        assert time.monotonic() < deadline, "condition not reached in time"
        time.sleep(0.05)


def job_body(key, count=100, run_ms=20, **fields):
    """Return the body of a job whose tasks output the job key and the task index."""
    tasks = [
        {"payload": {"run_ms": run_ms, "echo": f"{key}/{index}"}, "size_ms": run_ms}
        for index in range(count)
    ]
    body = {
        "team": "carts",
        "key": key,
        "expires_at": time.time() + 120,
        "deadline_s": 20,
        "tasks": tasks,
    }
    return {**body, **fields}


@contextmanager
def small_federation(directory):
    with ExitStack() as stack:
        yield SmallFederation(stack, directory)


@pytest.fixture
def federation(tmp_path):
    with small_federation(tmp_path) as started:
        yield started
