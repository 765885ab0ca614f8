"""One grpclib stream: a bounded outgoing queue, a writer and a reader."""

import asyncio
import contextlib

from grpclib.encoding.base import CodecBase

from turmericknot.core.exceptions import WireError

from . import codec, direct
from .traffic import count_message

# Past this much unsent data the peer is taken as stuck and the stream is closed.
MAX_QUEUED_BYTES = 32 * 1024 * 1024
# A larger batch is split, so that the peer can act on its first part early.
FRAME_TARGET_BYTES = 1024 * 1024
# Time for the peer to take the rest of the queue when a stream is closed.
CLOSE_TIMEOUT_S = 1.0


class FrameCodec(CodecBase):
    """Hand frames through: they are encoded and decoded by ``wire.codec``."""

    __content_subtype__ = "turmericknot"

    def encode(self, message, message_type):
        """Join messages that were encoded when they were queued."""
        return codec.join_frame(message)

    def decode(self, data, message_type):
        """Return the bytes of a frame."""
        return data


class LinkStream:
    """A stream to one peer; only the thread of the event loop touches it."""

    __slots__ = (
        "id",
        "key",
        "close_reason",
        "opened",
        "_grpc",
        "_traffic",
        "_queue",
        "_queued_bytes",
        "_wakeup",
        "_is_writing",
        "_max_queued_bytes",
    )

    def __init__(self, stream_id, key, grpc, traffic, max_queued_bytes):
        self.id = stream_id
        self.key = key  # of the dialled address; None for accepted streams
        self.close_reason = ""
        self.opened = False
        self._grpc = grpc
        self._traffic = traffic
        self._queue = []
        self._queued_bytes = 0
        self._wakeup = asyncio.Event()
        self._is_writing = True  # nothing is written before the stream runs
        self._max_queued_bytes = max_queued_bytes

    @property
    def queued_bytes(self):
        """Return the size of what waits or is being written."""
        return self._queued_bytes


def queue_message(stream, message):
    """Queue a message, to be followed by ``write_queued``.

    The stream is aborted when its queue is over the bound.
    """
    if stream.close_reason:
        return
    data = codec.encode_message(message)
    stream._queue.append((type(message), data))
    stream._queued_bytes += len(data)
    if stream._queued_bytes > stream._max_queued_bytes:
        abort(stream, "send queue full")


def finish(stream, reason):
    """Close the stream when what is queued has been written."""
    stream.close_reason = stream.close_reason or reason
    stream._wakeup.set()


def abort(stream, reason):
    """Drop the connection of the stream at once."""
    stream.close_reason = stream.close_reason or reason
    # grpclib closes a connection only after its buffer was sent, which never
    # happens while the peer does not read.
    stream._grpc.peer._transport.abort()


async def run(stream, received, half_close=None):
    """Write and read until either side ends the stream.

    ``received`` takes the stream and the messages of a frame. ``half_close`` ends
    the sending side of a dialled stream; an accepted one ends on return.
    """
    ended = asyncio.Event()
    direct.install_buffer(
        stream._grpc, lambda data: _receive(stream, received, data), ended.set
    )
    writer = asyncio.create_task(_write(stream))
    reader = asyncio.create_task(direct.wait_ended(stream._grpc, ended))
    stream._is_writing = False
    try:
        await asyncio.wait({reader, writer}, return_when=asyncio.FIRST_COMPLETED)
        if half_close is not None and writer.done() and not writer.exception():
            await half_close()
            await asyncio.wait({reader}, timeout=CLOSE_TIMEOUT_S)
    finally:
        stream._is_writing = True
        stream.close_reason = stream.close_reason or "closed by peer"
        reader.cancel()
        writer.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(reader, writer, return_exceptions=True)


def write_queued(stream):
    """Write what waits: at once if the connection takes it, else by the writer."""
    if stream._is_writing or stream.close_reason or not _write_at_once(stream):
        stream._wakeup.set()


def _write_at_once(stream):
    if not stream._queue or stream._queued_bytes > direct.MAX_DIRECT_BYTES:
        return not stream._queue
    data = codec.join_frame([part for _, part in stream._queue])
    if not direct.prepare_frame(stream._grpc, data):
        return False
    # The peer may answer as soon as the frame is flushed: the counters come first.
    sent = stream._traffic.sent
    sent.frames += 1
    for message_type, part in stream._queue:
        count_message(sent, message_type, len(part))
    stream._queue = []
    stream._queued_bytes = 0
    direct.flush_frames(stream._grpc)
    return True


async def _write(stream):
    """Write what does not fit the flow-control window or the socket at once."""
    while True:
        await stream._wakeup.wait()
        stream._wakeup.clear()
        stream._is_writing = True
        while stream._queue:
            await _write_frame(stream)
        stream._is_writing = False
        if stream.close_reason:
            return


async def _write_frame(stream):
    """Send what waits now, up to the target size of a frame."""
    batch = _take_batch(stream)
    sent = stream._traffic.sent
    sent.frames += 1
    parts, size = [], 0
    for message_type, data in batch:
        count_message(sent, message_type, len(data))
        parts.append(data)
        size += len(data)
    try:
        await stream._grpc.send_message(parts)
    finally:
        stream._queued_bytes -= size


def _take_batch(stream):
    queue = stream._queue
    if stream._queued_bytes <= FRAME_TARGET_BYTES:
        stream._queue = []
        return queue
    size = taken = 0
    for _, data in queue:
        size += len(data)
        taken += 1
        if size >= FRAME_TARGET_BYTES:
            break
    stream._queue = queue[taken:]
    return queue[:taken]


def _receive(stream, received, data):
    """Decode a frame and hand its messages over."""
    direction = stream._traffic.received
    direction.frames += 1
    try:
        sized = codec.decode_sized(data)
    except WireError as error:
        abort(stream, str(error))
        return
    messages = []
    for message, size in sized:
        count_message(direction, type(message), size)
        messages.append(message)
    received(stream, messages)
