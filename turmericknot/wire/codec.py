"""Encode and decode frames: lists of messages that travel together."""

import msgspec

from turmericknot.core.exceptions import WireError

from .messages import AnyMessage
from .shard_messages import SHARD_MESSAGES

MAX_FRAME_BYTES = 64 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_known = AnyMessage | SHARD_MESSAGES
_frame_decoder = msgspec.msgpack.Decoder(list[_known])
_message_decoder = msgspec.msgpack.Decoder(_known)
_raw_decoder = msgspec.msgpack.Decoder(list[msgspec.Raw])


def encode_frame(messages):
    """Return the bytes of a frame of messages."""
    return _encoder.encode(messages)


def decode_frame(data):
    """Return the messages of a frame, without those of unknown tags.

    Raise WireError when the frame is no list of messages at all.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise WireError(f"frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES}")
    try:
        return _frame_decoder.decode(data)
    except msgspec.ValidationError:
        return _decode_known(data)
    except msgspec.DecodeError as error:
        raise WireError(f"undecodable frame: {error}") from error


def _decode_known(data):
    """Decode message by message, skipping what a newer peer added."""
    try:
        parts = _raw_decoder.decode(data)
    except msgspec.DecodeError as error:
        raise WireError(f"frame is not a list: {error}") from error
    messages = []
    for part in parts:
        try:
            messages.append(_message_decoder.decode(part))
        except msgspec.ValidationError:
            continue
    return messages


def encode_message(message):
    """Return the bytes of one message, to be joined into a frame later."""
    return _encoder.encode(message)


def join_frame(parts):
    """Return a frame of messages that are encoded already."""
    return _array_header(len(parts)) + b"".join(parts)


def decode_sized(data):
    """Return ``(message, size in bytes)`` of each known message of a frame.

    Raise WireError when the frame is no list of messages at all.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise WireError(f"frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES}")
    try:
        parts = _raw_decoder.decode(data)
    except msgspec.DecodeError as error:
        raise WireError(f"undecodable frame: {error}") from error
    sized = []
    for part in parts:
        try:
            sized.append((_message_decoder.decode(part), len(part)))
        except msgspec.ValidationError:
            continue
    return sized


def _array_header(length):
    """Return the MessagePack header of an array."""
    if length < 16:
        return bytes((0x90 | length,))
    if length < 1 << 16:
        return b"\xdc" + length.to_bytes(2, "big")
    return b"\xdd" + length.to_bytes(4, "big")
