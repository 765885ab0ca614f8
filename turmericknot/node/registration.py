"""Registrations of entries in the store, by which agents find their addresses."""

import math

import msgspec

from turmericknot.core.exceptions import MessageError
from turmericknot.wire.shard_messages import ShardEpoch

# Entries renew their registration at this interval. An agent forgets an address that
# it could not reach for twice as long.
REGISTER_INTERVAL_S = 30.0
FORGET_ENTRY_AFTER_S = 2 * REGISTER_INTERVAL_S
# A registration that is this much older than the newest ones belongs to an entry that
# no longer runs, unless it has been renewed within this time. The clocks of VMs may
# differ by seconds.
STALE_REGISTRATION_AGE_S = 4 * REGISTER_INTERVAL_S
# The clocks of this many entries may be wrong by any amount.
MAX_WRONG_CLOCKS = 2


class Registration(msgspec.Struct, array_like=True):
    """The link address of an entry and the Unix time of its registration.

    ``lacking_services`` names the services for which it has too few agents,
    ``owned_shards`` the shards of durable jobs that it owned then, ``wanted_labels``
    the (service, label) pairs of which it had no agent.
    """

    address: str
    time: float
    lacking_services: list[str] = []
    owned_shards: list[ShardEpoch] = []
    wanted_labels: list[tuple[str, str]] = []


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


class Registrations:
    """The registrations that an agent has read, by the name of the entry."""

    __slots__ = ("_by_name", "_renewed_at")

    def __init__(self):
        self._by_name = {}
        self._renewed_at = {}  # name -> steady time at which a renewal was read

    def add(self, name, registration, now):
        """Add or renew a registration.

        The address of a removed entry may belong to another one now: of registrations
        with the same address, the newest one is kept.
        """
        for other, known in list(self._by_name.items()):
            if other != name and known.address == registration.address:
                if known.time > registration.time:
                    return
                self.remove(other)
        previous = self._by_name.get(name)
        if previous is not None and previous.time != registration.time:
            self._renewed_at[name] = now
        self._by_name[name] = registration

    def remove(self, name):
        """Remove the registration of an entry that is gone."""
        self._by_name.pop(name, None)
        self._renewed_at.pop(name, None)

    def current(self, now, connected_names=frozenset()):
        """Return the registrations of entries that may be running, by name.

        A connected entry runs, also if it cannot reach the store to renew its own.
        """
        times = sorted(registration.time for registration in self._by_name.values())
        if len(times) <= MAX_WRONG_CLOCKS:
            return dict(self._by_name)
        oldest_time = times[-1 - MAX_WRONG_CLOCKS] - STALE_REGISTRATION_AGE_S
        return {
            name: registration
            for name, registration in self._by_name.items()
            if registration.time > oldest_time
            or name in connected_names
            or now - self._renewed_at.get(name, -math.inf) < STALE_REGISTRATION_AGE_S
        }


def create_registrations():
    """Return the registrations of an agent that has read none yet."""
    return Registrations()
