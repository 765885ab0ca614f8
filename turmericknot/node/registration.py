"""Registrations of entries in the store, by which agents find their addresses."""

import msgspec

from turmericknot.core.exceptions import MessageError

# Entries renew their registration at this interval. An agent forgets an address that
# it could not reach for twice as long.
REGISTER_INTERVAL_S = 30.0
FORGET_ENTRY_AFTER_S = 2 * REGISTER_INTERVAL_S
# A registration that is this much older than the newest one belongs to an entry that
# no longer runs. The clocks of VMs may differ by seconds.
STALE_REGISTRATION_AGE_S = 4 * REGISTER_INTERVAL_S


class Registration(msgspec.Struct, array_like=True):
    """The link address of an entry and the Unix time of its registration.

    ``lacking_services`` names the services for which it has too few agents.
    """

    address: str
    time: float
    lacking_services: list[str] = []


_registration_decoder = msgspec.msgpack.Decoder(Registration)


def encode_registration(registration):
    """Encode a Registration."""
    return msgspec.msgpack.encode(registration)


def decode_registration(data):
    """Decode a Registration; raise MessageError if the data is malformed."""
    try:
        return _registration_decoder.decode(data)
    except msgspec.DecodeError as error:
        raise MessageError(f"registration: {error}") from error
