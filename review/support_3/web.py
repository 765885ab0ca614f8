"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
from dataclasses import dataclass, field
from urllib.parse import parse_qs

MAX_HEADER_BYTES = 65_536


@dataclass(slots=True)
class Call:
    """A call that a server has received; header names are in lower case."""

    method: str
    path: str
    query: dict
    headers: dict
    body: bytes


@dataclass(slots=True)
class Reply:
    """The answer to a call; None as a handler's result leaves it unanswered."""

    status: int
    body: bytes = b""
    headers: dict = field(default_factory=dict)


class Server:
    """A server on a loopback address; its handler is a coroutine function."""

    def __init__(self, handler):
        self._handler = handler
        self._server = None
        self._writers = set()
        self._silent = set()  # writers whose connection returns nothing further

    async def start(self, host="127.0.0.1", port=0):
        """Listen; return the address."""
        self._server = await asyncio.start_server(
            self._serve, host, port, reuse_address=True, backlog=512
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def stop(self):
        """Close the listening socket and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_connections()

    def reset_connections(self):
        """Reset the open connections; new ones work."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence_connections(self):
        """Let the open connections go silent for good; new ones work."""
        self._silent |= self._writers

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (call := await _read_call(reader)) is not None:
                is_silent = writer in self._silent
                reply = None if is_silent else await self._handler(call)
                if reply is None or writer in self._silent:
                    # The connection returns nothing further.
                    await reader.read()
                    return
                writer.write(_encode_reply(reply))
                await writer.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError, ValueError):
            pass
        except asyncio.CancelledError:
            pass  # the stand-in is being ended
        finally:
            self._writers.discard(writer)
            self._silent.discard(writer)
            writer.close()


async def _read_call(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = _decode_headers(lines[1:])
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    path, _, query = target.partition("?")
    values = {name: rows[0] for name, rows in parse_qs(query).items()}
    return Call(method, path, values, headers, body)


def _decode_headers(lines):
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


def _encode_reply(reply):
    lines = [f"HTTP/1.1 {reply.status} -"]
    lines += [f"{name}: {value}" for name, value in reply.headers.items()]
    lines.append(f"Content-Length: {len(reply.body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + reply.body


async def request(address, method, path, body=b"", headers=None, timeout_s=2.0):
    """Send a call on a connection of its own; return (status, body).

    Raise OSError, EOFError or TimeoutError if no whole answer arrives.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": address, **(headers or {})}
            lines += [f"{name}: {value}" for name, value in fields.items()]
            lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            head = await reader.readuntil(b"\r\n\r\n")
            status_line, *rows = head.decode("latin-1").split("\r\n")
            length = int(_decode_headers(rows).get("content-length", 0))
            return int(status_line.split(" ")[1]), await reader.readexactly(length)
        finally:
            writer.transport.abort()
