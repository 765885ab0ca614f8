"""Client for the platform's log service; see docs/reference/platform.md.

Every call has explicit timeouts. The client never retries a call: only the caller
knows whether a retry is safe. The client is thread-safe.
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
READ_TIMEOUT_S = 2.0  # in addition to the wait of a long poll
APPEND_TIMEOUT_S = 2.0
MAX_RECORDS_PER_READ = 1000
POOL_SIZE = 16

# Response statuses which guarantee that the service wrote nothing.
_NOT_WRITTEN_STATUSES = frozenset({400, 404, 413, 429, 503})
_HTTP_DATE_ROUNDING_S = 0.5  # half of the second that a Date header can omit
# Errors raised before the request was sent.
_NOT_SENT_ERRORS = (NewConnectionError, ConnectTimeoutError)


@dataclass(slots=True)
class LogRecord:
    """Record of a stream."""

    offset: int
    time: float  # wall-clock time of the log service at the append
    data: bytes


@dataclass(slots=True)
class LogPage:
    """Result of a read.

    ``next_offset`` is the offset of the next append. ``log_time`` is the wall-clock
    time of the log service. ``requested_at`` is the monotonic time at which the read
    was sent.
    """

    first_offset: int
    next_offset: int
    log_time: float
    requested_at: float
    records: list[LogRecord] = field(default_factory=list)

    @property
    def caught_up(self):
        """Return whether the page reached the end of the stream when it was read."""
        return not self.records or self.records[-1].offset + 1 >= self.next_offset


@dataclass(slots=True)
class LogInfo:
    """Limits and current time of the log service."""

    retention_s: float
    appends_per_s: float
    log_time: float


@dataclass(slots=True)
class AppendResult:
    """Offset and time of an appended record."""

    offset: int
    log_time: float


class _Record(msgspec.Struct):
    offset: int
    time: float
    data: bytes  # base64 in JSON, decoded by msgspec


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
    """Client for one log service with pooled connections."""

    __slots__ = ("_pool", "_url")

    def __init__(self, pool, url):
        self._pool = pool
        self._url = url

    @property
    def url(self):
        """Return the base URL of the service."""
        return self._url

    def append(self, stream, data, timeout_s=APPEND_TIMEOUT_S):
        """Append a record and return its AppendResult.

        Raise AppendNotWritten if the record was certainly not written and
        AppendOutcomeUnknown if only reading the stream can tell.
        """
        try:
            response = self._request("POST", _stream_path(stream), timeout_s, body=data)
        except _NOT_SENT_ERRORS as error:
            raise AppendNotWritten(
                f"could not connect to the log service: {error}"
            ) from error
        except HTTPError as error:
            raise AppendOutcomeUnknown(f"no response to the append: {error}") from error
        if response.status in _NOT_WRITTEN_STATUSES:
            raise AppendNotWritten(
                f"append rejected with HTTP status {response.status}"
            )
        try:
            body = _decode_body(response, _Offset)
        except LogUnavailable as error:
            raise AppendOutcomeUnknown(f"append outcome unknown: {error}") from error
        return AppendResult(body.offset, _log_time(response, body))

    def read(
        self,
        stream,
        start,
        wait_s=0.0,
        max_records=MAX_RECORDS_PER_READ,
        timeout_s=READ_TIMEOUT_S,
    ):
        """Return records from offset ``start``; wait up to ``wait_s`` for the first.

        Raise RecordsTrimmed if ``start`` is older than the retention and
        LogUnavailable if the service returns no valid response.
        """
        query = f"?from={start}&max={max_records}&wait_s={wait_s:g}"
        requested_at = time.monotonic()
        response = self._read("GET", _stream_path(stream) + query, wait_s + timeout_s)
        if response.status == 410:
            raise RecordsTrimmed(
                _decode_body(response, _Trimmed, expected=410).first_offset
            )
        page = _decode_body(response, _Page)
        return LogPage(
            first_offset=page.first,
            next_offset=page.next,
            log_time=_log_time(response, page),
            requested_at=requested_at,
            records=[LogRecord(r.offset, r.time, r.data) for r in page.records],
        )

    def info(self, timeout_s=READ_TIMEOUT_S):
        """Return the LogInfo of the service or raise LogUnavailable."""
        response = self._read("GET", "/v1/info", timeout_s)
        info = _decode_body(response, _Info)
        log_time = _log_time(response, info)
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
    """Return a client for the log service at ``url`` (http://ip:port)."""
    pool = urllib3.PoolManager(num_pools=1, maxsize=pool_size)
    return LogClient(pool, url.rstrip("/"))


def _stream_path(stream):
    return f"/v1/streams/{quote(stream, safe='')}"


def _decode_body(response, body_type, expected=200):
    """Return the body decoded as ``body_type``, or raise LogUnavailable."""
    if response.status != expected:
        raise LogUnavailable(f"log service returned HTTP status {response.status}")
    try:
        return msgspec.json.decode(response.data, type=body_type)
    except msgspec.DecodeError as error:
        raise LogUnavailable(
            f"malformed response from the log service: {error}"
        ) from error


def _log_time(response, body):
    """Return the service's time: ``now`` if given, else that of the Date header."""
    if not math.isnan(body.now):
        return body.now
    try:
        date = parsedate_to_datetime(response.headers["Date"])
    except (KeyError, ValueError, TypeError):
        return math.nan
    return date.timestamp() + _HTTP_DATE_ROUNDING_S
