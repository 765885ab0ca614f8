"""Client for a target; see docs/reference/platform.md.

The client never retries a call. ``run`` distinguishes a task that certainly did not
start (TargetRefused) from one that may have started (TargetLost).
"""

from base64 import b64encode
from dataclasses import dataclass, field

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from turmericknot.core.exceptions import TargetError, TargetLost, TargetRefused

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 2.0
RUN_RESPONSE_MARGIN_S = 1.0  # added to the lease, for the response to arrive
POOL_SIZE = 16

# Response statuses which guarantee that the target started nothing.
_REFUSED_STATUSES = frozenset({400, 404, 409, 413, 429, 503})
_JSON_HEADERS = {"Content-Type": "application/json"}
_NOT_SENT_ERRORS = (NewConnectionError, ConnectTimeoutError)


class RunResult(msgspec.Struct):
    """Result of a started task; ``status`` is ``ok``, ``failed`` or ``stopped``."""

    status: str
    output: bytes = b""
    run_ms: float = 0.0
    error: str = ""


class LeaseUsage(msgspec.Struct):
    """Resource usage of a running task at the time of the sample."""

    lease: str
    run_ms: float
    memory_mb: float = 0.0
    share: float = 1.0


class Usage(msgspec.Struct):
    """Resource usage of a target; ``as_of`` is the wall-clock time of the sample."""

    as_of: float
    leases: list[LeaseUsage]


class _Checkpoint(msgspec.Struct):
    done_ms: float


@dataclass(slots=True)
class RunRequest:
    """Task to run on a target, identified by ``job`` and ``index``."""

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
    """Thread-safe client for one target with pooled connections."""

    address: str
    _pool: urllib3.HTTPConnectionPool = field(repr=False)

    def run(self, request):
        """Start a task, wait for it to end and return its RunResult.

        Raise TargetRefused if the task certainly did not start and TargetLost if it
        may have started.
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
            response = self._post(
                "/v1/run", body, request.lease_s + RUN_RESPONSE_MARGIN_S
            )
        except _NOT_SENT_ERRORS as error:
            raise TargetRefused(f"could not connect to the target: {error}") from error
        except HTTPError as error:
            raise TargetLost(f"no response from the target: {error}") from error
        if response.status in _REFUSED_STATUSES:
            raise TargetRefused(f"target returned HTTP status {response.status}")
        if response.status != 200:
            raise TargetLost(f"target returned HTTP status {response.status}")
        try:
            return msgspec.json.decode(response.data, type=RunResult)
        except msgspec.DecodeError as error:
            raise TargetLost(f"malformed response: {error}") from error

    def stop(self, lease):
        """Stop a running task; its ``run`` call then returns status ``stopped``."""
        self._call("/v1/stop", {"lease": lease})

    def throttle(self, lease, share):
        """Set the share of its processors that a running task may use."""
        self._call("/v1/throttle", {"lease": lease, "share": share})

    def checkpoint(self, lease):
        """Suspend a task and return its saved progress in milliseconds.

        ``throttle`` with a share above 0 resumes the task. The lease remains valid.
        """
        return self._call("/v1/checkpoint", {"lease": lease}, _Checkpoint).done_ms

    def usage(self):
        """Return the latest usage sample of the target."""
        return self._call("/v1/usage", None, Usage)

    def close(self):
        """Close the connections."""
        self._pool.close()

    def _post(self, path, body, timeout_s):
        return self._request("POST", path, timeout_s, msgspec.json.encode(body))

    def _request(self, method, path, timeout_s, data=None):
        # HTTPConnectionPool.urlopen uses a fifth less CPU than PoolManager.request.
        return self._pool.urlopen(
            method,
            path,
            body=data,
            headers=_JSON_HEADERS,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
            retries=False,
            redirect=False,
            assert_same_host=False,
        )

    def _call(self, path, body, result_type=None):
        """Make a call that does not run a task; raise TargetError if it fails."""
        try:
            if body is None:
                response = self._request("GET", path, CALL_TIMEOUT_S)
            else:
                response = self._post(path, body, CALL_TIMEOUT_S)
        except HTTPError as error:
            raise TargetError(
                f"{path}: no response from the target: {error}"
            ) from error
        if response.status != 200:
            raise TargetError(f"{path}: target returned HTTP status {response.status}")
        if result_type is None:
            return None
        try:
            return msgspec.json.decode(response.data, type=result_type)
        except msgspec.DecodeError as error:
            raise TargetError(f"{path}: malformed response: {error}") from error


def create_target_client(address, pool_size=POOL_SIZE):
    """Return a client for the target at ``address`` (ip:port)."""
    host, _, port = address.rpartition(":")
    pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=pool_size)
    return TargetClient(address, pool)
