"""State of an agent and the helpers that its handlers share."""

from collections import deque
from dataclasses import dataclass, field

from turmericknot.dispatch import commands, windows
from turmericknot.dispatch.fences import create_fence_table
from turmericknot.dispatch.results import create_result_store
from turmericknot.wire import messages


@dataclass(slots=True)
class Worker:
    """The worker beside this agent, as its target announced it."""

    name: str
    address: str
    slots: int
    processors: float
    memory_mb: int
    accelerators: int
    announced_at: float


@dataclass(slots=True)
class EntryLink:
    """One entry's stream."""

    stream: int
    entry_id: str
    incarnation: str
    holder: windows.Holder
    window_sequence: int = 0
    sent_at: float = 0.0
    window_sent: int = -1


@dataclass(slots=True)
class QueuedTask:
    """An assigned task that waits for a free slot."""

    stream: int
    assign: messages.Assign
    spec: messages.TaskSpec
    queued_at: float
    deadline: float


@dataclass(slots=True)
class RunningTask:
    """A started task."""

    stream: int
    owner: str
    spec: messages.TaskSpec
    started_at: float
    queue_ms: float
    lease_until: float
    team: str
    task_class: str


@dataclass(slots=True)
class AgentState:
    """Everything an agent process knows."""

    settings: object
    incarnation: str
    rng: object
    store: object
    fences: object
    worker: Worker | None = None
    links: dict[int, EntryLink] = field(default_factory=dict)
    queue: deque = field(default_factory=deque)
    running: dict[tuple, RunningTask] = field(default_factory=dict)
    draining: str = ""
    draining_at: float = 0.0
    drained: bool = False
    config_version: int = 0
    config_tree: bytes = b""
    heartbeat_sequence: int = 0
    home_stream: int | None = None
    expired_at: float = 0.0


def create_agent_state(settings, incarnation, rng):
    """Return the state of a new agent incarnation."""
    return AgentState(
        settings,
        incarnation,
        rng,
        create_result_store(settings),
        create_fence_table(settings.fence_lifetime_s),
    )


def hello(state):
    """Return the Hello that opens a stream, or None before the target announced."""
    worker = state.worker
    if worker is None:
        return None
    return messages.Hello(
        messages.PROTOCOL_VERSION,
        state.settings.agent_id,
        state.incarnation,
        worker.name,
        state.settings.failure_domain,
        state.settings.region,
        worker.slots,
        worker.processors,
        worker.memory_mb,
        worker.accelerators,
        state.config_version,
        bool(state.draining),
    )


def status(state, now):
    """Return what an operator wants to see, as plain values."""
    worker = state.worker
    return {
        "agent_id": state.settings.agent_id,
        "incarnation": state.incarnation,
        "worker": worker.name if worker else None,
        "announced_s_ago": now - worker.announced_at if worker else None,
        "slots": usable_slots(state, now),
        "running": len(state.running),
        "queued": len(state.queue),
        "jobs_remembered": len(state.store.records),
        "result_bytes": state.store.bytes,
        "draining": state.draining,
        "config_version": state.config_version,
        "windows": {link.entry_id: link.holder.window for link in state.links.values()},
    }


def update_windows(state, now):
    """Split the slots anew; return a Window for each entry whose part changed."""
    holders = [link.holder for link in state.links.values()]
    windows.settle_demand(holders, now)
    windows.rebalance(usable_slots(state, now), holders, state.rng)
    out = []
    for link in state.links.values():
        if link.window_sent != link.holder.window:
            link.window_sent = link.holder.window
            link.window_sequence += 1
            window = messages.Window(link.holder.window, link.window_sequence)
            out.append(send(link, window, now))
    return out


def usable_slots(state, now):
    """Return the slots that may take new work now."""
    worker = state.worker
    if worker is None or state.draining:
        return 0
    if now - worker.announced_at > state.settings.announce_ttl_s:
        return 0
    return worker.slots


def heartbeat(state, link, now):
    """Return a Heartbeat on the link."""
    state.heartbeat_sequence += 1
    return send(link, messages.Heartbeat(state.heartbeat_sequence), now)


def send(link, message, now):
    """Return a Send command and note that the link is in use."""
    link.sent_at = now
    return commands.Send(link.stream, message)


def links_of(state):
    """Return the links to entries."""
    return list(state.links.values())


def link_of_owner(state, owner):
    """Return the link to an entry incarnation or None."""
    for link in state.links.values():
        if link.incarnation == owner:
            return link
    return None
