"""State of the scheduling policy of one entry."""

from collections import deque

from . import estimates, fairshare, placement, quarantine, teams, usage


class SchedulerState:
    """State of the scheduling policy of one entry."""

    __slots__ = (
        "policy",
        "region",
        "rng",
        "config_version",
        "teams",
        "jobs",
        "agents",
        "fair",
        "placement",
        "quarantine",
        "usage",
        "median",
        "watched",
        "ended",
        "parked",
        "deadlines",
        "sequence",
        "waiting",
        "held",
        "unfit",
        "asked_now",
        "long_running",
        "short_seen_at",
        "slots",
        "totals",
        "totals_version",
        "worker_sizes",
        "entitlement",
        "shares_at",
        "stepped_at",
        "asked_at",
        "ask_ring",
    )

    def __init__(self, settings, rng):
        policy = settings.policy
        self.policy = policy
        self.region = settings.region
        self.rng = rng
        self.config_version = None
        self.teams = {}
        self.jobs = {}
        self.agents = {}  # stream -> Agent
        self.fair = fairshare.FairQueue()
        self.placement = placement.Placement(
            settings.failure_domain, policy.policy, rng
        )
        self.quarantine = quarantine.Quarantine(
            policy.quarantine_failures, policy.quarantine_max_share
        )
        self.usage = usage.Usage()
        self.median = estimates.Median()
        self.watched = deque()  # batches of short work in the order of their start
        self.ended = {}  # in order: teams with tasks that ended since the last starts
        self.parked = {}  # reason -> teams that could start nothing
        self.deadlines = []  # heap of (time to look at it, sequence, job)
        self.sequence = 0
        self.waiting = 0
        # Waiting tasks at the last periodic step that the reserve or a limit holds
        # back, and those that fit none of the free slots.
        self.held = 0
        self.unfit = 0
        self.asked_now = 0  # asked() after the last starts
        self.long_running = 0
        self.short_seen_at = float("-inf")
        self.slots = 0  # of all agents that are not draining
        self.totals = dict.fromkeys(teams.RESOURCES, 0)
        self.totals_version = 0
        self.worker_sizes = {}  # (processors, memory, accelerators) -> workers
        self.entitlement = 0.0
        self.shares_at = float("-inf")
        self.stepped_at = None
        self.asked_at = float("-inf")
        self.ask_ring = deque()

    def is_long(self, estimator):
        """Tell whether an estimator's tasks count as long work at this entry."""
        return estimates.is_long(estimator, self.median, self.policy.long_factor)

    def granted(self):
        """Return the slots of all agents that take work."""
        return sum(domain.window for domain in self.placement.domains.values())

    def asked(self):
        """Return the waiting tasks that further slots would let start.

        Tasks that the reserve for short work or a limit keeps from starting are left
        out: agents give idle slots of an entry away only when it asks for none.
        """
        if placement.has_room(self.placement):
            return min(self.waiting, self.unfit)
        return max(0, self.waiting - self.held)

    def update_cost(self, shape):
        """Bring a shape's cost in line with the present size of the federation."""
        if shape.cost_version == self.totals_version:
            return
        shape.cost_version = self.totals_version
        shape.cost = 1.0
        for name, total in self.totals.items():
            need = getattr(shape, name)
            if need and total:
                shape.cost = max(shape.cost, need * self.slots / total)


def figures(state):
    """Return the load of the entry, its agents and its teams for operators."""
    return {
        "config_version": state.config_version,
        "agents": len(state.agents),
        "slots": state.slots,
        "granted": sum(agent.window for agent in state.agents.values()),
        "running": sum(agent.running for agent in state.agents.values()),
        "long_running": state.long_running,
        "waiting": state.waiting,
        "entitlement": state.entitlement,
        "median_ms": state.median.value,
        "quarantined": [a.hello.worker for a in state.quarantine.held],
        "peers": len(state.usage.peers),
        "teams": {
            team.name: {
                "running": team.running_tasks,
                "waiting": team.waiting,
                "due": team.due,
                "failure_rate": team.failure_rate,
            }
            for team in state.teams.values()
            if team.running_tasks or team.waiting
        },
    }
