import msgspec
import pytest

from turmericknot.core.exceptions import WireError
from turmericknot.wire import messages
from turmericknot.wire.codec import decode_frame, encode_frame


def test_frame_round_trip():
    sent = [
        messages.Heartbeat(7),
        messages.Results(b"j" * 16, [messages.TaskResult(1, 0, b"out", 12.5)]),
    ]
    assert decode_frame(encode_frame(sent)) == sent


def test_unknown_tag_is_skipped():
    """Guards against an older peer that fails on a message of a newer one."""
    frame = msgspec.msgpack.encode([[9999, "new"], [2, 5, "appended field"]])
    assert decode_frame(frame) == [messages.Heartbeat(5)]


@pytest.mark.parametrize("data", [b"", b"\xc1", msgspec.msgpack.encode(3)])
def test_invalid_frame_raises_wire_error(data):
    with pytest.raises(WireError):
        decode_frame(data)
