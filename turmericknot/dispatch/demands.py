"""Tell agents when the entry begins or stops to have waiting work."""

from turmericknot.wire.messages import Demand

DEMAND_END_S = 0.05  # demand must be gone this long before agents are told
ASK_INTERVAL_S = 0.005  # time for the agents asked first to answer
TASKS_PER_AGENT = 4  # slots that one asked agent is expected to give


def due(state, now):
    """Return the Demand messages due now.

    They are sent when the entry goes from no waiting work to waiting work or back;
    all other changes travel with ``Assign``. No more agents are asked than are
    likely to be needed, and the rest only while work still waits: each one that
    moves slots sends two messages itself.
    """
    asked = state.asked()
    if asked:
        state.idle_since = None
        state.demanding = True
        return _ask(state, asked, now)
    if not state.demanding:
        return []
    if state.idle_since is None:
        state.idle_since = now
    if now - state.idle_since < DEMAND_END_S:
        return []
    state.demanding = False
    told = [agent for agent in state.agents.values() if agent.told_waiting]
    return _tell(state, told, 0)


def _ask(state, asked, now):
    if now - state.asked_at < ASK_INTERVAL_S:
        return []
    state.asked_at = now
    candidates = [agent for agent in state.agents.values() if _may_gain(agent)]
    count = min(len(candidates), 1 + int(asked / TASKS_PER_AGENT))
    return _tell(state, state.rng.sample(candidates, count), asked)


def _may_gain(agent):
    return agent.usable and not agent.told_waiting and agent.window < agent.slots


def _tell(state, agents, asked):
    message = Demand(asked, state.entitlement)
    for agent in agents:
        agent.told_waiting = asked > 0
    return [(agent.stream, message) for agent in agents]
