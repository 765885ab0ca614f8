"""Client of the platform's log service; see docs/reference/platform.md.

Every call has explicit timeouts and is sent once: only the caller knows whether a
second attempt is safe. The client is thread-safe.
"""

import math
import time
from dataclasses import dataclass, field
from email.utils import parsedate_to_datetime
from urllib.parse import quote

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from turmericknot.core.exceptions import (
    AppendNotWritten,
    AppendOutcomeUnknown,
    LogUnavailable,
    RecordsTrimmed,
)

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 2.0  # beyond the time that a long poll waits
APPEND_TIMEOUT_S = 2.0
MAX_RECORDS_PER_READ = 1000
POOL_SIZE = 16

# Statuses by which the service states that it wrote nothing.
_NOT_WRITTEN = frozenset({400, 404, 413, 429, 503})
_HTTP_DATE_ROUNDING_S = 0.5  # a Date header omits up to one second
# The request never reached the service.
_NOT_SENT = (NewConnectionError, ConnectTimeoutError)


@dataclass(slots=True)
class LogRecord:
    """One record of a stream."""

    offset: int
    time: float  # wall clock of the log service at the append
    data: bytes


@dataclass(slots=True)
class LogPage:
    """Answer to a read.

    ``next_offset`` is the offset that the next append will get. ``requested_at`` is the
    monotonic time at which the read was sent.
    """

    first_offset: int
    next_offset: int
    log_time: float
    requested_at: float
    records: list[LogRecord] = field(default_factory=list)

    @property
    def caught_up(self):
        """Return whether no record was left out at the time of the answer."""
        return not self.records or self.records[-1].offset + 1 >= self.next_offset


@dataclass(slots=True)
class LogInfo:
    """Limits of the log service and its clock."""

    retention_s: float
    appends_per_s: float
    log_time: float


@dataclass(slots=True)
class AppendResult:
    """Where a record was written."""

    offset: int
    log_time: float


class _Record(msgspec.Struct):
    offset: int
    time: float
    data: bytes  # msgspec decodes base64


class _Page(msgspec.Struct):
    first: int
    next: int
    records: list[_Record]
    now: float = math.nan


class _Info(msgspec.Struct):
    retention_s: float
    appends_per_s: float
    now: float = math.nan


class _Offset(msgspec.Struct):
    offset: int
    now: float = math.nan


class _Trimmed(msgspec.Struct):
    first_offset: int


class LogClient:
    """Connections to one log service."""

    __slots__ = ("_pool", "_url")

    def __init__(self, pool, url):
        self._pool = pool
        self._url = url

    @property
    def url(self):
        """Return the address of the service."""
        return self._url

    def append(self, stream, data, timeout_s=APPEND_TIMEOUT_S):
        """Append one record and return where it was written.

        Raise AppendNotWritten when the record is certainly not in the log and
        AppendOutcomeUnknown when a read-back has to tell.
        """
        try:
            answer = self._request("POST", _path(stream), timeout_s, body=data)
        except _NOT_SENT as error:
            raise AppendNotWritten(f"log service not reached: {error}") from error
        except HTTPError as error:
            raise AppendOutcomeUnknown(f"no answer to an append: {error}") from error
        if answer.status in _NOT_WRITTEN:
            raise AppendNotWritten(f"append refused with status {answer.status}")
        try:
            body = _decode(answer, _Offset)
        except LogUnavailable as error:
            raise AppendOutcomeUnknown(f"append: {error}") from error
        return AppendResult(body.offset, _log_time(answer, body))

    def read(
        self,
        stream,
        start,
        wait_s=0.0,
        max_records=MAX_RECORDS_PER_READ,
        timeout_s=READ_TIMEOUT_S,
    ):
        """Return records from offset ``start``; wait up to ``wait_s`` for the first.

        Raise RecordsTrimmed when ``start`` is older than the retention and
        LogUnavailable when the service gives no answer.
        """
        query = f"?from={start}&max={max_records}&wait_s={wait_s:g}"
        requested_at = time.monotonic()
        answer = self._read("GET", _path(stream) + query, wait_s + timeout_s)
        if answer.status == 410:
            raise RecordsTrimmed(_decode(answer, _Trimmed, expected=410).first_offset)
        page = _decode(answer, _Page)
        return LogPage(
            first_offset=page.first,
            next_offset=page.next,
            log_time=_log_time(answer, page),
            requested_at=requested_at,
            records=[LogRecord(r.offset, r.time, r.data) for r in page.records],
        )

    def info(self, timeout_s=READ_TIMEOUT_S):
        """Return the limits of the service or raise LogUnavailable."""
        answer = self._read("GET", "/v1/info", timeout_s)
        info = _decode(answer, _Info)
        log_time = _log_time(answer, info)
        return LogInfo(info.retention_s, info.appends_per_s, log_time)

    def close(self):
        """Close the connections."""
        self._pool.clear()

    def _read(self, method, path, timeout_s):
        try:
            return self._request(method, path, timeout_s)
        except HTTPError as error:
            raise LogUnavailable(f"log service gives no answer: {error}") from error

    def _request(self, method, path, timeout_s, body=None):
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
        )
        return self._pool.request(
            method,
            self._url + path,
            body=body,
            timeout=timeout,
            retries=False,
            redirect=False,
        )


def create_log_client(url, pool_size=POOL_SIZE):
    """Return a client of the log service at ``url`` (http://ip:port)."""
    pool = urllib3.PoolManager(num_pools=1, maxsize=pool_size)
    return LogClient(pool, url.rstrip("/"))


def _path(stream):
    return f"/v1/streams/{quote(stream, safe='')}"


def _decode(answer, kind, expected=200):
    """Return the typed body or raise LogUnavailable."""
    if answer.status != expected:
        raise LogUnavailable(f"log service answered {answer.status}")
    try:
        return msgspec.json.decode(answer.data, type=kind)
    except msgspec.DecodeError as error:
        raise LogUnavailable(f"undecodable answer: {error}") from error


def _log_time(answer, body):
    """Return the service's clock: ``now`` when given, else the Date header."""
    if not math.isnan(body.now):
        return body.now
    try:
        date = parsedate_to_datetime(answer.headers["Date"])
    except (KeyError, ValueError, TypeError):
        return math.nan
    return date.timestamp() + _HTTP_DATE_ROUNDING_S
