"""Streams over loopback sockets."""

import asyncio
import queue
import socket
import threading
import time
from contextlib import contextmanager

import pytest
from grpclib.protocol import Connection

from turmericknot.core.exceptions import AddressInUse
from turmericknot.wire import streams
from turmericknot.wire.links import LinkCallbacks, create_links
from turmericknot.wire.messages import Acknowledge, Heartbeat
from turmericknot.wire.traffic import report_traffic

WAIT_S = 5


class Side:
    """Links whose callbacks put their name and arguments into a queue."""

    def __init__(self, address="", **options):
        self.events = queue.Queue()
        record = {
            name: lambda *args, name=name: self.events.put((name, *args))
            for name in ("opened", "received", "closed", "dial_failed")
        }
        self.links = create_links(LinkCallbacks(**record), address, **options)

    def next(self, name):
        event = self.events.get(timeout=WAIT_S)
        assert event[0] == name, event
        return event[1:]


@pytest.fixture
def address():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port = sock.getsockname()[1]
    return f"127.0.0.1:{port}"


@pytest.fixture
def start():
    sides = []

    def start_side(*args, **options):
        side = Side(*args, **options)
        side.links.start()
        sides.append(side)
        return side

    yield start_side
    for side in reversed(sides):
        side.links.stop()


def connect(start, address, **options):
    """Return both sides and their stream ids after the handshake."""
    server = start(address, **options)
    client = start()
    client.links.dial("server", address, lambda: Heartbeat(1))
    accepted, first, key = server.next("opened")
    assert (first, key) == (Heartbeat(1), None)
    server.links.send(accepted, Heartbeat(2))
    server.links.flush()
    dialed, first, key = client.next("opened")
    assert (first, key) == (Heartbeat(2), "server")
    return server, client, accepted, dialed


def receive(side, count):
    messages = []
    while len(messages) < count:
        messages += side.next("received")[1]
    return messages


@contextmanager
def paused_loop(side):
    """Block the event loop of a side while the context is active."""
    paused, resume = threading.Event(), threading.Event()
    side.links._loop.call_soon_threadsafe(lambda: (paused.set(), resume.wait(WAIT_S)))
    assert paused.wait(WAIT_S)
    try:
        yield
    finally:
        resume.set()


def test_messages_arrive_once_and_in_order(start, address):
    """Guards against lost wake-ups between the sending thread and the loop."""
    server, client, _, dialed = connect(start, address)
    sent = [Heartbeat(number) for number in range(2000)]
    for message in sent:
        client.links.send(dialed, message)
        client.links.flush()
    assert receive(server, len(sent)) == sent
    received = report_traffic(server.links.traffic)["received"]
    assert received["types"]["Heartbeat"]["messages"] == len(sent) + 1
    assert received == report_traffic(client.links.traffic)["sent"]


def test_queued_messages_are_sent_in_one_frame(start, address):
    """Guards against sending one frame per message while the loop is busy."""
    server, client, _, dialed = connect(start, address)
    with paused_loop(client):
        for number in range(2000):
            client.links.send(dialed, Heartbeat(number))
            client.links.flush()
    assert len(receive(server, 2000)) == 2000
    # The first frame held the handshake message.
    assert report_traffic(client.links.traffic)["sent"]["frames"] == 2


def test_frames_are_counted_before_the_peer_can_read_them(start, address, monkeypatch):
    """Guards against counters that lag behind what the peer has received."""
    _, client, _, dialed = connect(start, address)
    frames_sent = queue.Queue()
    flush = Connection.flush

    def record_and_flush(connection):
        if asyncio.get_running_loop() is client.links._loop:
            frames_sent.put(client.links.traffic.sent.frames)
        flush(connection)

    with paused_loop(client):
        client.links.send(dialed, Heartbeat(3))
        client.links.flush()
        monkeypatch.setattr(Connection, "flush", record_and_flush)
    # The first frame held the handshake message.
    assert frames_sent.get(timeout=WAIT_S) == 2


def test_large_batches_are_split_and_arrive(start, address):
    """Guards against frames larger than the flow-control window."""
    server, client, accepted, _ = connect(start, address)
    sent = [Acknowledge([bytes([number]) * 700_000]) for number in range(12)]
    for message in sent:
        server.links.send(accepted, message)
    server.links.flush()
    assert receive(client, len(sent)) == sent


def test_refused_connection_is_distinguished_from_other_failures(start, address):
    """Guards against a takeover of an entry that is alive but does not answer."""
    client = start()
    client.links.dial("gone", address, lambda: Heartbeat(1))
    assert client.next("dial_failed") == ("gone", True)
    client.links.stop_dialing("gone")
    with socket.create_server(("127.0.0.1", 0)) as silent:
        client.links.probe("alive", f"127.0.0.1:{silent.getsockname()[1]}")
        with pytest.raises(queue.Empty):
            while True:
                name, key, _ = client.events.get(timeout=0.3)
                assert (name, key) == ("dial_failed", "gone")
    client.links.probe("gone", address)
    assert client.next("dial_failed") == ("gone", True)


def test_stream_is_redialed_after_the_server_restarts(start, address):
    server, client, _, dialed = connect(start, address)
    server.links.stop()
    assert client.next("closed")[0] == dialed
    restarted = start(address)
    assert restarted.next("opened")[1] == Heartbeat(1)


def test_close_sends_queued_messages_first(start, address):
    """Guards against losing the last results of a stopping process."""
    server, client, _, dialed = connect(start, address)
    for number in range(100):
        client.links.send(dialed, Heartbeat(number))
    client.links.close(dialed, "done")
    assert len(receive(server, 100)) == 100
    assert server.next("closed")
    assert client.next("closed") == (dialed, "done")


def test_stream_to_a_peer_that_does_not_read_is_aborted(start, address):
    """Guards against unbounded memory use while a peer does not read."""
    server = start(address, max_queued_bytes=2_000_000)
    client = start()
    client.links.dial("server", address, lambda: Heartbeat(1))
    accepted, _, _ = server.next("opened")
    with paused_loop(client):
        for _ in range(30):
            server.links.send(accepted, Acknowledge([bytes(1_000_000)]))
        server.links.flush()
        assert server.next("closed") == (accepted, "send queue full")


def test_broken_connection_closes_both_ends_and_is_redialed(start, address):
    """Guards against a stream that stays open after its peer has been killed."""
    server, client, accepted, dialed = connect(start, address)
    stream = server.links._streams[accepted]
    server.links._loop.call_soon_threadsafe(streams.abort, stream, "test")
    assert server.next("closed") == (accepted, "test")
    assert client.next("closed")[0] == dialed
    assert server.next("opened")[1] == Heartbeat(1)


def test_stream_to_a_silent_peer_is_closed_and_redialed(start, address):
    """Guards against a client that waits forever for a paused peer to answer."""
    server, client, _, dialed = connect(start, address)
    with paused_loop(server):
        client.links.close(dialed, "peer is silent")
        assert client.next("closed") == (dialed, "peer is silent")
        deadline = time.monotonic() + 3 * streams.CLOSE_TIMEOUT_S
        while not client.links._streams:  # until the next dial attempt
            assert time.monotonic() < deadline, "not redialed"
            time.sleep(0.02)


def test_message_that_cannot_be_handled_closes_its_stream_only(start, address):
    """Guards against one message that takes down a process or its other streams."""
    server, client, _, dialed = connect(start, address)
    other = start()
    other.links.dial("server", address, lambda: Heartbeat(5))
    accepted_other, _, _ = server.next("opened")
    server.links.send(accepted_other, Heartbeat(6))
    server.links.flush()
    other.next("opened")
    callbacks = server.links._callbacks
    record = callbacks.received

    def fail_once(stream, messages):
        callbacks.received = record
        raise ValueError("cannot be handled")

    callbacks.received = fail_once
    client.links.send(dialed, Heartbeat(3))
    client.links.flush()
    assert server.next("closed")[1] == "handler failed"
    client.next("closed")
    server.links.send(accepted_other, Heartbeat(7))
    server.links.flush()
    assert receive(other, 1) == [Heartbeat(7)]
    assert server.next("opened")[1] == Heartbeat(1)  # redialed


def test_port_in_use_raises_address_in_use(start, address):
    start(address)
    with pytest.raises(AddressInUse):
        start(address)
