"""Fair shares between teams.

Start-time fair queueing: the team with the lowest key starts next. Its key is
the virtual time (slot-seconds used per unit of weight) plus one second's worth of
the slots that it holds now. The second term makes the slots held converge to the
weighted max-min shares within one task length, whatever the run times are; the
first one makes good what a team used too much.
"""

from heapq import heapify, heappop, heappush

from .teams import UNLIMITED

HORIZON_S = 30.0  # 1.0 let old usage outweigh the slots held now
SETTLE_INTERVAL_S = 0.05  # virtual times older than this are brought up to date
QUANTUM_SHARE = 0.125  # part of its due slots that a team starts at once
MAX_QUANTUM = 4
CORRECTION = 1.5  # 0.5 is slow; 2.0 overshoots with tasks of several seconds
MIN_SHARE = 0.01  # of its weight that a team keeps at an entry it is new to
COMPACT_SLACK = 512  # void places kept before the heap is compacted
INFINITY = float("inf")
MAX_DEBT_S = 1.0  # a team is held back for at most this long for late usage


class FairQueue:
    """Teams with waiting work, ordered by key."""

    __slots__ = (
        "heap",
        "sequence",
        "virtual_time",
        "level",
        "spare",
        "weights",
        "compact_at",
    )

    def __init__(self):
        self.heap = []
        self.sequence = 0
        self.virtual_time = 0.0
        self.level = 1.0  # slots per unit of weight that a backlogged team gets
        self.spare = 0.0  # slots that no team asks for
        self.weights = 0.0  # of the teams that have work
        self.compact_at = COMPACT_SLACK


def settle(team, now):
    """Charge the slots a team has held since it was last settled."""
    elapsed = now - team.settled_at
    if elapsed > 0:
        team.virtual_time += team.running * elapsed / team.local_weight
        team.settled_at = now


def charge(fair, team, slot_seconds):
    """Charge usage that became known late, as a debt of bounded size."""
    limit = fair.virtual_time + MAX_DEBT_S * fair.level
    if team.virtual_time < limit:
        debt = slot_seconds / team.local_weight
        team.virtual_time = min(limit, team.virtual_time + debt)


def activate(fair, team, now):
    """Start a team that had no waiting work at the present virtual time.

    A team earns no credit while it asks for nothing, and an old debt does not
    hold it back for more than MAX_DEBT_S.
    """
    settle(team, now)
    low = fair.virtual_time
    high = low + MAX_DEBT_S * fair.level
    team.virtual_time = min(max(team.virtual_time, low), high)


def key_of(team):
    """Return the fair-queueing key of a team."""
    return team.virtual_time + HORIZON_S * team.running / team.local_weight


def push(fair, team):
    """Put a team into the queue at its present key; an older place is void."""
    fair.sequence += 1
    team.heap_sequence = fair.sequence
    heappush(fair.heap, (key_of(team), fair.sequence, team))
    if len(fair.heap) > fair.compact_at:
        _compact(fair)


def _compact(fair):
    """Drop void places, so that the heap grows with the teams only."""
    heap = [place for place in fair.heap if place[1] == place[2].heap_sequence]
    heapify(heap)
    fair.heap = heap
    fair.compact_at = 2 * len(heap) + COMPACT_SLACK


def pop(fair, now):
    """Remove and return the team with the lowest key, or None."""
    heap = fair.heap
    while heap:
        _, sequence, team = heappop(heap)
        if sequence != team.heap_sequence:
            continue
        if now - team.settled_at > SETTLE_INTERVAL_S:
            settle(team, now)
            if heap and key_of(team) > heap[0][0]:
                push(fair, team)
                heap = fair.heap
                continue
        team.heap_sequence = 0
        if team.waiting:
            return team
    return None


def next_key(fair):
    """Return the lowest key in the queue, infinity when it is empty."""
    heap = fair.heap
    while heap and heap[0][1] != heap[0][2].heap_sequence:
        heappop(heap)
    return heap[0][0] if heap else INFINITY


def quantum(fair, team, cost):
    """Return how many tasks a team may start before the next team is due.

    A team that has a large share starts a few at once, because each change of team
    costs as much as placing a task.
    """
    ahead = next_key(fair) - key_of(team)
    if ahead == INFINITY:
        return UNLIMITED
    count = 1 + int(ahead * team.local_weight / (HORIZON_S * cost))
    least = min(MAX_QUANTUM, int(team.due * QUANTUM_SHARE / cost))
    return max(1, least, count)


def localise(fair, team, region_share):
    """Split a team's weight and allowance between this entry and its peers.

    The split follows demand, so that a team gets the same total whether its jobs
    arrive at one entry or at all of them. An entry's demand counts up to the team's
    whole share only: queue lengths change faster than running tasks end.
    """
    limit = max(1.0, fair.level * team.weight)
    own = min(limit, team.running_tasks + team.waiting)
    others = sum(min(limit, sum(load)) for load in team.peers.values())
    share = own / (own + others) if own and others else 1.0
    peers = team.peer_running + team.peer_waiting
    cap = team.cap * region_share
    team.local_share = share
    team.local_weight = team.weight * max(share, MIN_SHARE)
    team.local_cap = max(cap * share, cap - peers)
    if own and team.peer_running < cap:
        # Rounding must not keep a small allowance from being used at all.
        team.local_cap = max(team.local_cap, min(1.0, cap))


def water_fill(fair, teams, slots, region_share):
    """Set each team's due slots at this entry; return their sum.

    Weighted max-min over the demands of the federation as far as they are known.
    """
    demands = []
    for team in teams:
        localise(fair, team, region_share)
        demand = team.running + team.waiting + team.peer_running + team.peer_waiting
        demand = min(demand, team.cap * region_share)
        team.due = 0.0
        if demand > 0:
            demands.append((demand / team.weight, demand, team))
    demands.sort(key=_level_of)
    weights = fair.weights = sum(team.weight for _, _, team in demands)
    left = slots
    total = 0.0
    fair.level = left / weights if weights else slots
    for level, demand, team in demands:
        fair.level = left / weights if weights > 0 else 0.0
        due = demand if level <= fair.level else fair.level * team.weight
        left -= due
        weights -= team.weight
        if team.waiting or team.running_tasks:
            team.due = due * team.local_share
    fair.spare = max(0.0, left)
    for _, _, team in demands:
        if team.peers and team.waiting:
            _correct(fair, team)
        total += team.due
    return total


def _correct(fair, team):
    """Let this entry make good a part of what the team lacks in all entries.

    Splitting a team's weight by demand alone leaves the total off by what the
    entries' numbers of slots differ from the sum of their teams' parts.
    """
    fair_slots = min(fair.level * team.weight, team.cap)
    lacking = fair_slots - team.running - team.peer_running
    target = team.local_share * (fair_slots + CORRECTION * lacking)
    target = min(fair_slots, max(target, MIN_SHARE * fair_slots))
    if fair.level > 0:
        team.local_weight = target / fair.level
    team.due = min(target, team.running + team.waiting)


def _level_of(entry):
    return entry[0]
