"""Liveness of agents and peers: turns membership changes into commands."""

from turmericknot.dispatch.commands import CloseStream
from turmericknot.dispatch.entry_state import count, send
from turmericknot.membership import state as membership
from turmericknot.wire.messages import Heartbeat

PROBE = Heartbeat(0)


def is_home(state, incarnation):
    """Return whether this entry is the home entry of an agent."""
    agent = state.agents.get(incarnation)
    if agent is None:
        return False
    return membership.is_home(state.membership, agent.hello.agent_id)


def agent_connected(state, agent):
    """Start monitoring an agent, which gets no tasks during its flap penalty."""
    changes = membership.agent_connected(
        state.membership, agent.stream, agent.hello, state.now
    )
    if agent.stream not in changes.usable_streams:
        state.policy.set_suspect(state.scheduler, agent.stream, True, state.now)


def agent_disconnected(state, agent):
    """Stop monitoring an agent; leaving while draining is not counted as a loss."""
    membership.agent_disconnected(
        state.membership, agent.stream, state.now, planned=agent.draining
    )


def record_agent_activity(state, agent):
    """Record that a message of an agent was received."""
    apply_changes(
        state,
        membership.agent_frame_received(state.membership, agent.stream, state.now),
    )


def heartbeat_received(state, agent, message):
    """Handle a heartbeat of an agent."""
    changes = membership.heartbeat_received(
        state.membership, agent.stream, message.sequence, state.now
    )
    apply_changes(state, changes)


def peer_connected(state, stream, address):
    """Start monitoring a peer."""
    membership.peer_connected(state.membership, stream, address, state.now)


def peer_disconnected(state, stream):
    """Stop monitoring a peer."""
    membership.peer_disconnected(state.membership, stream, state.now)


def record_peer_activity(state, stream):
    """Record that a message of a peer was received."""
    membership.peer_frame_received(state.membership, stream, state.now)


def agents_reported(state, stream, message):
    """Apply a peer's report on the states of agents."""
    apply_changes(
        state, membership.peer_report_received(state.membership, message, state.now)
    )


def ignore_heartbeat(state, stream, message):
    """Ignore a heartbeat of a peer: every message was recorded on receipt."""


def tick(state):
    """Run the probes and timeouts of membership that are due."""
    apply_changes(state, membership.tick(state.membership, state.now))


def apply_changes(state, changes):
    """Turn membership changes into commands and policy updates."""
    for stream in changes.unusable_streams:
        count(state, "agents_suspected")
        state.policy.set_suspect(state.scheduler, stream, True, state.now)
    for stream in changes.usable_streams:
        state.policy.set_suspect(state.scheduler, stream, False, state.now)
    for stream in changes.streams_to_probe + changes.idle_peer_streams:
        send(state, stream, PROBE)
    for stream in changes.lost_peer_streams:
        state.commands.append(CloseStream(stream, "peer is silent"))
    if changes.report is not None:
        for stream in state.peer_streams:
            send(state, stream, changes.report)
