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
        self.ended = set()  # teams with tasks that ended since the last starts
        self.parked = {}  # reason -> teams that could start nothing
        self.deadlines = []  # heap of (time to look at it, sequence, job)
        self.sequence = 0
        self.waiting = 0
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

    def long_slots(self):
        """Return the slots that long work may hold while there is short work."""
        granted = sum(d.window for d in self.placement.domains.values())
        return (1.0 - self.policy.short_reserve) * granted

    def long_room(self, now):
        """Return how many more long tasks may start."""
        if now - self.short_seen_at > self.policy.short_memory_s:
            return teams.UNLIMITED
        return int(self.long_slots()) - self.long_running

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
