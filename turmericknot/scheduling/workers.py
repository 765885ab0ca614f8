"""The owner's view of agents and their workers, and the choice among them."""

# Weight of the newest observation in the averages of run times.
SPEED_WEIGHT = 0.15
# A single run counts at most this many times its expectation: long tails are part
# of every queue and say little about the worker.
MAX_OBSERVED_SLOWDOWN = 4.0
# Differences of speed below this step are taken as noise.
SPEED_STEP = 0.25
# Runs that fail in a row, of different jobs, until a worker is set aside.
FAILURES_TO_SUSPEND = 4
SUSPEND_FIRST_S = 1.0
SUSPEND_LIMIT_S = 8.0
# Share of a worker's processors that urgent tasks may fill beyond its room. Tasks of
# a third of a second on ten slots end every 30 ms, so two that wait begin in 60 ms.
URGENT_AHEAD = 0.2
# Beyond this number of agents a task looks at a random sample of so many.
SAMPLE = 24
# An agent that refused a run gets no new ones for this long.
REST_S = 0.05
# An agent that has not asked for a grant for this long gets no new runs.
FRESH_S = 0.8


class AgentView:
    """An agent, its worker and the room that is left on it."""

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
        "adopted",
        "used_cpu",
        "used_memory",
        "used_accelerators",
        "foreign_cpu",
        "foreign_memory",
        "foreign_accelerators",
        "tasks",
        "speed",
        "failures_in_row",
        "failed_jobs",
        "suspended_until",
        "resting_until",
        "suspend_s",
        "probing",
    )

    def __init__(self, agent_id):
        self.id = agent_id
        self.boot = ""  # names the process of the agent
        self.boot_at = 0.0  # when that process first connected
        self.failure_domain = ""
        self.worker = None
        self.is_connected = False
        self.granted_until = 0.0
        self.last_request_at = 0.0
        self.is_expired = False
        self.adopted = {}  # shard -> epoch that the agent has accepted
        self.used_cpu = 0
        self.used_memory = 0
        self.used_accelerators = 0
        # What runs of other owners use, as the agent last reported.
        self.foreign_cpu = 0
        self.foreign_memory = 0
        self.foreign_accelerators = 0
        self.tasks = {}  # key of the task -> Task
        self.speed = 1.0  # observed run time over the expected one
        self.failures_in_row = 0
        self.failed_jobs = set()
        self.suspended_until = 0.0
        self.resting_until = 0.0  # after it refused a run
        self.suspend_s = SUSPEND_FIRST_S
        self.probing = False


def is_usable(agent, now):
    """Return whether the agent may get new runs."""
    return (
        agent.is_connected
        and not agent.is_expired
        and agent.worker is not None
        and agent.worker.usable
        and now - agent.last_request_at < FRESH_S
        and now >= max(agent.suspended_until, agent.resting_until)
        and not (agent.probing and agent.tasks)
    )


def fits(agent, spec, ahead=0.0):
    """Return whether the worker has room for one more task of this shape.

    ``ahead`` is the share of its processors by which it may be overfilled: what has
    no room waits at the agent.
    """
    worker = agent.worker
    used_cpu = agent.used_cpu + agent.foreign_cpu
    used_memory = agent.used_memory + agent.foreign_memory
    used_accelerators = agent.used_accelerators + agent.foreign_accelerators
    return (
        used_cpu + spec.cpu <= worker.cpu * (1 + ahead)
        and used_memory + spec.memory <= worker.memory
        and used_accelerators + spec.accelerators <= worker.accelerators
    )


def could_fit(worker, spec):
    """Return whether the task fits the worker when it is empty."""
    return (
        spec.cpu <= worker.cpu
        and spec.memory <= worker.memory
        and spec.accelerators <= worker.accelerators
        and (not spec.required_label or spec.required_label in worker.labels)
    )


def choose_from_many(agents, task, now, rng):
    """Return the agent for a task from a random sample, or from all if that is full.

    Answers sites of hundreds of workers: the best of two dozen is nearly as empty as
    the best of all, and owners that choose at the same moment choose differently.
    """
    if len(agents) > SAMPLE:
        agent = choose_agent(rng.sample(agents, SAMPLE), task, now)
        if agent is not None:
            return agent
    return choose_agent(agents, task, now)


def choose_agent(agents, task, now):
    """Return the agent for a task, or None when no worker has room.

    Answers the load of many short tasks on workers of unequal speed: the fastest
    class of workers first, and the emptiest of them, so that the loss of one
    worker hits few tasks of a job. At the crest of a load, when no worker has room,
    the most urgent tasks wait at an agent, where they get the next room before less
    urgent tasks of any entry.
    """
    spec = task.spec
    ahead = URGENT_AHEAD if task.job.record.priority == 0 else 0.0
    best = best_score = None
    for agent in agents:
        if not is_usable(agent, now) or not fits(agent, spec, ahead):
            continue
        worker = agent.worker
        if worker.service != task.job.record.service:
            continue
        if spec.required_label and spec.required_label not in worker.labels:
            continue
        if spec.max_per_worker and not _below_limit(agent, task, spec.max_per_worker):
            continue
        is_full = bool(ahead) and not fits(agent, spec)
        usage = (agent.used_cpu + agent.foreign_cpu) / (worker.cpu or 1)
        score = (
            is_full,
            agent.id in task.avoid,
            bool(spec.data_rack) and spec.data_rack not in worker.labels,
            0 if is_full else round(agent.speed / SPEED_STEP),
            # At a full worker, the wait for room grows with what is ahead of it.
            usage * agent.speed if is_full else usage,
        )
        if best is None or score < best_score:
            best, best_score = agent, score
    return best


def _below_limit(agent, task, limit):
    same = sum(
        1
        for other in agent.tasks.values()
        if other.job is task.job and other.step == task.step
    )
    return same < limit


def occupy(agent, task):
    """Count a run of the task on the worker."""
    spec = task.spec
    agent.tasks[task.key] = task
    agent.used_cpu += spec.cpu
    agent.used_memory += spec.memory
    agent.used_accelerators += spec.accelerators


def release(agent, task):
    """Free the room of the task, if it was counted."""
    if agent.tasks.pop(task.key, None) is None:
        return
    spec = task.spec
    agent.used_cpu -= spec.cpu
    agent.used_memory -= spec.memory
    agent.used_accelerators -= spec.accelerators


def observe_success(agent, slowdown):
    """Learn from a finished run; ``slowdown`` is run time over the expected one."""
    agent.failures_in_row = 0
    agent.failed_jobs.clear()
    agent.suspend_s = SUSPEND_FIRST_S
    agent.probing = False
    slowdown = min(slowdown, MAX_OBSERVED_SLOWDOWN)
    agent.speed += SPEED_WEIGHT * (slowdown - agent.speed)


def observe_pace(agent, pace):
    """Take the speed of a worker that its present runs show."""
    if pace > 0:
        agent.speed = max(agent.speed, min(1 / pace, MAX_OBSERVED_SLOWDOWN))


def observe_stuck(agent, now):
    """Set a worker aside on which a run stood still.

    Answers workers on which every task hangs: one of them costs a second, so the
    pauses grow and one task at a time tries the worker again.
    """
    if now < agent.suspended_until:
        return
    agent.suspended_until = now + agent.suspend_s
    agent.suspend_s = min(2 * agent.suspend_s, SUSPEND_LIMIT_S)
    agent.probing = True


def observe_failure(agent, job_id, now):
    """Learn from a failed run; return whether the worker is set aside by it.

    Answers a worker that fails everything it starts: failures of several jobs in a
    row suspend it, and after the pause one task at a time tries it again.
    """
    agent.failures_in_row += 1
    agent.failed_jobs.add(job_id)
    is_worker_fault = len(agent.failed_jobs) > 1 or agent.probing
    if agent.failures_in_row < FAILURES_TO_SUSPEND and not agent.probing:
        return False
    if not is_worker_fault or now < agent.suspended_until:
        return False
    agent.suspended_until = now + agent.suspend_s
    agent.suspend_s = min(2 * agent.suspend_s, SUSPEND_LIMIT_S)
    agent.probing = True
    return True
