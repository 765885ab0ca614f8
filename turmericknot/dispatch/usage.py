"""Load of teams at the other entries, and what a partition leaves of it."""

from turmericknot.wire.messages import TeamDigest, TeamUsage

from . import fairshare

BYTES_PER_USAGE = 16.0  # encoded TeamUsage: a name of about 10 bytes and two counts
FRAME_BYTES = 24.0  # frame, tag, sequence and slots of a digest
DIGEST_BYTES_PER_S = 3000.0  # a third of the control budget of 9 KB/s per node
FULL_DIGEST_S = 10.0  # interval after which unchanged teams are repeated
CHANGE_SHARE = 0.1  # smaller changes of a count are not worth a message
MAX_LATENESS_S = 3.0  # detection time: no digest is later than this
SEEN_FOR_S = 60.0  # a region that shrinks counts as smaller after this time


class Peer:
    """Last known load of the teams at another entry."""

    __slots__ = ("teams", "updated_at")

    def __init__(self, now):
        self.teams = {}
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

    __slots__ = ("peers", "regions", "sequence", "next_at", "full_at")

    def __init__(self):
        self.peers = {}
        self.regions = {}
        self.sequence = 0
        self.next_at = 0.0
        self.full_at = 0.0


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

    The interval grows with the size of a digest and the number of peers, so that
    the digests keep within their part of the control budget.
    """
    if now < usage.next_at:
        return None
    full = now >= usage.full_at
    changed = [_told(team) for team in teams if _is_news(team, full)]
    if not changed and not full:
        return None
    size = FRAME_BYTES + BYTES_PER_USAGE * len(changed)
    budget_s = size * max(1, len(usage.peers)) / DIGEST_BYTES_PER_S
    usage.next_at = now + max(interval_s, budget_s)
    if full:
        usage.full_at = now + FULL_DIGEST_S
    usage.sequence += 1
    return TeamDigest(usage.sequence, slots, changed)


def _is_news(team, full):
    running, waiting = team.told
    if full:
        return bool(team.running_tasks or team.waiting or running or waiting)
    return _changed(running, team.running_tasks) or _changed(waiting, team.waiting)


def _changed(told, count):
    return abs(count - told) > CHANGE_SHARE * told or (count == 0) != (told == 0)


def _told(team):
    team.told = (team.running_tasks, team.waiting)
    return TeamUsage(team.name, team.running_tasks, team.waiting)


def peer_digest(usage, fair, team_of, peer, message, now):
    """Take over the load that a peer reports."""
    known = usage.peers.get(peer)
    if known is None:
        known = usage.peers[peer] = Peer(now)
        usage.full_at = usage.next_at = 0.0  # the new peer needs every team
    late_s = min(MAX_LATENESS_S, now - known.updated_at)
    known.updated_at = now
    for entry in message.teams:
        team = team_of(entry.team)
        running, waiting = known.teams.get(entry.team, (0, 0))
        known.teams[entry.team] = (entry.running, entry.waiting)
        team.peer_running += entry.running - running
        team.peer_waiting += entry.waiting - waiting
        if entry.running > running:
            # On average the tasks started in the middle of the interval.
            slot_seconds = (entry.running - running) * late_s / 2
            fairshare.charge(fair, team, slot_seconds * team.local_share)


def peer_lost(usage, team_of, peer):
    """Forget the load of a peer that is gone or out of reach."""
    known = usage.peers.pop(peer, None)
    if known is None:
        return
    for name, (running, waiting) in known.teams.items():
        team = team_of(name)
        team.peer_running -= running
        team.peer_waiting -= waiting
