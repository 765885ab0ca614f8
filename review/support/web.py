"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins."""

import asyncio
import contextlib
import json
import socket
from dataclasses import dataclass

CALL_TIMEOUT_S = 5.0
FILLERS = 3  # connections that fill the queue of a listening socket
FILL_TIMEOUT_S = 0.05


@dataclass(slots=True)
class Call:
    """One request; ``query`` is the text after the question mark."""

    method: str
    path: str
    query: str
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body) if self.body else {}


class NoAnswer(Exception):
    """Raised by a handler to close the connection without a response."""


async def read_message(reader):
    """Return (first line, headers, body), or None at the end of the connection."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while (row := await reader.readline()).strip():
        name, _, value = row.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line.decode("latin-1").strip(), headers, body


def encode_body(body):
    """Return bytes as they are, and anything else as JSON."""
    return body if isinstance(body, bytes) else json.dumps(body).encode()


class ListeningSocket:
    """A listening socket that can be blocked: opening packets are then dropped."""

    def __init__(self):
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._fillers = []

    def bind(self, address):
        host, _, port = address.rpartition(":")
        self._socket.bind((host, int(port)))

    def duplicate(self):
        return self._socket.dup()

    async def block(self):
        """Fill the queue of connections; nobody may accept any meanwhile."""
        self._socket.listen(0)
        loop = asyncio.get_running_loop()
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            self._fillers.append(filler)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FILL_TIMEOUT_S):
                    await loop.sock_connect(filler, self._socket.getsockname())

    def unblock(self):
        for filler in self._fillers:
            filler.close()
        self._fillers = []

    def close(self):
        self.unblock()
        self._socket.close()


class WebServer:
    """Serves ``handle(call)``, a coroutine function that returns (status, body)."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self.address = ""

    async def start_on(self, listening_socket):
        """Serve the connections of a ListeningSocket."""
        listener = listening_socket.duplicate()
        self._server = await asyncio.start_server(
            self._serve, sock=listener, backlog=512
        )
        host, port = listener.getsockname()
        self.address = f"{host}:{port}"

    def stop_accepting(self):
        self._server.close()

    def stop(self):
        """Stop listening and reset all connections, as the end of a process does."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                status, reply = await self._handle(
                    Call(method, path, query, headers, body)
                )
                data = encode_body(reply)
                head = f"HTTP/1.1 {status} -\r\nContent-Length: {len(data)}\r\n"
                head += "Content-Type: application/json\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (NoAnswer, OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass  # the case ends
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(address, method, target, body=None, headers=(), timeout_s=None):
    """Make one call on a connection of its own; return (status, body).

    Raise OSError if the connection breaks, TimeoutError without an answer in time.
    The connection is closed then, as a client does that leaves.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s or CALL_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = encode_body(body) if body is not None else b""
            head = f"{method} {target} HTTP/1.1\r\nContent-Length: {len(data)}\r\n"
            names = {name.lower() for name, _ in headers}
            if "host" not in names:
                head += f"Host: {address}\r\n"
            for name, value in headers:
                head += f"{name}: {value}\r\n"
            writer.write(head.encode() + b"\r\n" + data)
            message = await read_message(reader)
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError("the answer is incomplete") from error
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        raise ConnectionResetError("no answer")
    line, _, reply = message
    try:
        return int(line.split(" ")[1]), json.loads(reply) if reply else None
    except (IndexError, ValueError) as error:
        raise ConnectionResetError(f"no HTTP: {line!r}") from error
