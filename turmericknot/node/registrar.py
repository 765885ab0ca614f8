"""Keeps an entry registered in the store, with the services it lacks agents for."""

import asyncio
import math
import time

from turmericknot.core.exceptions import StoreError
from turmericknot.platform.store import ENTRIES_TOPIC, KeyedRecord
from turmericknot.scheduling import neighborhood
from turmericknot.utils.logging import get_logger

from .clock import steady_time
from .registration import REGISTER_INTERVAL_S, Registration, encode_registration

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
        "_agents_expected_at",
    )

    def __init__(self, store, name, address):
        self._store = store
        self._name = name
        self._address = address
        self._lacking_services = ()
        self._agents_expected_at = steady_time() + AGENTS_CONNECT_S

    def update_lacking_services(self, owner, services, now):
        """Find out which services lack agents, once the agents had time to connect."""
        if now < self._agents_expected_at:
            return
        lacking_services = neighborhood.find_lacking_services(
            owner, services, self._lacking_services
        )
        if lacking_services != self._lacking_services:
            self._lacking_services = lacking_services
            get_logger().info("agents.lacking", services=",".join(lacking_services))

    async def run(self):
        """Register at the start, on changes, and again at a fixed interval."""
        registered_at = -math.inf
        registered_services = ()
        while True:
            lacking_services = self._lacking_services
            is_renewal_due = steady_time() - registered_at > REGISTER_INTERVAL_S
            if not is_renewal_due and lacking_services == registered_services:
                await asyncio.sleep(CHECK_INTERVAL_S)
                continue
            registration = Registration(
                self._address, time.time(), list(lacking_services)
            )
            record = KeyedRecord(self._name, encode_registration(registration))
            try:
                await self._store.append(ENTRIES_TOPIC, 0, [record])
            except StoreError as error:
                get_logger().warning("register.failed", reason=str(error))
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            registered_at = steady_time()
            registered_services = lacking_services


def create_registrar(store, name, address):
    """Return the registrar of an entry; it registers in ``run``."""
    return Registrar(store, name, address)
