"""Choice of the agent that runs a task.

Agents with a free slot are kept in one pool per failure domain and roster state, so
that the cost of a choice does not depend on the number of agents.
"""

from dataclasses import dataclass

from .quarantine import WorkerHealth
from .teams import UNLIMITED_TASKS

MAX_FIT_PICKS = 8  # random picks before scanning for an agent with enough resources
MAX_FIT_SCAN = 32  # agents checked per scan, which begins at a random position
SLOWNESS_SMOOTHING = 0.05  # weight of the newest run-time ratio
MAX_RUN_TIME_RATIO = 20.0  # bounds the effect of a single very slow task
MAX_PICKS_PER_CHOICE = 8  # picks that reuse one choice of a failure domain
STRAGGLER_START_RATIO = 2.0  # run-time ratio above which a worker becomes a straggler
STRAGGLER_END_RATIO = 1.5  # run-time ratio up to which it stops being one
STRAGGLER_PROBE_SHARE = 0.002  # share of the tasks sent to stragglers as probes
OWN_DOMAIN_BONUS = 1e-9  # decides ties in favour of the entry's own failure domain


@dataclass(slots=True)
class Assignment:
    """Tasks of one job that are sent to one agent in one message."""

    stream: int
    job: bytes
    indexes: list[int]
    window_sequence: int


class PlacementAgent:
    """An agent and its worker as the scheduling policy sees them."""

    __slots__ = (
        "stream",
        "hello",
        "domain",
        "group",
        "region",
        "slots",
        "processors",
        "memory_mb",
        "accelerators",
        "window",
        "window_sequence",
        "running",
        "rostered",
        "suspect",
        "draining",
        "quarantined",
        "usable",
        "accepts_work",
        "counted_window",
        "pool",
        "pool_index",
        "tasks",
        "slowness",
        "is_straggler",
        "health",
        "demanded_at",
        "demand_delay_s",
        "demand_piggybacked",
    )

    def __init__(self, stream, hello, domain):
        self.stream = stream
        self.hello = hello
        self.domain = domain
        self.group = domain  # the domain, or the group of all stragglers
        self.region = hello.region
        self.slots = hello.slots
        # Resources that the tasks of this entry leave free.
        self.processors = hello.processors
        self.memory_mb = hello.memory_mb
        self.accelerators = hello.accelerators
        self.window = 0
        self.window_sequence = 0
        self.running = 0
        self.rostered = False
        self.suspect = False
        self.draining = hello.draining
        self.quarantined = False
        self.usable = not self.draining
        self.accepts_work = False  # takes new tasks and counts in the group's totals
        self.counted_window = 0  # the window as included in the group's totals
        self.pool = None
        self.pool_index = -1
        self.tasks = {}  # (job id, index) -> StartedBatch
        self.is_straggler = False
        self.slowness = 1.0  # ratio of run time to estimate, smoothed
        self.health = WorkerHealth()
        self.demanded_at = float("-inf")  # time of the last demand for slots
        self.demand_delay_s = 0.1
        self.demand_piggybacked = False  # an Assign has carried the demand since then


class AgentGroup:
    """Pools of the agents with free slots in a failure domain, or of all stragglers."""

    __slots__ = ("name", "rostered", "unrostered", "window", "running")

    def __init__(self, name):
        self.name = name
        self.rostered = []
        self.unrostered = []  # agents that may get unclaimed tasks only
        self.window = 0  # slots granted by agents that accept work
        self.running = 0  # tasks on those agents


class PlacementState:
    """Agent pools of an entry by failure domain."""

    __slots__ = (
        "own_domain",
        "domains",
        "uses_windows",
        "pick_agent",
        "rng",
        "pooled_agents",
        "backlog",
        "stragglers",
        "cached_pool",
        "cached_claimed",
        "cached_picks_left",
    )

    def __init__(self, own_domain, policy, rng):
        self.own_domain = own_domain
        self.domains = {}
        self.pick_agent, self.uses_windows = PLACEMENT_POLICIES[policy]
        self.rng = rng
        self.pooled_agents = 0  # agents in the pools, without stragglers
        self.backlog = 0  # waiting tasks of the entry
        self.stragglers = AgentGroup("stragglers")
        # The last chosen pool, which is reused for the next picks.
        self.cached_pool = None
        self.cached_claimed = False
        self.cached_picks_left = 0


def get_or_create_domain(state, name):
    """Return the agent group of a failure domain, creating it if it is new."""
    domain = state.domains.get(name)
    if domain is None:
        domain = state.domains[name] = AgentGroup(name)
    return domain


def refresh_agent(state, agent):
    """Update the pools and group totals after a change of an agent's state."""
    _remove_from_pool(state, agent)
    _subtract_from_group(agent)
    agent.usable = not (agent.draining or agent.suspect)
    agent.accepts_work = agent.usable and not agent.quarantined
    agent.group = state.stragglers if agent.is_straggler else agent.domain
    if agent.accepts_work:
        agent.counted_window = agent.window
        agent.group.window += agent.window
        agent.group.running += agent.running
        if agent.running < agent.window or not state.uses_windows:
            _add_to_pool(state, agent)
    state.cached_picks_left = 0


def _add_to_pool(state, agent):
    group = agent.group
    pool = group.rostered if agent.rostered else group.unrostered
    agent.pool = pool
    agent.pool_index = len(pool)
    pool.append(agent)
    if group is not state.stragglers:
        state.pooled_agents += 1


def remove_agent(state, agent):
    """Remove an agent from its pool and from the group totals."""
    _remove_from_pool(state, agent)
    _subtract_from_group(agent)


def _subtract_from_group(agent):
    if agent.accepts_work:
        agent.group.window -= agent.counted_window
        agent.group.running -= agent.running
    agent.accepts_work = False
    agent.counted_window = 0


def _remove_from_pool(state, agent):
    pool = agent.pool
    if pool is None:
        return
    last = pool.pop()
    if last is not agent:
        pool[agent.pool_index] = last
        last.pool_index = agent.pool_index
    agent.pool = None
    if agent.group is not state.stragglers:
        state.pooled_agents -= 1


def occupy_slots(state, agent, shape, count):
    """Take slots and resources of an agent for started tasks."""
    agent.running += count
    if agent.accepts_work:
        agent.group.running += count
    if not shape.slot_only:
        _use_resources(agent, shape, count)
    if agent.running >= agent.window and state.uses_windows:
        _remove_from_pool(state, agent)


def release_slot(state, agent, shape):
    """Give back the slot and the resources of one task."""
    agent.running -= 1
    if not shape.slot_only:
        _use_resources(agent, shape, -1)
    if not agent.accepts_work:
        return
    agent.group.running -= 1
    if agent.pool is None and agent.running < agent.window:
        _add_to_pool(state, agent)


def _use_resources(agent, shape, count):
    agent.processors -= shape.processors * count
    agent.memory_mb -= shape.memory_mb * count
    agent.accelerators -= shape.accelerators * count


def observe_slowness(state, agent, run_ms, estimate_ms):
    """Update the slowness of an agent from a run time and its estimate."""
    if not state.uses_windows:
        return  # baseline policies do not track stragglers
    ratio = run_ms / estimate_ms
    if ratio > MAX_RUN_TIME_RATIO:
        ratio = MAX_RUN_TIME_RATIO
    agent.slowness += SLOWNESS_SMOOTHING * (ratio - agent.slowness)
    if agent.slowness > (
        STRAGGLER_END_RATIO if agent.is_straggler else STRAGGLER_START_RATIO
    ):
        if not agent.is_straggler:
            agent.is_straggler = True
            refresh_agent(state, agent)
    elif agent.is_straggler:
        agent.is_straggler = False
        refresh_agent(state, agent)


def has_free_agent(state):
    """Return whether any agent may get a task now."""
    return state.pooled_agents > 0 or _is_straggler_faster(state)


def _is_straggler_faster(state):
    """Return whether using a straggler beats waiting for the next free slot.

    It does when working off the backlog takes longer than the additional run time
    on the straggler.
    """
    group = state.stragglers
    pool = group.rostered or group.unrostered
    if not pool:
        return False
    granted = sum(domain.window for domain in state.domains.values())
    return state.backlog > (pool[0].slowness - 1.0) * granted


def _straggler_pool(state, claimed):
    """Return the pool of stragglers if they may get a task, or None.

    A few tasks are sent to them in any case, to detect a worker that has recovered.
    """
    group = state.stragglers
    pool = group.rostered if claimed else group.rostered or group.unrostered
    if not pool:
        return None
    probed = state.pooled_agents and state.rng.random() < STRAGGLER_PROBE_SHARE
    if probed or not state.pooled_agents and _is_straggler_faster(state):
        return pool
    return None


def fitting_tasks(agent, shape):
    """Return how many tasks of a shape fit into an agent's free resources."""
    count = UNLIMITED_TASKS
    if shape.processors:
        count = min(count, int(agent.processors / shape.processors + 1e-9))
    if shape.memory_mb:
        count = min(count, agent.memory_mb // shape.memory_mb)
    if shape.accelerators:
        count = min(count, agent.accelerators // shape.accelerators)
    return count


def choose_pool(state, claimed):
    """Return the pool of the failure domain with the largest share of free slots.

    The entry's own failure domain wins ties. The choice is reused for a few picks,
    because a single pick hardly changes the shares.
    """
    pool = state.cached_pool
    if state.cached_picks_left > 0 and pool and claimed == state.cached_claimed:
        state.cached_picks_left -= 1
        return pool
    best = None
    best_share = float("-inf")
    for domain in state.domains.values():
        pool = domain.rostered
        if not pool and not claimed:
            pool = domain.unrostered
        if not pool:
            continue
        share = (domain.window - domain.running) / (domain.window or 1)
        if domain.name == state.own_domain:
            share += OWN_DOMAIN_BONUS
        if share > best_share:
            best, best_share = pool, share
    state.cached_pool = best
    state.cached_claimed = claimed
    state.cached_picks_left = (
        min(MAX_PICKS_PER_CHOICE, 1 + len(best) // 2) if best else 0
    )
    return best


def place_tasks(state, shape, claimed, count):
    """Return an agent and how many of ``count`` tasks it takes, or None."""
    pool = _straggler_pool(state, claimed) or choose_pool(state, claimed)
    if pool is None:
        return None
    agent = state.pick_agent(state, pool, shape)
    if agent is None:
        return None
    if count > 1:
        if state.uses_windows:
            # Spread a large batch evenly over the free agents.
            count = 1 + (count - 1) // max(1, state.pooled_agents)
            count = min(count, agent.window - agent.running)
        else:
            count = 1
        if not shape.slot_only:
            count = min(count, fitting_tasks(agent, shape))
    return agent, count


def _weighted_load(agent):
    return (agent.running + 1) * agent.slowness


def _pick_two_choices(state, pool, shape):
    """Return the less loaded of two randomly chosen agents of the pool."""
    if not shape.slot_only:
        return _pick_fitting(state, pool, shape)
    random = state.rng.random
    size = len(pool)
    first = pool[int(random() * size)]
    if size == 1:
        return first
    second = pool[int(random() * size)]
    # _weighted_load is inlined because this runs for every placed task.
    if (second.running + 1) * second.slowness < (first.running + 1) * first.slowness:
        first = second
    return first


def _pick_fitting(state, pool, shape):
    """Return an agent of the pool with enough free resources, or None."""
    random = state.rng.random
    size = len(pool)
    best = None
    for _ in range(min(MAX_FIT_PICKS, 2 * size)):
        agent = pool[int(random() * size)]
        if fitting_tasks(agent, shape) < 1:
            continue
        if best is not None:
            return agent if _weighted_load(agent) < _weighted_load(best) else best
        best = agent
    if best is not None:
        return best
    start = int(random() * size)
    for offset in range(min(size, MAX_FIT_SCAN)):
        agent = pool[(start + offset) % size]
        if fitting_tasks(agent, shape) >= 1:
            return agent
    return None


def _pick_random(state, pool, shape):
    """Return a random agent regardless of its load (baseline)."""
    agent = pool[int(state.rng.random() * len(pool))]
    return agent if shape.slot_only or fitting_tasks(agent, shape) >= 1 else None


def _pick_least_outstanding(state, pool, shape):
    """Return the agent with the fewest tasks of this entry (baseline)."""
    fitting = (a for a in pool if shape.slot_only or fitting_tasks(a, shape) >= 1)
    return min(fitting, key=lambda agent: agent.running, default=None)


# Name -> (function that picks an agent, whether windows limit the tasks sent to it).
PLACEMENT_POLICIES = {
    "windows": (_pick_two_choices, True),
    "random": (_pick_random, False),
    "least_outstanding": (_pick_least_outstanding, False),
}
