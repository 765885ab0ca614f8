"""Exchange of team load between entries, and region shares during a partition."""

from heapq import nlargest
from operator import itemgetter

from turmericknot.wire.messages import TeamDigest, TeamUsage

from . import fairshare

BYTES_PER_USAGE = 16.0  # encoded TeamUsage: a name of about 10 bytes, two counts
FRAME_BYTES = 100.0  # headers down to Ethernet, tag, sequence and slots
# With heartbeats and as many digest bytes received, control traffic fits 9 KB/s per
# node.
DIGEST_BYTES_PER_S = 2500.0
MAX_DIGEST_BYTES = 5000.0  # to all peers; fewer, larger digests save headers
# Shares matter only while tasks wait somewhere. At 70% load of the full size, digests
# of running tasks alone would be half a message per task.
UNCONTENDED_INTERVAL_FACTOR = 8
MIN_DIGEST_INTERVAL_S = 0.04  # shortest interval between two digests
# Change of a team's load, relative to its due slots, above which it is urgent.
URGENT_CHANGE_SHARE = 0.25
REGULAR_BUDGET_SHARE = 0.3  # share of the byte budget kept for regular digests
MAX_REPORT_DELAY_S = 3.0  # failure detection time; a later digest means a lost peer
REGION_RETENTION_S = 60.0  # delay before a region with lost slots counts as smaller


class ReportingPeer:
    """Another entry that sends digests."""

    __slots__ = ("teams", "updated_at")

    def __init__(self, now):
        self.teams = set()  # teams that it has reported
        self.updated_at = now


class RegionSlots:
    """Slots of a region, now and before the last loss of agents."""

    __slots__ = ("slots", "recent_slots", "smaller_since")

    def __init__(self):
        self.slots = 0
        self.recent_slots = 0
        self.smaller_since = None


class FederationUsage:
    """Load reported by the other entries and the state of this entry's digests."""

    __slots__ = ("peers", "regions", "sequence", "sent_at", "checked_at", "byte_budget")

    def __init__(self):
        self.peers = {}
        self.regions = {}
        self.sequence = 0
        self.sent_at = float("-inf")
        self.byte_budget = 0.0  # unused bytes that may be sent beyond the steady rate
        self.checked_at = float("-inf")


def add_region_slots(usage, name, slots, now):
    """Add slots to a region; a negative number removes slots."""
    region = usage.regions.setdefault(name, RegionSlots())
    region.slots += slots
    if region.slots >= region.recent_slots:
        region.recent_slots = region.slots
        region.smaller_since = None
    elif region.smaller_since is None:
        region.smaller_since = now


def reachable_region_share(usage, now):
    """Return the share of each allowance that the reachable regions may use.

    A region without any reachable agent is assumed to be partitioned and to use its
    own share.
    """
    reachable = total = 0
    for region in usage.regions.values():
        since = region.smaller_since
        if region.slots and since is not None and now - since > REGION_RETENTION_S:
            region.recent_slots = region.slots
            region.smaller_since = None
        total += region.recent_slots
        reachable += region.recent_slots if region.slots else 0
    return reachable / total if reachable else 1.0


def due_digest(usage, teams, slots, interval_s, now):
    """Return the TeamDigest that is due, or None.

    The byte budget and the number of peers limit the size of a digest; the teams
    whose load changed most are included first. A large change is reported before the
    interval has passed if the budget allows it.
    """
    if now - usage.checked_at < min(MIN_DIGEST_INTERVAL_S, interval_s):
        return None
    usage.checked_at = now
    changed = [(_load_change(team), team) for team in teams]
    changed = [entry for entry in changed if entry[0] > 0]
    since = now - usage.sent_at
    if not any(_is_contended(team) for _, team in changed):
        if since < interval_s * UNCONTENDED_INTERVAL_FACTOR:
            return None
    budget = min(MAX_DIGEST_BYTES, usage.byte_budget + DIGEST_BYTES_PER_S * since)
    if since < interval_s:
        reserved = budget < DIGEST_BYTES_PER_S * REGULAR_BUDGET_SHARE
        if reserved or not any(_is_urgent(*entry) for entry in changed):
            return None
    peers = max(1, len(usage.peers))
    count = _teams_per_digest(budget / peers)
    # A digest with few of many changed teams would consist mostly of headers.
    if count < min(len(changed), _teams_per_digest(MAX_DIGEST_BYTES / peers) // 2):
        return None
    if count < 1 or not changed and usage.sequence:
        return None
    changed = nlargest(count, changed, key=itemgetter(0))
    usage.byte_budget = budget - peers * (FRAME_BYTES + BYTES_PER_USAGE * len(changed))
    usage.sent_at = now
    usage.sequence += 1
    return TeamDigest(
        usage.sequence, slots, [_reported_usage(team) for _, team in changed]
    )


def _teams_per_digest(size):
    """Return how many teams fit into a digest of that many bytes."""
    return int((size - FRAME_BYTES) / BYTES_PER_USAGE)


def _is_contended(team):
    """Return whether the team has tasks waiting here or at a peer, or had recently."""
    return team.waiting or team.reported_load[1] or team.peer_waiting


def _is_urgent(change, team):
    """Return whether a change is reported before the interval has passed."""
    return change > URGENT_CHANGE_SHARE * max(1.0, team.due_slots)


def _load_change(team):
    """Return how much a team's load differs from the last reported one."""
    running, waiting = team.reported_load
    change = abs(team.running_tasks - running)
    if team.waiting != waiting:
        # The queue length hardly matters beyond the team's share.
        change += min(abs(team.waiting - waiting), max(1.0, team.due_slots))
        if not (team.waiting and waiting):
            change += 1
    return change


def _reported_usage(team):
    """Return a team's load for a digest and remember it as reported."""
    team.reported_load = (team.running_tasks, team.waiting)
    return TeamUsage(team.name, team.running_tasks, team.waiting)


def record_peer_digest(usage, fair_queue, teams, team_of, peer, message, now):
    """Record the load that a peer reports."""
    reporter = usage.peers.get(peer)
    if reporter is None:
        reporter = usage.peers[peer] = ReportingPeer(now)
        for team in teams:  # a new peer needs the load of all teams
            if team.reported_load != (0, 0):
                team.reported_load = (-1, -1)
    late_s = min(MAX_REPORT_DELAY_S, now - reporter.updated_at)
    reporter.updated_at = now
    for entry in message.teams:
        team = team_of(entry.team)
        reporter.teams.add(team)
        running, waiting = team.peers.get(peer, (0, 0))
        team.peers[peer] = (entry.running, entry.waiting)
        team.peer_running += entry.running - running
        team.peer_waiting += entry.waiting - waiting
        if entry.running > running:
            # The tasks are assumed to have started in the middle of the interval.
            slot_seconds = (entry.running - running) * late_s / 2
            fairshare.charge_late_usage(
                fair_queue, team, slot_seconds * team.local_share
            )


def forget_peer(usage, peer):
    """Forget the load of a peer that has left or is unreachable."""
    reporter = usage.peers.pop(peer, None)
    if reporter is None:
        return
    for team in reporter.teams:
        running, waiting = team.peers.pop(peer)
        team.peer_running -= running
        team.peer_waiting -= waiting
