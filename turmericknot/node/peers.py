"""Links to the other entries that own shards, and what they report."""

from turmericknot.wire.messages import PROTOCOL_VERSION
from turmericknot.wire.shard_messages import PeerGreeting, PeerProbe

from .clock import steady_time

PROBE_INTERVAL_S = 0.4
# A peer that has not answered a probe for this long is dialled anew.
SILENT_S = 1.3
# The age up to which a peer's count of waiting jobs is shown; the platform allows 2 s.
STATUS_MAX_AGE_S = 1.9


class Peer:
    """One owner among the other entries."""

    __slots__ = ("stream", "opened_at", "answered_at", "pending")

    def __init__(self):
        self.stream = None
        self.opened_at = 0.0
        self.answered_at = 0.0
        self.pending = {}


class Peers:
    """Peers by member name, which holds the address."""

    __slots__ = ("_node", "_peers", "_by_stream", "_sequence")

    def __init__(self, node):
        self._node = node
        self._peers = {}
        self._by_stream = {}
        self._sequence = 0

    def stream_of(self, member):
        """Return the open stream to a member, or None."""
        peer = self._peers.get(member)
        return peer.stream if peer is not None else None

    def follow(self, members):
        """Keep links to just these members."""
        for member in [member for member in self._peers if member not in members]:
            del self._peers[member]
            self._node.links.stop_dialing(("peer", member))
        for member in members:
            if member not in self._peers:
                self._peers[member] = Peer()
                self._node.links.dial(
                    ("peer", member),
                    member_address(member),
                    lambda: PeerGreeting(PROTOCOL_VERSION, self._node.member),
                )

    def opened(self, stream, member):
        """Note an open stream to a member."""
        peer = self._peers.get(member)
        if peer is not None:
            peer.stream = stream
            peer.opened_at = peer.answered_at = steady_time()
            self._by_stream[stream] = member

    def closed(self, stream):
        """Note the end of a stream."""
        member = self._by_stream.pop(stream, None)
        peer = self._peers.get(member)
        if peer is not None and peer.stream == stream:
            peer.stream = None
        self._node.requests.stream_closed(stream)

    def reported(self, stream, status):
        """Take a PeerStatus."""
        peer = self._peers.get(self._by_stream.get(stream))
        if peer is not None:
            peer.answered_at = steady_time()
            peer.pending = status.pending

    def pending(self, queue):
        """Return the jobs of a queue that wait at other entries, or None if unknown."""
        total = 0
        for peer in self._peers.values():
            if steady_time() - peer.answered_at > STATUS_MAX_AGE_S:
                return None
            total += peer.pending.get(queue, 0)
        return total

    def probe(self):
        """Probe every peer and drop the links of silent ones."""
        now = steady_time()
        self._sequence += 1
        for member, peer in self._peers.items():
            if peer.stream is None:
                continue
            if now - max(peer.answered_at, peer.opened_at) > SILENT_S:
                self._node.log.warning("peer.silent", peer=member)
                stream, peer.stream = peer.stream, None
                self._node.links.abort(stream, "silent")
                continue
            self._node.links.send(peer.stream, PeerProbe(self._sequence))
        self._node.links.flush()


def create_peers(node):
    """Return the peers of an entry."""
    return Peers(node)


def member_name(node_name, address, boot):
    """Return the name of an entry in the group."""
    return f"{node_name}|{address}|{boot}"


def member_address(member):
    """Return the link address in a member's name, or an empty string."""
    parts = member.split("|")
    return parts[1] if len(parts) == 3 else ""
