"""Asyncio HTTP/1.1 client with a connection pool for a single address.

The client never retries a call: only the caller knows whether a retry is safe.
"""

import asyncio
import socket
from dataclasses import dataclass

import httptools

from turmericknot.core.addresses import split_address
from turmericknot.core.exceptions import (
    CallAnswerLost,
    CallNotSent,
    CallWithdrawn,
    ConnectTimedOut,
)

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 8
# The peer may close a connection that has been idle for longer than this, so such a
# connection is not reused.
MAX_CONNECTION_IDLE_S = 60.0
# The kernel drops a connection whose sent data stays unacknowledged for this long. A
# peer that acknowledges data but does not respond is covered by the call's timeout.
TCP_USER_TIMEOUT_MS = 3000


@dataclass(slots=True)
class ClientResponse:
    """Response to a call; header names are in lower case."""

    status: int
    headers: dict
    body: bytes


class HttpClient:
    """HTTP client with pooled connections to one ``host:port``."""

    __slots__ = (
        "_address",
        "_host",
        "_port",
        "_idle_connections",
        "_connections_opened",
    )

    def __init__(self, address):
        self._address = address
        self._host, self._port = split_address(address)
        self._idle_connections = []
        self._connections_opened = 0

    @property
    def address(self):
        """Return the address of the peer."""
        return self._address

    @property
    def connections_opened(self):
        """Return the number of connections opened so far."""
        return self._connections_opened

    async def request(
        self,
        method,
        target,
        body=b"",
        headers=(),
        timeout_s=2.0,
        may_send=None,
        connect_timeout_s=None,
    ):
        """Send a request and return its ClientResponse.

        ``timeout_s`` limits the wait for the response and, unless
        ``connect_timeout_s`` is given, the connection attempt. ``may_send()`` is asked
        once the connection is open. Raise CallNotSent if the peer has certainly not
        received the request, its subclass CallWithdrawn if ``may_send()`` returned
        False, and CallAnswerLost if the peer may have received it.
        """
        loop = asyncio.get_running_loop()
        connection = self._take_idle_connection(loop.time())
        if connection is None:
            connection = await self._connect(connect_timeout_s or timeout_s)
        if may_send is not None and not may_send():
            self._idle_connections.append((loop.time(), connection))
            raise CallWithdrawn(f"{self._address}: the call is no longer allowed")
        response_future = connection.send(method, target, body, headers)
        try:
            async with asyncio.timeout(timeout_s):
                response, reusable = await response_future
        except TimeoutError as error:
            connection.abort()
            raise CallAnswerLost(
                f"{self._address}: no response within the timeout"
            ) from error
        except asyncio.CancelledError:
            connection.abort()
            raise
        if reusable and len(self._idle_connections) < MAX_IDLE_CONNECTIONS:
            self._idle_connections.append((loop.time(), connection))
        else:
            connection.abort()
        return response

    def close(self):
        """Close the idle connections."""
        for _, connection in self._idle_connections:
            connection.abort()
        self._idle_connections.clear()

    def _take_idle_connection(self, now):
        while self._idle_connections:
            idle_since, connection = self._idle_connections.pop()
            if connection.is_open and now - idle_since < MAX_CONNECTION_IDLE_S:
                return connection
            connection.abort()
        return None

    async def _connect(self, timeout_s):
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(min(CONNECT_TIMEOUT_S, timeout_s)):
                _, connection = await loop.create_connection(
                    lambda: _ClientConnection(self._address), self._host, self._port
                )
        except TimeoutError as error:
            raise ConnectTimedOut(f"{self._address}: connection timed out") from error
        except OSError as error:
            raise CallNotSent(f"{self._address}: {error}") from error
        self._connections_opened += 1
        return connection


def create_http_client(address):
    """Return a client for the server at ``host:port``."""
    return HttpClient(address)


class _ClientConnection(asyncio.Protocol):
    """Client connection with at most one call in progress."""

    def __init__(self, address):
        self._address = address
        self._transport = None
        self._parser = None
        self._response_future = None
        self._headers = {}
        self._body_parts = []

    @property
    def is_open(self):
        """Return whether the connection is established and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport):
        self._transport = transport
        transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )

    def connection_lost(self, error):
        self._transport = None
        self._fail_call(error or "connection closed by peer")

    def send(self, method, target, body, headers):
        """Send a request and return the future of its response.

        The future resolves to the ClientResponse and to whether the connection can be
        reused.
        """
        self._response_future = asyncio.get_running_loop().create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._headers = {}
        self._body_parts = []
        lines = [f"{method} {target} HTTP/1.1\r\nHost: {self._address}\r\n"]
        for name, value in headers:
            lines.append(f"{name}: {value}\r\n")
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}\r\n")
        lines.append("\r\n")
        self._transport.write("".join(lines).encode("latin-1") + body)
        return self._response_future

    def abort(self):
        """Close the connection without sending buffered data."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data):
        if self._response_future is None or self._response_future.done():
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail_call(f"malformed response: {error}")
            self.abort()

    def on_header(self, name, value):
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body):
        self._body_parts.append(body)

    def on_message_complete(self):
        status = self._parser.get_status_code()
        if status < 200:
            self._headers = {}
            return
        if self._response_future.done():
            return
        response = ClientResponse(status, self._headers, b"".join(self._body_parts))
        self._response_future.set_result((response, self._parser.should_keep_alive()))

    def _fail_call(self, reason):
        if self._response_future is not None and not self._response_future.done():
            self._response_future.set_exception(
                CallAnswerLost(f"{self._address}: {reason}")
            )
