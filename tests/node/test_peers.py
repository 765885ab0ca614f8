"""Probes among entries, and the demand that they carry."""

from types import SimpleNamespace

from turmericknot.node.peers import create_peers
from turmericknot.scheduling import demand
from turmericknot.scheduling.owner import Shard, create_owner
from turmericknot.wire.shard_messages import DemandDigest, PeerProbe, QueueDemand


def create_node(sent):
    links = SimpleNamespace(
        send=lambda stream, message: sent.append(message), flush=lambda: None
    )
    return SimpleNamespace(owner=create_owner(), links=links)


def answer_probes(owns_shard):
    """Let three entries probe a fourth; return the answers and its owner."""
    sent = []
    node = create_node(sent)
    if owns_shard:
        node.owner.shards[0] = Shard(0, 1)
    peers = create_peers(node)
    digest = DemandDigest([QueueDemand("q", "s", 0, 1000, 500, 2000)])
    for stream in (1, 2, 3):
        peers.on_greeted(stream, f"entry-{stream}")
        peers.answer_probe(stream, PeerProbe(1, digest), [], {})
    return [status.demand for status in sent], node.owner


def test_owner_of_the_first_shard_sums_up_the_demand():
    """Without the sum, entries would not know what waits at each other."""
    answers, owner = answer_probes(owns_shard=True)
    assert [answer.entries for answer in answers] == [1, 2, 3]
    assert answers[-1].queues == [QueueDemand("q", "s", 0, 2000, 1000, 4000)]
    assert owner.demand.min_entries == demand.MIN_ENTRIES


def test_other_entries_send_no_sum():
    """Sums of two entries would count demand twice."""
    answers, _ = answer_probes(owns_shard=False)
    assert answers == [None, None, None]
