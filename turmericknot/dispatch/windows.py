"""Division of a worker's slots among the entries that use it.

The window of an entry is the number of slots in which it may start tasks. Slots move
between windows only while an entry has waiting tasks, so that a steady load needs no
messages besides those of the tasks.
"""

from dataclasses import dataclass

# Lets an entry that has not reported an entitlement yet take part in the division.
MIN_ENTITLEMENT = 1e-3
# An entry with waiting tasks fills a slot within a round trip, so one that leaves a
# slot idle for longer has no waiting tasks any more.
IDLE_GRACE_S = 0.02


@dataclass(slots=True)
class WindowHolder:
    """One entry's window and demand."""

    key: int
    window: int = 0
    busy: int = 0  # running and queued tasks of this entry at the worker
    waiting: int = 0  # tasks waiting at the entry
    entitlement: float = 0.0
    idle_since: float | None = None  # monotonic

    @property
    def idle(self):
        """Return the number of unused slots in the window."""
        return max(0, self.window - self.busy)

    @property
    def has_waiting_work(self):
        """Return whether tasks are waiting for which no slot has been granted."""
        return self.waiting > 0


def expire_idle_demand(holders, now):
    """Drop the demand of entries that leave slots idle for too long."""
    for holder in holders:
        if not holder.idle:
            holder.idle_since = None
        elif holder.idle_since is None:
            holder.idle_since = now
        elif now - holder.idle_since > IDLE_GRACE_S:
            holder.waiting = 0


def fair_window_shares(slots, holders):
    """Return ``{key: slots}``: max-min fair by entitlement, bounded by demand."""
    shares = {holder.key: 0.0 for holder in holders}
    unmet = [h for h in holders if h.busy + h.waiting > 0]
    left = float(slots)
    while unmet and left > 1e-9:
        total = sum(_positive_entitlement(h) for h in unmet)
        level = left / total
        satisfied = [
            h
            for h in unmet
            if h.busy + h.waiting - shares[h.key] <= level * _positive_entitlement(h)
        ]
        for holder in satisfied or unmet:
            demand = holder.busy + holder.waiting
            grant = min(
                demand - shares[holder.key], level * _positive_entitlement(holder)
            )
            shares[holder.key] += grant
            left -= grant
        if not satisfied:
            break
        unmet = [h for h in unmet if h not in satisfied]
    return shares


def rebalance_windows(slots, holders, rng):
    """Move slots between windows; return the holders whose window changed.

    Unused slots go to entries with waiting tasks first. A slot in use can move only
    after its task has ended, when the caller calls this function again with a lower
    ``busy``. ``rng`` breaks ties, so that the agents do not all favour the same entry.
    """
    before = {holder.key: holder.window for holder in holders}
    _shrink_windows(slots, holders)
    _allocate_free_slots(slots - sum(h.window for h in holders), holders, rng)
    if any(holder.has_waiting_work for holder in holders):
        _move_idle_slots(holders, rng)
        _move_slots_above_share(slots, holders, rng)
    return [holder for holder in holders if holder.window != before[holder.key]]


def _positive_entitlement(holder):
    return max(holder.entitlement, MIN_ENTITLEMENT)


def _shrink_windows(slots, holders):
    """Reduce windows to the slots of a worker that has lost slots or is draining."""
    excess = sum(h.window for h in holders) - slots
    while excess > 0:
        largest = max(holders, key=lambda h: (h.idle, h.window))
        largest.window -= 1
        excess -= 1


def _allocate_free_slots(unallocated, holders, rng):
    """Allocate slots outside all windows to waiting tasks first, then evenly."""
    for _ in range(unallocated if holders else 0):
        claimants = [h for h in holders if h.has_waiting_work] or holders
        neediest = min(
            claimants, key=lambda h: (_slots_per_entitlement(h), rng.random())
        )
        _grant_slot(neediest)


def _move_idle_slots(holders, rng):
    """Move idle slots from entries without waiting tasks to entries with some."""
    while True:
        donors = [h for h in holders if h.waiting == 0 and h.idle > 0]
        claimants = [h for h in holders if h.has_waiting_work]
        if not donors or not claimants:
            return
        donor = max(donors, key=lambda h: (h.idle, rng.random()))
        claimant = min(
            claimants, key=lambda h: (_slots_per_entitlement(h), rng.random())
        )
        _move_slot(donor, claimant)


def _move_slots_above_share(slots, holders, rng):
    """Move idle slots from entries above their fair share to those below it."""
    shares = fair_window_shares(slots, holders)
    while True:
        donors = [h for h in holders if h.idle > 0 and h.window - 1 >= shares[h.key]]
        claimants = [
            h for h in holders if h.has_waiting_work and h.window + 1 <= shares[h.key]
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
    _grant_slot(claimant)


def _grant_slot(holder):
    """Add a slot, which serves one waiting task.

    Demand thus decreases with the grants, and no message is needed to end it.
    """
    holder.window += 1
    holder.waiting = max(0, holder.waiting - 1)


def _slots_per_entitlement(holder):
    return holder.window / _positive_entitlement(holder)
