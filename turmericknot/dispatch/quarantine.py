"""Quarantine of workers that fail tasks which other workers can run."""

FAILURE_RATE_SMOOTHING = 0.1  # weight of the newest outcome in a worker's failure rate
# Lower, so that the failures of one worker are not attributed to the team.
TEAM_RATE_SMOOTHING = 0.02
HEALTHY_FAILURE_RATE = 0.25  # below this rate other workers and teams are healthy
# A team that fails on this many workers without a success is itself at fault.
TEAM_FAULT_AGENTS = 3
MIN_PROBE_DELAY_S = 1.0
MAX_PROBE_DELAY_S = 60.0
# A failed probe fails its whole job, so early probes use tasks of small jobs only.
PROBE_JOB_TASKS_PER_S = 4.0
PROBES_TO_RELEASE = 2  # consecutive successes that end a quarantine
RATE_EPSILON = 1e-9


class Quarantine:
    """Failure rates and quarantined workers of one entry."""

    __slots__ = (
        "failure_threshold",
        "max_share",
        "failure_rate_sum",
        "worker_count",
        "quarantined",
    )

    def __init__(self, failure_threshold, max_share):
        self.failure_threshold = failure_threshold
        self.max_share = max_share
        self.failure_rate_sum = 0.0
        self.worker_count = 0
        self.quarantined = {}  # agent -> None, in order of quarantine


class WorkerHealth:
    """Failure statistics and probes of one worker."""

    __slots__ = (
        "consecutive_failures",
        "failure_rate",
        "probe_successes",
        "probe_at",
        "probe_delay_s",
        "probing",
    )

    def __init__(self):
        self.consecutive_failures = 0
        self.failure_rate = 0.0
        self.probe_successes = 0  # consecutive
        self.probe_at = 0.0
        self.probe_delay_s = MIN_PROBE_DELAY_S
        self.probing = False


def observe_outcome(state, agent, team, failed, now):
    """Record an outcome; return True if the agent's quarantine began or ended."""
    health = agent.health
    team.failure_rate += TEAM_RATE_SMOOTHING * (failed - team.failure_rate)
    step = FAILURE_RATE_SMOOTHING * (failed - health.failure_rate)
    health.failure_rate += step
    state.failure_rate_sum += step
    if not failed:
        team.failed_agents.clear()
    elif len(team.failed_agents) < TEAM_FAULT_AGENTS:
        team.failed_agents.add(agent)
    if agent in state.quarantined:
        return _probe_ended(state, agent, failed, now)
    if not failed:
        health.consecutive_failures = 0
        return False
    if _is_team_fault(state, team, health):
        return False
    health.consecutive_failures += 1
    if health.consecutive_failures < state.failure_threshold or not _may_quarantine(
        state, health
    ):
        return False
    state.quarantined[agent] = None
    health.probe_successes = 0
    health.probing = False
    health.probe_at = now + health.probe_delay_s
    return True


def _is_team_fault(state, team, health):
    """Return whether the team's tasks fail on other workers too."""
    if len(team.failed_agents) >= TEAM_FAULT_AGENTS:
        return True
    return (
        team.failure_rate > HEALTHY_FAILURE_RATE
        and _other_workers_failure_rate(state, health) > RATE_EPSILON
    )


def _other_workers_failure_rate(state, health):
    return (state.failure_rate_sum - health.failure_rate) / max(
        1, state.worker_count - 1
    )


def _may_quarantine(state, health):
    # A small fleet may quarantine one worker, but never its last one.
    limit = min(max(1.0, state.max_share * state.worker_count), state.worker_count - 1)
    if len(state.quarantined) + 1 > limit:
        return False
    return _other_workers_failure_rate(state, health) < HEALTHY_FAILURE_RATE


def _probe_ended(state, agent, failed, now):
    health = agent.health
    if not health.probing:
        return False  # the task started before the quarantine
    health.probing = False
    if failed:
        health.probe_successes = 0
        health.probe_delay_s = min(MAX_PROBE_DELAY_S, health.probe_delay_s * 2)
        health.probe_at = now + health.probe_delay_s
        return False
    health.probe_successes += 1
    health.probe_at = now
    if health.probe_successes < PROBES_TO_RELEASE:
        return False
    del state.quarantined[agent]
    health.consecutive_failures = 0
    health.probe_delay_s = max(MIN_PROBE_DELAY_S, health.probe_delay_s / 2)
    return True


def add_worker(state):
    """Count a worker that joined."""
    state.worker_count += 1


def remove_worker(state, agent):
    """Forget a worker; it starts without a history on a new stream."""
    state.worker_count -= 1
    state.failure_rate_sum -= agent.health.failure_rate
    state.quarantined.pop(agent, None)


def max_probe_job_tasks(health, now):
    """Return the largest size, in tasks, of a job whose task may serve as a probe.

    The size grows with the time since the last probe, which bounds the work that
    failed probes destroy.
    """
    return PROBE_JOB_TASKS_PER_S * (now - health.probe_at + health.probe_delay_s)


def due_probe_agent(state, now):
    """Return a quarantined agent that is due for a probe, or None."""
    for agent in state.quarantined:
        health = agent.health
        if not health.probing and now >= health.probe_at and agent.usable:
            return agent
    return None
