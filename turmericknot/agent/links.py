"""Streams of an agent: it dials its seeds and the entries that a Welcome names.

A seed may be a load balancer, so the entry behind it is known only from its Welcome.
Callbacks run in the thread of the event loop; ``dial`` runs in the dispatcher's.
"""

import threading

from turmericknot.core.passive import PassiveService
from turmericknot.dispatch import events
from turmericknot.utils.logging import get_logger
from turmericknot.wire.links import LinkCallbacks, create_links
from turmericknot.wire.messages import Welcome

# About 10 minutes of attempts: the entry was replaced and has another address.
MAX_FAILURES = 200


class Entries(PassiveService):
    """Open streams by entry and the addresses that are dialled."""

    __slots__ = ("_kernel", "_seeds", "_open", "_named", "_failures", "_lock")

    def __init__(self, kernel, settings):
        self._kernel = kernel
        self._seeds = tuple(settings.seed_entries)
        self._open = {}  # entry id -> stream
        self._named = {}  # entry id -> address
        self._failures = {}  # address -> failures in a row
        self._lock = threading.RLock()

    @property
    def open_ids(self):
        """Return the ids of the connected entries."""
        return sorted(self._open)

    def dial(self, entry_id, address):
        """Keep a stream to an entry; a seed has no entry id yet."""
        with self._lock:
            if entry_id:
                self._named[entry_id] = address
                if entry_id in self._open:
                    return
            self._dial_address(address)

    def opened(self, stream, first, key):
        """Hand a welcomed stream to the dispatcher; close a duplicate."""
        links = self._kernel.get("links")
        if not isinstance(first, Welcome):
            links.close(stream, "unexpected first message")
            return
        with self._lock:
            self._failures.pop(key, None)
            if first.entry_id in self._open:
                # A seed led to an entry that has a stream already.
                links.stop_dialing(key)
                links.close(stream, "another stream is open")
                return
            self._open[first.entry_id] = stream
            self._kernel.get("dispatcher").post(events.EntryConnected(stream, first))

    def received(self, stream, messages):
        """Hand a frame to the dispatcher."""
        post_all = self._kernel.get("dispatcher").post_all
        post_all(events.EntryMessage(stream, each) for each in messages)

    def closed(self, stream, reason):
        """Forget a stream; dial the entry, or any seed when none is left."""
        get_logger().info("link.closed", stream=stream, reason=reason)
        with self._lock:
            for entry_id, open_stream in list(self._open.items()):
                if open_stream == stream:
                    del self._open[entry_id]
                    self._kernel.get("dispatcher").post(
                        events.EntryDisconnected(stream)
                    )
                    if entry_id in self._named:
                        self._dial_address(self._named[entry_id])
            if not self._open:
                for address in self._seeds:
                    self._dial_address(address)

    def dial_failed(self, address, refused):
        """Give up an address that has not answered for long."""
        with self._lock:
            failures = self._failures[address] = self._failures.get(address, 0) + 1
            if failures < MAX_FAILURES or address in self._seeds:
                return
            self._failures.pop(address)
            self._kernel.get("links").stop_dialing(address)
            gone = [name for name, known in self._named.items() if known == address]
            for entry_id in gone:
                del self._named[entry_id]

    def _dial_address(self, address):
        hello = self._kernel.get("identity").hello
        self._kernel.get("links").dial(address, address, hello)


def create_entries(kernel, settings):
    """Return the service that decides which entries are dialled."""
    return Entries(kernel, settings)


def create_agent_links(kernel, settings):
    """Return the links service of an agent."""
    entries = kernel.get("entries")
    return create_links(
        LinkCallbacks(
            entries.opened, entries.received, entries.closed, entries.dial_failed
        )
    )
