"""Liveness of agents and peers as one entry sees it; performs no I/O.

An agent sends heartbeats to its home entry only. The home entry probes an agent that
sends nothing, marks it suspect if it does not answer, and reports that to the peer
entries. Any frame received from an agent shows that it is alive.
"""

from collections import deque
from dataclasses import dataclass, field

from turmericknot.membership.homes import RELEASE_SEQUENCE, choose_home
from turmericknot.wire.messages import AgentReport, AgentStates

# Share of ``suspect_after_s`` after which a silent agent is probed. The rest is left
# for the answer of a live agent to arrive before the agent is marked suspect.
PROBE_SHARE = 0.55
SCAN_INTERVAL_S = 0.2
# Limit of the tables by agent id. Losses are kept for disconnected agents too.
MAX_TRACKED_AGENTS = 4096


@dataclass(slots=True)
class AgentLiveness:
    """Liveness of one connected agent incarnation.

    ``sends_heartbeats`` is set while the agent has this entry as its home.
    """

    stream: int
    agent_id: str
    incarnation: str
    last_received_at: float
    sends_heartbeats: bool = False
    probed_at: float | None = None
    suspect: bool = False
    usable_from: float = 0.0
    usable: bool = False


@dataclass(slots=True)
class PeerLiveness:
    """Liveness of one connected peer entry."""

    stream: int
    entry_id: str
    incarnation: str
    last_received_at: float
    last_sent_at: float


@dataclass(slots=True)
class MembershipChanges:
    """Result of one call: streams to act on and a report to send to the peers.

    ``usable_streams`` and ``unusable_streams`` belong to agents whose usability
    changed, ``idle_peer_streams`` to peers that are due a heartbeat.
    """

    streams_to_probe: list[int] = field(default_factory=list)
    usable_streams: list[int] = field(default_factory=list)
    unusable_streams: list[int] = field(default_factory=list)
    lost_peer_streams: list[int] = field(default_factory=list)
    idle_peer_streams: list[int] = field(default_factory=list)
    report: AgentStates | None = None


@dataclass(slots=True)
class MembershipState:
    """Agents and peers that are connected to this entry."""

    settings: object
    entry_id: str
    agents: dict[int, AgentLiveness] = field(default_factory=dict)
    peers: dict[int, PeerLiveness] = field(default_factory=dict)
    _by_incarnation: dict[str, AgentLiveness] = field(default_factory=dict)
    _losses_by_agent: dict[str, deque] = field(default_factory=dict)
    # Home entry of each agent. Hashing every agent for every peer on each scan would
    # cost more than the rest of the scan.
    _home_by_agent: dict[str, str] = field(default_factory=dict)
    _last_scan_at: float = 0.0

    @property
    def entry_ids(self):
        """Return this entry and its connected peers."""
        return [self.entry_id, *(peer.entry_id for peer in self.peers.values())]


def create_membership_state(settings, entry_id):
    """Return a state without agents and peers; ``settings`` are MembershipSettings."""
    return MembershipState(settings, entry_id)


def agent_connected(state, stream, hello, now):
    """Add an agent, which becomes usable at once or after its flap penalty.

    The penalty grows with the number of the agent's recent losses.
    """
    losses = _recent_losses(state, hello.agent_id, now)
    agent = AgentLiveness(
        stream,
        hello.agent_id,
        hello.incarnation,
        now,
        usable_from=now + losses * state.settings.flap_penalty_s,
    )
    state.agents[stream] = agent
    state._by_incarnation[hello.incarnation] = agent
    return _update_usable(state, agent, now, MembershipChanges())


def agent_disconnected(state, stream, now, planned=False):
    """Remove an agent; an unplanned end of its stream counts as a loss."""
    agent = state.agents.pop(stream, None)
    if agent is None:
        return MembershipChanges()
    if state._by_incarnation.get(agent.incarnation) is agent:
        del state._by_incarnation[agent.incarnation]
    if not planned:
        _record_loss(state, agent.agent_id, now)
    return MembershipChanges(unusable_streams=[stream] if agent.usable else [])


def agent_frame_received(state, stream, now):
    """Record that an agent is alive and end the suspicion of a suspect one."""
    agent = state.agents.get(stream)
    if agent is None:
        return MembershipChanges()
    agent.last_received_at = now
    agent.probed_at = None
    if not agent.suspect:
        return MembershipChanges()
    return _clear_suspect(state, agent, now)


def heartbeat_received(state, stream, sequence, now):
    """Handle a heartbeat, which shows whether this entry is the agent's home.

    RELEASE_SEQUENCE says that the agent has chosen another home entry.
    """
    agent = state.agents.get(stream)
    if agent is None:
        return MembershipChanges()
    agent.sends_heartbeats = sequence != RELEASE_SEQUENCE
    return agent_frame_received(state, stream, now)


def peer_connected(state, stream, address, now):
    """Add a peer entry."""
    state._home_by_agent.clear()
    state.peers[stream] = PeerLiveness(
        stream, address.entry_id, address.incarnation, now, now
    )


def peer_disconnected(state, stream, now):
    """Remove a peer.

    The silence timers of agents that are not suspect start again, so that those whose
    home was the peer have time to choose a new one before they become suspect.
    """
    if state.peers.pop(stream, None) is None:
        return
    state._home_by_agent.clear()
    for agent in state.agents.values():
        if not agent.suspect:
            agent.last_received_at = max(agent.last_received_at, now)


def peer_frame_received(state, stream, now):
    """Record that a peer is alive."""
    peer = state.peers.get(stream)
    if peer is not None:
        peer.last_received_at = now


def peer_message_sent(state, stream, now):
    """Record that a message was sent to a peer, which postpones its heartbeat."""
    peer = state.peers.get(stream)
    if peer is not None:
        peer.last_sent_at = now


def peer_report_received(state, message, now):
    """Apply a peer's report on the liveness of agents.

    An agent that the peer suspects is probed: its answer shows that this entry still
    reaches it.
    """
    changes = MembershipChanges()
    for report in message.agents:
        agent = state._by_incarnation.get(report.incarnation)
        if agent is None or report.alive != agent.suspect:
            continue
        if report.alive:
            _add_changes(changes, _clear_suspect(state, agent, now, notify_peers=False))
        else:
            _mark_suspect(state, agent, now, changes)
            changes.streams_to_probe.append(agent.stream)
    return changes


def tick(state, now):
    """Return what is due: probes, new suspects, ended penalties, peer heartbeats."""
    changes = MembershipChanges()
    if now - state._last_scan_at < SCAN_INTERVAL_S:
        return changes
    state._last_scan_at = now
    suspected_incarnations = []
    for agent in state.agents.values():
        _update_usable(state, agent, now, changes)
        is_monitored = agent.sends_heartbeats or is_home(state, agent.agent_id)
        if is_monitored and not agent.suspect:
            _check_silence(state, agent, now, changes, suspected_incarnations)
    for peer in state.peers.values():
        _check_peer(state, peer, now, changes)
    if suspected_incarnations:
        changes.report = AgentStates(
            [AgentReport(s, False) for s in suspected_incarnations]
        )
    return changes


def status(state, now):
    """Return counts for the status page."""
    return {
        "agents": len(state.agents),
        "suspect": sum(agent.suspect for agent in state.agents.values()),
        "usable": sum(agent.usable for agent in state.agents.values()),
        "peers": sorted(peer.entry_id for peer in state.peers.values()),
    }


def is_home(state, agent_id):
    """Return whether this entry is the agent's home, given the connected peers."""
    home = state._home_by_agent.get(agent_id)
    if home is None:
        home = state._home_by_agent[agent_id] = choose_home(agent_id, state.entry_ids)
        if len(state._home_by_agent) > MAX_TRACKED_AGENTS:
            state._home_by_agent.clear()
    return home == state.entry_id


def _check_silence(state, agent, now, changes, suspected_incarnations):
    silent_s = now - agent.last_received_at
    limit = state.settings.suspect_after_s
    if silent_s >= limit and agent.probed_at is not None:
        _mark_suspect(state, agent, now, changes)
        suspected_incarnations.append(agent.incarnation)
    elif silent_s >= limit * PROBE_SHARE and agent.probed_at is None:
        agent.probed_at = now
        changes.streams_to_probe.append(agent.stream)


def _check_peer(state, peer, now, changes):
    if now - peer.last_received_at >= state.settings.suspect_after_s:
        changes.lost_peer_streams.append(peer.stream)
    elif now - peer.last_sent_at >= state.settings.heartbeat_interval_s:
        peer.last_sent_at = now
        changes.idle_peer_streams.append(peer.stream)


def _update_usable(state, agent, now, changes):
    """Mark an agent usable once its flap penalty is over."""
    if not agent.usable and not agent.suspect and now >= agent.usable_from:
        agent.usable = True
        changes.usable_streams.append(agent.stream)
    return changes


def _mark_suspect(state, agent, now, changes):
    agent.suspect = True
    if agent.usable:
        agent.usable = False
        changes.unusable_streams.append(agent.stream)
    _record_loss(state, agent.agent_id, now)


def _clear_suspect(state, agent, now, notify_peers=True):
    agent.suspect = False
    agent.last_received_at = now
    agent.probed_at = None
    losses = _recent_losses(state, agent.agent_id, now)
    agent.usable_from = now + losses * state.settings.flap_penalty_s
    changes = _update_usable(state, agent, now, MembershipChanges())
    if notify_peers:
        changes.report = AgentStates([AgentReport(agent.incarnation, True)])
    return changes


def _record_loss(state, agent_id, now):
    losses = state._losses_by_agent.setdefault(agent_id, deque(maxlen=16))
    losses.append(now)
    if len(state._losses_by_agent) > MAX_TRACKED_AGENTS:
        oldest = min(
            state._losses_by_agent, key=lambda name: state._losses_by_agent[name][-1]
        )
        del state._losses_by_agent[oldest]


def _recent_losses(state, agent_id, now):
    losses = state._losses_by_agent.get(agent_id, ())
    while losses and now - losses[0] > state.settings.flap_window_s:
        losses.popleft()
    return len(losses)


def _add_changes(changes, other):
    changes.usable_streams += other.usable_streams
    changes.unusable_streams += other.unusable_streams
    changes.streams_to_probe += other.streams_to_probe
