"""Links between entries, at most one for each pair of entries.

Everything except ``dial`` runs in the event loop thread.
"""

from turmericknot.dispatch import events
from turmericknot.utils.logging import get_logger
from turmericknot.wire.messages import PROTOCOL_VERSION, PeerHello

# An address that is unreachable for this many attempts belongs to an entry that was
# replaced. The address of the replacement arrives in a Presence record.
MAX_DIAL_FAILURES = 200


class PeerLink:
    """An open link to another entry."""

    __slots__ = ("stream", "incarnation", "dialed_by")

    def __init__(self, stream, incarnation, dialed_by):
        self.stream = stream
        self.incarnation = incarnation
        self.dialed_by = dialed_by  # entry id


class PeerLinks:
    """Open links by entry id, and the addresses to connect to."""

    __slots__ = (
        "_kernel",
        "_seed_addresses",
        "_own_address",
        "_link_by_entry",
        "_entry_by_address",
        "_dial_failures",
    )

    def __init__(self, kernel, settings):
        self._kernel = kernel
        self._own_address = kernel.get("identity").address
        self._seed_addresses = [
            a for a in settings.seed_entries if a != self._own_address.link_address
        ]
        self._link_by_entry = {}  # entry id -> PeerLink
        self._entry_by_address = {}  # dialed address -> entry id, when known
        self._dial_failures = {}  # dialed address -> consecutive failures

    @property
    def connected_entry_ids(self):
        """Return the ids of the connected entries."""
        return tuple(self._link_by_entry)

    def start(self):
        """Connect to the seed addresses."""
        for address in self._seed_addresses:
            self._dial_address(address)

    def stop(self):
        """Do nothing: the links service closes the streams."""

    def dial(self, entry_id, address):
        """Open a link to an entry unless there is one.

        The entry with the lower id of a pair opens the link. The other one only
        probes whether the address accepts connections.
        """
        if (
            not address
            or entry_id == self._own_address.entry_id
            or entry_id in self._link_by_entry
        ):
            return
        self._entry_by_address[address] = entry_id
        if self._own_address.entry_id < entry_id:
            self._dial_address(address)
        else:
            self._kernel.get("links").probe(address, address)

    def stream_opened(self, stream, hello, dialed_address):
        """Register a new link and reply to its PeerHello.

        Return False when the link is rejected. ``dialed_address`` is None for a
        link that the peer opened.
        """
        peer = hello.address
        links = self._kernel.get("links")
        if dialed_address is not None:
            self._entry_by_address[dialed_address] = peer.entry_id
            self._dial_failures.pop(dialed_address, None)
        if peer.entry_id == self._own_address.entry_id:
            return self._reject_stream(stream, dialed_address, "own address")
        if dialed_address is None:
            links.send(stream, self._create_hello())
            links.flush()
        dialed_by = (
            peer.entry_id if dialed_address is None else self._own_address.entry_id
        )
        previous = self._link_by_entry.get(peer.entry_id)
        if previous is not None and not _replaces_link(peer, dialed_by, previous):
            return self._reject_stream(stream, dialed_address, "another link is open")
        self._link_by_entry[peer.entry_id] = PeerLink(
            stream, peer.incarnation, dialed_by
        )
        if previous is not None:
            links.close(previous.stream, "replaced by a new link")
            if (
                previous.dialed_by == self._own_address.entry_id
                and dialed_address is None
            ):
                self._stop_dialing(peer.entry_id)
        get_logger().info("peer.connected", peer=peer.incarnation, stream=stream)
        return True

    def stream_closed(self, stream):
        """Remove a closed link; the links service redials it if this entry dialed."""
        for entry_id, link in list(self._link_by_entry.items()):
            if link.stream == stream:
                del self._link_by_entry[entry_id]

    def dial_failed(self, address, refused):
        """Post PeerUnreachable for a known entry without an open link.

        Stop connecting to the address after MAX_DIAL_FAILURES failures in a row;
        seed addresses are retried without limit.
        """
        links = self._kernel.get("links")
        failures = self._dial_failures[address] = (
            self._dial_failures.get(address, 0) + 1
        )
        entry_id = self._entry_by_address.get(address)
        if entry_id is not None and entry_id not in self._link_by_entry:
            event = events.PeerUnreachable(entry_id, refused)
            self._kernel.get("dispatcher").post(event)
        if failures >= MAX_DIAL_FAILURES and address not in self._seed_addresses:
            self._dial_failures.pop(address)
            links.stop_dialing(address)

    def _dial_address(self, address):
        self._kernel.get("links").dial(address, address, self._create_hello)

    def _create_hello(self):
        version = self._kernel.get("config").version
        return PeerHello(PROTOCOL_VERSION, self._own_address, version)

    def _reject_stream(self, stream, dialed_address, reason):
        links = self._kernel.get("links")
        if dialed_address is not None:
            links.stop_dialing(dialed_address)
        links.close(stream, reason)
        return False

    def _stop_dialing(self, entry_id):
        for address, known_id in self._entry_by_address.items():
            if known_id == entry_id:
                self._kernel.get("links").stop_dialing(address)


def create_peer_links(kernel, settings):
    """Return the service that keeps links to the other entries."""
    return PeerLinks(kernel, settings)


def _replaces_link(peer, dialed_by, previous):
    """Return whether a new link replaces the open one.

    Both ends reach the same decision: a link to a new incarnation, or one opened by
    the same side as the open link, replaces it. If both sides opened a link at the
    same time, the one opened by the lower entry id is kept.
    """
    if peer.incarnation != previous.incarnation or dialed_by == previous.dialed_by:
        return True
    return dialed_by < previous.dialed_by
