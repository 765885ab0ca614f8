"""Keeps an entry registered in the store, with what agents have to know of it."""

import asyncio
import math
import time

from turmericknot.core.exceptions import StoreError
from turmericknot.platform.store import ENTRIES_TOPIC, KeyedRecord
from turmericknot.scheduling import neighborhood
from turmericknot.utils.logging import get_logger

from .clock import steady_time
from .registration import REGISTER_INTERVAL_S, Registration, encode_registration
from .tasks import wait_for_event

RETRY_DELAY_S = 0.3
CHECK_INTERVAL_S = 0.5
# The agents chosen by hash connect within this time after the start of an entry.
AGENTS_CONNECT_S = 2.0


class Registrar:
    """The registration of one entry, by which agents find it."""

    __slots__ = (
        "_store",
        "_name",
        "_address",
        "_lacking_services",
        "_owned_shards",
        "_wanted_labels",
        "_agents_expected_at",
        "_is_urgent",
    )

    def __init__(self, store, name, address):
        self._store = store
        self._name = name
        self._address = address
        self._lacking_services = ()
        self._owned_shards = []
        self._wanted_labels = []
        self._agents_expected_at = steady_time() + AGENTS_CONNECT_S
        self._is_urgent = asyncio.Event()

    def update_lacking_services(self, owner, services, now):
        """Find out which services lack agents, once the agents had time to connect.

        A change is registered at the next check, not at once: while agents connect and
        leave, the result changes to and fro, and all agents read each registration.
        """
        if now < self._agents_expected_at:
            return
        lacking_services = neighborhood.find_lacking_services(
            owner, services, self._lacking_services
        )
        if lacking_services != self._lacking_services:
            self._lacking_services = lacking_services
            get_logger().info("agents.lacking", services=",".join(lacking_services))

    def update_needs(self, owner, now):
        """Find out which shards of durable jobs, and which labels, need agents."""
        owned_shards = neighborhood.find_owned_shards(owner)
        wanted_labels = owner.wanted_labels.current(now)
        for service, label in wanted_labels:
            if (service, label) not in self._wanted_labels:
                get_logger().info("agents.wanted", service=service, label=label)
        if (owned_shards, wanted_labels) != (self._owned_shards, self._wanted_labels):
            self._owned_shards, self._wanted_labels = owned_shards, wanted_labels
            self._is_urgent.set()

    async def run(self):
        """Register at the start, on changes, and again at a fixed interval."""
        registered = None
        registered_at = -math.inf
        while True:
            self._is_urgent.clear()
            is_renewal_due = steady_time() - registered_at > REGISTER_INTERVAL_S
            if not is_renewal_due and self._is_current(registered):
                await wait_for_event(self._is_urgent, CHECK_INTERVAL_S)
                continue
            registration = Registration(
                self._address,
                time.time(),
                list(self._lacking_services),
                list(self._owned_shards),
                list(self._wanted_labels),
            )
            record = KeyedRecord(self._name, encode_registration(registration))
            try:
                await self._store.append(ENTRIES_TOPIC, 0, [record])
            except StoreError as error:
                get_logger().warning("register.failed", reason=str(error))
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            registered = registration
            registered_at = steady_time()

    def _is_current(self, registration):
        """Return whether a registration says all that agents have to know.

        A lost shard needs no new one, as its next owner has a higher epoch, nor does a
        label that is no longer wanted.
        """
        return (
            registration.lacking_services == list(self._lacking_services)
            and all(s in registration.owned_shards for s in self._owned_shards)
            and all(w in registration.wanted_labels for w in self._wanted_labels)
        )


def create_registrar(store, name, address):
    """Return the registrar of an entry; it registers in ``run``."""
    return Registrar(store, name, address)
