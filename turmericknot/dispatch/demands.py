"""Tell agents when the entry begins or stops to have waiting work."""

from turmericknot.wire.messages import Demand

DEMAND_END_S = 0.05  # demand must be gone this long before agents are told
ASK_INTERVAL_S = 0.005  # time for the agents asked first to answer
TASKS_PER_AGENT = 4  # slots that one asked agent is expected to give
MESSAGES_PER_START = 0.5  # budget of Demand messages that started tasks earn
MESSAGES_PER_S = 20.0  # budget that an entry earns in any case
MAX_BUDGET = 400.0


class Demands:
    """What agents were told about this entry's waiting work, and when."""

    __slots__ = ("active", "idle_since", "asked_at", "budget", "earned_at")

    def __init__(self):
        self.active = False
        self.idle_since = None
        self.asked_at = float("-inf")
        self.budget = MAX_BUDGET
        self.earned_at = 0.0


def started(demands, count):
    """Earn budget for started tasks."""
    demands.budget = min(MAX_BUDGET, demands.budget + count * MESSAGES_PER_START)


def due(state, now):
    """Return the Demand messages due now.

    They are sent when the entry goes from no waiting work to waiting work or back;
    all other changes travel with ``Assign``. No more agents are asked than are
    likely to be needed, and the rest only while work still waits: each one that
    moves slots sends two messages itself.
    """
    demands = state.demands
    _earn(demands, now)
    asked = state.asked()
    if asked:
        demands.idle_since = None
        demands.active = True
        return _ask(state, asked, now)
    if not demands.active:
        return []
    if demands.idle_since is None:
        demands.idle_since = now
    if now - demands.idle_since < DEMAND_END_S:
        return []
    told = [agent for agent in state.agents.values() if agent.told_waiting]
    ended = told[: int(demands.budget)]
    demands.active = len(ended) < len(told)
    return _tell(state, ended, 0)


def _earn(demands, now):
    earned = (now - demands.earned_at) * MESSAGES_PER_S
    demands.earned_at = now
    demands.budget = min(MAX_BUDGET, demands.budget + earned)


def _ask(state, asked, now):
    demands = state.demands
    if now - demands.asked_at < ASK_INTERVAL_S or demands.budget < 1:
        return []
    demands.asked_at = now
    candidates = [agent for agent in state.agents.values() if _may_gain(agent)]
    count = min(len(candidates), 1 + asked // TASKS_PER_AGENT, int(demands.budget))
    return _tell(state, state.rng.sample(candidates, count), asked)


def _may_gain(agent):
    return agent.usable and not agent.told_waiting and agent.window < agent.slots


def _tell(state, agents, asked):
    message = Demand(asked, state.entitlement)
    for agent in agents:
        agent.told_waiting = asked > 0
    state.demands.budget -= len(agents)
    return [(agent.stream, message) for agent in agents]
