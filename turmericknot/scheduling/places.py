"""What an owner knows of racks: their workers, the demand for them, and who waits."""

import math

from .place_wait import PlaceWaits
from .placement import DEMAND_LEVELS, SPEED_CLASS_STEP

# Time constant of the decaying demand: several times a run, less than a wave of load.
DEMAND_DECAY_S = 2.0
# A worker this many times as slow as the mean is slow: half a class of speeds.
MIN_SLOW_RATIO = 1 + SPEED_CLASS_STEP / 2
LEVELS_AGE_S = 0.2  # how long levels of the demand are used
REFRESH_INTERVAL_S = 1.0  # of what depends on all agents
NEWEST_RUN_WEIGHT = 0.02  # in the mean run time of a service


class Places:
    """Racks and distances, as one owner knows them."""

    __slots__ = (
        "far_factor",
        "waits",
        "own_share",
        "_mean_slowdown",
        "_agents_by_label",
        "_labels_by_agent",
        "_drain_s",
        "_demand",
        "_levels",
        "_next_refresh_at",
    )

    def __init__(self, far_factor):
        self.far_factor = far_factor  # 1.0: no distance is known
        self.waits = PlaceWaits()
        self.own_share = 1.0  # of all runs, those of this owner
        self._mean_slowdown = 1.0
        self._agents_by_label = {}  # label -> {agent id: AgentView}
        self._labels_by_agent = {}
        self._drain_s = {}  # service -> mean run time in seconds, weighted by cpu
        self._demand = {}  # (service, rack) -> (core-seconds, time)
        self._levels = {}  # service -> (time, {rack: level})
        self._next_refresh_at = 0.0

    def index_labels(self, view):
        """Record the labels of an agent's worker, which may have changed."""
        labels = tuple(view.worker.labels) if view.worker is not None else ()
        previous = self._labels_by_agent.get(view.id, ())
        if labels == previous:
            return
        for label in previous:
            self._agents_by_label[label].pop(view.id, None)
        for label in labels:
            self._agents_by_label.setdefault(label, {})[view.id] = view
        self._labels_by_agent[view.id] = labels

    def labels_of(self, agent_id):
        """Return the labels last recorded for the agent's worker."""
        return self._labels_by_agent.get(agent_id, ())

    def agents_of(self, rack):
        """Return the agents whose workers have this label."""
        return self._agents_by_label.get(rack, {}).values()

    def distance(self, view, spec):
        """Return the factor by which the distance to the data prolongs a run."""
        if not spec.data_rack or view.worker is None:
            return 1.0
        return 1.0 if spec.data_rack in view.worker.labels else self.far_factor

    def is_slow(self, view):
        """Return whether the worker is clearly slower than the mean.

        Jobs with slack are sent there on purpose. Their run times there would make
        their queue look slow, and then these workers like all others.
        """
        return view.slowdown > MIN_SLOW_RATIO * self._mean_slowdown

    def drain_s(self, service):
        """Return the mean run time of the service in seconds; 0 if unknown."""
        mean = self._drain_s.get(service)
        return mean[1] / mean[0] if mean else 0.0

    def observe_run(self, service, cpu, run_s):
        """Update the mean run time, in which a worker's capacity becomes free once.

        A run without processors frees none, and has no weight in the mean.
        """
        if not cpu:
            return
        known_cpu, known_work = self._drain_s.get(service, (cpu, cpu * run_s))
        self._drain_s[service] = (
            known_cpu + NEWEST_RUN_WEIGHT * (cpu - known_cpu),
            known_work + NEWEST_RUN_WEIGHT * (cpu * run_s - known_work),
        )

    def record_demand(self, service, rack, core_s, now):
        """Record that a task has its data on a rack."""
        key = (service, rack)
        self._demand[key] = (self._decayed_demand(key, now) + core_s, now)

    def _decayed_demand(self, key, now):
        core_s, at = self._demand.get(key, (0.0, now))
        return core_s * math.exp((at - now) / DEMAND_DECAY_S)

    def demand_levels(self, service, now):
        """Return the levels of the demand by rack, relative to the highest.

        An owner sees a share of the fleet's demand, which is alike for all racks.
        """
        if not self._demand:
            return {}
        at, levels = self._levels.get(service, (-math.inf, {}))
        if now - at > LEVELS_AGE_S:
            levels = self._compute_levels(service, now)
            self._levels[service] = (now, levels)
        return levels

    def _compute_levels(self, service, now):
        by_rack = {}
        for key in self._demand:
            if key[0] != service:
                continue
            cpu = sum(
                view.worker.cpu
                for view in self.agents_of(key[1])
                if view.worker.usable and view.worker.service == service
            )
            if cpu:
                by_rack[key[1]] = self._decayed_demand(key, now) / cpu
        highest = max(by_rack.values(), default=0.0)
        if not highest:
            return {}
        return {
            rack: level
            for rack, demand in by_rack.items()
            if (level := round(DEMAND_LEVELS * demand / highest))
        }

    def refresh(self, agents, now):
        """Update what depends on all agents, once a second."""
        if now < self._next_refresh_at:
            return
        self._next_refresh_at = now + REFRESH_INTERVAL_S
        own = total = slowdown = count = 0
        for view in agents:
            if view.is_connected:
                own += view.used_cpu
                total += view.used_cpu + view.foreign_cpu
                slowdown += view.slowdown
                count += 1
        self._mean_slowdown = slowdown / count if count else 1.0
        if total:
            self.own_share = own / total


def create_places(far_factor=1.0):
    """Return places without workers."""
    return Places(far_factor)
