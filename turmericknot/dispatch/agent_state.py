"""State of an agent and functions shared by its handlers."""

from collections import deque
from dataclasses import dataclass, field

from turmericknot.dispatch import commands, windows
from turmericknot.dispatch.fences import create_fence_table
from turmericknot.dispatch.results import create_result_store
from turmericknot.wire import messages


@dataclass(slots=True)
class Worker:
    """The local worker as announced by its target."""

    name: str
    address: str
    slots: int
    processors: float
    memory_mb: int
    accelerators: int
    announced_at: float


@dataclass(slots=True)
class EntryLink:
    """The stream to one entry."""

    stream: int
    entry_id: str
    incarnation: str
    holder: windows.WindowHolder
    window_sequence: int = 0
    sent_at: float = 0.0
    window_sent: int = -1


@dataclass(slots=True)
class QueuedTask:
    """An assigned task that is waiting for a free slot."""

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
    """State of one agent incarnation; changed only by ``agent.handle``."""

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
    last_expiry_at: float = 0.0


def create_agent_state(settings, incarnation, rng):
    """Return the state of a new agent incarnation."""
    return AgentState(
        settings,
        incarnation,
        rng,
        create_result_store(settings),
        create_fence_table(settings.fence_lifetime_s),
    )


def create_hello(state):
    """Return the Hello that opens a stream, or None before the first announcement."""
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
    """Return figures for status pages."""
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
    """Rebalance the windows; return commands that send the changed ones."""
    holders = [link.holder for link in state.links.values()]
    windows.expire_idle_demand(holders, now)
    windows.rebalance_windows(usable_slots(state, now), holders, state.rng)
    out = []
    for link in state.links.values():
        if link.window_sent != link.holder.window:
            link.window_sent = link.holder.window
            link.window_sequence += 1
            window = messages.Window(link.holder.window, link.window_sequence)
            out.append(send(link, window, now))
    return out


def usable_slots(state, now):
    """Return the number of slots that may be used for new tasks."""
    worker = state.worker
    if worker is None or state.draining:
        return 0
    if now - worker.announced_at > state.settings.announce_ttl_s:
        return 0
    return worker.slots


def send_heartbeat(state, link, now):
    """Return a command that sends a heartbeat on the link."""
    state.heartbeat_sequence += 1
    return send(link, messages.Heartbeat(state.heartbeat_sequence), now)


def send(link, message, now):
    """Return a Send command and record the time of the link's last message."""
    link.sent_at = now
    return commands.Send(link.stream, message)


def entry_links(state):
    """Return the links to entries."""
    return list(state.links.values())


def owner_link(state, owner):
    """Return the link to an entry incarnation, or None."""
    for link in state.links.values():
        if link.incarnation == owner:
            return link
    return None
