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
        "fair_queue",
        "placement",
        "quarantine",
        "usage",
        "median",
        "short_batches",
        "teams_to_requeue",
        "blocked_teams",
        "deadline_heap",
        "sequence",
        "waiting",
        "limited_tasks",
        "unplaceable_tasks",
        "last_slot_demand",
        "long_running",
        "last_short_work_at",
        "slots",
        "resource_totals",
        "capacity_version",
        "worker_sizes",
        "entitlement",
        "shares_computed_at",
        "last_periodic_work_at",
        "demanded_at",
        "demand_rotation",
    )

    def __init__(self, settings, rng):
        policy = settings.policy
        self.policy = policy
        self.region = settings.region
        self.rng = rng
        self.config_version = None
        self.teams = {}
        self.jobs = {}
        self.agents = {}  # stream -> PlacementAgent
        self.fair_queue = fairshare.FairQueue()
        self.placement = placement.PlacementState(
            settings.failure_domain, policy.policy, rng
        )
        self.quarantine = quarantine.Quarantine(
            policy.quarantine_failures, policy.quarantine_max_share
        )
        self.usage = usage.FederationUsage()
        self.median = estimates.RunningMedian()
        # Started batches that count as short work, in the order of their start.
        self.short_batches = deque()
        # Ordered set (the keys) of teams whose tasks ended since the last starts.
        self.teams_to_requeue = {}
        self.blocked_teams = {}  # reason -> teams that could not start any task
        self.deadline_heap = []  # (time of the next check, sequence, job)
        self.sequence = 0
        self.waiting = 0
        # Waiting tasks at the last periodic run that were blocked by the reserve or a
        # limit, and those that fitted none of the free slots.
        self.limited_tasks = 0
        self.unplaceable_tasks = 0
        self.last_slot_demand = 0  # slot_demand() after the last starts
        self.long_running = 0
        self.last_short_work_at = float("-inf")
        self.slots = 0  # of all agents that are not draining
        self.resource_totals = dict.fromkeys(teams.RESOURCES, 0)
        self.capacity_version = 0
        self.worker_sizes = {}  # (processors, memory, accelerators) -> workers
        self.entitlement = 0.0
        self.shares_computed_at = float("-inf")
        self.last_periodic_work_at = None
        self.demanded_at = float("-inf")
        self.demand_rotation = deque()

    def is_long(self, estimator):
        """Return whether an estimator's tasks count as long work at this entry."""
        return estimates.is_long(estimator, self.median, self.policy.long_factor)

    def granted_slots(self):
        """Return the slots granted by all agents that accept work."""
        return sum(domain.window for domain in self.placement.domains.values())

    def slot_demand(self):
        """Return the number of waiting tasks that more slots would allow to start.

        Tasks blocked by the reserve for short work or by a limit are left out, because
        agents reassign an entry's idle slots only while the entry has no demand.
        """
        if placement.has_free_agent(self.placement):
            return min(self.waiting, self.unplaceable_tasks)
        return max(0, self.waiting - self.limited_tasks)

    def update_cost(self, shape):
        """Update a shape's cost, in slots, after a change of the total capacity."""
        if shape.cost_capacity_version == self.capacity_version:
            return
        shape.cost_capacity_version = self.capacity_version
        shape.cost = 1.0
        for name, total in self.resource_totals.items():
            need = getattr(shape, name)
            if need and total:
                shape.cost = max(shape.cost, need * self.slots / total)


def status_figures(state):
    """Return the load of the entry, its agents and its teams for status pages."""
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
        "quarantined": [a.hello.worker for a in state.quarantine.quarantined],
        "peers": len(state.usage.peers),
        "teams": {
            team.name: {
                "running": team.running_tasks,
                "waiting": team.waiting,
                "due": team.due_slots,
                "failure_rate": team.failure_rate,
            }
            for team in state.teams.values()
            if team.running_tasks or team.waiting
        },
    }
