"""Quarantine of workers that fail what the rest of the workers can run."""

RATE_STEP = 0.1  # weight of the newest outcome in a failure rate
TEAM_RATE_STEP = 0.02  # slower: one worker's failures must not blame a team
LOW_RATE = 0.25  # failure rate below which the others count as healthy
SPREAD = 3  # workers on which a team failed in a row that make it the team's fault
PROBE_AFTER_S = 1.0
PROBE_AFTER_MAX_S = 60.0
# A failed probe fails its whole job, so early probes are taken from small jobs.
PROBE_JOB_TASKS_PER_S = 4.0
PROBES_TO_RELEASE = 2  # successes in a row that end a quarantine
EPSILON = 1e-9


class Quarantine:
    """Failure figures of the workers of one entry."""

    __slots__ = ("failures", "max_share", "rate_sum", "workers", "held")

    def __init__(self, failures, max_share):
        self.failures = failures
        self.max_share = max_share
        self.rate_sum = 0.0
        self.workers = 0
        self.held = {}  # agent -> None, in the order of their arrival


class Health:
    """Outcomes of one worker."""

    __slots__ = ("failures", "rate", "successes", "probe_at", "backoff_s", "probing")

    def __init__(self):
        self.failures = 0  # in a row
        self.rate = 0.0
        self.successes = 0  # of probes, in a row
        self.probe_at = 0.0
        self.backoff_s = PROBE_AFTER_S
        self.probing = False


def observe(state, agent, team, failed, now):
    """Note an outcome; return True when the agent's quarantine began or ended."""
    health = agent.health
    team.failure_rate += TEAM_RATE_STEP * (failed - team.failure_rate)
    step = RATE_STEP * (failed - health.rate)
    health.rate += step
    state.rate_sum += step
    if not failed:
        team.failed_on.clear()
    elif len(team.failed_on) < SPREAD:
        team.failed_on.add(agent)
    if agent in state.held:
        return _probe_ended(state, agent, failed, now)
    if not failed:
        health.failures = 0
        return False
    if _blames_team(state, team, health):
        return False
    health.failures += 1
    if health.failures < state.failures or not _may_hold(state, health):
        return False
    state.held[agent] = None
    health.successes = 0
    health.probing = False
    health.probe_at = now + health.backoff_s
    return True


def _blames_team(state, team, health):
    """Tell whether the team's tasks fail on other workers too."""
    if len(team.failed_on) >= SPREAD:
        return True
    return team.failure_rate > LOW_RATE and _others_rate(state, health) > EPSILON


def _others_rate(state, health):
    return (state.rate_sum - health.rate) / max(1, state.workers - 1)


def _may_hold(state, health):
    # A small fleet may give up one worker, but never its last one.
    limit = min(max(1.0, state.max_share * state.workers), state.workers - 1)
    if len(state.held) + 1 > limit:
        return False
    return _others_rate(state, health) < LOW_RATE


def _probe_ended(state, agent, failed, now):
    health = agent.health
    if not health.probing:
        return False  # it started before the quarantine began
    health.probing = False
    if failed:
        health.successes = 0
        health.backoff_s = min(PROBE_AFTER_MAX_S, health.backoff_s * 2)
        health.probe_at = now + health.backoff_s
        return False
    health.successes += 1
    health.probe_at = now
    if health.successes < PROBES_TO_RELEASE:
        return False
    del state.held[agent]
    health.failures = 0
    health.backoff_s = max(PROBE_AFTER_S, health.backoff_s / 2)
    return True


def joined(state):
    """Count a new worker."""
    state.workers += 1


def left(state, agent):
    """Forget a worker; a new stream starts with a clean record."""
    state.workers -= 1
    state.rate_sum -= agent.health.rate
    state.held.pop(agent, None)


def max_probe_job(health, now):
    """Return the size in tasks of the largest job that may give the next probe.

    It grows with the time since the last probe, which bounds the work at risk.
    """
    return PROBE_JOB_TASKS_PER_S * (now - health.probe_at + health.backoff_s)


def probe_due(state, now):
    """Return a quarantined agent that may get one probe now, or None."""
    for agent in state.held:
        health = agent.health
        if not health.probing and now >= health.probe_at and agent.usable:
            return agent
    return None
