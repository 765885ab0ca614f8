"""Liveness of agents and peers: what membership finds out becomes commands."""

from turmericknot.dispatch.commands import CloseStream
from turmericknot.dispatch.entry_state import count, send
from turmericknot.membership import state as membership
from turmericknot.wire.messages import Heartbeat

PROBE = Heartbeat(0)


def is_home(state, incarnation):
    """Return whether this entry is the home of an agent."""
    agent = state.agents.get(incarnation)
    if agent is None:
        return False
    return membership.is_home(state.membership, agent.hello.agent_id)


def agent_connected(state, agent):
    """Start to watch an agent; it gets no work while its flap penalty lasts."""
    changes = membership.agent_connected(
        state.membership, agent.stream, agent.hello, state.now
    )
    if agent.stream not in changes.usable_streams:
        state.policy.set_suspect(state.scheduler, agent.stream, True, state.now)


def agent_left(state, agent):
    """Stop watching an agent; a planned leave is no loss."""
    membership.agent_disconnected(
        state.membership, agent.stream, state.now, planned=agent.draining
    )


def agent_heard(state, agent):
    """Note a sign of life."""
    apply(
        state,
        membership.agent_frame_received(state.membership, agent.stream, state.now),
    )


def heartbeat(state, agent, message):
    """Note a heartbeat of an agent."""
    changes = membership.heartbeat_received(
        state.membership, agent.stream, message.sequence, state.now
    )
    apply(state, changes)


def peer_connected(state, stream, address):
    """Start to watch a peer."""
    membership.peer_connected(state.membership, stream, address, state.now)


def peer_left(state, stream):
    """Stop watching a peer."""
    membership.peer_disconnected(state.membership, stream, state.now)


def peer_heard(state, stream):
    """Note a sign of life of a peer."""
    membership.peer_frame_received(state.membership, stream, state.now)


def agents_reported(state, stream, message):
    """Apply a peer's report on agents."""
    apply(state, membership.peer_report_received(state.membership, message, state.now))


def ignore_heartbeat(state, stream, message):
    """Take a heartbeat of a peer: any frame was noted as a sign of life."""


def tick(state):
    """Probe, suspect and greet as the time asks for."""
    apply(state, membership.tick(state.membership, state.now))


def apply(state, changes):
    """Turn membership's findings into commands and policy changes."""
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
