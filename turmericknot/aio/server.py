"""HTTP/1.1 server on asyncio; httptools parses, one task serves a connection.

Requests of a connection are answered one after the other. The limits can change
while connections are open: each request uses those in force when it starts.
"""

import asyncio
import contextlib
import errno
import socket
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

from turmericknot.core.addresses import split_address
from turmericknot.core.exceptions import AddressInUse
from turmericknot.utils.logging import get_logger

BACKLOG = 1024  # connections that the kernel queues while the loop is busy
MAX_PIPELINED = 64  # requests of one connection that wait for their turn
# A peer that has vanished holds its connection for this long.
USER_TIMEOUT_MS = 10_000


@dataclass(slots=True)
class HttpLimits:
    """Bounds of one request: sizes in bytes, times in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(slots=True)
class Request:
    """One request; header names are in lower case."""

    method: str
    target: str
    headers: dict
    body: bytes
    received_at: float  # loop time of the last byte
    # Called with no arguments when the client closes its connection.
    close_callbacks: list = field(default_factory=list)

    @property
    def path(self):
        """Return the target without its query."""
        return self.target.partition("?")[0]


@dataclass(slots=True)
class Response:
    """Answer to a request; ``headers`` holds pairs of text."""

    status: int
    body: bytes = b""
    headers: list = field(default_factory=list)
    content_type: str = "application/json"


class HttpServer:
    """A listening socket and its open connections."""

    __slots__ = ("_handler", "_limits", "_server", "_connections", "_is_closing")

    def __init__(self, handler, limits):
        self._handler = handler
        self._limits = limits
        self._server = None
        self._connections = set()
        self._is_closing = False

    @property
    def limits(self):
        """Return the HttpLimits in force; replace the fields to change them."""
        return self._limits

    @property
    def busy_connection_count(self):
        """Return how many connections have a request that is not answered yet."""
        return sum(1 for connection in self._connections if connection.is_busy)

    async def start(self, address):
        """Listen on ``host:port``; raise AddressInUse when the port is taken."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                lambda: _Connection(self), host, port, backlog=BACKLOG
            )
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            raise AddressInUse(f"HTTP address {address}") from error

    def close_after_responses(self):
        """Close every connection as soon as its present request is answered."""
        self._is_closing = True
        for connection in list(self._connections):
            connection.close_if_idle()

    def stop(self):
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()


def create_http_server(handler, limits=None):
    """Return a server that is not started.

    ``handler`` is a coroutine function that takes a Request and returns a Response.
    """
    return HttpServer(handler, limits or HttpLimits())


class _Connection(asyncio.Protocol):
    """Parse requests of one connection and write their answers in order."""

    def __init__(self, server):
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting = []
        self._task = None
        self._timer = None
        self._current = None  # the request that is being answered
        self._header_bytes = 0
        self._in_message = False
        self._keep_alive = True
        self._reset_message()

    @property
    def is_busy(self):
        """Return whether a request is being read or answered."""
        return self._in_message or bool(self._waiting) or self._task is not None

    def connection_made(self, transport):
        self._transport = transport
        self._server._connections.add(self)
        _set_user_timeout(transport)
        self._arm(self._server.limits.idle_timeout_s)

    def connection_lost(self, error):
        self._server._connections.discard(self)
        self._disarm()
        # The task is left to end: what it has begun may be an accepted job.
        self._transport = None
        self._waiting.clear()
        if self._current is not None:
            for callback in self._current.close_callbacks:
                callback()

    def data_received(self, data):
        if not self._in_message:
            self._in_message = True
            self._arm(self._server.limits.header_timeout_s)
        self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(HTTPStatus.NOT_IMPLEMENTED)
            return
        except httptools.HttpParserError:
            self._refuse(HTTPStatus.BAD_REQUEST)
            return
        limit = self._server.limits.max_header_bytes
        if not self._headers_complete and self._header_bytes > limit:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_message_begin(self):
        self._in_message = True
        self._reset_message()

    def on_url(self, url):
        self._target += url

    def on_header(self, name, value):
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self):
        self._headers_complete = True
        if self._headers.get("expect", "").lower() == "100-continue":
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body):
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._body_parts.clear()
            self._too_large = True
            return
        self._body_parts.append(body)

    def on_message_complete(self):
        self._disarm()
        self._in_message = False
        self._header_bytes = 0
        request = Request(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            b"".join(self._body_parts),
            self._loop.time(),
        )
        self._keep_alive = self._parser.should_keep_alive()
        if self._too_large:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        self._waiting.append((request, self._keep_alive))
        if len(self._waiting) > MAX_PIPELINED:
            self._refuse(HTTPStatus.TOO_MANY_REQUESTS)
            return
        if self._task is None:
            self._task = self._loop.create_task(self._serve())

    def abort(self):
        """Drop the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self):
        """Close the connection unless a request is in progress."""
        if not self.is_busy and self._transport is not None:
            self._transport.close()

    async def _serve(self):
        """Answer the requests that have been read, one after the other."""
        try:
            while self._waiting:
                request, keep_alive = self._waiting.pop(0)
                self._current = request
                try:
                    response = await self._server._handler(request)
                except Exception:
                    get_logger().exception("http.failed", path=request.path)
                    response = Response(500)
                self._current = None
                if self._transport is None:
                    return
                keep_alive = keep_alive and not self._server._is_closing
                self._write(response, keep_alive)
                if not keep_alive:
                    return
        finally:
            self._task = None
        if self._transport is not None and not self._in_message:
            self._arm(self._server.limits.idle_timeout_s)

    def _write(self, response, keep_alive):
        self._transport.write(_encode_response(response, keep_alive))
        if not keep_alive:
            self._transport.close()

    def _refuse(self, status):
        """Answer a request that cannot be served and close the connection."""
        get_logger().warning("http.refused", status=int(status))
        if self._transport is not None and self._task is None:
            self._write(Response(int(status)), False)
        else:
            self.abort()

    def _reset_message(self):
        self._target = b""
        self._headers = {}
        self._headers_complete = False
        self._body_parts = []
        self._body_bytes = 0
        self._too_large = False

    def _arm(self, delay_s):
        self._disarm()
        self._timer = self._loop.call_later(delay_s, self._time_out)

    def _disarm(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _time_out(self):
        if self._in_message:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.close_if_idle()


def _set_user_timeout(transport):
    connection = transport.get_extra_info("socket")
    if connection is not None and connection.family == socket.AF_INET:
        with contextlib.suppress(OSError):
            connection.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )


_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n"
    for status in HTTPStatus
}


def _encode_response(response, keep_alive):
    lines = [_STATUS_LINES[response.status]]
    for name, value in response.headers:
        lines.append(f"{name}: {value}\r\n")
    if response.body:
        lines.append(f"Content-Type: {response.content_type}\r\n")
    lines.append(f"Content-Length: {len(response.body)}\r\n")
    if not keep_alive:
        lines.append("Connection: close\r\n")
    lines.append("\r\n")
    return "".join(lines).encode("latin-1") + response.body
