"""Slots kept for short work, so that it does not queue behind long work."""

from . import teams

HEADROOM = 3.0  # slots kept for a team's own short work over what it uses
HEADROOM_MAX = 0.6  # part of the team's slots that this may take
USE_STEP = 0.025  # per step of 50 ms: follows the use within about 2 s
NO_USE = 0.01  # slots; a team with less has no short work


def long_slots(state):
    """Return the slots that long work may hold while there is short work."""
    return (1.0 - state.policy.short_reserve) * state.granted()


def long_room(state, team, now):
    """Return how many more long tasks of a team may start."""
    if now - state.short_seen_at > state.policy.short_memory_s:
        return teams.UNLIMITED
    if not state.placement.windowed:
        return teams.UNLIMITED  # the baselines queue at the agents without a reserve
    room = long_slots(state) - state.long_running
    if team.short_use > NO_USE and not _would_lose(state.fair, team):
        # Short work of other teams is protected by their shares; the team's own
        # needs more than the common reserve when it uses more.
        reach = team.due + state.fair.spare
        kept = min(HEADROOM_MAX * reach, HEADROOM * team.short_use)
        room = min(room, reach - kept - team.long_running)
    return int(room)


def _would_lose(fair, team):
    """Tell whether slots that a team keeps free would go to other teams."""
    contended = fair.spare <= 0 and fair.weights > team.weight
    return contended and team.running < team.due


def sample(state):
    """Follow the number of slots that the teams' short work uses."""
    for team in state.teams.values():
        short = team.running_tasks - team.long_running
        team.short_use += USE_STEP * (short - team.short_use)


def long_changed(state, team, count):
    """Count long tasks that started, or that ended with a negative number."""
    state.long_running += count
    team.long_running += count
