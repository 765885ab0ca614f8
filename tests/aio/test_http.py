"""HTTP server and client over real sockets, including malformed messages."""

import asyncio
import contextlib

import pytest

from turmericknot.aio.client import create_http_client
from turmericknot.aio.server import HttpLimits, Response, create_http_server
from turmericknot.core.exceptions import (
    AddressInUse,
    CallAnswerLost,
    CallNotSent,
    CallWithdrawn,
)


async def echo_handler(request):
    return Response(200, request.method.encode() + request.body)


@contextlib.asynccontextmanager
async def running_server(handler, **limits):
    server = create_http_server(handler, HttpLimits(**limits))
    await server.start("127.0.0.1:0")
    host, port = server._server.sockets[0].getsockname()
    try:
        yield server, f"{host}:{port}"
    finally:
        server.stop()


async def send_raw(address, raw_request):
    """Send raw bytes and return everything received until the server closes."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(raw_request)
    try:
        async with asyncio.timeout(3):
            return await reader.read()
    finally:
        writer.close()


def test_calls_reuse_a_connection():
    """Guards against a TCP handshake for every call."""

    async def main():
        async with running_server(echo_handler) as (server, address):
            client = create_http_client(address)
            for _ in range(5):
                response = await client.request("POST", "/x", b"body")
                assert (response.status, response.body) == (200, b"POSTbody")
            assert client.connections_opened == 1
            client.close()

    asyncio.run(main())


def test_withdrawn_call_is_not_sent():
    """Guards against a call whose permission ended while its connection opened."""

    async def main():
        received = []

        async def handler(request):
            received.append(request.path)
            return Response(200)

        async with running_server(handler) as (server, address):
            client = create_http_client(address)
            with pytest.raises(CallWithdrawn):
                await client.request("POST", "/late", may_send=lambda: False)
            await client.request("POST", "/ok", may_send=lambda: True)
            assert received == ["/ok"]
            assert client.connections_opened == 1
            client.close()

    asyncio.run(main())


def test_pipelined_responses_keep_request_order():
    """Guards against matching a response to the wrong request."""

    async def main():
        async def slow_first_handler(request):
            await asyncio.sleep(0.05 if request.path == "/1" else 0)
            return Response(200, request.path.encode())

        async with running_server(slow_first_handler) as (server, address):
            raw_request = (
                b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n"
            )
            response_bytes = await send_raw(address, raw_request)
            assert response_bytes.index(b"/1") < response_bytes.index(b"/2")

    asyncio.run(main())


@pytest.mark.parametrize(
    ("raw_request", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nA: " + b"x" * 4000, b"431"),
        (b"POST / HTTP/1.1\r\nContent-Length: 500\r\n\r\n" + b"x" * 500, b"413"),
        (b"POST / HTTP/1.1\r\nContent-Le", b"408"),
    ],
)
def test_request_limits(raw_request, status):
    """Guards against clients that hold memory or connections beyond the limits."""

    async def main():
        limits = {
            "max_header_bytes": 1000,
            "max_body_bytes": 100,
            "header_timeout_s": 0.2,
        }
        async with running_server(echo_handler, **limits) as (server, address):
            response_bytes = await send_raw(address, raw_request)
            assert response_bytes.startswith(b"HTTP/1.1 " + status)

    asyncio.run(main())


def test_client_disconnect_runs_close_callbacks():
    """Guards against continuing work for a client that has disconnected."""

    async def main():
        client_disconnected = asyncio.Event()

        async def handler(request):
            request.close_callbacks.append(client_disconnected.set)
            await asyncio.sleep(5)
            return Response(200)

        async with running_server(handler) as (server, address):
            client = create_http_client(address)
            with pytest.raises(CallAnswerLost):
                await client.request("GET", "/", timeout_s=0.1)
            async with asyncio.timeout(2):
                await client_disconnected.wait()

    asyncio.run(main())


def test_graceful_close_finishes_request_in_progress():
    """Guards against a graceful shutdown that aborts requests in progress."""

    async def main():
        async def handler(request):
            await asyncio.sleep(0.2)
            return Response(200, b"whole")

        async with running_server(handler) as (server, address):
            client = create_http_client(address)
            call = asyncio.create_task(client.request("GET", "/"))
            await asyncio.sleep(0.05)
            server.close_after_responses()
            assert (await call).body == b"whole"

    asyncio.run(main())


def test_refused_connection_raises_call_not_sent():
    """Guards against treating an unsent call as possibly executed.

    CallNotSent tells the caller that a retry is safe.
    """

    async def main():
        async with running_server(echo_handler) as (server, address):
            pass
        with pytest.raises(CallNotSent):
            await create_http_client(address).request("GET", "/")

    asyncio.run(main())


def test_truncated_response_raises_call_answer_lost():
    """Guards against executing a call twice after its response was lost."""

    async def main():
        async def send_truncated_response(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
            writer.close()

        server = await asyncio.start_server(send_truncated_response, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        with pytest.raises(CallAnswerLost):
            await create_http_client(f"{host}:{port}").request("GET", "/")
        server.close()

    asyncio.run(main())


def test_port_in_use_raises_address_in_use():
    """Guards against reporting a port that is in use as an unexpected error."""

    async def main():
        async with running_server(echo_handler) as (server, address):
            with pytest.raises(AddressInUse):
                await create_http_server(echo_handler).start(address)

    asyncio.run(main())
