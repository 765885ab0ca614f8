"""Asyncio HTTP/1.1 server that parses requests with httptools.

Each connection handles its requests sequentially in one task. The limits can change
while connections are open; each check uses the limits in force at that moment.
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

LISTEN_BACKLOG = 1024  # connections queued by the kernel while the event loop is busy
MAX_PIPELINED_REQUESTS = 64  # unprocessed requests per connection
# The kernel drops a connection whose sent data stays unacknowledged for this long, so
# that an unreachable peer does not hold its connection indefinitely.
TCP_USER_TIMEOUT_MS = 10_000


@dataclass(slots=True)
class HttpLimits:
    """Size and time limits of a request."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(slots=True)
class Request:
    """HTTP request; header names are in lower case."""

    method: str
    target: str
    headers: dict
    body: bytes
    received_at: float  # event loop time at which the last byte arrived
    # Called without arguments if the connection closes during the request.
    close_callbacks: list = field(default_factory=list)

    @property
    def path(self):
        """Return the request target without its query string."""
        return self.target.partition("?")[0]


@dataclass(slots=True)
class Response:
    """HTTP response; ``headers`` is a list of ``(name, value)`` strings."""

    status: int
    body: bytes = b""
    headers: list = field(default_factory=list)
    content_type: str = "application/json"


class HttpServer:
    """HTTP server with its listening socket and open connections."""

    __slots__ = ("_handler", "_limits", "_server", "_connections", "_is_closing")

    def __init__(self, handler, limits):
        self._handler = handler
        self._limits = limits
        self._server = None
        self._connections = set()
        self._is_closing = False

    @property
    def limits(self):
        """Return the HttpLimits in force; assign to its fields to change them."""
        return self._limits

    @property
    def busy_connection_count(self):
        """Return the number of connections with an unfinished request."""
        return sum(1 for connection in self._connections if connection.is_busy)

    async def start(self, address):
        """Listen on ``host:port``; raise AddressInUse if the port is taken."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                lambda: _Connection(self), host, port, backlog=LISTEN_BACKLOG
            )
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            raise AddressInUse(f"HTTP address {address}") from error

    def close_after_responses(self):
        """Close each connection once its current request is answered."""
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
    """Return an HTTP server that has not been started.

    ``handler`` is a coroutine function that takes a Request and returns a Response.
    """
    return HttpServer(handler, limits or HttpLimits())


class _Connection(asyncio.Protocol):
    """Server connection that parses requests and writes responses in order."""

    def __init__(self, server):
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending_requests = []
        self._serve_task = None
        self._timeout_handle = None
        self._current_request = None  # the request being handled
        self._header_bytes = 0
        self._reading_request = False
        self._keep_alive = True
        self._reset_request()

    @property
    def is_busy(self):
        """Return whether a request is being read, queued or handled."""
        return (
            self._reading_request
            or bool(self._pending_requests)
            or self._serve_task is not None
        )

    def connection_made(self, transport):
        self._transport = transport
        self._server._connections.add(self)
        _set_tcp_user_timeout(transport)
        self._start_timeout(self._server.limits.idle_timeout_s)

    def connection_lost(self, error):
        self._server._connections.discard(self)
        self._cancel_timeout()
        # The task is not cancelled: it may be handling a job that was already accepted.
        self._transport = None
        self._pending_requests.clear()
        if self._current_request is not None:
            for callback in self._current_request.close_callbacks:
                callback()

    def data_received(self, data):
        if not self._reading_request:
            self._reading_request = True
            self._start_timeout(self._server.limits.header_timeout_s)
        self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject_request(HTTPStatus.NOT_IMPLEMENTED)
            return
        except httptools.HttpParserError:
            self._reject_request(HTTPStatus.BAD_REQUEST)
            return
        limit = self._server.limits.max_header_bytes
        if not self._headers_complete and self._header_bytes > limit:
            self._reject_request(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_message_begin(self):
        self._reading_request = True
        self._reset_request()

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
            self._body_too_large = True
            return
        self._body_parts.append(body)

    def on_message_complete(self):
        self._cancel_timeout()
        self._reading_request = False
        self._header_bytes = 0
        request = Request(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            b"".join(self._body_parts),
            self._loop.time(),
        )
        self._keep_alive = self._parser.should_keep_alive()
        if self._body_too_large:
            self._reject_request(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        self._pending_requests.append((request, self._keep_alive))
        if len(self._pending_requests) > MAX_PIPELINED_REQUESTS:
            self._reject_request(HTTPStatus.TOO_MANY_REQUESTS)
            return
        if self._serve_task is None:
            self._serve_task = self._loop.create_task(self._serve_requests())

    def abort(self):
        """Close the connection immediately, discarding buffered data."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self):
        """Close the connection unless a request is in progress."""
        if not self.is_busy and self._transport is not None:
            self._transport.close()

    async def _serve_requests(self):
        """Handle the pending requests in order."""
        try:
            while self._pending_requests:
                request, keep_alive = self._pending_requests.pop(0)
                self._current_request = request
                try:
                    response = await self._server._handler(request)
                except Exception:
                    get_logger().exception("http.failed", path=request.path)
                    response = Response(500)
                self._current_request = None
                if self._transport is None:
                    return
                keep_alive = keep_alive and not self._server._is_closing
                self._write_response(response, keep_alive)
                if not keep_alive:
                    return
        finally:
            self._serve_task = None
        if self._transport is not None and not self._reading_request:
            self._start_timeout(self._server.limits.idle_timeout_s)

    def _write_response(self, response, keep_alive):
        self._transport.write(_encode_response(response, keep_alive))
        if not keep_alive:
            self._transport.close()

    def _reject_request(self, status):
        """Close the connection, after an error response if no task is writing to it."""
        get_logger().warning("http.refused", status=int(status))
        if self._transport is not None and self._serve_task is None:
            self._write_response(Response(int(status)), False)
        else:
            self.abort()

    def _reset_request(self):
        self._target = b""
        self._headers = {}
        self._headers_complete = False
        self._body_parts = []
        self._body_bytes = 0
        self._body_too_large = False

    def _start_timeout(self, delay_s):
        self._cancel_timeout()
        self._timeout_handle = self._loop.call_later(delay_s, self._handle_timeout)

    def _cancel_timeout(self):
        if self._timeout_handle is not None:
            self._timeout_handle.cancel()
            self._timeout_handle = None

    def _handle_timeout(self):
        if self._reading_request:
            self._reject_request(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.close_if_idle()


def _set_tcp_user_timeout(transport):
    connection = transport.get_extra_info("socket")
    if connection is not None and connection.family == socket.AF_INET:
        with contextlib.suppress(OSError):
            connection.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
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
