"""Start stand-ins as processes and send them control calls."""

import subprocess
import sys
from contextlib import contextmanager

import urllib3

STOP_TIMEOUT_S = 5


class StandinProcess:
    """A running stand-in process and its HTTP address."""

    __slots__ = ("address", "process", "url")

    def __init__(self, address, process):
        self.address = address
        self.process = process
        self.url = f"http://{address}"

    def get(self, path):
        return self._call("GET", path)

    def post(self, path, **body):
        return self._call("POST", path, json=body)

    def configure(self, **settings):
        """Change settings; return the state that /control/set answers with."""
        return self.post("/control/set", **settings)

    def _call(self, method, path, **arguments):
        answer = urllib3.request(
            method, f"{self.url}{path}", timeout=10, retries=False, **arguments
        )
        if answer.status != 200:
            raise AssertionError(f"{path}: {answer.status} {answer.data!r}")
        return answer.json()


@contextmanager
def running_standin(module, *arguments):
    """Run ``python -m tests.standins.<module>`` for the duration of the block."""
    command = [sys.executable, "-m", f"tests.standins.{module}", *arguments]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        line = process.stdout.readline().split()
        if line[:1] != ["ready"]:
            raise AssertionError(f"{module} did not start: {line}")
        yield StandinProcess(line[1], process)
    finally:
        process.terminate()
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        process.stdout.close()


def running_log_service(*arguments):
    return running_standin("log_service", *arguments)


def running_target(agent_url, worker="worker-1", *arguments):
    return running_standin(
        "target", "--agent", agent_url, "--worker", worker, *arguments
    )
