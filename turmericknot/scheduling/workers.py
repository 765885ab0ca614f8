"""The owner's view of agents and their workers: state, capacity and statistics."""

# Slowdowns are rounded to this step; smaller differences are treated as noise.
SLOWDOWN_STEP = 0.25
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
        "is_evacuated",
        "cold_until",
        "suspension_s",
        "is_probing",
        "health",
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
        self.is_evacuated = False  # the operator has evacuated its failure domain
        self.cold_until = 0.0  # when the worker is no longer slow after its start
        self.suspension_s = 0.0  # length of the last suspension, doubled with each one
        self.is_probing = False
        self.health = None  # newest WorkerHealth of the agent for this worker


def has_usable_worker(agent):
    """Return whether the agent is connected and its worker says that it takes runs."""
    return agent.is_connected and agent.worker is not None and agent.worker.usable


def is_connected_and_usable(agent):
    """Return whether the agent is connected and has a worker that takes runs."""
    return has_usable_worker(agent) and not agent.is_evacuated


def is_cold(agent, now):
    """Return whether the worker is still slow after its start, by its own report."""
    return now < agent.cold_until


def is_usable(agent, now):
    """Return whether the agent may get new runs."""
    max_request_age_s = (
        MAX_GRANT_REQUEST_AGE_S if agent.tasks else MAX_IDLE_GRANT_REQUEST_AGE_S
    )
    return (
        is_connected_and_usable(agent)
        and now - agent.last_request_at < max_request_age_s
        and now >= max(agent.suspended_until, agent.refusal_backoff_until)
        and not (agent.is_probing and _has_probe(agent))
    )


def _has_probe(agent):
    """Return whether a run of this owner probes the worker."""
    if agent.health is None:
        return bool(agent.tasks)
    return any(t.started_at >= agent.suspended_until for t in agent.tasks.values())


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


def shape_of(service, spec):
    """Return what decides whether a task fits an empty worker."""
    return (
        service,
        spec.required_label,
        spec.cpu,
        spec.memory,
        spec.accelerators,
    )


def fits_only_evacuated(agents, service, spec):
    """Return whether all workers that a task could run on are evacuated."""
    is_any_fitting = False
    for agent in agents:
        worker = agent.worker
        if worker is None or worker.service != service:
            continue
        if fits_empty_worker(worker, spec):
            if not agent.is_evacuated:
                return False
            is_any_fitting = True
    return is_any_fitting


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
