"""Failure domains in which no task may start until the operator takes them back.

At peak load, hundreds of tasks wait and a third of the workers goes out of use at once:
starts are in flight, queued at agents, and decided by entries that do not know it yet.
Entries read the operator's topic and tell their agents. The agent refuses starts and is
the last guard: of the words of its entries, it follows the one with the highest
position in the topic, so that an entry which is cut off from the store cannot undo a
newer word. Runs that are at work go on.
"""

import math

from turmericknot.wire.shard_messages import EvacuationUpdate

from . import pending, workers
from .commands import OwnerLogLine, SendMessage
from .worker_types import AgentLogLine

# Refusal of a run, or of a job that could only run in evacuated failure domains.
EVACUATED = "evacuated"
# An entry whose start was refused, although it does not know of an evacuation, is cut
# off from the store. It tries that failure domain again after this time, so that few
# tasks pay for a refused start, and the domain is soon in use once it is taken back.
UNKNOWN_EVACUATION_BACKOFF_S = 1.0


class Evacuations:
    """The evacuated failure domains, as an entry has read them."""

    __slots__ = ("position", "domains", "out_of_reach")

    def __init__(self):
        self.position = None  # up to which the operator's topic was read; None: not yet
        self.domains = {}  # failure domain -> time of the evacuation, None: runs ended
        # Shape of a task -> whether it could only run where evacuated.
        self.out_of_reach = {}


def topic_read(owner, domains, position, now):
    """Put evacuations in force, as read from the operator's topic up to a position.

    ``domains`` is a set of all evacuated failure domains. Agents are told when theirs
    has changed; after the first read, all of them.
    """
    known = owner.evacuations
    is_first_read = known.position is None
    known.position = position
    changed = known.domains.keys() ^ domains
    for domain in sorted(changed):
        if domain in domains:
            _evacuate(owner, domain, now)
        else:
            _take_back(owner, domain, now)
    if changed:
        pending.workers_changed(owner)
        pending.update_backlog(owner)
    for view in owner.agents.values():
        if view.is_connected and (is_first_read or view.failure_domain in changed):
            _send_update(owner, view)


def _evacuate(owner, domain, now):
    views = _agents_in(owner, domain)
    for view in views:
        view.is_evacuated = True
    owner.evacuations.domains[domain] = now if _count_runs(views) else None
    _log_change(owner, "evacuation.in_force", domain, views)


def _take_back(owner, domain, now):
    del owner.evacuations.domains[domain]
    views = _agents_in(owner, domain)
    for view in views:
        view.is_evacuated = False
        view.refusal_backoff_until = min(view.refusal_backoff_until, now)
        owner.placement_events.capacity_freed(view.id)
    _log_change(owner, "evacuation.removed", domain, views)


def _log_change(owner, event, domain, views):
    _log(
        owner,
        event,
        domain=domain,
        position=owner.evacuations.position,
        agents=sum(view.is_connected for view in views),
        runs=_count_runs(views),
    )


def agent_connected(owner, view):
    """Apply the evacuations to an agent with a new stream, and tell it.

    The agent is also told that it is not evacuated, as it may have missed a removal.
    """
    view.is_evacuated = view.failure_domain in owner.evacuations.domains
    if owner.evacuations.position is not None:
        _send_update(owner, view)


def _send_update(owner, view):
    update = EvacuationUpdate(owner.evacuations.position, view.is_evacuated)
    owner.commands.append(SendMessage(view.id, update))


def start_refused(owner, view, now):
    """Keep starts from a failure domain that an agent says is evacuated."""
    if view.is_evacuated:
        return  # the start was in flight
    usable_at = now + UNKNOWN_EVACUATION_BACKOFF_S
    for other in _agents_in(owner, view.failure_domain):
        other.refusal_backoff_until = usable_at
        owner.placement_events.agent_returns_at(other.id, usable_at)


def log_empty_domains(owner, now):
    """Log the failure domains in which the last run of this owner has ended."""
    domains = owner.evacuations.domains
    for domain, evacuated_at in domains.items():
        if evacuated_at is None or _count_runs(_agents_in(owner, domain)):
            continue
        domains[domain] = None
        seconds = round(now - evacuated_at, 2)
        _log(owner, "evacuation.empty", domain=domain, seconds=seconds)


def is_refused(owner, agents, record, caller_wait_s):
    """Return whether a job has to be refused because of evacuations.

    ``agents`` are those with workers of its service. Nobody knows when a failure domain
    is taken back: a job is refused when all are evacuated. If only its tasks need a
    worker there, because of a label or the size, it is refused when its caller waits
    for the end, and waits itself when it is durable.
    """
    if not owner.evacuations.domains:
        return False
    if agents and all(agent.is_evacuated for agent in agents):
        return True
    return caller_wait_s < math.inf and any(
        workers.fits_only_evacuated(agents, record.service, step)
        for step in record.steps
    )


def metric_values(owner):
    """Return the gauges of an entry by name."""
    evacuated = [view for view in owner.agents.values() if view.is_evacuated]
    return {
        "evacuated_domains": len(owner.evacuations.domains),
        "runs_evacuated": _count_runs(evacuated),
    }


def _agents_in(owner, domain):
    return [view for view in owner.agents.values() if view.failure_domain == domain]


def _count_runs(views):
    return sum(len(view.tasks) for view in views)


def _log(owner, event, **fields):
    owner.commands.append(OwnerLogLine(event, fields))


def create_evacuations():
    """Return the evacuations of an entry that has not read the operator's topic."""
    return Evacuations()


class AgentEvacuation:
    """Whether the failure domain of an agent is evacuated."""

    __slots__ = ("position", "is_evacuated", "refused_starts")

    def __init__(self):
        self.position = -1  # of the newest word
        self.is_evacuated = False
        self.refused_starts = 0


def update_received(state, update, entry):
    """Follow an entry's word at the agent; return whether the state has changed.

    At equal positions, entries may have read pages that differ in what was written
    later; then the domain stays evacuated until the next word.
    """
    evacuation = state.evacuation
    if update.position < evacuation.position:
        return False
    is_evacuated = update.is_evacuated
    if update.position == evacuation.position:
        is_evacuated |= evacuation.is_evacuated
    evacuation.position = update.position
    if is_evacuated == evacuation.is_evacuated:
        return False
    evacuation.is_evacuated = is_evacuated
    fields = {
        "position": update.position,
        "entry": entry,
        "runs": sum(run.pending_start is None for run in state.runs.values()),
    }
    event = "agent.evacuated" if is_evacuated else "agent.returned"
    state.commands.append(AgentLogLine(event, fields))
    return True


def create_agent_evacuation():
    """Return the state of an agent that no entry has told anything."""
    return AgentEvacuation()
