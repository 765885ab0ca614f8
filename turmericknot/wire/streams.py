"""One grpclib stream with a bounded send queue, a writer and a reader."""

import asyncio
import contextlib

from grpclib.encoding.base import CodecBase

from turmericknot.core.exceptions import WireError
from turmericknot.utils.logging import get_logger

from . import codec, direct
from .traffic import count_message

# A peer with more unsent data than this is considered stuck; its stream is aborted.
MAX_QUEUED_BYTES = 32 * 1024 * 1024
# A larger batch is split, so that the peer can process the first part early.
BATCH_SPLIT_BYTES = 1024 * 1024
# Time for the peer to receive the rest of the queue when a stream is closed.
CLOSE_TIMEOUT_S = 1.0


class FrameCodec(CodecBase):
    """Pass frames through grpclib as bytes; ``wire.codec`` encodes and decodes them."""

    __content_subtype__ = "turmericknot"

    def encode(self, message, message_type):
        """Return a frame of messages, which were encoded when they were queued."""
        return codec.join_encoded_messages(message)

    def decode(self, data, message_type):
        """Return the bytes of a frame unchanged."""
        return data


class LinkStream:
    """A stream to one peer; only the thread of the event loop uses it."""

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
        self.key = key  # names the dialed address; None for accepted streams
        self.close_reason = ""
        self.opened = False
        self._grpc = grpc
        self._traffic = traffic
        self._queue = []
        self._queued_bytes = 0
        self._wakeup = asyncio.Event()
        self._is_writing = True  # holds back writes until run_stream() starts
        self._max_queued_bytes = max_queued_bytes

    @property
    def queued_bytes(self):
        """Return the bytes of the messages that are queued or being written."""
        return self._queued_bytes


def queue_message(stream, message):
    """Queue a message; a call of ``write_queued_messages`` must follow.

    The stream is aborted when its queue exceeds the limit.
    """
    if stream.close_reason:
        return
    data = codec.encode_message(message)
    stream._queue.append((type(message), data))
    stream._queued_bytes += len(data)
    if stream._queued_bytes > stream._max_queued_bytes:
        abort(stream, "send queue full")


def close(stream, reason):
    """Close the stream after the queued messages have been written."""
    stream.close_reason = stream.close_reason or reason
    stream._wakeup.set()


def abort(stream, reason):
    """Close the connection of the stream immediately."""
    stream.close_reason = stream.close_reason or reason
    # grpclib closes a connection only after its buffer has been sent, which never
    # happens while the peer does not read.
    stream._grpc.peer._transport.abort()


async def run_stream(stream, received, half_close=None):
    """Write and read until either side ends the stream.

    ``received(stream, messages)`` is called for each frame. ``half_close`` ends the
    sending side of a dialed stream; an accepted stream ends when this returns.
    """
    ended = asyncio.Event()
    direct.install_frame_buffer(
        stream._grpc, lambda data: _handle_frame(stream, received, data), ended.set
    )
    writer = asyncio.create_task(_run_writer(stream))
    reader = asyncio.create_task(direct.wait_stream_end(stream._grpc, ended))
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


def write_queued_messages(stream):
    """Write the queue now if the connection accepts it, or else wake the writer."""
    if stream._is_writing or stream.close_reason or not _try_write_now(stream):
        stream._wakeup.set()


def _try_write_now(stream):
    if not stream._queue or stream._queued_bytes > direct.MAX_DIRECT_BYTES:
        return not stream._queue
    data = codec.join_encoded_messages([part for _, part in stream._queue])
    if not direct.try_buffer_frame(stream._grpc, data):
        return False
    # The peer may answer as soon as the frame is flushed, so it is counted before.
    sent_counters = stream._traffic.sent
    sent_counters.frames += 1
    for message_type, part in stream._queue:
        count_message(sent_counters, message_type, len(part))
    stream._queue = []
    stream._queued_bytes = 0
    direct.flush_buffered_frames(stream._grpc)
    return True


async def _run_writer(stream):
    """Write queued messages that ``_try_write_now`` could not write."""
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
    """Send the next batch of queued messages as one frame."""
    batch = _pop_next_batch(stream)
    sent_counters = stream._traffic.sent
    sent_counters.frames += 1
    parts, size = [], 0
    for message_type, data in batch:
        count_message(sent_counters, message_type, len(data))
        parts.append(data)
        size += len(data)
    try:
        await stream._grpc.send_message(parts)
    finally:
        stream._queued_bytes -= size


def _pop_next_batch(stream):
    queue = stream._queue
    if stream._queued_bytes <= BATCH_SPLIT_BYTES:
        stream._queue = []
        return queue
    size = count = 0
    for _, data in queue:
        size += len(data)
        count += 1
        if size >= BATCH_SPLIT_BYTES:
            break
    stream._queue = queue[count:]
    return queue[:count]


def _handle_frame(stream, received, data):
    """Decode a frame and pass its messages to ``received``."""
    received_counters = stream._traffic.received
    received_counters.frames += 1
    try:
        messages_with_sizes = codec.decode_messages_with_sizes(data)
    except WireError as error:
        abort(stream, str(error))
        return
    messages = []
    for message, size in messages_with_sizes:
        count_message(received_counters, type(message), size)
        messages.append(message)
    try:
        received(stream, messages)
    except Exception:
        # One message that a handler cannot take must not harm other streams. The peers
        # reconcile their states when the stream is opened again.
        kinds = ",".join(type(message).__name__ for message in messages)
        get_logger().exception("message.failed", kinds=kinds)
        abort(stream, "handler failed")
