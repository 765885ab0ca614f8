"""Where entries listen, as they register it in the store for the agents."""

import msgspec

from turmericknot.core.exceptions import MessageError

# Entries register again after this time; an agent that has not been able to reach an
# address for twice as long forgets it.
REGISTER_INTERVAL_S = 30.0
FORGET_AFTER_S = 2 * REGISTER_INTERVAL_S
# A registration that is so much older than the newest one is of an entry that is
# gone. The clocks of VMs differ by seconds.
STALE_AFTER_S = 4 * REGISTER_INTERVAL_S


class Registration(msgspec.Struct, array_like=True):
    """The link address of an entry and the Unix time at which it said so."""

    address: str
    time: float


_decoder = msgspec.msgpack.Decoder(Registration)


def encode_registration(registration):
    """Return the bytes of a Registration."""
    return msgspec.msgpack.encode(registration)


def decode_registration(data):
    """Return the Registration in the bytes; raise MessageError."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise MessageError(f"registration: {error}") from error
