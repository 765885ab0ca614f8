"""Slots reserved for short tasks, so that they do not queue behind long ones."""

from . import teams

SHORT_RESERVE_FACTOR = 3.0  # slots kept for a team's short tasks per slot they use
MAX_SHORT_RESERVE_SHARE = 0.6  # largest share of the team's slots kept for them
# Sampled every 50 ms, the average follows a change within about 2 s.
SHORT_USE_SMOOTHING = 0.025
MIN_SHORT_SLOTS = 0.01  # a team that uses fewer slots counts as without short tasks


def long_slot_limit(state):
    """Return the slots that long tasks may hold while there is short work."""
    return (1.0 - state.policy.short_reserve) * state.granted_slots()


def startable_long_tasks(state, team, now):
    """Return how many more long tasks of a team may start."""
    if now - state.last_short_work_at > state.policy.short_memory_s:
        return teams.UNLIMITED_TASKS
    if not state.placement.uses_windows:
        # Baseline policies queue tasks at the agents and have no reserve.
        return teams.UNLIMITED_TASKS
    startable = long_slot_limit(state) - state.long_running
    if team.short_slots > MIN_SHORT_SLOTS and not _is_below_contended_share(
        state.fair_queue, team
    ):
        # The short tasks of other teams are protected by their fair shares. The team's
        # own ones need more than the common reserve if they use more slots.
        reachable = team.due_slots + state.fair_queue.spare_slots
        kept = min(
            MAX_SHORT_RESERVE_SHARE * reachable, SHORT_RESERVE_FACTOR * team.short_slots
        )
        startable = min(startable, reachable - kept - team.long_running)
    return int(startable)


def _is_below_contended_share(fair_queue, team):
    """Return whether slots that a team keeps free would go to other teams."""
    contended = fair_queue.spare_slots <= 0 and fair_queue.total_weight > team.weight
    return contended and team.running < team.due_slots


def update_short_slots(state):
    """Update the average number of slots that each team's short tasks use."""
    for team in state.teams.values():
        short = team.running_tasks - team.long_running
        team.short_slots += SHORT_USE_SMOOTHING * (short - team.short_slots)


def add_long_running(state, team, count):
    """Add to the number of running long tasks; ``count`` is negative for ended ones."""
    state.long_running += count
    team.long_running += count
