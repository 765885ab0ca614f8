"""Tests of a slot's connection with servers that close connections or respond late."""

import re
import socket
import threading

import pytest

from tests.federation import free_addresses
from turmericknot.agent.connection import create_slot_client
from turmericknot.agent.runners import encode_output
from turmericknot.clients.target_client import RunRequest
from turmericknot.core.exceptions import TargetLost, TargetRefused

RESULT_BODY = b'{"status":"ok","output":"%s"}'
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"


def run_task(client, lease_s=5.0):
    return client.run(RunRequest("lease", lease_s, b"j" * 16, 0, b"{}"))


def read_request(connection):
    """Read a whole request, whose head and body may arrive separately."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += connection.recv(65536)
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(re.search(rb"(?i)content-length: (\d+)", head)[1])
    while len(body) < length:
        body += connection.recv(65536)


def read_and_respond(connection, output):
    read_request(connection)
    send_response(connection, output)


def send_response(connection, output):
    body = RESULT_BODY % output
    connection.sendall(RESPONSE_HEAD % len(body) + body)


@pytest.fixture
def start_server():
    """Return a function that starts a server with one handler per connection.

    Its semaphore ``closed`` is released after each connection is closed.
    """
    server = socket.create_server(("127.0.0.1", 0))

    def start(*handlers):
        def accept():
            for handler in handlers:
                connection, _ = server.accept()
                with connection:
                    handler(connection)
                start.closed.release()

        threading.Thread(target=accept, daemon=True).start()
        return f"127.0.0.1:{server.getsockname()[1]}"

    start.closed = threading.Semaphore(0)
    yield start
    server.close()


def test_idle_connection_closed_by_the_target_is_reopened(start_server):
    """Guards against losing the next task when an idle connection was closed."""

    def respond_twice(connection):
        read_and_respond(connection, b"b25l")
        read_and_respond(connection, b"dHdv")

    client = create_slot_client(
        start_server(respond_twice, lambda c: read_and_respond(c, b"dGhyZWU="))
    )
    assert [run_task(client).output for _ in range(2)] == [b"one", b"two"]
    assert start_server.closed.acquire(timeout=5)
    assert run_task(client).output == b"three"


def test_refused_connection_raises_target_refused():
    (address,) = free_addresses(1)
    with pytest.raises(TargetRefused):
        run_task(create_slot_client(address))


def test_late_response_is_not_returned_for_the_next_task(start_server):
    """Guards against a response after the lease being read for the next task."""
    resume = threading.Event()

    def respond_late(connection):
        read_request(connection)
        resume.wait(5)
        send_response(connection, b"bGF0ZQ==")

    client = create_slot_client(
        start_server(respond_late, lambda c: read_and_respond(c, b"bmV4dA=="))
    )
    with pytest.raises(TargetLost):
        run_task(client, lease_s=-0.8)  # the call waits 1 s beyond the lease
    resume.set()
    assert run_task(client).output == b"next"


def test_connection_closed_after_the_request_raises_target_lost(start_server):
    """Guards against starting a task again that may have started."""
    client = create_slot_client(start_server(read_request))
    with pytest.raises(TargetLost):
        run_task(client)


@pytest.mark.parametrize(
    ("output", "value"),
    [
        (b"", b""),
        (b'{"a": [1]}', b'{"a": [1]}'),
        (b'plain "text"', b'"plain \\"text\\""'),
        (b"1 2", b'"1 2"'),
        (b"\xff\x00", b'"/wA="'),
    ],
)
def test_output_is_encoded_as_one_json_value(output, value):
    """Guards against invalid JSON in an answer because of one task's output."""
    assert encode_output(output) == value
