"""The HTTP server and client, over real sockets and against broken peers."""

import asyncio
import contextlib

import pytest

from turmericknot.aio.client import create_http_client
from turmericknot.aio.server import HttpLimits, Response, create_http_server
from turmericknot.core.exceptions import AddressInUse, CallAnswerLost, CallNotSent


async def echo(request):
    return Response(200, request.method.encode() + request.body)


@contextlib.asynccontextmanager
async def serving(handler, **limits):
    server = create_http_server(handler, HttpLimits(**limits))
    await server.start("127.0.0.1:0")
    host, port = server._server.sockets[0].getsockname()
    try:
        yield server, f"{host}:{port}"
    finally:
        server.stop()


async def exchange(address, data):
    """Send bytes and return what comes back until the peer closes."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        async with asyncio.timeout(3):
            return await reader.read()
    finally:
        writer.close()


def test_calls_share_a_connection():
    """Each new connection costs a handshake."""

    async def main():
        async with serving(echo) as (server, address):
            client = create_http_client(address)
            for _ in range(5):
                reply = await client.request("POST", "/x", b"body")
                assert (reply.status, reply.body) == (200, b"POSTbody")
            assert client.opened == 1
            client.close()

    asyncio.run(main())


def test_pipelined_requests_are_answered_in_order():
    """An answer to another request would be taken as the caller's own."""

    async def main():
        async def slow_first(request):
            await asyncio.sleep(0.05 if request.path == "/1" else 0)
            return Response(200, request.path.encode())

        async with serving(slow_first) as (server, address):
            data = (
                b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n"
            )
            answer = await exchange(address, data)
            assert answer.index(b"/1") < answer.index(b"/2")

    asyncio.run(main())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nA: " + b"x" * 4000, b"431"),
        (b"POST / HTTP/1.1\r\nContent-Length: 500\r\n\r\n" + b"x" * 500, b"413"),
        (b"POST / HTTP/1.1\r\nContent-Le", b"408"),
    ],
)
def test_bounds_of_a_request(data, status):
    """A client must not hold memory or a connection beyond the limits."""

    async def main():
        limits = {
            "max_header_bytes": 1000,
            "max_body_bytes": 100,
            "header_timeout_s": 0.2,
        }
        async with serving(echo, **limits) as (server, address):
            answer = await exchange(address, data)
            assert answer.startswith(b"HTTP/1.1 " + status)

    asyncio.run(main())


def test_departure_of_a_client_is_reported():
    """Work for a caller that has left must be stopped."""

    async def main():
        left = asyncio.Event()

        async def handler(request):
            request.close_callbacks.append(left.set)
            await asyncio.sleep(5)
            return Response(200)

        async with serving(handler) as (server, address):
            client = create_http_client(address)
            with pytest.raises(CallAnswerLost):
                await client.request("GET", "/", timeout_s=0.1)
            async with asyncio.timeout(2):
                await left.wait()

    asyncio.run(main())


def test_stopping_server_finishes_the_request_in_progress():
    """A planned stop must not cut off a request."""

    async def main():
        async def handler(request):
            await asyncio.sleep(0.2)
            return Response(200, b"whole")

        async with serving(handler) as (server, address):
            client = create_http_client(address)
            call = asyncio.create_task(client.request("GET", "/"))
            await asyncio.sleep(0.05)
            server.close_after_responses()
            assert (await call).body == b"whole"

    asyncio.run(main())


def test_refused_connection_means_not_sent():
    """Only a call that was not sent may be repeated without care."""

    async def main():
        async with serving(echo) as (server, address):
            pass
        with pytest.raises(CallNotSent):
            await create_http_client(address).request("GET", "/")

    asyncio.run(main())


def test_broken_answer_means_that_the_call_may_have_been_executed():
    """A lost answer taken as a refusal would run work twice."""

    async def main():
        async def broken(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
            writer.close()

        server = await asyncio.start_server(broken, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        with pytest.raises(CallAnswerLost):
            await create_http_client(f"{host}:{port}").request("GET", "/")
        server.close()

    asyncio.run(main())


def test_taken_port():
    """Two processes on one port must be told apart from a fault."""

    async def main():
        async with serving(echo) as (server, address):
            with pytest.raises(AddressInUse):
                await create_http_server(echo).start(address)

    asyncio.run(main())
