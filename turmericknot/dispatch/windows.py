"""Division of a worker's slots among the entries that use it.

An entry starts tasks only in the slots of its window. Slots move only when an entry
has waiting work, so that a steady load needs no messages besides the tasks' own.
"""

from dataclasses import dataclass

# An entry that has not reported an entitlement yet still takes part in the split.
MIN_WEIGHT = 1e-3
# An entry with waiting work fills a slot within a round trip; one that leaves a slot
# idle for longer has no waiting work any more.
IDLE_GRACE_S = 0.02


@dataclass(slots=True)
class Holder:
    """One entry's part of the slots."""

    key: int
    window: int = 0
    busy: int = 0  # tasks of this entry that run or are queued here
    waiting: int = 0  # tasks that wait at the entry
    entitlement: float = 0.0
    idle_since: float | None = None  # monotonic

    @property
    def idle(self):
        """Return the number of slots in the window that are not in use."""
        return max(0, self.window - self.busy)

    @property
    def wants_more(self):
        """Return whether work waits that no slot has been granted for."""
        return self.waiting > 0


def settle_demand(holders, now):
    """Drop the demand of entries that leave slots idle."""
    for holder in holders:
        if not holder.idle:
            holder.idle_since = None
        elif holder.idle_since is None:
            holder.idle_since = now
        elif now - holder.idle_since > IDLE_GRACE_S:
            holder.waiting = 0


def fair_windows(slots, holders):
    """Return ``{key: slots}``: weighted max-min by entitlement, bounded by demand."""
    shares = {holder.key: 0.0 for holder in holders}
    unmet = [h for h in holders if h.busy + h.waiting > 0]
    left = float(slots)
    while unmet and left > 1e-9:
        total = sum(_weight(h) for h in unmet)
        level = left / total
        satisfied = [
            h for h in unmet if h.busy + h.waiting - shares[h.key] <= level * _weight(h)
        ]
        for holder in satisfied or unmet:
            demand = holder.busy + holder.waiting
            grant = min(demand - shares[holder.key], level * _weight(holder))
            shares[holder.key] += grant
            left -= grant
        if not satisfied:
            break
        unmet = [h for h in unmet if h not in satisfied]
    return shares


def rebalance(slots, holders, rng):
    """Move slots between windows; return the holders whose window changed.

    Unused slots go to entries with waiting work first. A slot in use moves only when
    its task ends, which is when the caller calls this function with the lower
    ``busy``; ``rng`` breaks ties, so that the agents do not all favour one entry.
    """
    before = {holder.key: holder.window for holder in holders}
    _shrink_to(slots, holders)
    _hand_out(slots - sum(h.window for h in holders), holders, rng)
    if any(holder.wants_more for holder in holders):
        _take_from_idle(holders, rng)
        _take_from_overserved(slots, holders, rng)
    return [holder for holder in holders if holder.window != before[holder.key]]


def _weight(holder):
    return max(holder.entitlement, MIN_WEIGHT)


def _shrink_to(slots, holders):
    """Lower windows until they fit, for a worker that lost slots or drains."""
    excess = sum(h.window for h in holders) - slots
    while excess > 0:
        largest = max(holders, key=lambda h: (h.idle, h.window))
        largest.window -= 1
        excess -= 1


def _hand_out(unallocated, holders, rng):
    """Give slots that nobody holds to waiting work, then evenly."""
    for _ in range(unallocated if holders else 0):
        claimants = [h for h in holders if h.wants_more] or holders
        neediest = min(claimants, key=lambda h: (_load(h), rng.random()))
        _grant(neediest)


def _take_from_idle(holders, rng):
    """Move idle slots of entries without waiting work to those with waiting work."""
    while True:
        donors = [h for h in holders if h.waiting == 0 and h.idle > 0]
        claimants = [h for h in holders if h.wants_more]
        if not donors or not claimants:
            return
        donor = max(donors, key=lambda h: (h.idle, rng.random()))
        claimant = min(claimants, key=lambda h: (_load(h), rng.random()))
        _move_slot(donor, claimant)


def _take_from_overserved(slots, holders, rng):
    """Move free slots from entries above their fair share to those below it."""
    shares = fair_windows(slots, holders)
    while True:
        donors = [h for h in holders if h.idle > 0 and h.window - 1 >= shares[h.key]]
        claimants = [
            h for h in holders if h.wants_more and h.window + 1 <= shares[h.key]
        ]
        if not donors or not claimants:
            return
        donor = max(donors, key=lambda h: (h.window - shares[h.key], rng.random()))
        claimant = max(
            claimants, key=lambda h: (shares[h.key] - h.window, rng.random())
        )
        if donor is claimant:
            return
        _move_slot(donor, claimant)


def _move_slot(donor, claimant):
    donor.window -= 1
    _grant(claimant)


def _grant(holder):
    """Add a slot; it answers one waiting task, so no message has to end a demand."""
    holder.window += 1
    holder.waiting = max(0, holder.waiting - 1)


def _load(holder):
    return holder.window / _weight(holder)
