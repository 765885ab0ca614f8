"""Encode and decode frames; a frame is a list of messages sent together."""

import msgspec

from turmericknot.core.exceptions import WireError

from .messages import AnyMessage
from .shard_messages import SHARD_MESSAGES

MAX_FRAME_BYTES = 64 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_any_message = AnyMessage | SHARD_MESSAGES
_frame_decoder = msgspec.msgpack.Decoder(list[_any_message])
_message_decoder = msgspec.msgpack.Decoder(_any_message)
_raw_decoder = msgspec.msgpack.Decoder(list[msgspec.Raw])


def encode_frame(messages):
    """Return the bytes of a frame of messages."""
    return _encoder.encode(messages)


def decode_frame(data):
    """Return the messages of a frame; messages that cannot be decoded are skipped.

    Raise WireError when the frame is not a list of messages.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise WireError(f"frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES}")
    try:
        return _frame_decoder.decode(data)
    except msgspec.ValidationError:
        return _decode_known_messages(data)
    except msgspec.DecodeError as error:
        raise WireError(f"frame cannot be decoded: {error}") from error


def _decode_known_messages(data):
    """Decode each message separately and skip those that only a newer peer knows."""
    try:
        encoded_messages = _raw_decoder.decode(data)
    except msgspec.DecodeError as error:
        raise WireError(f"frame is not a list: {error}") from error
    messages = []
    for encoded_message in encoded_messages:
        try:
            messages.append(_message_decoder.decode(encoded_message))
        except msgspec.ValidationError:
            continue
    return messages


def encode_message(message):
    """Return the bytes of one message, for use with ``join_encoded_messages``."""
    return _encoder.encode(message)


def join_encoded_messages(encoded_messages):
    """Return the bytes of a frame of encoded messages."""
    return _array_header(len(encoded_messages)) + b"".join(encoded_messages)


def decode_messages_with_sizes(data):
    """Return ``(message, size in bytes)`` for each known message of a frame.

    Raise WireError when the frame is not a list of messages.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise WireError(f"frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES}")
    try:
        encoded_messages = _raw_decoder.decode(data)
    except msgspec.DecodeError as error:
        raise WireError(f"frame cannot be decoded: {error}") from error
    messages_with_sizes = []
    for encoded_message in encoded_messages:
        try:
            messages_with_sizes.append(
                (_message_decoder.decode(encoded_message), len(encoded_message))
            )
        except msgspec.ValidationError:
            continue
    return messages_with_sizes


def _array_header(length):
    """Return the MessagePack header of an array of this length."""
    if length < 16:
        return bytes((0x90 | length,))
    if length < 1 << 16:
        return b"\xdc" + length.to_bytes(2, "big")
    return b"\xdd" + length.to_bytes(4, "big")
