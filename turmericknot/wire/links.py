"""Streams between processes: one event loop in one thread owns all sockets.

Other threads queue messages with ``Links.send`` and wake the loop once per batch
with ``Links.flush``. Incoming frames go to the callbacks, which run in the thread
of the loop and therefore only hand over to an actor.
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
from .traffic import create_traffic

METHOD = "/turmericknot.Link/Connect"
CONNECT_TIMEOUT_S = 2.0
# An accepted or dialled stream whose first message does not arrive is closed.
HANDSHAKE_TIMEOUT_S = 5.0
REDIAL_FIRST_S = 0.1
REDIAL_LIMIT_S = 3.0
STABLE_AFTER_S = 6.0
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
    """What the owner of the links does; all run in the thread of the loop.

    ``opened(stream, first, key)``: the first message of the peer arrived; ``key``
    names the dialled address and is None for an accepted stream.
    ``received(stream, messages)``, ``closed(stream, reason)`` follow it.
    ``dial_failed(key, refused)``: the address refused the connection, or (False)
    did not answer in time.
    """

    opened: object
    received: object
    closed: object
    dial_failed: object


class Links:
    """All streams of one process and the thread that owns them."""

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
        "_dials",
        "_outbox",
        "_scheduled",
        "_redial_limit_s",
    )

    def __init__(
        self, callbacks, listen_address, max_queued_bytes, rng, redial_max_delay_s
    ):
        self._callbacks = callbacks
        self._listen_address = listen_address
        self._max_queued_bytes = max_queued_bytes
        self._rng = rng
        self._traffic = create_traffic()
        self._loop = None
        self._thread = None
        self._server = None
        self._streams = {}
        self._last_id = 0
        self._dials = {}
        self._outbox = deque()
        self._scheduled = False
        self._redial_limit_s = redial_max_delay_s

    @property
    def traffic(self):
        """Return the counters of all streams."""
        return self._traffic

    def start(self):
        """Start the loop and listen; raise AddressInUse when the port is taken."""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="links", daemon=True
        )
        self._thread.start()
        if self._listen_address:
            try:
                self._run(_listen(self))
            except BaseException:
                self.stop()
                raise

    async def attach(self):
        """Use the running loop instead of a thread of its own, and listen.

        The owner then calls from the loop's thread only, and ``stop`` is not used.
        Raise AddressInUse when the port is taken.
        """
        self._loop = asyncio.get_running_loop()
        if self._listen_address:
            await _listen(self)

    def stop(self):
        """Send what is queued, close all streams and stop the loop."""
        if self._loop is None:
            return
        self.flush()
        with contextlib.suppress(TimeoutError):
            self._run(_shut_down(self), STOP_TIMEOUT_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()
        self._loop = None

    def send(self, stream_id, message):
        """Queue a message from any thread; ``flush`` must follow."""
        self._outbox.append((stream_id, message))

    def flush(self):
        """Wake the loop unless it is going to look at the outbox anyway."""
        if self._outbox and not self._scheduled:
            self._scheduled = True
            self._call(_drain_outbox, self)

    def close(self, stream_id, reason):
        """Close a stream after what is queued for it was sent."""
        self.flush()
        self._call(_close_stream, self, stream_id, reason)

    def abort(self, stream_id, reason):
        """Abort the connection of a stream whose peer is silent."""
        stream = self._streams.get(stream_id)
        if stream is not None:
            self._call(streams.abort, stream, reason)

    def dial(self, key, address, hello):
        """Keep a stream to this address; ``hello()`` returns the first message."""
        self._call(_start_dial, self, key, address, hello)

    def stop_dialing(self, key):
        """Stop dialling this key and close its stream."""
        self._call(_stop_dial, self, key)

    def probe(self, key, address):
        """Connect once; report ``dial_failed`` when that does not succeed."""
        self._call(_start_probe, self, key, address)

    def _call(self, function, *args):
        loop = self._loop
        if loop is None:
            return
        if self._thread is None:
            loop.call_soon(function, *args)
            return
        with contextlib.suppress(RuntimeError):  # the loop has just been closed
            loop.call_soon_threadsafe(function, *args)

    def _run(self, coroutine, timeout_s=None):
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(timeout_s)

    def __mapping__(self):
        """Return the gRPC methods, as grpclib asks a service for them."""
        method = Handler(
            lambda grpc: _serve(self, grpc), Cardinality.STREAM_STREAM, None, None
        )
        return {METHOD: method}


def create_links(
    callbacks,
    listen_address="",
    max_queued_bytes=None,
    rng=None,
    redial_max_delay_s=REDIAL_LIMIT_S,
):
    """Return links that are not started yet."""
    return Links(
        callbacks,
        listen_address,
        max_queued_bytes or streams.MAX_QUEUED_BYTES,
        rng or Random(),
        redial_max_delay_s,
    )


def _drain_outbox(links):
    # Cleared first: a message queued from here on schedules another call.
    links._scheduled = False
    outbox, open_streams = links._outbox, links._streams
    filled = {}
    while outbox:
        stream_id, message = outbox.popleft()
        stream = open_streams.get(stream_id)
        if stream is not None:
            streams.queue_message(stream, message)
            filled[stream_id] = stream
    for stream in filled.values():
        streams.write_queued(stream)


def _close_stream(links, stream_id, reason):
    stream = links._streams.get(stream_id)
    if stream is not None:
        streams.finish(stream, reason)
        # A paused or cut-off peer takes neither the rest of the queue nor the end.
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
    for task in links._dials.values():
        task.cancel()
    for stream in links._streams.values():
        streams.finish(stream, "stopping")
    deadline = links._loop.time() + streams.CLOSE_TIMEOUT_S
    while links._streams and links._loop.time() < deadline:
        await asyncio.sleep(0.01)
    for stream in list(links._streams.values()):
        streams.abort(stream, "stopping")
    if links._server is not None:
        links._server.close()
    own = asyncio.current_task()
    rest = [task for task in asyncio.all_tasks() if task is not own]
    for task in rest:
        task.cancel()
    await asyncio.gather(*rest, return_exceptions=True)


async def _serve(links, grpc):
    """Run an accepted stream."""
    with contextlib.suppress(*_LINK_ERRORS):
        await grpc.send_initial_metadata()
        with _registered(links, grpc, None) as stream:
            await streams.run(stream, _receiver(links))


@contextlib.contextmanager
def _registered(links, grpc, key):
    """Number a stream and keep it in the table while it runs."""
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


def _receiver(links):
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


def _start_dial(links, key, address, hello):
    if key not in links._dials:
        task = links._loop.create_task(_dial_forever(links, key, address, hello))
        links._dials[key] = task


def _stop_dial(links, key):
    task = links._dials.pop(key, None)
    if task is not None:
        task.cancel()


async def _dial_forever(links, key, address, hello):
    delays = jittered_delays(links._rng, REDIAL_FIRST_S, links._redial_limit_s)
    while True:
        started_at = links._loop.time()
        await _dial_once(links, key, address, hello)
        # A stream that a peer ends at once must not be dialled in a tight loop.
        if links._loop.time() - started_at > STABLE_AFTER_S:
            delays = jittered_delays(links._rng, REDIAL_FIRST_S, links._redial_limit_s)
        await asyncio.sleep(next(delays))


async def _dial_once(links, key, address, hello):
    """Run one stream to its end."""
    host, port = split_address(address)
    channel = Channel(host, port, codec=streams.FrameCodec())
    stream = None
    refused = False
    try:
        async with StreamStreamMethod(channel, METHOD, None, None).open() as grpc:
            await asyncio.wait_for(grpc.send_request(), CONNECT_TIMEOUT_S)
            with _registered(links, grpc, key) as stream:
                streams.queue_message(stream, hello())
                streams.write_queued(stream)
                await streams.run(stream, _receiver(links), grpc.end)
    except ConnectionRefusedError:
        refused = True
    except _LINK_ERRORS:
        pass  # the callbacks below and in _registered tell the owner
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
