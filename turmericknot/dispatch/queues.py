"""Waiting tasks of a team: one queue per priority, shape and claim, FIFO inside."""

from collections import deque

from . import estimates

MAX_SHAPES = 256  # per team; shapes without queued work are dropped beyond it
MAX_ESTIMATORS = 128  # per team; the least recently created one is dropped beyond it


class Shape:
    """What tasks have in common that may take each other's place in a queue."""

    __slots__ = (
        "task_class",
        "estimator",
        "processors",
        "memory_mb",
        "accelerators",
        "plain",
        "cost",
        "cost_version",
    )

    def __init__(self, task_class, estimator, processors, memory_mb, accelerators):
        self.task_class = task_class
        self.estimator = estimator
        self.processors = processors
        self.memory_mb = memory_mb
        self.accelerators = accelerators
        self.plain = not (processors or memory_mb or accelerators)
        self.cost = 1.0  # slots, or more where another resource dominates
        self.cost_version = -1


class Lot:
    """Waiting tasks of one job and one shape."""

    __slots__ = ("job", "indexes", "sequence")

    def __init__(self, job, indexes, sequence):
        self.job = job
        self.indexes = deque(indexes)
        self.sequence = sequence


class Queue:
    """FIFO of lots; ``count`` is the number of tasks in them."""

    __slots__ = ("key", "priority", "shape", "claimed", "lots", "count", "idempotent")

    def __init__(self, key):
        self.key = key
        self.priority, self.shape, self.claimed, self.idempotent = key
        self.lots = deque()
        self.count = 0


class Job:
    """A job with queued or started tasks."""

    __slots__ = (
        "spec",
        "team",
        "deadline",
        "claimed",
        "priority",
        "sequence",
        "shapes",
        "lots",
        "queued",
        "deferred",
        "started",
        "doomed",
        "removed",
    )

    def __init__(self, spec, team, deadline, claimed, priority, sequence):
        self.spec = spec
        self.team = team
        self.deadline = deadline
        self.claimed = claimed
        self.priority = priority
        self.sequence = sequence
        self.shapes = {}  # index -> Shape; one entry under None when all are equal
        self.lots = []  # (queue key, Lot)
        self.queued = 0
        self.deferred = 0  # tasks over the retry budget
        self.started = set()
        self.doomed = None  # queued tasks at the time it was reported as expired
        self.removed = False


def shape_of(team, task_class, task):
    """Return the team's shape for a task, creating it when it is new."""
    size = estimates.bucket(task.declared_ms)
    key = (task_class, size, task.processors, task.memory_mb, task.accelerators)
    shape = team.shapes.get(key)
    if shape is None:
        _bound(team.shapes, MAX_SHAPES, lambda held: not _in_use(team, held))
        shape = team.shapes[key] = Shape(
            task_class,
            estimator_of(team, task_class, size, task.declared_ms),
            task.processors,
            task.memory_mb,
            task.accelerators,
        )
    return shape


def estimator_of(team, task_class, size, declared_ms):
    """Return the estimator of a class and declared size, creating it when new."""
    key = (task_class, size)
    estimator = team.estimators.get(key)
    if estimator is None:
        _bound(team.estimators, MAX_ESTIMATORS, lambda held: True)
        prior = declared_ms or team.class_estimate_ms(task_class)
        estimator = team.estimators[key] = estimates.Estimator(prior)
    return estimator


def _in_use(team, shape):
    return any(queue.shape is shape for queue in team.queues.values())


def _bound(held, limit, droppable):
    """Keep a table that callers can make grow within its limit."""
    if len(held) < limit:
        return
    for key in [key for key, value in held.items() if droppable(value)][: limit // 4]:
        del held[key]


def shape_at(job, index):
    """Return the shape of one task of a job."""
    return job.shapes.get(index) or job.shapes[None]


def enqueue(team, job, indexes, first=False):
    """Queue tasks of a job, behind or, with ``first``, before all others."""
    for shape, members in _by_shape(job, indexes):
        key = (job.priority, shape, job.claimed, job.spec.idempotent)
        queue = team.queues.get(key)
        if queue is None:
            queue = team.queues[key] = Queue(key)
        lot = Lot(job, members, job.sequence)
        if first:
            queue.lots.appendleft(lot)
        else:
            queue.lots.append(lot)
        queue.count += len(members)
        job.lots.append((key, lot))
    job.queued += len(indexes)
    team.waiting += len(indexes)


def _by_shape(job, indexes):
    if len(job.shapes) == 1:
        return [(job.shapes[None], indexes)]
    groups = {}
    for index in indexes:
        groups.setdefault(shape_at(job, index), []).append(index)
    return list(groups.items())


def take(team, queue, lot, count):
    """Remove and return the first ``count`` tasks of the head lot of a queue.

    ``count`` is at most the number of tasks in the lot.
    """
    indexes = lot.indexes
    if count == 1:
        taken = [indexes.popleft()]
    elif count >= len(indexes):
        taken = list(indexes)
        indexes.clear()
    else:
        pop = indexes.popleft
        taken = [pop() for _ in range(count)]
    queue.count -= count
    lot.job.queued -= count
    team.waiting -= count
    if not indexes:
        queue.lots.popleft()
        _close_if_empty(team, queue)
    return taken


def drop_job(team, job):
    """Remove and return every queued task of a job."""
    dropped = []
    for key, lot in job.lots:
        if not lot.indexes:
            continue
        queue = team.queues[key]
        dropped.extend(lot.indexes)
        count = len(lot.indexes)
        queue.count -= count
        job.queued -= count
        team.waiting -= count
        queue.lots.remove(lot)
        lot.indexes.clear()
        _close_if_empty(team, queue)
    job.lots.clear()
    return dropped


def _close_if_empty(team, queue):
    if not queue.lots:
        del team.queues[queue.key]


def in_order(team):
    """Return the team's queues by priority, then oldest job, then longest tasks.

    Starting the longest tasks of a job first ends the job earliest.
    """
    queues = team.queues
    if len(queues) == 1:
        return list(queues.values())
    return sorted(queues.values(), key=_rank)


def _rank(queue):
    return (-queue.priority, queue.lots[0].sequence, -queue.shape.estimator.mean)


def waiting_work(team, priority=None):
    """Return the queued work of a team in seconds of one slot.

    With ``priority``, count only what goes before a new job of that priority.
    """
    total = 0.0
    for queue in team.queues.values():
        if priority is None or queue.priority >= priority:
            shape = queue.shape
            total += queue.count * shape.cost * shape.estimator.mean
    return total / 1e3
