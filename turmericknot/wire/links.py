"""Streams between processes, all served by one event loop in one thread.

Other threads queue messages with ``Links.send`` and wake the loop once per batch
with ``Links.flush``. Incoming messages are passed to callbacks. These run in the
thread of the loop and must not block it, so they only post to an actor.
"""

import asyncio
import contextlib
import errno
import threading
from collections import deque
from dataclasses import dataclass
from random import Random

from grpclib.client import Channel, StreamStreamMethod
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server
from h2.exceptions import H2Error

from turmericknot.core.addresses import split_address
from turmericknot.core.exceptions import AddressInUse
from turmericknot.utils.backoff import jittered_delays

from . import streams
from .traffic import create_traffic_counters

CONNECT_METHOD = "/turmericknot.Link/Connect"
CONNECT_TIMEOUT_S = 2.0
# A stream is aborted if the first message of the peer takes longer than this.
HANDSHAKE_TIMEOUT_S = 5.0
REDIAL_INITIAL_DELAY_S = 0.1
REDIAL_MAX_DELAY_S = 3.0
# After an attempt that lasted longer than this, delays start at the initial one again.
BACKOFF_RESET_AFTER_S = 6.0
STOP_TIMEOUT_S = 3.0

_LINK_ERRORS = (
    OSError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    H2Error,
    asyncio.TimeoutError,
)


@dataclass(slots=True)
class LinkCallbacks:
    """Callbacks of the owner of the links; all run in the thread of the loop.

    ``opened(stream, first_message, key)``: the first message of the peer has arrived;
    ``key`` names the dialed address and is None for an accepted stream.
    ``received(stream, messages)`` and ``closed(stream, reason)``: later events of a
    stream that was reported as opened. ``stream`` is the id of the stream.
    ``dial_failed(key, refused)``: the connection was refused, or (False) could not be
    opened for another reason, such as a timeout.
    """

    opened: object
    received: object
    closed: object
    dial_failed: object


class Links:
    """All streams of one process and the thread that serves them."""

    __slots__ = (
        "_callbacks",
        "_listen_address",
        "_max_queued_bytes",
        "_rng",
        "_traffic",
        "_loop",
        "_thread",
        "_server",
        "_streams",
        "_last_id",
        "_dial_tasks",
        "_outbox",
        "_is_drain_scheduled",
        "_redial_max_delay_s",
    )

    def __init__(
        self, callbacks, listen_address, max_queued_bytes, rng, redial_max_delay_s
    ):
        self._callbacks = callbacks
        self._listen_address = listen_address
        self._max_queued_bytes = max_queued_bytes
        self._rng = rng
        self._traffic = create_traffic_counters()
        self._loop = None
        self._thread = None
        self._server = None
        self._streams = {}
        self._last_id = 0
        self._dial_tasks = {}
        self._outbox = deque()
        self._is_drain_scheduled = False
        self._redial_max_delay_s = redial_max_delay_s

    @property
    def traffic(self):
        """Return the traffic counters of all streams."""
        return self._traffic

    def start(self):
        """Start the loop and listen; raise AddressInUse if the port is in use."""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="links", daemon=True
        )
        self._thread.start()
        if self._listen_address:
            try:
                self._run_in_loop(_listen(self))
            except BaseException:
                self.stop()
                raise

    async def attach(self):
        """Listen on the running loop instead of starting a thread with its own loop.

        The owner must then call all methods from the loop's thread and never ``stop``.
        Raise AddressInUse if the port is in use.
        """
        self._loop = asyncio.get_running_loop()
        if self._listen_address:
            await _listen(self)

    def stop(self):
        """Send the queued messages, close all streams and stop the loop."""
        if self._loop is None:
            return
        self.flush()
        with contextlib.suppress(TimeoutError):
            self._run_in_loop(_shut_down(self), STOP_TIMEOUT_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()
        self._loop = None

    def send(self, stream_id, message):
        """Queue a message from any thread; ``flush`` must follow."""
        self._outbox.append((stream_id, message))

    def flush(self):
        """Wake the loop unless it is already scheduled to drain the outbox."""
        if self._outbox and not self._is_drain_scheduled:
            self._is_drain_scheduled = True
            self._call_in_loop(_drain_outbox, self)

    def close(self, stream_id, reason):
        """Close a stream after the messages queued for it have been sent."""
        self.flush()
        self._call_in_loop(_close_stream, self, stream_id, reason)

    def abort(self, stream_id, reason):
        """Close a stream's connection immediately, e.g. when its peer is silent."""
        stream = self._streams.get(stream_id)
        if stream is not None:
            self._call_in_loop(streams.abort, stream, reason)

    def dial(self, key, address, create_hello):
        """Keep a stream to an address open and redial when it ends.

        ``create_hello()`` returns the first message of each stream.
        """
        self._call_in_loop(_start_dial, self, key, address, create_hello)

    def stop_dialing(self, key):
        """Stop dialing the address of this key and close its stream."""
        self._call_in_loop(_stop_dial, self, key)

    def probe(self, key, address):
        """Connect to an address once and report ``dial_failed`` if that fails."""
        self._call_in_loop(_start_probe, self, key, address)

    def _call_in_loop(self, function, *args):
        loop = self._loop
        if loop is None:
            return
        if self._thread is None:
            loop.call_soon(function, *args)
            return
        with contextlib.suppress(
            RuntimeError
        ):  # raised when the loop has just been closed
            loop.call_soon_threadsafe(function, *args)

    def _run_in_loop(self, coroutine, timeout_s=None):
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(timeout_s)

    def __mapping__(self):
        """Return the gRPC methods of this service; called by grpclib."""
        method = Handler(
            lambda grpc: _serve_stream(self, grpc),
            Cardinality.STREAM_STREAM,
            None,
            None,
        )
        return {CONNECT_METHOD: method}


def create_links(
    callbacks,
    listen_address="",
    max_queued_bytes=None,
    rng=None,
    redial_max_delay_s=REDIAL_MAX_DELAY_S,
):
    """Return links that have not been started."""
    return Links(
        callbacks,
        listen_address,
        max_queued_bytes or streams.MAX_QUEUED_BYTES,
        rng or Random(),
        redial_max_delay_s,
    )


def _drain_outbox(links):
    # Cleared first, so that a message queued from here on schedules another call.
    links._is_drain_scheduled = False
    outbox, open_streams = links._outbox, links._streams
    streams_to_write = {}
    while outbox:
        stream_id, message = outbox.popleft()
        stream = open_streams.get(stream_id)
        if stream is not None:
            streams.queue_message(stream, message)
            streams_to_write[stream_id] = stream
    for stream in streams_to_write.values():
        streams.write_queued_messages(stream)


def _close_stream(links, stream_id, reason):
    stream = links._streams.get(stream_id)
    if stream is not None:
        streams.close(stream, reason)
        # A paused or unreachable peer receives neither the queued messages nor the end.
        links._loop.call_later(streams.CLOSE_TIMEOUT_S, streams.abort, stream, reason)


async def _listen(links):
    host, port = split_address(links._listen_address)
    server = Server([links], codec=streams.FrameCodec())
    try:
        await server.start(host, port)
    except OSError as error:
        if error.errno != errno.EADDRINUSE:
            raise
        raise AddressInUse(f"link address {links._listen_address}") from error
    links._server = server


async def _shut_down(links):
    if links._server is not None:
        links._server._server.close()
    for task in links._dial_tasks.values():
        task.cancel()
    for stream in links._streams.values():
        streams.close(stream, "stopping")
    deadline = links._loop.time() + streams.CLOSE_TIMEOUT_S
    while links._streams and links._loop.time() < deadline:
        await asyncio.sleep(0.01)
    for stream in list(links._streams.values()):
        streams.abort(stream, "stopping")
    if links._server is not None:
        links._server.close()
    current_task = asyncio.current_task()
    remaining_tasks = [task for task in asyncio.all_tasks() if task is not current_task]
    for task in remaining_tasks:
        task.cancel()
    await asyncio.gather(*remaining_tasks, return_exceptions=True)


async def _serve_stream(links, grpc):
    """Run an accepted stream until it ends."""
    with contextlib.suppress(*_LINK_ERRORS):
        await grpc.send_initial_metadata()
        with _registered_stream(links, grpc, None) as stream:
            await streams.run_stream(stream, _create_message_handler(links))


@contextlib.contextmanager
def _registered_stream(links, grpc, key):
    """Give a stream an id and keep it in the table of streams while it runs."""
    links._last_id += 1
    stream = streams.LinkStream(
        links._last_id, key, grpc, links._traffic, links._max_queued_bytes
    )
    links._streams[stream.id] = stream
    timer = links._loop.call_later(HANDSHAKE_TIMEOUT_S, _check_handshake, stream)
    try:
        yield stream
    finally:
        timer.cancel()
        del links._streams[stream.id]
        if stream.opened:
            links._callbacks.closed(stream.id, stream.close_reason)


def _check_handshake(stream):
    if not stream.opened:
        streams.abort(stream, "handshake timeout")


def _create_message_handler(links):
    callbacks = links._callbacks

    def receive(stream, messages):
        if not messages:
            return
        if not stream.opened:
            stream.opened = True
            callbacks.opened(stream.id, messages[0], stream.key)
            messages = messages[1:]
        if messages:
            callbacks.received(stream.id, messages)

    return receive


def _start_dial(links, key, address, create_hello):
    if key not in links._dial_tasks:
        task = links._loop.create_task(
            _dial_repeatedly(links, key, address, create_hello)
        )
        links._dial_tasks[key] = task


def _stop_dial(links, key):
    task = links._dial_tasks.pop(key, None)
    if task is not None:
        task.cancel()


async def _dial_repeatedly(links, key, address, create_hello):
    delays = jittered_delays(
        links._rng, REDIAL_INITIAL_DELAY_S, links._redial_max_delay_s
    )
    while True:
        started_at = links._loop.time()
        await _dial_once(links, key, address, create_hello)
        # The delays go on growing if the peer ends each stream soon after it opens, so
        # that it is not redialed in a tight loop.
        if links._loop.time() - started_at > BACKOFF_RESET_AFTER_S:
            delays = jittered_delays(
                links._rng, REDIAL_INITIAL_DELAY_S, links._redial_max_delay_s
            )
        await asyncio.sleep(next(delays))


async def _dial_once(links, key, address, create_hello):
    """Open one stream and run it until it ends."""
    host, port = split_address(address)
    channel = Channel(host, port, codec=streams.FrameCodec())
    stream = None
    refused = False
    try:
        async with StreamStreamMethod(
            channel, CONNECT_METHOD, None, None
        ).open() as grpc:
            await asyncio.wait_for(grpc.send_request(), CONNECT_TIMEOUT_S)
            with _registered_stream(links, grpc, key) as stream:
                streams.queue_message(stream, create_hello())
                streams.write_queued_messages(stream)
                await streams.run_stream(
                    stream, _create_message_handler(links), grpc.end
                )
    except ConnectionRefusedError:
        refused = True
    except _LINK_ERRORS:
        pass  # reported by dial_failed below or by closed in _registered_stream
    finally:
        channel.close()
    if stream is None or not stream.opened:
        links._callbacks.dial_failed(key, refused)


def _start_probe(links, key, address):
    links._loop.create_task(_probe(links, key, address))


async def _probe(links, key, address):
    host, port = split_address(address)
    try:
        connection = asyncio.open_connection(host, port)
        _, writer = await asyncio.wait_for(connection, CONNECT_TIMEOUT_S)
        writer.close()
    except ConnectionRefusedError:
        links._callbacks.dial_failed(key, True)
    except (TimeoutError, OSError):
        links._callbacks.dial_failed(key, False)
