"""What an entry knows of the other entries."""

from types import SimpleNamespace

import pytest

from turmericknot.node import peers as node_peers
from turmericknot.wire.shard_messages import PeerStatus, ShardEpoch

MEMBER, STREAM = "entry-1|127.0.0.1:1|b", 7


@pytest.fixture
def peers():
    """Return the links of an entry to one peer, whose stream has just opened."""
    node = SimpleNamespace(
        links=SimpleNamespace(dial=lambda *arguments: None), member="entry-0"
    )
    links = node_peers.create_peers(node)
    links.set_members({MEMBER})
    links.on_opened(STREAM, MEMBER)
    return links


def test_waiting_jobs_of_a_new_peer_are_unknown(peers):
    """Guards against a count without the jobs of an owner that has not answered yet."""
    assert peers.count_pending("q") is None
    peers.on_status(STREAM, PeerStatus(1, [], {"q": 3}))
    assert peers.count_pending("q") == 3


def test_shard_is_served_once_its_owner_says_so(peers):
    """Guards against a count of an owner that has not loaded its jobs yet."""
    peers.on_status(STREAM, PeerStatus(1, [], {}))
    assert not peers.serves_shard(MEMBER, 0)
    peers.on_status(STREAM, PeerStatus(2, [ShardEpoch(0, 5)], {}))
    assert peers.serves_shard(MEMBER, 0)
    assert not peers.serves_shard("", 0)
