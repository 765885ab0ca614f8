"""Fair sharing of slots between teams.

Start-time fair queueing: the team with the lowest key starts next. The key is the
team's virtual time (slot-seconds used per unit of weight) plus ``HELD_SLOTS_HORIZON_S``
seconds' worth of the slots that it holds now. The second term makes the slots held
converge to the weighted max-min shares within one task length, whatever the run times
are; the first one compensates for earlier overuse.
"""

from heapq import heapify, heappop, heappush

from .teams import UNLIMITED_TASKS

# At 1.0 past usage outweighs the slots that are held now.
HELD_SLOTS_HORIZON_S = 30.0
VIRTUAL_TIME_MAX_AGE_S = 0.05  # older virtual times are updated before they are used
START_QUANTUM_SHARE = 0.125  # share of its due slots that a team may start at once
MAX_SHARE_QUANTUM = 4  # tasks; upper limit of the quantum from that share
# 0.5 converges slowly; 2.0 overshoots with tasks of several seconds.
SHARE_CORRECTION_GAIN = 1.5
# Smallest share of its weight that a team has at an entry, so that it can start there.
MIN_LOCAL_SHARE = 0.01
HEAP_SLACK = 512  # stale heap entries kept before the heap is compacted
INFINITY = float("inf")
MAX_DEBT_S = 1.0  # longest delay of a team for usage that was reported late


class FairQueue:
    """Priority queue of the teams with waiting tasks, ordered by fair-queueing key."""

    __slots__ = (
        "heap",
        "sequence",
        "virtual_time",
        "slots_per_weight",
        "spare_slots",
        "total_weight",
        "compact_above",
    )

    def __init__(self):
        self.heap = []
        self.sequence = 0
        self.virtual_time = 0.0
        # Slots that a backlogged team gets per unit of weight.
        self.slots_per_weight = 1.0
        self.spare_slots = 0.0  # slots without demand
        self.total_weight = 0.0  # of the teams that have work
        self.compact_above = HEAP_SLACK


def update_virtual_time(team, now):
    """Charge a team for the slots it has held since the last update."""
    elapsed = now - team.virtual_time_at
    if elapsed > 0:
        team.virtual_time += team.running * elapsed / team.local_weight
        team.virtual_time_at = now


def charge_late_usage(fair_queue, team, slot_seconds):
    """Charge usage that was reported late; the resulting debt is bounded."""
    limit = fair_queue.virtual_time + MAX_DEBT_S * fair_queue.slots_per_weight
    if team.virtual_time < limit:
        debt = slot_seconds / team.local_weight
        team.virtual_time = min(limit, team.virtual_time + debt)


def activate_team(fair_queue, team, now):
    """Set the virtual time of a team that gets waiting tasks after having none.

    A team earns no credit while it is idle, and an old debt delays it by MAX_DEBT_S
    at most.
    """
    update_virtual_time(team, now)
    low = fair_queue.virtual_time
    high = low + MAX_DEBT_S * fair_queue.slots_per_weight
    team.virtual_time = min(max(team.virtual_time, low), high)


def fair_key(team):
    """Return the fair-queueing key of a team."""
    return team.virtual_time + HELD_SLOTS_HORIZON_S * team.running / team.local_weight


def push_team(fair_queue, team):
    """Queue a team at its current key; an older heap entry of it becomes stale."""
    fair_queue.sequence += 1
    team.heap_sequence = fair_queue.sequence
    heappush(fair_queue.heap, (fair_key(team), fair_queue.sequence, team))
    if len(fair_queue.heap) > fair_queue.compact_above:
        _compact_heap(fair_queue)


def _compact_heap(fair_queue):
    """Drop stale entries, so that the heap size depends on the teams only."""
    heap = [entry for entry in fair_queue.heap if entry[1] == entry[2].heap_sequence]
    heapify(heap)
    fair_queue.heap = heap
    fair_queue.compact_above = 2 * len(heap) + HEAP_SLACK


def pop_team(fair_queue, now):
    """Remove and return the team with the lowest key, or None if there is none."""
    heap = fair_queue.heap
    while heap:
        _, sequence, team = heappop(heap)
        if sequence != team.heap_sequence:
            continue
        if now - team.virtual_time_at > VIRTUAL_TIME_MAX_AGE_S:
            update_virtual_time(team, now)
            if heap and fair_key(team) > heap[0][0]:
                push_team(fair_queue, team)
                heap = fair_queue.heap
                continue
        team.heap_sequence = 0
        if team.waiting:
            return team
    return None


def min_fair_key(fair_queue):
    """Return the lowest key in the queue, infinity if the queue is empty."""
    heap = fair_queue.heap
    while heap and heap[0][1] != heap[0][2].heap_sequence:
        heappop(heap)
    return heap[0][0] if heap else INFINITY


def start_quantum(fair_queue, team, cost):
    """Return how many tasks a team may start before another team has the lowest key.

    A team with a large share may start a few more at once, because switching teams
    costs as much as placing a task.
    """
    ahead = min_fair_key(fair_queue) - fair_key(team)
    if ahead == INFINITY:
        return UNLIMITED_TASKS
    count = 1 + int(ahead * team.local_weight / (HELD_SLOTS_HORIZON_S * cost))
    least = min(MAX_SHARE_QUANTUM, int(team.due_slots * START_QUANTUM_SHARE / cost))
    return max(1, least, count)


def split_between_entries(fair_queue, team, region_share):
    """Set this entry's part of a team's weight and allowance.

    The split between entries follows demand, so that a team gets the same total
    whether its jobs arrive at one entry or at all of them. An entry's demand counts
    up to the team's whole share only, because queue lengths change faster than
    running tasks end.
    """
    limit = max(1.0, fair_queue.slots_per_weight * team.weight)
    own = min(limit, team.running_tasks + team.waiting)
    others = sum(min(limit, sum(load)) for load in team.peers.values())
    share = own / (own + others) if own and others else 1.0
    peers = team.peer_running + team.peer_waiting
    cap = team.cap * region_share
    team.local_share = share
    team.local_weight = team.weight * max(share, MIN_LOCAL_SHARE)
    team.local_cap = max(cap * share, cap - peers)
    if own and team.peer_running < cap:
        # A part below one task would leave a small allowance unused.
        team.local_cap = max(team.local_cap, min(1.0, cap))


def water_fill(fair_queue, teams, slots, region_share):
    """Compute each team's due slots at this entry and return their sum.

    The shares are weighted max-min fair over the known demand of the federation.
    """
    demands = []
    for team in teams:
        split_between_entries(fair_queue, team, region_share)
        demand = team.running + team.waiting + team.peer_running + team.peer_waiting
        demand = min(demand, team.cap * region_share)
        team.due_slots = 0.0
        if demand > 0:
            demands.append((demand / team.weight, demand, team))
    demands.sort(key=_demand_per_weight)
    weights = fair_queue.total_weight = sum(team.weight for _, _, team in demands)
    left = slots
    total = 0.0
    fair_queue.slots_per_weight = left / weights if weights else slots
    for demand_per_weight, demand, team in demands:
        fair_queue.slots_per_weight = left / weights if weights > 0 else 0.0
        due = (
            demand
            if demand_per_weight <= fair_queue.slots_per_weight
            else fair_queue.slots_per_weight * team.weight
        )
        left -= due
        weights -= team.weight
        if team.waiting or team.running_tasks:
            team.due_slots = due * team.local_share
    fair_queue.spare_slots = max(0.0, left)
    for _, _, team in demands:
        if team.peers and team.waiting:
            _correct_local_share(fair_queue, team)
        total += team.due_slots
    return total


def _correct_local_share(fair_queue, team):
    """Correct a team's part for what it lacks over all entries.

    Splitting the weight by demand alone leaves a team's total too high or too low
    wherever an entry's slots differ from the sum of its teams' parts.
    """
    fair_slots = min(fair_queue.slots_per_weight * team.weight, team.cap)
    lacking = fair_slots - team.running - team.peer_running
    target = team.local_share * (fair_slots + SHARE_CORRECTION_GAIN * lacking)
    target = min(fair_slots, max(target, MIN_LOCAL_SHARE * fair_slots))
    if fair_queue.slots_per_weight > 0:
        team.local_weight = target / fair_queue.slots_per_weight
    team.due_slots = min(target, team.running + team.waiting)


def _demand_per_weight(entry):
    return entry[0]
