"""HTTP/1.1 client on asyncio with a pool of connections to one address.

Every call is sent once: only the caller knows whether a second attempt is safe.
"""

import asyncio
import socket
from dataclasses import dataclass

import httptools

from turmericknot.core.addresses import split_address
from turmericknot.core.exceptions import CallAnswerLost, CallNotSent

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 8
# The peer may close a connection that has been idle for longer than this.
MAX_IDLE_S = 60.0
# Unacknowledged bytes end a connection after this time; a silent peer is noticed
# by the time-out of the call.
USER_TIMEOUT_MS = 3000


@dataclass(slots=True)
class HttpReply:
    """Answer to a call; header names are in lower case."""

    status: int
    headers: dict
    body: bytes


class HttpClient:
    """Connections to one ``host:port``."""

    __slots__ = ("_address", "_host", "_port", "_idle", "_opened")

    def __init__(self, address):
        self._address = address
        self._host, self._port = split_address(address)
        self._idle = []
        self._opened = 0

    @property
    def address(self):
        """Return the address of the peer."""
        return self._address

    @property
    def opened(self):
        """Return how many connections have been opened so far."""
        return self._opened

    async def request(self, method, target, body=b"", headers=(), timeout_s=2.0):
        """Send a request and return its Reply.

        ``timeout_s`` bounds the whole call. Raise CallNotSent when the peer has
        certainly not received it, CallAnswerLost when it may have.
        """
        loop = asyncio.get_running_loop()
        connection = self._take_idle(loop.time()) or await self._connect(timeout_s)
        done = connection.send(method, target, body, headers)
        try:
            async with asyncio.timeout(timeout_s):
                reply, reusable = await done
        except TimeoutError as error:
            connection.abort()
            raise CallAnswerLost(f"{self._address}: no answer in time") from error
        except asyncio.CancelledError:
            connection.abort()
            raise
        if reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append((loop.time(), connection))
        else:
            connection.abort()
        return reply

    def close(self):
        """Drop the idle connections."""
        for _, connection in self._idle:
            connection.abort()
        self._idle.clear()

    def _take_idle(self, now):
        while self._idle:
            since, connection = self._idle.pop()
            if connection.is_open and now - since < MAX_IDLE_S:
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
        except (OSError, TimeoutError) as error:
            raise CallNotSent(f"{self._address}: {error or 'no connection'}") from error
        self._opened += 1
        return connection


def create_http_client(address):
    """Return a client of the server at ``host:port``."""
    return HttpClient(address)


class _ClientConnection(asyncio.Protocol):
    """One connection with at most one call in progress."""

    def __init__(self, address):
        self._address = address
        self._transport = None
        self._parser = None
        self._done = None
        self._headers = {}
        self._body_parts = []

    @property
    def is_open(self):
        """Return whether the peer has not closed the connection."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport):
        self._transport = transport
        transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )

    def connection_lost(self, error):
        self._transport = None
        self._fail(error or "closed by peer")

    def send(self, method, target, body, headers):
        """Write a request; return the future of its Reply and of reusability."""
        self._done = asyncio.get_running_loop().create_future()
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
        return self._done

    def abort(self):
        """Drop the connection."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data):
        if self._done is None or self._done.done():
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"unreadable answer: {error}")
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
        if self._done.done():
            return
        reply = HttpReply(status, self._headers, b"".join(self._body_parts))
        self._done.set_result((reply, self._parser.should_keep_alive()))

    def _fail(self, reason):
        if self._done is not None and not self._done.done():
            self._done.set_exception(CallAnswerLost(f"{self._address}: {reason}"))
