"""Liveness of agents and peers as one entry sees it; performs no I/O.

An agent sends heartbeats to its home entry only. The home probes a silent agent,
then declares it suspect and reports that to its peers. Any frame from an agent
counts as a sign of life.
"""

from collections import deque
from dataclasses import dataclass, field

from turmericknot.membership.homes import RELEASED, home_of
from turmericknot.wire.messages import AgentReport, AgentStates

# Share of ``suspect_after_s`` after which a silent agent is probed, so that the
# answer of a live one arrives before it is declared suspect.
PROBE_SHARE = 0.55
SCAN_INTERVAL_S = 0.2
# Losses are remembered for agents that are away, up to this number of agents.
MAX_REMEMBERED_AGENTS = 4096


@dataclass(slots=True)
class AgentLiveness:
    """Liveness of one connected agent incarnation."""

    stream: int
    agent_id: str
    incarnation: str
    heard_at: float
    heartbeats_here: bool = False
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
    heard_at: float
    sent_at: float


@dataclass(slots=True)
class Changes:
    """What a call found out: streams to act on and a report for the peers."""

    probe: list[int] = field(default_factory=list)
    usable: list[int] = field(default_factory=list)
    unusable: list[int] = field(default_factory=list)
    lost_peers: list[int] = field(default_factory=list)
    greet_peers: list[int] = field(default_factory=list)
    report: AgentStates | None = None


@dataclass(slots=True)
class MembershipState:
    """Agents and peers that are connected to this entry."""

    settings: object
    entry_id: str
    agents: dict[int, AgentLiveness] = field(default_factory=dict)
    peers: dict[int, PeerLiveness] = field(default_factory=dict)
    _by_incarnation: dict[str, AgentLiveness] = field(default_factory=dict)
    _losses: dict[str, deque] = field(default_factory=dict)
    # Home by agent id; hashing every agent for every peer on each scan would cost
    # more than the rest of membership.
    _homes: dict[str, str] = field(default_factory=dict)
    _scanned_at: float = 0.0

    @property
    def entry_ids(self):
        """Return this entry and its connected peers."""
        return [self.entry_id, *(peer.entry_id for peer in self.peers.values())]


def create_membership_state(settings, entry_id):
    """Return the state of an entry that knows nobody; ``settings`` are membership's."""
    return MembershipState(settings, entry_id)


def agent_connected(state, stream, hello, now):
    """Add an agent; it becomes usable at once or after its flap penalty."""
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
    return _settle(state, agent, now, Changes())


def agent_disconnected(state, stream, now, planned=False):
    """Remove an agent; an unplanned end of its stream counts as a loss."""
    agent = state.agents.pop(stream, None)
    if agent is None:
        return Changes()
    if state._by_incarnation.get(agent.incarnation) is agent:
        del state._by_incarnation[agent.incarnation]
    if not planned:
        _note_loss(state, agent.agent_id, now)
    return Changes(unusable=[stream] if agent.usable else [])


def agent_heard(state, stream, now):
    """Note a sign of life of an agent."""
    agent = state.agents.get(stream)
    if agent is None:
        return Changes()
    agent.heard_at = now
    agent.probed_at = None
    if not agent.suspect:
        return Changes()
    return _recover(state, agent, now)


def heartbeat_received(state, stream, sequence, now):
    """Note a heartbeat: this entry is the agent's home, or is released from that."""
    agent = state.agents.get(stream)
    if agent is None:
        return Changes()
    agent.heartbeats_here = sequence != RELEASED
    return agent_heard(state, stream, now)


def peer_connected(state, stream, address, now):
    """Add a peer entry."""
    state._homes.clear()
    state.peers[stream] = PeerLiveness(
        stream, address.entry_id, address.incarnation, now, now
    )


def peer_disconnected(state, stream, now):
    """Remove a peer; its agents get time to choose a new home before suspicion."""
    if state.peers.pop(stream, None) is None:
        return
    state._homes.clear()
    for agent in state.agents.values():
        if not agent.suspect:
            agent.heard_at = max(agent.heard_at, now)


def peer_heard(state, stream, now):
    """Note a sign of life of a peer."""
    peer = state.peers.get(stream)
    if peer is not None:
        peer.heard_at = now


def peer_sent(state, stream, now):
    """Note that a message went to a peer, so that no heartbeat is due."""
    peer = state.peers.get(stream)
    if peer is not None:
        peer.sent_at = now


def agents_reported(state, message, now):
    """Apply a peer's report; probe what it suspects and this entry still hears."""
    changes = Changes()
    for report in message.agents:
        agent = state._by_incarnation.get(report.incarnation)
        if agent is None or report.alive != agent.suspect:
            continue
        if report.alive:
            _merge(changes, _recover(state, agent, now, tell_peers=False))
        else:
            _suspect(state, agent, now, changes)
            changes.probe.append(agent.stream)
    return changes


def tick(state, now):
    """Return what is due: probes, suspects, recoveries, heartbeats of peers."""
    changes = Changes()
    if now - state._scanned_at < SCAN_INTERVAL_S:
        return changes
    state._scanned_at = now
    suspects = []
    for agent in state.agents.values():
        _settle(state, agent, now, changes)
        watched = agent.heartbeats_here or is_home(state, agent.agent_id)
        if watched and not agent.suspect:
            _check_silence(state, agent, now, changes, suspects)
    for peer in state.peers.values():
        _check_peer(state, peer, now, changes)
    if suspects:
        changes.report = AgentStates([AgentReport(s, False) for s in suspects])
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
    """Return whether this entry is the home of an agent by the peers it knows."""
    home = state._homes.get(agent_id)
    if home is None:
        home = state._homes[agent_id] = home_of(agent_id, state.entry_ids)
        if len(state._homes) > MAX_REMEMBERED_AGENTS:
            state._homes.clear()
    return home == state.entry_id


def _check_silence(state, agent, now, changes, suspects):
    silence = now - agent.heard_at
    limit = state.settings.suspect_after_s
    if silence >= limit and agent.probed_at is not None:
        _suspect(state, agent, now, changes)
        suspects.append(agent.incarnation)
    elif silence >= limit * PROBE_SHARE and agent.probed_at is None:
        agent.probed_at = now
        changes.probe.append(agent.stream)


def _check_peer(state, peer, now, changes):
    if now - peer.heard_at >= state.settings.suspect_after_s:
        changes.lost_peers.append(peer.stream)
    elif now - peer.sent_at >= state.settings.heartbeat_interval_s:
        peer.sent_at = now
        changes.greet_peers.append(peer.stream)


def _settle(state, agent, now, changes):
    """Make an agent usable once its flap penalty is over."""
    if not agent.usable and not agent.suspect and now >= agent.usable_from:
        agent.usable = True
        changes.usable.append(agent.stream)
    return changes


def _suspect(state, agent, now, changes):
    agent.suspect = True
    if agent.usable:
        agent.usable = False
        changes.unusable.append(agent.stream)
    _note_loss(state, agent.agent_id, now)


def _recover(state, agent, now, tell_peers=True):
    agent.suspect = False
    agent.heard_at = now
    agent.probed_at = None
    losses = _recent_losses(state, agent.agent_id, now)
    agent.usable_from = now + losses * state.settings.flap_penalty_s
    changes = _settle(state, agent, now, Changes())
    if tell_peers:
        changes.report = AgentStates([AgentReport(agent.incarnation, True)])
    return changes


def _note_loss(state, agent_id, now):
    losses = state._losses.setdefault(agent_id, deque(maxlen=16))
    losses.append(now)
    if len(state._losses) > MAX_REMEMBERED_AGENTS:
        oldest = min(state._losses, key=lambda name: state._losses[name][-1])
        del state._losses[oldest]


def _recent_losses(state, agent_id, now):
    losses = state._losses.get(agent_id, ())
    while losses and now - losses[0] > state.settings.flap_window_s:
        losses.popleft()
    return len(losses)


def _merge(changes, other):
    changes.usable += other.usable
    changes.unusable += other.unusable
    changes.probe += other.probe
