"""Streams from an agent to entries.

An agent connects to its seed addresses and to the entries listed in a Welcome. A seed
may be a load balancer, so the entry behind it is known only from its Welcome.
Callbacks run in the event loop thread; ``dial`` runs in the dispatcher thread.
"""

import threading

from turmericknot.core.passive import PassiveService
from turmericknot.dispatch import events
from turmericknot.utils.logging import get_logger
from turmericknot.wire.links import LinkCallbacks, create_links
from turmericknot.wire.messages import Welcome

# About 10 minutes of attempts. An entry that is unreachable for that long has been
# replaced and its replacement has another address.
MAX_DIAL_FAILURES = 200


class EntryStreams(PassiveService):
    """Open streams by entry, and the addresses to connect to."""

    __slots__ = (
        "_kernel",
        "_seed_addresses",
        "_stream_by_entry",
        "_address_by_entry",
        "_dial_failures",
        "_lock",
    )

    def __init__(self, kernel, settings):
        self._kernel = kernel
        self._seed_addresses = tuple(settings.seed_entries)
        self._stream_by_entry = {}  # entry id -> stream
        self._address_by_entry = {}  # entry id -> address
        self._dial_failures = {}  # address -> consecutive failures
        self._lock = threading.RLock()

    @property
    def connected_entry_ids(self):
        """Return the sorted ids of the connected entries."""
        return sorted(self._stream_by_entry)

    def dial(self, entry_id, address):
        """Open a stream to an entry unless there is one; reopen it when it closes.

        ``entry_id`` is empty for a seed address, whose entry is not known yet.
        """
        with self._lock:
            if entry_id:
                self._address_by_entry[entry_id] = address
                if entry_id in self._stream_by_entry:
                    return
            self._dial_address(address)

    def stream_opened(self, stream, first_message, dialed_address):
        """Report a stream whose entry sent a Welcome; close a duplicate stream."""
        links = self._kernel.get("links")
        if not isinstance(first_message, Welcome):
            links.close(stream, "unexpected first message")
            return
        with self._lock:
            self._dial_failures.pop(dialed_address, None)
            if first_message.entry_id in self._stream_by_entry:
                # The seed address resolved to an entry that already has a stream.
                links.stop_dialing(dialed_address)
                links.close(stream, "another stream is open")
                return
            self._stream_by_entry[first_message.entry_id] = stream
            self._kernel.get("dispatcher").post(
                events.EntryConnected(stream, first_message)
            )

    def messages_received(self, stream, messages):
        """Post the messages of a frame to the dispatcher."""
        post_all = self._kernel.get("dispatcher").post_all
        post_all(events.EntryMessage(stream, message) for message in messages)

    def stream_closed(self, stream, reason):
        """Remove a stream and reconnect to its entry.

        Without any open stream, connect to all seed addresses as well.
        """
        get_logger().info("link.closed", stream=stream, reason=reason)
        with self._lock:
            for entry_id, open_stream in list(self._stream_by_entry.items()):
                if open_stream == stream:
                    del self._stream_by_entry[entry_id]
                    self._kernel.get("dispatcher").post(
                        events.EntryDisconnected(stream)
                    )
                    if entry_id in self._address_by_entry:
                        self._dial_address(self._address_by_entry[entry_id])
            if not self._stream_by_entry:
                for address in self._seed_addresses:
                    self._dial_address(address)

    def dial_failed(self, address, refused):
        """Stop connecting to an address after MAX_DIAL_FAILURES failures in a row.

        Seed addresses are retried without limit.
        """
        with self._lock:
            failures = self._dial_failures[address] = (
                self._dial_failures.get(address, 0) + 1
            )
            if failures < MAX_DIAL_FAILURES or address in self._seed_addresses:
                return
            self._dial_failures.pop(address)
            self._kernel.get("links").stop_dialing(address)
            removed_ids = [
                name
                for name, known in self._address_by_entry.items()
                if known == address
            ]
            for entry_id in removed_ids:
                del self._address_by_entry[entry_id]

    def _dial_address(self, address):
        create_hello = self._kernel.get("identity").create_hello
        self._kernel.get("links").dial(address, address, create_hello)


def create_entry_streams(kernel, settings):
    """Return the service that tracks the streams to entries."""
    return EntryStreams(kernel, settings)


def create_agent_links(kernel, settings):
    """Return the links service of an agent."""
    entries = kernel.get("entries")
    return create_links(
        LinkCallbacks(
            entries.stream_opened,
            entries.messages_received,
            entries.stream_closed,
            entries.dial_failed,
        )
    )
