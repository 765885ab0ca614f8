"""Shortcuts past grpclib's coroutines for whole frames.

grpclib passes each frame through several coroutines, futures and buffers, which
costs about as much CPU time as HTTP/2 itself. A frame that fits the flow-control
window is written by one call, and incoming data is cut into frames as it arrives.
Both use attributes that grpclib 0.4.9 does not document; the version is pinned.
"""

from h2.exceptions import H2Error

# Larger frames exceed what HTTP/2 takes in one DATA frame by default.
MAX_DIRECT_BYTES = 16_000
PREFIX_BYTES = 5  # compression flag and length before each gRPC message


class FrameBuffer:
    """Take the place of a grpclib stream's buffer; hand over whole frames."""

    __slots__ = ("_stream", "_receive", "_ended", "_data")

    def __init__(self, stream, receive, ended):
        self._stream = stream
        self._receive = receive
        self._ended = ended
        self._data = b""

    def add(self, data, ack_size):
        """Take data of a DATA frame, as grpclib calls it."""
        if ack_size:
            self._stream.connection.ack(self._stream.id, ack_size)
        self._data = self._data + data if self._data else data
        self._cut()

    def eof(self):
        """Note that the peer sends no more."""
        self._ended()

    def unacked_size(self):
        """Return 0: data is acknowledged when it arrives."""
        return 0

    def _cut(self):
        data = self._data
        position = 0
        while len(data) - position >= PREFIX_BYTES:
            start = position + PREFIX_BYTES
            end = start + int.from_bytes(data[position + 1 : start], "big")
            if len(data) < end:
                break
            position = end
            self._receive(data[start:end])
        if position:
            self._data = data[position:]


def install_buffer(grpc, receive, ended):
    """Hand frames to ``receive(bytes)`` from now on, including those in the buffer."""
    stream = grpc._stream
    former = stream.buffer
    stream.buffer = buffer = FrameBuffer(stream, receive, ended)
    while not former._unacked.empty():
        waiting = former._unacked.get_nowait()
        buffer.add(waiting.data, waiting.ack_size)
    if former._eof:
        buffer.eof()


async def wait_ended(grpc, ended):
    """Wait for the end of the stream; raise StreamTerminatedError when it breaks."""
    # grpclib interrupts the tasks that wait inside the wrapper of the stream.
    with grpc._stream.wrapper:
        await ended.wait()


def prepare_frame(grpc, data):
    """Prepare a frame if the connection takes it whole now; return whether it did.

    ``flush_frames`` sends it.
    """
    stream = grpc._stream
    connection = stream.connection
    h2_connection = stream._h2_connection
    size = len(data) + PREFIX_BYTES
    if not connection.write_ready.is_set() or connection.is_closing():
        return False
    if size > h2_connection.max_outbound_frame_size:
        return False
    try:
        if size > h2_connection.local_flow_control_window(stream.id):
            return False
        prefix = b"\0" + len(data).to_bytes(4, "big")
        h2_connection.send_data(stream.id, prefix + data)
    except H2Error:
        return False  # the ordinary way reports the end of the stream
    return True


def flush_frames(grpc):
    """Hand what was prepared to the socket."""
    grpc._stream.connection.flush()
