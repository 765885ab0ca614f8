"""Agents as the scheduling policy sees them, and the choice among them.

Agents with a free slot are kept in one pool per failure domain and roster state,
so that choosing one does not depend on the number of agents.
"""

from dataclasses import dataclass

from .quarantine import Health
from .teams import UNLIMITED

FIT_TRIES = 8  # random picks before a bounded scan for an agent that fits
FIT_SCAN = 32  # agents looked at in the scan; the next round starts elsewhere
SLOWNESS_STEP = 0.05  # weight of the newest run-time ratio
MAX_RATIO = 20.0  # one very slow task must not mark a worker for long
CHOICE_PICKS = 8  # picks that share one choice of a failure domain, at most
SLOW = 2.0  # run-time ratio from which a worker is a straggler
SLOW_END = 1.5  # ratio below which it is none any more
SLOW_PROBES = 0.002  # part of the tasks that go to a straggler all the same
DOMAIN_SLACK = 1e-9


@dataclass(slots=True)
class Assignment:
    """Tasks of one job that go to one agent in one message."""

    stream: int
    job: bytes
    indexes: list[int]
    window_sequence: int


class Agent:
    """One agent and its worker."""

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
        "open",
        "counted",
        "pool",
        "position",
        "tasks",
        "slowness",
        "slow",
        "health",
        "asked_at",
        "ask_pause",
        "told",
    )

    def __init__(self, stream, hello, domain):
        self.stream = stream
        self.hello = hello
        self.domain = domain
        self.group = domain  # the domain, or the stragglers of all domains
        self.region = hello.region
        self.slots = hello.slots
        self.processors = hello.processors  # what the tasks of this entry leave
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
        self.open = False  # takes new work, and counts in the domain's totals
        self.counted = 0  # the window as it is counted there
        self.pool = None
        self.position = -1
        self.tasks = {}  # (job, index) -> Started
        self.slow = False
        self.slowness = 1.0  # run time over the estimate, smoothed
        self.health = Health()
        self.asked_at = float("-inf")  # when more slots were asked for
        self.ask_pause = 0.1
        self.told = False  # an Assign carried the demand since


class Domain:
    """Agents with free slots in one failure domain."""

    __slots__ = ("name", "rostered", "others", "window", "running")

    def __init__(self, name):
        self.name = name
        self.rostered = []
        self.others = []  # not on the roster: only unclaimed work may go there
        self.window = 0  # slots granted by usable agents
        self.running = 0  # tasks on those agents


class Placement:
    """Pools of agents by failure domain."""

    __slots__ = (
        "own_domain",
        "domains",
        "windowed",
        "pick",
        "rng",
        "pooled",
        "backlog",
        "slow",
        "choice",
        "choice_claimed",
        "choice_left",
    )

    def __init__(self, own_domain, policy, rng):
        self.own_domain = own_domain
        self.domains = {}
        self.pick, self.windowed = POLICIES[policy]
        self.rng = rng
        self.pooled = 0  # agents in pools
        self.backlog = 0  # waiting tasks of the entry
        self.slow = Domain("stragglers")  # a group of their own
        self.choice = None  # pool chosen last, and for how many more picks
        self.choice_claimed = False
        self.choice_left = 0


def domain_of(state, name):
    """Return a failure domain, creating it when it is new."""
    domain = state.domains.get(name)
    if domain is None:
        domain = state.domains[name] = Domain(name)
    return domain


def refresh(state, agent):
    """Bring the pools in line with an agent whose state changed."""
    _leave_pool(state, agent)
    _count_out(agent)
    agent.usable = not (agent.draining or agent.suspect)
    agent.open = agent.usable and not agent.quarantined
    agent.group = state.slow if agent.slow else agent.domain
    if agent.open:
        agent.counted = agent.window
        agent.group.window += agent.window
        agent.group.running += agent.running
        if agent.running < agent.window or not state.windowed:
            _enter_pool(state, agent)
    state.choice_left = 0


def _enter_pool(state, agent):
    group = agent.group
    pool = group.rostered if agent.rostered else group.others
    agent.pool = pool
    agent.position = len(pool)
    pool.append(agent)
    if group is not state.slow:
        state.pooled += 1


def remove(state, agent):
    """Take an agent out of all pools."""
    _leave_pool(state, agent)
    _count_out(agent)


def _count_out(agent):
    if agent.open:
        agent.group.window -= agent.counted
        agent.group.running -= agent.running
    agent.open = False
    agent.counted = 0


def _leave_pool(state, agent):
    pool = agent.pool
    if pool is None:
        return
    last = pool.pop()
    if last is not agent:
        pool[agent.position] = last
        last.position = agent.position
    agent.pool = None
    if agent.group is not state.slow:
        state.pooled -= 1


def started(state, agent, shape, count):
    """Take slots and resources of an agent."""
    agent.running += count
    if agent.open:
        agent.group.running += count
    if not shape.plain:
        _use(agent, shape, count)
    if agent.running >= agent.window and state.windowed:
        _leave_pool(state, agent)


def ended(state, agent, shape):
    """Return the slot and the resources of one task."""
    agent.running -= 1
    if not shape.plain:
        _use(agent, shape, -1)
    if not agent.open:
        return
    agent.group.running -= 1
    if agent.pool is None and agent.running < agent.window:
        _enter_pool(state, agent)


def _use(agent, shape, count):
    agent.processors -= shape.processors * count
    agent.memory_mb -= shape.memory_mb * count
    agent.accelerators -= shape.accelerators * count


def observe_run(state, agent, run_ms, estimate_ms):
    """Compare a run time with what the task takes on other workers."""
    if not state.windowed:
        return  # the baselines know no stragglers
    ratio = run_ms / estimate_ms
    if ratio > MAX_RATIO:
        ratio = MAX_RATIO
    agent.slowness += SLOWNESS_STEP * (ratio - agent.slowness)
    if agent.slowness > (SLOW_END if agent.slow else SLOW):
        if not agent.slow:
            agent.slow = True
            refresh(state, agent)
    elif agent.slow:
        agent.slow = False
        refresh(state, agent)


def has_room(state):
    """Tell whether any agent may get a task now."""
    return state.pooled > 0 or _straggler_helps(state)


def _straggler_helps(state):
    """Tell whether a slow worker is better than to wait for the next free slot.

    It is not until the work that waits takes longer than a slow worker needs in
    addition.
    """
    group = state.slow
    pool = group.rostered or group.others
    if not pool:
        return False
    granted = sum(domain.window for domain in state.domains.values())
    return state.backlog > (pool[0].slowness - 1.0) * granted


def _straggler_pool(state, claimed):
    """Return the pool of stragglers when they may get a task, or None.

    A few tasks go to them in any case: they show when one has become faster.
    """
    group = state.slow
    pool = group.rostered if claimed else group.rostered or group.others
    if not pool:
        return None
    probed = state.pooled and state.rng.random() < SLOW_PROBES
    if probed or not state.pooled and _straggler_helps(state):
        return pool
    return None


def capacity(agent, shape):
    """Return how many tasks of a shape fit into an agent's free resources."""
    count = UNLIMITED
    if shape.processors:
        count = min(count, int(agent.processors / shape.processors + 1e-9))
    if shape.memory_mb:
        count = min(count, agent.memory_mb // shape.memory_mb)
    if shape.accelerators:
        count = min(count, agent.accelerators // shape.accelerators)
    return count


def choose_pool(state, claimed):
    """Return the pool to place in: the own failure domain unless it is fuller.

    The choice is kept for a few picks, because one pick hardly changes the shares.
    """
    pool = state.choice
    if state.choice_left > 0 and pool and claimed == state.choice_claimed:
        state.choice_left -= 1
        return pool
    best = None
    best_share = float("-inf")
    for domain in state.domains.values():
        pool = domain.rostered
        if not pool and not claimed:
            pool = domain.others
        if not pool:
            continue
        share = (domain.window - domain.running) / (domain.window or 1)
        if domain.name == state.own_domain:
            share += DOMAIN_SLACK
        if share > best_share:
            best, best_share = pool, share
    state.choice = best
    state.choice_claimed = claimed
    state.choice_left = min(CHOICE_PICKS, 1 + len(best) // 2) if best else 0
    return best


def place(state, shape, claimed, count):
    """Return one agent and how many of ``count`` tasks it takes, or None."""
    pool = _straggler_pool(state, claimed) or choose_pool(state, claimed)
    if pool is None:
        return None
    agent = state.pick(state, pool, shape)
    if agent is None:
        return None
    if count > 1:
        if state.windowed:  # a large batch is spread evenly over the free agents
            count = 1 + (count - 1) // max(1, state.pooled)
            count = min(count, agent.window - agent.running)
        else:
            count = 1
        if not shape.plain:
            count = min(count, capacity(agent, shape))
    return agent, count


def _load(agent):
    return (agent.running + 1) * agent.slowness


def _pick_two_choices(state, pool, shape):
    """Return the less loaded of two random agents of the pool."""
    if not shape.plain:
        return _pick_fitting(state, pool, shape)
    random = state.rng.random
    size = len(pool)
    first = pool[int(random() * size)]
    if size == 1:
        return first
    second = pool[int(random() * size)]
    # Inlined _load: this runs for every placed task.
    if (second.running + 1) * second.slowness < (first.running + 1) * first.slowness:
        first = second
    return first


def _pick_fitting(state, pool, shape):
    """Return an agent of the pool with enough free resources, or None."""
    random = state.rng.random
    size = len(pool)
    best = None
    for _ in range(min(FIT_TRIES, 2 * size)):
        agent = pool[int(random() * size)]
        if capacity(agent, shape) < 1:
            continue
        if best is not None:
            return agent if _load(agent) < _load(best) else best
        best = agent
    if best is not None:
        return best
    start = int(random() * size)
    for offset in range(min(size, FIT_SCAN)):
        agent = pool[(start + offset) % size]
        if capacity(agent, shape) >= 1:
            return agent
    return None


def _pick_random(state, pool, shape):
    """Return any agent: early placement without load (baseline)."""
    agent = pool[int(state.rng.random() * len(pool))]
    return agent if shape.plain or capacity(agent, shape) >= 1 else None


def _pick_least_outstanding(state, pool, shape):
    """Return the agent with the fewest tasks of this entry (baseline)."""
    fitting = (a for a in pool if shape.plain or capacity(a, shape) >= 1)
    return min(fitting, key=lambda agent: agent.running, default=None)


# Name -> (choice of an agent, whether windows bound the tasks sent to it).
POLICIES = {
    "windows": (_pick_two_choices, True),
    "random": (_pick_random, False),
    "least_outstanding": (_pick_least_outstanding, False),
}
