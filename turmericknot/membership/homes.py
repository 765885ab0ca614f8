"""Home entries: the one entry to which an agent sends its heartbeats.

Heartbeats of every agent to every entry would cost each entry about 60 KB/s at 690
agents. The home is chosen by rendezvous hashing, so that a lost entry's agents
spread over the others.
"""

from functools import lru_cache
from hashlib import blake2b

# Sequence number of the heartbeat that tells an entry it is no longer the home.
RELEASED = 0


@lru_cache(maxsize=65536)
def _score(agent_id, entry_id):
    digest = blake2b(f"{agent_id}\0{entry_id}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def home_of(agent_id, entry_ids):
    """Return the home among ``entry_ids`` for an agent, or None when there is none."""
    return max(
        entry_ids,
        key=lambda entry_id: (_score(agent_id, entry_id), entry_id),
        default=None,
    )
