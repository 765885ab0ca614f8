"""Links to the other entries that own shards, and the status that they report."""

import math

from turmericknot.wire.messages import PROTOCOL_VERSION
from turmericknot.wire.shard_messages import PeerGreeting, PeerProbe

from .clock import steady_time

PROBE_INTERVAL_S = 0.4
# The link to a peer that has not answered a probe for this long is reconnected.
PEER_TIMEOUT_S = 1.3
# Maximum age of a peer's count of waiting jobs in an answer; the platform allows 2 s.
STATUS_MAX_AGE_S = 1.9


class Peer:
    """Another entry that owns shards."""

    __slots__ = ("stream", "opened_at", "answered_at", "pending", "shards")

    def __init__(self):
        self.stream = None
        self.opened_at = 0.0
        self.answered_at = -math.inf
        self.pending = {}
        self.shards = frozenset()  # that it serves


class PeerLinks:
    """The peers of an entry by member name, which contains the link address."""

    __slots__ = ("_node", "_peers", "_member_by_stream", "_probe_sequence")

    def __init__(self, node):
        self._node = node
        self._peers = {}
        self._member_by_stream = {}
        self._probe_sequence = 0

    def find_stream(self, member):
        """Return the open stream to a member, or None if there is none."""
        peer = self._peers.get(member)
        return peer.stream if peer is not None else None

    def set_members(self, members):
        """Connect to these members and disconnect from all others."""
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

    def on_opened(self, stream, member):
        """Record that a stream to a member has opened."""
        peer = self._peers.get(member)
        if peer is not None:
            peer.stream = stream
            peer.opened_at = steady_time()
            self._member_by_stream[stream] = member

    def on_closed(self, stream):
        """Record that a stream has closed and fail the requests sent on it."""
        member = self._member_by_stream.pop(stream, None)
        peer = self._peers.get(member)
        if peer is not None and peer.stream == stream:
            peer.stream = None
        self._node.requests.on_stream_closed(stream)

    def on_status(self, stream, status):
        """Record the PeerStatus that a peer has sent."""
        peer = self._peers.get(self._member_by_stream.get(stream))
        if peer is not None:
            peer.answered_at = steady_time()
            peer.pending = status.pending
            peer.shards = frozenset(row.shard for row in status.shards)

    def serves_shard(self, member, shard):
        """Return whether a peer has said that it serves a shard."""
        peer = self._peers.get(member)
        return peer is not None and shard in peer.shards

    def count_pending(self, queue):
        """Return the number of jobs of a queue that wait at the peers.

        Return None when the status of a peer is too old.
        """
        total = 0
        for peer in self._peers.values():
            if steady_time() - peer.answered_at > STATUS_MAX_AGE_S:
                return None
            total += peer.pending.get(queue, 0)
        return total

    def probe_all(self):
        """Send a probe to every peer; drop the links of peers that do not answer."""
        now = steady_time()
        self._probe_sequence += 1
        for member, peer in self._peers.items():
            if peer.stream is None:
                continue
            if now - max(peer.answered_at, peer.opened_at) > PEER_TIMEOUT_S:
                self._node.log.warning("peer.silent", peer=member)
                stream, peer.stream = peer.stream, None
                self._node.links.abort(stream, "silent")
                continue
            self._node.links.send(peer.stream, PeerProbe(self._probe_sequence))
        self._node.links.flush()


def create_peers(node):
    """Return the links of an entry to its peers."""
    return PeerLinks(node)


def member_name(node_name, address, boot_id):
    """Return the name under which an entry joins the group of entries."""
    return f"{node_name}|{address}|{boot_id}"


def member_address(member):
    """Return the link address in a member name, or an empty string."""
    parts = member.split("|")
    return parts[1] if len(parts) == 3 else ""
