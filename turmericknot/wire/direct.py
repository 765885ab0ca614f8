"""Send and receive whole frames without grpclib's coroutines.

grpclib passes each frame through several coroutines, futures and buffers, which
costs about as much CPU time as HTTP/2 itself. Here a frame that fits the flow-control
window is written by one call, and incoming data is split into frames as it arrives.
Both use attributes that grpclib 0.4.9 does not document; the version is pinned.
"""

from h2.exceptions import H2Error

# Larger frames do not fit into one HTTP/2 DATA frame of the default size.
MAX_DIRECT_BYTES = 16_000
FRAME_PREFIX_BYTES = 5  # gRPC compression flag and message length


class FrameBuffer:
    """Replacement for a grpclib stream's buffer that delivers whole frames."""

    __slots__ = ("_stream", "_on_frame", "_on_end", "_data")

    def __init__(self, stream, on_frame, on_end):
        self._stream = stream
        self._on_frame = on_frame
        self._on_end = on_end
        self._data = b""

    def add(self, data, ack_size):
        """Handle the data of a DATA frame; called by grpclib."""
        if ack_size:
            self._stream.connection.ack(self._stream.id, ack_size)
        self._data = self._data + data if self._data else data
        self._deliver_complete_frames()

    def eof(self):
        """Handle the end of the peer's data; called by grpclib."""
        self._on_end()

    def unacked_size(self):
        """Return 0, because data is acknowledged when it arrives; called by grpclib."""
        return 0

    def _deliver_complete_frames(self):
        data = self._data
        position = 0
        while len(data) - position >= FRAME_PREFIX_BYTES:
            start = position + FRAME_PREFIX_BYTES
            end = start + int.from_bytes(data[position + 1 : start], "big")
            if len(data) < end:
                break
            position = end
            self._on_frame(data[start:end])
        if position:
            self._data = data[position:]


def install_frame_buffer(grpc, on_frame, on_end):
    """Pass frames to ``on_frame(bytes)`` from now on, including those already buffered.

    ``on_end()`` is called when the peer has sent its last data.
    """
    stream = grpc._stream
    previous_buffer = stream.buffer
    stream.buffer = buffer = FrameBuffer(stream, on_frame, on_end)
    while not previous_buffer._unacked.empty():
        item = previous_buffer._unacked.get_nowait()
        buffer.add(item.data, item.ack_size)
    if previous_buffer._eof:
        buffer.eof()


async def wait_stream_end(grpc, ended):
    """Wait until ``ended`` is set; raise StreamTerminatedError if the stream breaks."""
    # When the stream breaks, grpclib cancels the tasks that wait inside its wrapper.
    with grpc._stream.wrapper:
        await ended.wait()


def try_buffer_frame(grpc, data):
    """Buffer a frame if the connection can send all of it now.

    Return whether it was buffered; ``flush_buffered_frames`` then sends it.
    """
    stream = grpc._stream
    connection = stream.connection
    h2_connection = stream._h2_connection
    size = len(data) + FRAME_PREFIX_BYTES
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
        return False  # sending it through grpclib reports the error
    return True


def flush_buffered_frames(grpc):
    """Write the buffered frames to the socket."""
    grpc._stream.connection.flush()
