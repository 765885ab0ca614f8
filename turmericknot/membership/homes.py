"""Home entries: the one entry to which an agent sends its heartbeats.

If every agent sent heartbeats to every entry, each entry would receive about 60 KB/s
from 690 agents. The home is chosen by rendezvous hashing, so that the agents of a
lost entry spread over the remaining ones.
"""

from functools import lru_cache
from hashlib import blake2b

# Sequence number of the last heartbeat to an entry that is no longer the home.
RELEASE_SEQUENCE = 0


@lru_cache(maxsize=65536)
def _rendezvous_score(agent_id, entry_id):
    digest = blake2b(f"{agent_id}\0{entry_id}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def choose_home(agent_id, entry_ids):
    """Return the home entry of an agent, or None if ``entry_ids`` is empty."""
    return max(
        entry_ids,
        key=lambda entry_id: (_rendezvous_score(agent_id, entry_id), entry_id),
        default=None,
    )
