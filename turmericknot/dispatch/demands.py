"""Demand messages, which ask agents for more slots while tasks are waiting."""

from math import ceil

from turmericknot.wire.messages import Demand

# An agent without idle slots keeps the demand, so a repeat only replaces one that it
# has dropped. The delay doubles until the agent grants slots.
MIN_DEMAND_DELAY_S = 0.1
MAX_DEMAND_DELAY_S = 1.6
# At 70% load an agent with 8 slots has more than two idle ones. Asking every agent
# for each short queue would cost more messages than the tasks themselves.
IDLE_SLOTS_PER_AGENT = 2
# Agents are asked in small groups, so that the first grants can meet the demand.
DEMAND_INTERVAL_S = 0.003


def due_demands(state, now):
    """Return (stream, Demand) pairs to send now, for as few agents as needed."""
    demanded = state.slot_demand()
    if not demanded or now - state.demanded_at < DEMAND_INTERVAL_S:
        return []
    wanted = ceil(demanded / IDLE_SLOTS_PER_AGENT)
    chosen = _choose_agents(state, wanted, now)
    if not chosen:
        return []
    state.demanded_at = now
    slots = ceil(demanded / len(chosen))
    message = Demand(slots, state.entitlement)
    for agent in chosen:
        agent.demanded_at = now
        agent.demand_delay_s = min(2 * agent.demand_delay_s, MAX_DEMAND_DELAY_S)
    return [(agent.stream, message) for agent in chosen]


def reset_demand_delay(agent):
    """Shorten the delay of the next demand to an agent that has granted slots."""
    agent.demand_delay_s = MIN_DEMAND_DELAY_S


def _choose_agents(state, wanted, now):
    """Return agents, in rotation, that may have idle slots of other entries."""
    rotation = state.demand_rotation
    if len(rotation) != len(state.agents):
        rotation.clear()
        rotation.extend(state.agents)
    chosen = []
    for _ in range(len(rotation)):
        if len(chosen) == wanted:
            break
        stream = rotation[0]
        rotation.rotate(-1)
        agent = state.agents.get(stream)
        if agent is None:
            rotation.clear()
            break
        if agent.demand_piggybacked:
            agent.demand_piggybacked = False
            agent.demanded_at = now
        elif _can_gain_slots(agent) and now - agent.demanded_at >= agent.demand_delay_s:
            chosen.append(agent)
    return chosen


def _can_gain_slots(agent):
    return agent.usable and agent.window < agent.slots
