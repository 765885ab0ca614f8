"""Teams as the scheduling policy sees them: configuration and load."""

from . import queues

DEFAULT_WEIGHT = 1.0
RESOURCES = ("processors", "memory_mb", "accelerators")
UNLIMITED_TASKS = 1 << 30
INFINITY = float("inf")
ROUNDING_EPSILON = 1e-9  # keeps rounding errors from excluding a whole task
DEFAULT_BUDGET_SHARE = 0.2  # immediate retries of returned tasks per started task


class Team:
    """Configuration, queues and usage of one team at this entry."""

    __slots__ = (
        "name",
        "listed",
        "weight",
        "cap",
        "priorities",
        "limits",
        "classes",
        "deadline_s",
        "budget_share",
        "queues",
        "shapes",
        "estimators",
        "waiting",
        "running",
        "running_tasks",
        "running_ms",
        "long_running",
        "short_slots",
        "processors",
        "memory_mb",
        "accelerators",
        "virtual_time",
        "virtual_time_at",
        "local_share",
        "local_weight",
        "local_cap",
        "due_slots",
        "heap_sequence",
        "peers",
        "peer_running",
        "peer_waiting",
        "reported_load",
        "failure_rate",
        "failed_agents",
        "retry_tokens",
        "deferred",
    )

    def __init__(self, name):
        self.name = name
        self.queues = {}
        self.shapes = {}
        self.estimators = {}
        self.waiting = 0  # tasks
        self.running = 0.0  # slots; more if another resource is the dominant one
        self.running_tasks = 0
        self.long_running = 0
        self.short_slots = 0.0  # slots used by short tasks, smoothed
        self.running_ms = 0.0  # estimated work of the running tasks
        self.processors = 0.0
        self.memory_mb = 0
        self.accelerators = 0
        self.virtual_time = 0.0  # slot-seconds used per unit of weight
        self.virtual_time_at = 0.0
        self.due_slots = 0.0  # slots that the team is entitled to at this entry
        self.heap_sequence = 0
        self.peers = {}  # peer -> (running, waiting)
        self.peer_running = 0
        self.peer_waiting = 0
        self.reported_load = (0, 0)  # running and waiting in the last digest
        self.failure_rate = 0.0
        # Agents on which tasks failed since the last success.
        self.failed_agents = set()
        self.retry_tokens = 0.0
        self.deferred = []  # returned tasks over the retry budget
        configure_team(self, {})
        self.listed = False
        self.local_share = 1.0  # part of the team's demand that waits or runs here
        self.local_weight = self.weight
        self.local_cap = self.cap

    def class_estimate_ms(self, task_class):
        """Return the configured run time of a class, 0 when there is none."""
        return float(self.classes.get(task_class, {}).get("estimate_ms", 0.0))

    def class_deadline_s(self, task_class):
        """Return the configured deadline of a class, 0 when there is none."""
        return float(
            self.classes.get(task_class, {}).get("deadline_s", self.deadline_s)
        )


def configure_team(team, tree):
    """Apply a team's subtree of the configuration."""
    team.listed = True
    team.weight = max(1e-6, float(tree.get("weight", DEFAULT_WEIGHT)))
    team.priorities = tree.get("priorities", {})
    team.limits = tree.get("limits", {})
    team.classes = tree.get("classes", {})
    team.deadline_s = float(tree.get("deadline_s", 0.0))
    team.budget_share = float(
        tree.get("retry", {}).get("budget_share", DEFAULT_BUDGET_SHARE)
    )
    team.cap = min(
        float(tree.get("allowance", INFINITY)),
        float(team.limits.get("max_running", INFINITY)),
    )


def job_priority(team, spec):
    """Return a job's priority within its team; larger numbers start first."""
    return team.priorities.get(spec.task_class, 0) + spec.priority


def record_started_tasks(team, shape, estimate_ms, count):
    """Add started tasks to the load; the caller has updated the virtual time."""
    team.running += shape.cost * count
    team.running_tasks += count
    team.running_ms += shape.cost * estimate_ms * count
    if not shape.slot_only:
        _use_resources(team, shape, count)


def record_ended_task(team, shape, cost, estimate_ms):
    """Remove one ended task from the load."""
    team.running_tasks -= 1
    if team.running_tasks:
        team.running -= cost
        team.running_ms -= cost * estimate_ms
    else:
        # Adding and subtracting fractions leaves rounding errors.
        team.running = team.running_ms = 0.0
    if not shape.slot_only:
        _use_resources(team, shape, -1)


def _use_resources(team, shape, count):
    team.processors += shape.processors * count
    team.memory_mb += shape.memory_mb * count
    team.accelerators += shape.accelerators * count


def startable_tasks(team, shape):
    """Return how many more tasks of a shape the team's limits allow at this entry."""
    count = UNLIMITED_TASKS
    if team.local_cap != INFINITY:
        count = int((team.local_cap - team.running) / shape.cost + ROUNDING_EPSILON)
    if not shape.slot_only and team.limits:
        count = min(count, int(_startable_by_resources(team, shape) + ROUNDING_EPSILON))
    return count


def _startable_by_resources(team, shape):
    count = UNLIMITED_TASKS
    for name in RESOURCES:
        need = getattr(shape, name)
        limit = team.limits.get(f"max_{name}")
        if need and limit is not None:
            left = limit * team.local_share - getattr(team, name)
            count = min(count, left / need)
    return count


def task_shapes(team, task_class, tasks):
    """Return task index -> TaskShape, or only None -> TaskShape if all are equal."""
    shapes = {t.index: queues.get_or_create_shape(team, task_class, t) for t in tasks}
    distinct = set(shapes.values())
    return {None: distinct.pop()} if len(distinct) == 1 else shapes
