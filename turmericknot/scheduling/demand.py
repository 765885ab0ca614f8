"""Demand of all entries for the workers that they share.

Load pattern: at the crest of a wave or in a burst, every entry sees only the jobs that
wait at itself, takes all capacity that is free at this moment for its own, and accepts
what the entries together cannot serve. Their callers learn of it seconds later.

Each entry therefore reports a digest of its demand to the owner of the first shard with
every probe. The answer to the probe holds the sum over all other entries. Digests are
evidence with an age: without a recent one, an entry decides by its own backlog alone.
"""

import math
from collections import deque

from turmericknot.wire.shard_messages import DemandDigest, QueueDemand

from . import workers
from .neighborhood import ENTRIES_PER_AGENT

# With fewer entries each sees a large part of the demand itself.
MIN_ENTRIES = 4
# A digest that is older is no evidence. It covers two probes, one of them lost.
MAX_DIGEST_AGE_S = 1.3
# A silent entry may hold capacity until its grants have ended.
SILENT_ENTRY_S = 1.3
# Rows of a digest; the queues with the least work are left out.
MAX_DIGEST_QUEUES = 8
# Observations of the entry's own backlog that are kept, one for each snapshot.
MAX_HISTORY = 16
# How long the sums over the agents and runs of the entry are kept.
SNAPSHOT_S = 0.1
# Weight of the newest observation in the ratio of the others' use to the own use.
NEWEST_USE_WEIGHT = 0.1
# An entry's own change counts at most this many times for each other entry.
MAX_SAMPLE_RATIO = 2.0
# While more than this share of the processors is idle, capacity is not short.
IDLE_SHARE = 0.1


class QueueView:
    """Demand of one queue at all entries.

    ``running`` is in core-seconds, ``used`` in cores.
    """

    __slots__ = (
        "queue",
        "service",
        "priority",
        "running",
        "used",
        "own_waiting",
        "_others_waiting",
        "_own_before",
        "_ratio",
    )

    def __init__(self, queue, service, priority):
        self.queue = queue
        self.service = service
        self.priority = priority
        self.running = self.used = self.own_waiting = 0.0
        self._others_waiting = self._own_before = self._ratio = 0.0

    @property
    def waiting(self):
        """Return the core-seconds that wait at all entries.

        Digests are older than an urgent job may wait. What has changed at this entry
        since then is a sample of what has changed at the others.
        """
        change = self._ratio * (self.own_waiting - self._own_before)
        return self.own_waiting + max(0.0, self._others_waiting + change)

    def add_others(self, row):
        """Add the QueueDemand of the other entries."""
        self._others_waiting += row.waiting_ms / 1000
        self.running += row.running_ms / 1000
        self.used += row.used_cpu / 1000

    def set_sample(self, own_before, ratio):
        """Set what waited here at the time of the digests, and the others' multiple."""
        self._own_before = own_before
        self._ratio = ratio


class FleetView:
    """Demand of all entries by queue, and the capacity of each service, in cores."""

    __slots__ = ("queues", "cores", "idle", "entries", "age_s", "made_at")

    def __init__(self, entries, age_s, made_at):
        self.queues = {}
        self.cores = {}
        self.idle = {}
        self.entries = entries
        self.age_s = age_s  # of the oldest digest
        self.made_at = made_at

    def queues_of(self, service):
        """Return the QueueView of each queue of a service."""
        return [view for view in self.queues.values() if view.service == service]

    def is_short(self, service):
        """Return whether the service has hardly any idle processors."""
        cores = self.cores.get(service, 0.0)
        return self.idle.get(service, 0.0) <= IDLE_SHARE * cores


class FleetDemand:
    """What an entry knows of its own demand and of that of the others."""

    __slots__ = (
        "min_entries",
        "_waiting",
        "_reports",
        "_status",
        "_uses",
        "_history",
        "_view",
        "_digest",
    )

    def __init__(self, min_entries):
        self.min_entries = min_entries
        self._waiting = {}  # queue -> [service, priority, core-seconds]
        self._reports = {}  # member -> (digest, time); if others report to this entry
        self._status = None  # (digest, time) of the sum that the entry is told
        self._uses = {}  # queue -> mean (cores of the others, cores of this entry)
        self._history = deque()  # (time, {queue: core-seconds waiting here})
        self._view = None
        self._digest = (None, -math.inf)

    def add_waiting(self, record, core_seconds):
        """Add work that waits at this entry; negative when it stops waiting."""
        row = self._waiting.setdefault(
            record.queue, [record.service, record.priority, 0.0]
        )
        row[2] = max(0.0, row[2] + core_seconds)

    @property
    def waiting(self):
        """Return {queue: [service, priority, core-seconds]} waiting at this entry."""
        return self._waiting

    def record_report(self, member, digest, now):
        """Record what another entry reports of its own demand."""
        if digest is not None:
            self._reports[member] = (digest, now)

    def record_status(self, digest, now):
        """Record the demand of all other entries, as summed up by one of them."""
        if digest is not None:
            self._status = (digest, now)

    def sum_for(self, member, own_digest, now):
        """Return the digest of all entries but ``member``; this one included."""
        digests = [(own_digest, now), *self._current_reports(now, member)]
        return _sum_digests(digests, now)

    def _current_reports(self, now, without=None):
        for member, (_, at) in list(self._reports.items()):
            if now - at > SILENT_ENTRY_S:
                del self._reports[member]
        return [value for name, value in self._reports.items() if name != without]

    def others(self, now):
        """Return the demand of all other entries as a DemandDigest; None: unknown."""
        digests = self._current_reports(now)
        others = _sum_digests(digests, now) if digests else None
        if self._status is not None:
            status, at = self._status
            if others is None or status.entries > others.entries:
                others = _sum_digests([(status, at)], now)
        if (
            others is None
            or others.age_ms > 1000 * MAX_DIGEST_AGE_S
            or others.entries + 1 < self.min_entries
        ):
            return None
        return others

    def observe_use(self, queue, others_cores, own_cores):
        """Return the others' use of a queue as a multiple of the entry's own."""
        others, own = self._uses.get(queue, (others_cores, own_cores))
        others += NEWEST_USE_WEIGHT * (others_cores - others)
        own += NEWEST_USE_WEIGHT * (own_cores - own)
        self._uses[queue] = (others, own)
        return others / own if own > 0 else 0.0

    def waiting_before(self, at):
        """Return {queue: core-seconds} that waited at this entry at a time."""
        while len(self._history) > 1 and self._history[1][0] <= at:
            self._history.popleft()
        return self._history[0][1] if self._history else {}

    def record_waiting(self, now):
        """Keep what waits at this entry now for later comparisons."""
        current = {queue: row[2] for queue, row in self._waiting.items()}
        self._history.append((now, current))
        if len(self._history) > MAX_HISTORY:
            self._history.popleft()

    def cached_view(self, now):
        """Return the view if it is recent, else None."""
        view = self._view
        return view if view is not None and now - view.made_at < SNAPSHOT_S else None

    def set_view(self, view):
        """Keep the view for a while."""
        self._view = view

    def cached_digest(self, now):
        """Return the entry's digest if it is recent, else None."""
        digest, made_at = self._digest
        return digest if now - made_at < SNAPSHOT_S else None

    def set_digest(self, digest, now):
        """Keep the entry's digest for a while."""
        self._digest = (digest, now)


def create_fleet_demand(min_entries=None):
    """Return a record without digests."""
    return FleetDemand(MIN_ENTRIES if min_entries is None else min_entries)


def own_digest(owner, now):
    """Return the DemandDigest of this entry."""
    known = owner.demand.cached_digest(now)
    if known is not None:
        return known
    rows = {}
    for queue, (service, priority, waiting) in owner.demand.waiting.items():
        if waiting > 0.0005:
            rows[queue] = [service, priority, waiting, 0.0, 0]
    for agent in owner.agents.values():
        for task in agent.tasks.values():
            record, spec = task.job.record, task.spec
            row = rows.setdefault(
                record.queue, [record.service, record.priority, 0.0, 0.0, 0]
            )
            expected_s = owner.run_times.expected_run_s(record.queue, spec)
            left_s = max(0.0, task.started_at + expected_s - now)
            row[3] += left_s * spec.cpu / 1000
            row[4] += spec.cpu
    largest = sorted(rows.items(), key=lambda item: -(item[1][2] + item[1][3]))
    digest = DemandDigest(
        [
            QueueDemand(
                queue, service, priority, round(1000 * w), round(1000 * r), used_cpu
            )
            for queue, (service, priority, w, r, used_cpu) in largest[
                :MAX_DIGEST_QUEUES
            ]
        ]
    )
    owner.demand.set_digest(digest, now)
    owner.demand.record_waiting(now)
    return digest


def fleet_view(owner, now):
    """Return the FleetView, or None without recent digests of enough entries."""
    demand = owner.demand
    view = demand.cached_view(now)
    if view is None:
        others = demand.others(now)
        if others is None:
            return None
        view = _create_view(owner, others, now)
        demand.set_view(view)
    _update_own_waiting(view, demand)
    return view


def _create_view(owner, others, now):
    demand = owner.demand
    age_s = others.age_ms / 1000
    view = FleetView(others.entries + 1, age_s, now)
    for row in others.queues:
        _queue_view(view, row.queue, row.service, row.priority).add_others(row)
    own_used = {}
    for row in own_digest(owner, now).queues:
        queue = _queue_view(view, row.queue, row.service, row.priority)
        queue.running += row.running_ms / 1000
        queue.used += row.used_cpu / 1000
        own_used[row.queue] = row.used_cpu / 1000
    before = demand.waiting_before(now - age_s)
    for name, queue in view.queues.items():
        own_cores = own_used.get(name, 0.0)
        ratio = demand.observe_use(name, queue.used - own_cores, own_cores)
        ratio = min(ratio, MAX_SAMPLE_RATIO * others.entries)
        queue.set_sample(before.get(name, 0.0), ratio)
    _add_capacity(view, owner)
    return view


def _update_own_waiting(view, demand):
    for name, (service, priority, work) in demand.waiting.items():
        _queue_view(view, name, service, priority).own_waiting = work


def _queue_view(view, queue, service, priority):
    known = view.queues.get(queue)
    if known is None:
        known = view.queues[queue] = QueueView(queue, service, priority)
    return known


def _add_capacity(view, owner):
    """Add the capacity of the workers."""
    for agent in owner.agents.values():
        if not workers.is_connected_and_usable(agent):
            continue
        worker = agent.worker
        free_cpu = worker.cpu - agent.used_cpu - agent.foreign_cpu
        known = view.cores.get(worker.service, 0.0), view.idle.get(worker.service, 0.0)
        view.cores[worker.service] = known[0] + worker.cpu / 1000
        view.idle[worker.service] = known[1] + max(0, free_cpu) / 1000
    if view.entries > ENTRIES_PER_AGENT:
        _add_unseen_capacity(view)


def _add_unseen_capacity(view):
    """Extend the capacity to the workers that the entry is not connected to.

    What all entries use, compared with what is used on the workers that the entry sees,
    tells its part of them.
    """
    for service, cores in view.cores.items():
        seen = cores - view.idle[service]
        used = sum(queue.used for queue in view.queues_of(service))
        scale = min(used / seen, view.entries / ENTRIES_PER_AGENT) if seen > 0 else 1.0
        view.cores[service] *= max(1.0, scale)
        view.idle[service] *= max(1.0, scale)


def _sum_digests(digests, now):
    """Return the sum of (digest, time) with the age of the oldest one."""
    rows = {}
    for digest, _ in digests:
        for row in digest.queues:
            total = rows.setdefault(row.queue, [row.service, row.priority, 0, 0, 0])
            total[2] += row.waiting_ms
            total[3] += row.running_ms
            total[4] += row.used_cpu
    return DemandDigest(
        [QueueDemand(queue, *values) for queue, values in rows.items()],
        sum(digest.entries for digest, _ in digests),
        max(digest.age_ms + round(1000 * (now - at)) for digest, at in digests),
    )


def read_gauges(owner, now):
    """Return the gauges of the metrics; zeros without recent digests."""
    view = fleet_view(owner, now)
    queues = view.queues.values() if view is not None else ()
    return {
        "fleet_entries": view.entries if view is not None else 0,
        "fleet_core_seconds_waiting": round(sum(q.waiting for q in queues), 3),
        "floors_in_force": owner.floors.in_force,
    }
