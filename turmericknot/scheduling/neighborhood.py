"""Which entries an agent connects to, and which services an entry lacks agents for.

If every agent were connected to every entry, connections and control messages would
grow with entries x agents. An agent therefore serves a few entries, chosen by a hash
of both names: each entry gets about the same share of the agents, spread over all
failure domains, and the loss of an entry moves only the agents that served it.

An entry must still be able to run every kind of job. An entry that finds too few agents
of a service says so in its registration, and all agents of that service connect to it.
Services with few workers are thus served by all of them, and an entry that has lost a
large part of its agents gets others.

All durable jobs of a shard have one owner, which must be able to run tasks on any
worker: on the few with a label, and on those that a previous owner has used, whose runs
and ends it has to be told. All agents therefore connect to the owner of each shard.
Other entries ask for the agents of a label that their jobs require (``wanted_labels``).
"""

import hashlib

from turmericknot.wire.shard_messages import ShardEpoch

from .workers import has_usable_worker

# Entries that an agent serves, besides owners of durable jobs and those that lack
# agents of its service or with a label of its worker.
ENTRIES_PER_AGENT = 10
# Below this number of agents of a service, an entry asks for more; once it has the
# second number, it no longer does.
MIN_AGENTS_PER_SERVICE = 16
ENOUGH_AGENTS_PER_SERVICE = 24


class EntryCandidate:
    """An entry that an agent may connect to."""

    __slots__ = (
        "name",
        "is_unreachable",
        "lacking_services",
        "owned_shards",
        "wanted_labels",
    )

    def __init__(
        self,
        name,
        is_unreachable=False,
        lacking_services=(),
        owned_shards=(),
        wanted_labels=(),
    ):
        self.name = name
        self.is_unreachable = is_unreachable
        self.lacking_services = lacking_services
        self.owned_shards = owned_shards  # ShardEpoch of each shard of durable jobs
        self.wanted_labels = wanted_labels  # (service, label) pairs


def choose_entries(agent_name, service, candidates, labels=()):
    """Return the names of the entries to connect to.

    ``labels`` are those of the agent's worker.
    An unreachable entry remains chosen, but the next one takes its place as well.
    """
    chosen = _find_owners(candidates)
    own_labels = {(service, label) for label in labels}
    reachable = 0
    for candidate in sorted(candidates, key=lambda c: _rank(agent_name, c.name)):
        if reachable < ENTRIES_PER_AGENT:
            chosen.add(candidate.name)
            reachable += not candidate.is_unreachable
        elif service in candidate.lacking_services or not own_labels.isdisjoint(
            candidate.wanted_labels
        ):
            chosen.add(candidate.name)
    return chosen


def _find_owners(candidates):
    """Return the names of the latest owners of all shards.

    An entry that has lost a shard may still announce it with its former epoch.
    """
    owners = {}  # shard -> (epoch, name)
    for candidate in candidates:
        for owned in candidate.owned_shards:
            owner = (owned.epoch, candidate.name)
            owners[owned.shard] = max(owners.get(owned.shard, owner), owner)
    return {name for _, name in owners.values()}


def _rank(agent_name, entry_name):
    key = f"{agent_name}|{entry_name}".encode()
    return hashlib.blake2b(key, digest_size=8).digest()


def find_owned_shards(owner):
    """Return the shards of durable jobs that an entry owns, as ShardEpoch."""
    return [
        ShardEpoch(shard.number, shard.epoch)
        for shard in owner.shards.values()
        if shard.is_durable
    ]


def find_lacking_services(owner, services, lacking_before):
    """Return the names of the services for which the entry has too few agents.

    ``services`` are those of the configuration; ``lacking_before`` is the last result.
    Agents of an evacuated failure domain count: the others there would not help, and an
    evacuation must not make all agents connect to all entries at once.
    """
    counts = dict.fromkeys(services, 0)
    for view in owner.agents.values():
        if has_usable_worker(view) and view.worker.service in counts:
            counts[view.worker.service] += 1
    return tuple(
        sorted(
            service
            for service, count in counts.items()
            if count
            < (
                ENOUGH_AGENTS_PER_SERVICE
                if service in lacking_before
                else MIN_AGENTS_PER_SERVICE
            )
        )
    )
