"""Client of a target; see docs/reference/platform.md.

Calls are sent once. ``run`` tells a task that certainly did not start
(TargetRefused) from one that may have started (TargetLost).
"""

from base64 import b64encode
from dataclasses import dataclass, field

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from turmericknot.core.exceptions import TargetError, TargetLost, TargetRefused

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 2.0
RUN_MARGIN_S = 1.0  # beyond the lease, for the answer to arrive
POOL_SIZE = 16

# Statuses by which a target states that it started nothing.
_REFUSALS = frozenset({400, 404, 409, 413, 429, 503})
_HEADERS = {"Content-Type": "application/json"}
_NOT_SENT = (NewConnectionError, ConnectTimeoutError)


class RunResult(msgspec.Struct):
    """End of a task that was started: ``ok``, ``failed`` or ``stopped``."""

    status: str
    output: bytes = b""
    run_ms: float = 0.0
    error: str = ""


class LeaseUsage(msgspec.Struct):
    """What one running task used when the sample was taken."""

    lease: str
    run_ms: float
    memory_mb: float = 0.0
    share: float = 1.0


class Usage(msgspec.Struct):
    """Usage of a target; ``as_of`` is the wall clock of the sample."""

    as_of: float
    leases: list[LeaseUsage]


class _Checkpoint(msgspec.Struct):
    done_ms: float


@dataclass(slots=True)
class RunRequest:
    """One task for a target; ``job`` and ``index`` identify it."""

    lease: str
    lease_s: float
    job: bytes
    index: int
    payload: bytes
    team: str = ""
    task_class: str = ""
    processors: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


@dataclass(slots=True)
class TargetClient:
    """Connections to one target. Thread-safe."""

    address: str
    _pool: urllib3.HTTPConnectionPool = field(repr=False)

    def run(self, request):
        """Start a task, wait for its end and return a RunResult.

        Raise TargetRefused when the task did not start and TargetLost when that
        cannot be known.
        """
        body = {
            "lease": request.lease,
            "lease_s": request.lease_s,
            "payload": b64encode(request.payload).decode(),
            "task": {
                "job": request.job.hex(),
                "index": request.index,
                "team": request.team,
                "task_class": request.task_class,
                "processors": request.processors,
                "memory_mb": request.memory_mb,
                "accelerators": request.accelerators,
            },
        }
        try:
            answer = self._post("/v1/run", body, request.lease_s + RUN_MARGIN_S)
        except _NOT_SENT as error:
            raise TargetRefused(f"target not reached: {error}") from error
        except HTTPError as error:
            raise TargetLost(f"no answer from target: {error}") from error
        if answer.status in _REFUSALS:
            raise TargetRefused(f"target answered {answer.status}")
        if answer.status != 200:
            raise TargetLost(f"target answered {answer.status}")
        try:
            return msgspec.json.decode(answer.data, type=RunResult)
        except msgspec.DecodeError as error:
            raise TargetLost(f"undecodable answer: {error}") from error

    def stop(self, lease):
        """Stop a running task; its run call then answers ``stopped``."""
        self._call("/v1/stop", {"lease": lease})

    def throttle(self, lease, share):
        """Set the share of its processors that a running task may use."""
        self._call("/v1/throttle", {"lease": lease, "share": share})

    def checkpoint(self, lease):
        """Suspend a task; return the saved progress in milliseconds.

        ``throttle`` with a share above 0 lets it go on. The lease stays in force.
        """
        return self._call("/v1/checkpoint", {"lease": lease}, _Checkpoint).done_ms

    def usage(self):
        """Return the target's newest usage sample."""
        return self._call("/v1/usage", None, Usage)

    def close(self):
        """Close the connections."""
        self._pool.close()

    def _post(self, path, body, timeout_s):
        return self._request("POST", path, timeout_s, msgspec.json.encode(body))

    def _request(self, method, path, timeout_s, data=None):
        # urlopen of the one pool needs a fifth less CPU than PoolManager.request.
        return self._pool.urlopen(
            method,
            path,
            body=data,
            headers=_HEADERS,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
            retries=False,
            redirect=False,
            assert_same_host=False,
        )

    def _call(self, path, body, kind=None):
        """Make a short call; raise TargetError unless it succeeds."""
        try:
            if body is None:
                answer = self._request("GET", path, CALL_TIMEOUT_S)
            else:
                answer = self._post(path, body, CALL_TIMEOUT_S)
        except HTTPError as error:
            raise TargetError(f"{path}: no answer: {error}") from error
        if answer.status != 200:
            raise TargetError(f"{path}: target answered {answer.status}")
        if kind is None:
            return None
        try:
            return msgspec.json.decode(answer.data, type=kind)
        except msgspec.DecodeError as error:
            raise TargetError(f"{path}: undecodable answer: {error}") from error


def create_target_client(address, pool_size=POOL_SIZE):
    """Return a client of the target at ``address`` (ip:port)."""
    host, _, port = address.rpartition(":")
    pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=pool_size)
    return TargetClient(address, pool)
