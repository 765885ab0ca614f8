"""Links to the other entries: who is dialled, and one link for each pair.

All functions but ``dial`` run in the thread of the event loop.
"""

from turmericknot.dispatch import events
from turmericknot.utils.logging import get_logger
from turmericknot.wire.messages import PROTOCOL_VERSION, PeerHello

# An address that never answered for this long belongs to an entry that was replaced;
# its new address arrives as a Presence record.
MAX_FAILURES = 200


class Link:
    """The open link to one peer."""

    __slots__ = ("stream", "incarnation", "dialled_by")

    def __init__(self, stream, incarnation, dialled_by):
        self.stream = stream
        self.incarnation = incarnation
        self.dialled_by = dialled_by  # entry id


class Peers:
    """Open links by entry id and the addresses that are dialled."""

    __slots__ = ("_kernel", "_seeds", "_own", "_open", "_ids", "_failures")

    def __init__(self, kernel, settings):
        self._kernel = kernel
        self._own = kernel.get("identity").address
        self._seeds = [a for a in settings.seed_entries if a != self._own.link_address]
        self._open = {}  # entry id -> Link
        self._ids = {}  # dialled address -> entry id, once it is known
        self._failures = {}  # dialled address -> failures in a row

    @property
    def open_ids(self):
        """Return the ids of the connected entries."""
        return tuple(self._open)

    def start(self):
        """Dial the seeds."""
        for address in self._seeds:
            self._dial_address(address)

    def stop(self):
        """Do nothing: the links service closes the streams."""

    def dial(self, entry_id, address):
        """Open a link to an entry unless there is one.

        Of two entries the one with the lower id dials; the other only finds out
        whether the address still accepts connections.
        """
        if not address or entry_id == self._own.entry_id or entry_id in self._open:
            return
        self._ids[address] = entry_id
        if self._own.entry_id < entry_id:
            self._dial_address(address)
        else:
            self._kernel.get("links").probe(address, address)

    def opened(self, stream, hello, key):
        """Keep a new link and answer its PeerHello; return False to drop it."""
        peer = hello.address
        links = self._kernel.get("links")
        if key is not None:
            self._ids[key] = peer.entry_id
            self._failures.pop(key, None)
        if peer.entry_id == self._own.entry_id:
            return self._drop(stream, key, "own address")
        if key is None:
            links.send(stream, self._hello())
            links.flush()
        dialled_by = peer.entry_id if key is None else self._own.entry_id
        former = self._open.get(peer.entry_id)
        if former is not None and not _replaces(peer, dialled_by, former):
            return self._drop(stream, key, "another link is open")
        self._open[peer.entry_id] = Link(stream, peer.incarnation, dialled_by)
        if former is not None:
            links.close(former.stream, "replaced by a new link")
            if former.dialled_by == self._own.entry_id and key is None:
                self._hang_up(peer.entry_id)
        get_logger().info("peer.connected", peer=peer.incarnation, stream=stream)
        return True

    def closed(self, stream):
        """Forget a link; a dialled one is dialled again by the links service."""
        for entry_id, link in list(self._open.items()):
            if link.stream == stream:
                del self._open[entry_id]

    def dial_failed(self, address, refused):
        """Tell the dispatcher that an entry cannot be reached."""
        links = self._kernel.get("links")
        failures = self._failures[address] = self._failures.get(address, 0) + 1
        entry_id = self._ids.get(address)
        if entry_id is not None and entry_id not in self._open:
            event = events.PeerUnreachable(entry_id, refused)
            self._kernel.get("dispatcher").post(event)
        if failures >= MAX_FAILURES and address not in self._seeds:
            self._failures.pop(address)
            links.stop_dialing(address)

    def _dial_address(self, address):
        self._kernel.get("links").dial(address, address, self._hello)

    def _hello(self):
        version = self._kernel.get("config").version
        return PeerHello(PROTOCOL_VERSION, self._own, version)

    def _drop(self, stream, key, reason):
        links = self._kernel.get("links")
        if key is not None:
            links.stop_dialing(key)
        links.close(stream, reason)
        return False

    def _hang_up(self, entry_id):
        for address, known in self._ids.items():
            if known == entry_id:
                self._kernel.get("links").stop_dialing(address)


def create_peers(kernel, settings):
    """Return the service that links an entry to the others."""
    return Peers(kernel, settings)


def _replaces(peer, dialled_by, former):
    """Return whether a new link is kept instead of the one that is open.

    Both ends come to the same result: a newer incarnation or a redial replaces the
    former link, and of two that were dialled at the same time the lower id's stays.
    """
    if peer.incarnation != former.incarnation or dialled_by == former.dialled_by:
        return True
    return dialled_by < former.dialled_by
