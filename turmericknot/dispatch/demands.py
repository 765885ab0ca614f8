"""Ask agents for more slots when work waits."""

from math import ceil

from turmericknot.wire.messages import Demand

# An agent without idle slots remembers the demand, so asking again only makes up for
# a demand that it dropped in the meantime; the pause doubles while nothing comes.
ASK_AGAIN_S = 0.1
ASK_AGAIN_LIMIT_S = 1.6
# At 70% load an agent of 8 slots has more than two idle ones; asking every agent
# for every short queue cost more messages than the tasks themselves.
SLOTS_PER_AGENT = 2
# Agents are asked in small groups, so that the first answers can end the demand.
ASK_INTERVAL_S = 0.003


def due(state, now):
    """Return the Demand messages due now, to no more agents than the queue needs."""
    asked = state.asked()
    if not asked or now - state.asked_at < ASK_INTERVAL_S:
        return []
    wanted = ceil(asked / SLOTS_PER_AGENT)
    chosen = _choose(state, wanted, now)
    if not chosen:
        return []
    state.asked_at = now
    slots = ceil(asked / len(chosen))
    message = Demand(slots, state.entitlement)
    for agent in chosen:
        agent.asked_at = now
        agent.ask_pause = min(2 * agent.ask_pause, ASK_AGAIN_LIMIT_S)
    return [(agent.stream, message) for agent in chosen]


def window_grew(agent):
    """Allow the agent to be asked again soon: it has slots to give."""
    agent.ask_pause = ASK_AGAIN_S


def _choose(state, wanted, now):
    """Return agents that may have idle slots of other entries, in rotation."""
    ring = state.ask_ring
    if len(ring) != len(state.agents):
        ring.clear()
        ring.extend(state.agents)
    chosen = []
    for _ in range(len(ring)):
        if len(chosen) == wanted:
            break
        stream = ring[0]
        ring.rotate(-1)
        agent = state.agents.get(stream)
        if agent is None:
            ring.clear()
            break
        if agent.told:
            agent.told = False
            agent.asked_at = now
        elif _may_gain(agent) and now - agent.asked_at >= agent.ask_pause:
            chosen.append(agent)
    return chosen


def _may_gain(agent):
    return agent.usable and agent.window < agent.slots
