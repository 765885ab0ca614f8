"""Where a task starts that may have crashed a worker.

In a storm of deadly tasks, each crash leaves several suspects, of which one is guilty.
Started again beside others, they crash one worker after the other, and all work on it.
Suspects therefore start one at a time, on a few workers that all entries choose alike
and that other tasks avoid meanwhile: the guilty ones crash the same workers again, and
a task that is beside another suspect by accident is not taken for guilty.
"""

import math
import zlib
from heapq import nsmallest

from . import placement

# Workers avoided by other tasks while there are suspects: one of this many.
WORKERS_PER_QUARANTINE = 16
# Services with fewer workers cannot spare one.
MIN_WORKERS = 3
# Other tasks avoid these workers for this long after a suspect has become known.
QUARANTINE_S = 5.0
# A suspect that waits may use one more worker after each of these intervals.
SPREAD_INTERVAL_S = 1.0
# It uses this share of the workers at most, until it has waited for this long.
MAX_SPREAD_SHARE = 0.35
MAX_LIMITED_WAIT_S = 10.0


def quarantine_agents(agents, service, now, last_suspect_at):
    """Return the ids of the agents whose workers other tasks should avoid now.

    ``last_suspect_at`` is the time at which the latest suspect became known.
    """
    if now - last_suspect_at > QUARANTINE_S:
        return frozenset()
    of_service = [a for a in agents if serves(a, service)]
    if len(of_service) < MIN_WORKERS:
        return frozenset()
    count = math.ceil(len(of_service) / WORKERS_PER_QUARANTINE)
    return frozenset(agent.id for agent in nsmallest(count, of_service, key=rank_of))


def choose_agent(agents, task, now):
    """Return the agent for a suspect, or None if it has to wait.

    ``agents`` are all agents, also those whose workers are down.
    """
    waited_s = now - task.suspect_since
    of_service = [a for a in agents if serves(a, task.job.record.service)]
    count = 1 + int(waited_s / SPREAD_INTERVAL_S)
    if waited_s < MAX_LIMITED_WAIT_S:
        count = min(count, math.ceil(MAX_SPREAD_SHARE * len(of_service)))
    for agent in nsmallest(count, of_service, key=rank_of):
        if _is_isolated(agent) and placement.is_candidate(agent, task, now):
            return agent
    return None


def rank_of(agent):
    """Return a number that orders the agents in the same way at all entries."""
    return zlib.crc32(agent.id.encode())


def serves(agent, service):
    """Return whether the worker of a connected agent belongs to the service.

    The worker may be down, but not evacuated, which lasts for long.
    """
    return (
        agent.is_connected
        and not agent.is_evacuated
        and agent.worker is not None
        and agent.worker.service == service
    )


def _is_isolated(agent):
    """Return whether no other suspect of this owner runs on the worker."""
    return not any(task.suspect_since is not None for task in agent.tasks.values())
