"""Tell agents when the entry begins or stops to have waiting work."""

from turmericknot.wire.messages import Demand

DEMAND_END_S = 0.05  # demand must be gone this long before agents are told


def due(state, now):
    """Return the Demand messages due now.

    They are sent when the entry goes from no waiting work to waiting work or back;
    all other changes travel with ``Assign``.
    """
    asked = state.asked()
    if asked:
        state.idle_since = None
        if state.demanding:
            return []
        state.demanding = True
        return _tell(state, asked, _may_gain)
    if not state.demanding:
        return []
    if state.idle_since is None:
        state.idle_since = now
    if now - state.idle_since < DEMAND_END_S:
        return []
    state.demanding = False
    return _tell(state, 0, lambda agent: agent.told_waiting)


def _may_gain(agent):
    return agent.usable and not agent.told_waiting and agent.window < agent.slots


def _tell(state, asked, wanted):
    message = Demand(asked, state.entitlement)
    told = []
    for stream, agent in state.agents.items():
        if wanted(agent):
            agent.told_waiting = asked > 0
            told.append((stream, message))
    return told
