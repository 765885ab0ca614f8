"""The connection of a slot against a server that misbehaves."""

import re
import socket
import threading

import pytest

from tests.entry.conftest import free_addresses
from turmericknot.agent.connection import create_slot_client
from turmericknot.agent.runners import as_json
from turmericknot.clients.target_client import RunRequest
from turmericknot.core.exceptions import TargetLost, TargetRefused

OK = b'{"status":"ok","output":"%s"}'
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"


def run(client, lease_s=5.0):
    return client.run(RunRequest("lease", lease_s, b"j" * 16, 0, b"{}"))


def read_request(connection):
    """Read a whole request; its head and body may arrive apart."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += connection.recv(65536)
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(re.search(rb"(?i)content-length: (\d+)", head)[1])
    while len(body) < length:
        body += connection.recv(65536)


def reply(connection, output):
    read_request(connection)
    answer(connection, output)


def answer(connection, output):
    body = OK % output
    connection.sendall(HEAD % len(body) + body)


@pytest.fixture
def serve():
    """Return a function that answers connections with the given functions in turn.

    ``start.closed`` is released after each connection was closed.
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


def test_connection_is_kept_and_opened_anew_after_the_target_closed_it(serve):
    """Guards against a lost task for each connection that was closed while idle."""

    def two(connection):
        reply(connection, b"b25l")
        reply(connection, b"dHdv")

    client = create_slot_client(serve(two, lambda c: reply(c, b"dGhyZWU=")))
    assert [run(client).output for _ in range(2)] == [b"one", b"two"]
    assert serve.closed.acquire(timeout=5)
    assert run(client).output == b"three"


def test_refused_connection_is_a_task_that_did_not_start():
    (address,) = free_addresses(1)
    with pytest.raises(TargetRefused):
        run(create_slot_client(address))


def test_late_answer_is_not_taken_for_that_of_the_next_task(serve):
    """Guards against answers that arrive after their lease and get mixed up."""
    resume = threading.Event()

    def late(connection):
        read_request(connection)
        resume.wait(5)
        answer(connection, b"bGF0ZQ==")

    client = create_slot_client(serve(late, lambda c: reply(c, b"bmV4dA==")))
    with pytest.raises(TargetLost):
        run(client, lease_s=-0.8)  # the call waits 1 s beyond the lease
    resume.set()
    assert run(client).output == b"next"


def test_connection_that_breaks_after_the_request_is_a_lost_task(serve):
    """Guards against a second start of a task that may have started."""
    client = create_slot_client(serve(read_request))
    with pytest.raises(TargetLost):
        run(client)


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
def test_output_becomes_one_json_value(output, value):
    """Guards against answers that are no JSON because of one task's output."""
    assert as_json(output) == value
