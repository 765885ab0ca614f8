"""A team as the scheduling policy sees it: its configuration and its load."""

from . import queues

DEFAULT_WEIGHT = 1.0
RESOURCES = ("processors", "memory_mb", "accelerators")
UNLIMITED = 1 << 30
INFINITE = float("inf")
EPSILON = 1e-9  # keeps rounding errors from costing a whole task
DEFAULT_BUDGET_SHARE = 0.2  # returned tasks per started task that are retried at once


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
        "short_use",
        "processors",
        "memory_mb",
        "accelerators",
        "virtual_time",
        "settled_at",
        "local_share",
        "local_weight",
        "local_cap",
        "due",
        "heap_sequence",
        "peers",
        "peer_running",
        "peer_waiting",
        "told",
        "failure_rate",
        "failed_on",
        "retry_tokens",
        "deferred",
    )

    def __init__(self, name):
        self.name = name
        self.queues = {}
        self.shapes = {}
        self.estimators = {}
        self.waiting = 0  # tasks
        self.running = 0.0  # slots, or more where another resource dominates
        self.running_tasks = 0
        self.long_running = 0
        self.short_use = 0.0  # slots that short tasks use, smoothed
        self.running_ms = 0.0  # estimated work of the running tasks
        self.processors = 0.0
        self.memory_mb = 0
        self.accelerators = 0
        self.virtual_time = 0.0  # slot-seconds used per unit of weight
        self.settled_at = 0.0
        self.due = 0.0  # slots due to this entry for the team
        self.heap_sequence = 0
        self.peers = {}  # peer -> (running, waiting)
        self.peer_running = 0
        self.peer_waiting = 0
        self.told = (0, 0)  # running and waiting in the last digest
        self.failure_rate = 0.0
        self.failed_on = set()  # workers of its failures since the last success
        self.retry_tokens = 0.0
        self.deferred = []  # returned tasks over the retry budget
        configure(self, {})
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


def configure(team, tree):
    """Put a team's subtree of the configuration in force."""
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
        float(tree.get("allowance", INFINITE)),
        float(team.limits.get("max_running", INFINITE)),
    )


def priority_of(team, spec):
    """Return a job's priority in its team; a larger number goes first."""
    return team.priorities.get(spec.task_class, 0) + spec.priority


def started(team, shape, estimate_ms, count):
    """Account for started tasks; the caller has settled the virtual time."""
    team.running += shape.cost * count
    team.running_tasks += count
    team.running_ms += shape.cost * estimate_ms * count
    if not shape.plain:
        _use(team, shape, count)


def ended(team, shape, cost, estimate_ms):
    """Account for the end of one started task."""
    team.running_tasks -= 1
    if team.running_tasks:
        team.running -= cost
        team.running_ms -= cost * estimate_ms
    else:
        # Sums of fractions would otherwise leave a remainder of rounding errors.
        team.running = team.running_ms = 0.0
    if not shape.plain:
        _use(team, shape, -1)


def _use(team, shape, count):
    team.processors += shape.processors * count
    team.memory_mb += shape.memory_mb * count
    team.accelerators += shape.accelerators * count


def room(team, shape):
    """Return how many more tasks of a shape the team's limits let start here."""
    count = UNLIMITED
    if team.local_cap != INFINITE:
        count = int((team.local_cap - team.running) / shape.cost + EPSILON)
    if not shape.plain and team.limits:
        count = min(count, int(_resource_room(team, shape) + EPSILON))
    return count


def _resource_room(team, shape):
    count = UNLIMITED
    for name in RESOURCES:
        need = getattr(shape, name)
        limit = team.limits.get(f"max_{name}")
        if need and limit is not None:
            left = limit * team.local_share - getattr(team, name)
            count = min(count, left / need)
    return count


def shapes_of(team, task_class, tasks):
    """Return the shapes of a job's tasks: one under None when all are equal."""
    shapes = {t.index: queues.shape_of(team, task_class, t) for t in tasks}
    distinct = set(shapes.values())
    return {None: distinct.pop()} if len(distinct) == 1 else shapes
