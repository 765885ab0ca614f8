"""Load of teams at the other entries, and what a partition leaves of it."""

from heapq import nlargest
from operator import itemgetter

from turmericknot.wire.messages import TeamDigest, TeamUsage

from . import fairshare

BYTES_PER_USAGE = 16.0  # encoded TeamUsage: a name of about 10 bytes and two counts
FRAME_BYTES = 100.0  # headers down to Ethernet, tag, sequence and slots
# With heartbeats and the same amount received it fits 9 KB/s of control per node.
DIGEST_BYTES_PER_S = 2500.0
MAX_DIGEST_BYTES = 5000.0  # over all peers; fewer, larger digests save headers
# Shares matter only while work waits somewhere; at 70% load of the present size the
# digests of running tasks alone were half a message per task.
QUIET_FACTOR = 8
URGENT_S = 0.04  # shortest interval between two digests
URGENT_SHARE = 0.25  # change of a team's load, over its share, that is urgent
URGENT_RESERVE = 0.3  # part of the budget that is kept for the regular digests
MAX_LATENESS_S = 3.0  # detection time: no digest is later than this
SEEN_FOR_S = 60.0  # a region that shrinks counts as smaller after this time


class Peer:
    """Another entry whose digests arrive."""

    __slots__ = ("teams", "updated_at")

    def __init__(self, now):
        self.teams = set()  # that it has reported
        self.updated_at = now


class Region:
    """Slots of a region now, and as last seen before they were lost."""

    __slots__ = ("slots", "seen", "smaller_since")

    def __init__(self):
        self.slots = 0
        self.seen = 0
        self.smaller_since = None


class Usage:
    """What this entry knows of the others and has told them."""

    __slots__ = ("peers", "regions", "sequence", "sent_at", "checked_at", "budget")

    def __init__(self):
        self.peers = {}
        self.regions = {}
        self.sequence = 0
        self.sent_at = float("-inf")
        self.budget = 0.0  # bytes that may be sent beyond the steady rate
        self.checked_at = float("-inf")


def region_changed(usage, name, slots, now):
    """Add slots to a region, or remove them with a negative number."""
    region = usage.regions.setdefault(name, Region())
    region.slots += slots
    if region.slots >= region.seen:
        region.seen = region.slots
        region.smaller_since = None
    elif region.smaller_since is None:
        region.smaller_since = now


def region_share(usage, now):
    """Return the part of each allowance that the regions in reach may spend.

    A region without any reachable agent is taken to be cut off and to spend its
    own part.
    """
    reachable = total = 0
    for region in usage.regions.values():
        since = region.smaller_since
        if region.slots and since is not None and now - since > SEEN_FOR_S:
            region.seen = region.slots
            region.smaller_since = None
        total += region.seen
        reachable += region.seen if region.slots else 0
    return reachable / total if reachable else 1.0


def digest(usage, teams, slots, interval_s, now):
    """Return the TeamDigest that is due, or None.

    A digest is as large as the control budget allows with the present number of
    peers; the teams whose load changed most go first. A large change is reported
    before the interval is over, as far as the budget has something left.
    """
    if now - usage.checked_at < min(URGENT_S, interval_s):
        return None
    usage.checked_at = now
    changed = [(_change(team), team) for team in teams]
    changed = [entry for entry in changed if entry[0] > 0]
    since = now - usage.sent_at
    if not any(_is_contended(team) for _, team in changed):
        if since < interval_s * QUIET_FACTOR:
            return None
    budget = min(MAX_DIGEST_BYTES, usage.budget + DIGEST_BYTES_PER_S * since)
    if since < interval_s:
        reserved = budget < DIGEST_BYTES_PER_S * URGENT_RESERVE
        if reserved or not any(_is_urgent(*entry) for entry in changed):
            return None
    peers = max(1, len(usage.peers))
    count = _room(budget / peers)
    # A digest of few teams out of many would be mostly headers.
    if count < min(len(changed), _room(MAX_DIGEST_BYTES / peers) // 2):
        return None
    if count < 1 or not changed and usage.sequence:
        return None
    changed = nlargest(count, changed, key=itemgetter(0))
    usage.budget = budget - peers * (FRAME_BYTES + BYTES_PER_USAGE * len(changed))
    usage.sent_at = now
    usage.sequence += 1
    return TeamDigest(usage.sequence, slots, [_told(team) for _, team in changed])


def _room(size):
    """Return how many teams fit into a digest of that many bytes."""
    return int((size - FRAME_BYTES) / BYTES_PER_USAGE)


def _is_contended(team):
    """Tell whether work of the team waits here or at a peer, or did so lately."""
    return team.waiting or team.told[1] or team.peer_waiting


def _is_urgent(change, team):
    return change > URGENT_SHARE * max(1.0, team.due)


def _change(team):
    """Return how much a team's load differs from what the peers know."""
    running, waiting = team.told
    change = abs(team.running_tasks - running)
    if team.waiting != waiting:
        # Beyond the team's share the length of its queue hardly matters.
        change += min(abs(team.waiting - waiting), max(1.0, team.due))
        if not (team.waiting and waiting):
            change += 1
    return change


def _told(team):
    team.told = (team.running_tasks, team.waiting)
    return TeamUsage(team.name, team.running_tasks, team.waiting)


def peer_digest(usage, fair, teams, team_of, peer, message, now):
    """Take over the load that a peer reports."""
    known = usage.peers.get(peer)
    if known is None:
        known = usage.peers[peer] = Peer(now)
        for team in teams:  # the new peer needs every team
            if team.told != (0, 0):
                team.told = (-1, -1)
    late_s = min(MAX_LATENESS_S, now - known.updated_at)
    known.updated_at = now
    for entry in message.teams:
        team = team_of(entry.team)
        known.teams.add(team)
        running, waiting = team.peers.get(peer, (0, 0))
        team.peers[peer] = (entry.running, entry.waiting)
        team.peer_running += entry.running - running
        team.peer_waiting += entry.waiting - waiting
        if entry.running > running:
            # On average the tasks started in the middle of the interval.
            slot_seconds = (entry.running - running) * late_s / 2
            fairshare.charge(fair, team, slot_seconds * team.local_share)


def peer_lost(usage, peer):
    """Forget the load of a peer that is gone or out of reach."""
    known = usage.peers.pop(peer, None)
    if known is None:
        return
    for team in known.teams:
        running, waiting = team.peers.pop(peer)
        team.peer_running -= running
        team.peer_waiting -= waiting
