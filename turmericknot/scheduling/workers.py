"""The owner's view of agents and their workers, and the choice among them."""

# Weight of the newest run in the moving average of the slowdown.
NEWEST_RUN_WEIGHT = 0.15
# A single run counts as at most this slowdown: long tails are part of every queue and
# say little about the worker.
MAX_OBSERVED_SLOWDOWN = 4.0
# Slowdowns are rounded to this step; smaller differences are treated as noise.
SLOWDOWN_STEP = 0.25
# Consecutive failed runs, of different jobs, after which a worker is suspended.
CONSECUTIVE_FAILURES_TO_SUSPEND = 4
MIN_SUSPENSION_S = 1.0
MAX_SUSPENSION_S = 8.0
# Share of a worker's processors by which urgent tasks may overcommit it. Tasks of a
# third of a second on ten slots end every 30 ms, so two queued ones start in 60 ms.
URGENT_OVERCOMMIT_SHARE = 0.2
# With more agents than this, a task is placed among a random sample of this size.
AGENT_SAMPLE_SIZE = 24
# An agent that refused a run gets no new runs for this long.
REFUSAL_BACKOFF_S = 0.05
# An agent with runs whose last grant request is older than this gets no new runs.
MAX_GRANT_REQUEST_AGE_S = 0.8
# The same for an agent without runs, which sends a request every 2 s. It gets no second
# run until it has requested a grant for the first one.
MAX_IDLE_GRANT_REQUEST_AGE_S = 2.8


class AgentView:
    """An agent, its worker and the use of the worker's capacity."""

    __slots__ = (
        "id",
        "boot",
        "boot_at",
        "failure_domain",
        "worker",
        "is_connected",
        "granted_until",
        "last_request_at",
        "is_expired",
        "accepted_epochs",
        "used_cpu",
        "used_memory",
        "used_accelerators",
        "foreign_cpu",
        "foreign_memory",
        "foreign_accelerators",
        "tasks",
        "slowdown",
        "consecutive_failures",
        "failed_jobs",
        "suspended_until",
        "refusal_backoff_until",
        "suspension_s",
        "is_probing",
    )

    def __init__(self, agent_id):
        self.id = agent_id
        self.boot = ""  # identifies the agent process
        self.boot_at = 0.0  # when that process first connected
        self.failure_domain = ""
        self.worker = None
        self.is_connected = False
        self.granted_until = 0.0
        self.last_request_at = 0.0
        self.is_expired = False
        self.accepted_epochs = {}  # shard -> epoch that the agent has accepted
        self.used_cpu = 0
        self.used_memory = 0
        self.used_accelerators = 0
        # Use by runs of other owners, as last reported by the agent.
        self.foreign_cpu = 0
        self.foreign_memory = 0
        self.foreign_accelerators = 0
        self.tasks = {}  # key of the task -> Task
        self.slowdown = 1.0  # mean of observed run time over expected run time
        self.consecutive_failures = 0
        self.failed_jobs = set()
        self.suspended_until = 0.0
        self.refusal_backoff_until = 0.0
        self.suspension_s = MIN_SUSPENSION_S
        self.is_probing = False


def is_connected_and_usable(agent):
    """Return whether the agent is connected and has a worker that takes runs."""
    return agent.is_connected and agent.worker is not None and agent.worker.usable


def is_usable(agent, now):
    """Return whether the agent may get new runs."""
    max_request_age_s = (
        MAX_GRANT_REQUEST_AGE_S if agent.tasks else MAX_IDLE_GRANT_REQUEST_AGE_S
    )
    return (
        is_connected_and_usable(agent)
        and now - agent.last_request_at < max_request_age_s
        and now >= max(agent.suspended_until, agent.refusal_backoff_until)
        and not (agent.is_probing and agent.tasks)
    )


def has_capacity(agent, spec, overcommit=0.0):
    """Return whether the worker has capacity for one more task of this shape.

    ``overcommit`` is the share of its processors by which they may be overcommitted:
    runs beyond the capacity are queued at the agent.
    """
    worker = agent.worker
    used_cpu = agent.used_cpu + agent.foreign_cpu
    used_memory = agent.used_memory + agent.foreign_memory
    used_accelerators = agent.used_accelerators + agent.foreign_accelerators
    return (
        used_cpu + spec.cpu <= worker.cpu * (1 + overcommit)
        and used_memory + spec.memory <= worker.memory
        and used_accelerators + spec.accelerators <= worker.accelerators
    )


def fits_empty_worker(worker, spec):
    """Return whether the task fits the worker when nothing else runs on it."""
    return (
        spec.cpu <= worker.cpu
        and spec.memory <= worker.memory
        and spec.accelerators <= worker.accelerators
        and (not spec.required_label or spec.required_label in worker.labels)
    )


def choose_agent_from_sample(agents, task, now, rng, quarantined=frozenset()):
    """Return the agent for a task from a random sample, or from all if none fits.

    With hundreds of workers, the best of two dozen is nearly as empty as the best of
    all, and owners that choose at the same moment choose different workers.
    """
    if len(agents) > AGENT_SAMPLE_SIZE:
        sample = rng.sample(agents, AGENT_SAMPLE_SIZE)
        agent = choose_agent(sample, task, now, quarantined)
        if agent is not None:
            return agent
    return choose_agent(agents, task, now, quarantined)


def is_candidate(agent, task, now, overcommit=0.0):
    """Return whether the agent may get a run of the task now."""
    spec, worker = task.spec, agent.worker
    if not is_usable(agent, now) or not has_capacity(agent, spec, overcommit):
        return False
    if worker.service != task.job.record.service:
        return False
    if spec.required_label and spec.required_label not in worker.labels:
        return False
    return not spec.max_per_worker or _is_below_limit(agent, task, spec.max_per_worker)


def choose_agent(agents, task, now, quarantined=frozenset()):
    """Return the agent for a task, or None if no worker has capacity.

    For many short tasks on workers of unequal speed, the fastest class of workers comes
    first, and the least used worker within it, so that the loss of one worker affects
    few tasks of a job. At peak load, when all workers are full, the most urgent tasks
    are queued at an agent, where they get the next free capacity before less urgent
    tasks of any entry. Agents whose ids are in ``quarantined`` come last.
    """
    spec = task.spec
    overcommit = URGENT_OVERCOMMIT_SHARE if task.job.effective_priority <= 0 else 0.0
    best = best_score = None
    for agent in agents:
        if not is_candidate(agent, task, now, overcommit):
            continue
        worker = agent.worker
        is_full = bool(overcommit) and not has_capacity(agent, spec)
        usage = (agent.used_cpu + agent.foreign_cpu) / (worker.cpu or 1)
        score = (
            agent.id in quarantined,
            is_full,
            agent.id in task.avoided_agents,
            bool(spec.data_rack) and spec.data_rack not in worker.labels,
            0 if is_full else round(agent.slowdown / SLOWDOWN_STEP),
            # At a full worker, the waiting time grows with the work that is queued.
            usage * agent.slowdown if is_full else usage,
        )
        if best is None or score < best_score:
            best, best_score = agent, score
    return best


def _is_below_limit(agent, task, limit):
    same = sum(
        1
        for other in agent.tasks.values()
        if other.job is task.job and other.step == task.step
    )
    return same < limit


def reserve_capacity(agent, task):
    """Count the run of a task as use of the worker's capacity."""
    spec = task.spec
    agent.tasks[task.key] = task
    agent.used_cpu += spec.cpu
    agent.used_memory += spec.memory
    agent.used_accelerators += spec.accelerators


def release_capacity(agent, task):
    """Release the capacity of the task, if it was reserved."""
    if agent.tasks.pop(task.key, None) is None:
        return
    spec = task.spec
    agent.used_cpu -= spec.cpu
    agent.used_memory -= spec.memory
    agent.used_accelerators -= spec.accelerators


def observe_success(agent, slowdown):
    """Update the agent's statistics after a successful run.

    ``slowdown`` is the run time divided by the expected one.
    """
    agent.consecutive_failures = 0
    agent.failed_jobs.clear()
    agent.suspension_s = MIN_SUSPENSION_S
    agent.is_probing = False
    slowdown = min(slowdown, MAX_OBSERVED_SLOWDOWN)
    agent.slowdown += NEWEST_RUN_WEIGHT * (slowdown - agent.slowdown)


def observe_pace(agent, pace):
    """Update the slowdown of a worker from the pace of its current runs."""
    if pace > 0:
        agent.slowdown = max(agent.slowdown, min(1 / pace, MAX_OBSERVED_SLOWDOWN))


def observe_stuck(agent, now):
    """Suspend a worker on which a run made no progress.

    On a worker where every task hangs, each attempt costs a second. The suspensions
    therefore grow, and after each one a single task at a time probes the worker.
    """
    if now < agent.suspended_until:
        return
    agent.suspended_until = now + agent.suspension_s
    agent.suspension_s = min(2 * agent.suspension_s, MAX_SUSPENSION_S)
    agent.is_probing = True


def observe_failure(agent, job_id, now):
    """Update the statistics after a failed run; return whether it suspended the worker.

    A worker that fails every run is suspended after consecutive failures of several
    jobs. After the suspension a single task at a time probes it.
    """
    agent.consecutive_failures += 1
    agent.failed_jobs.add(job_id)
    is_worker_fault = len(agent.failed_jobs) > 1 or agent.is_probing
    if (
        agent.consecutive_failures < CONSECUTIVE_FAILURES_TO_SUSPEND
        and not agent.is_probing
    ):
        return False
    if not is_worker_fault or now < agent.suspended_until:
        return False
    agent.suspended_until = now + agent.suspension_s
    agent.suspension_s = min(2 * agent.suspension_s, MAX_SUSPENSION_S)
    agent.is_probing = True
    return True
