"""Waiting tasks of a team.

There is one FIFO queue per priority, shape, claim and idempotence.
"""

from collections import deque

from . import estimates

MAX_SHAPES_PER_TEAM = 256  # above it shapes without queued tasks are dropped
MAX_ESTIMATORS_PER_TEAM = 128  # above it the oldest estimators are dropped


class TaskShape:
    """Properties shared by tasks that are interchangeable for the scheduler."""

    __slots__ = (
        "task_class",
        "estimator",
        "processors",
        "memory_mb",
        "accelerators",
        "slot_only",
        "cost",
        "cost_capacity_version",
    )

    def __init__(self, task_class, estimator, processors, memory_mb, accelerators):
        self.task_class = task_class
        self.estimator = estimator
        self.processors = processors
        self.memory_mb = memory_mb
        self.accelerators = accelerators
        self.slot_only = not (processors or memory_mb or accelerators)
        self.cost = 1.0  # slots; more if another resource is the dominant one
        self.cost_capacity_version = -1


class QueuedBatch:
    """Waiting tasks of one job and one shape."""

    __slots__ = ("job", "indexes", "sequence")

    def __init__(self, job, indexes, sequence):
        self.job = job
        self.indexes = deque(indexes)
        self.sequence = sequence


class TaskQueue:
    """FIFO queue of QueuedBatch objects; ``count`` is their total number of tasks."""

    __slots__ = (
        "key",
        "priority",
        "shape",
        "claimed",
        "queued_batches",
        "count",
        "idempotent",
    )

    def __init__(self, key):
        self.key = key
        self.priority, self.shape, self.claimed, self.idempotent = key
        self.queued_batches = deque()
        self.count = 0


class ScheduledJob:
    """A job with queued or started tasks."""

    __slots__ = (
        "spec",
        "team",
        "deadline",
        "claimed",
        "priority",
        "sequence",
        "shapes",
        "queued_batches",
        "queued",
        "deferred",
        "started",
        "expired_indexes",
        "removed",
    )

    def __init__(self, spec, team, deadline, claimed, priority, sequence):
        self.spec = spec
        self.team = team
        self.deadline = deadline
        self.claimed = claimed
        self.priority = priority
        self.sequence = sequence
        self.shapes = {}  # index -> TaskShape; only None -> TaskShape if all are equal
        self.queued_batches = []  # (queue key, QueuedBatch)
        self.queued = 0
        self.deferred = 0  # tasks that wait for the retry budget
        self.started = set()
        # Tasks that were queued when the job was reported as expired.
        self.expired_indexes = None
        self.removed = False


def get_or_create_shape(team, task_class, task):
    """Return the team's shape for a task, creating it if it is new."""
    size = estimates.size_class(task.declared_ms)
    key = (task_class, size, task.processors, task.memory_mb, task.accelerators)
    shape = team.shapes.get(key)
    if shape is None:
        _evict_if_full(
            team.shapes,
            MAX_SHAPES_PER_TEAM,
            lambda candidate: not _is_shape_queued(team, candidate),
        )
        shape = team.shapes[key] = TaskShape(
            task_class,
            get_or_create_estimator(team, task_class, size, task.declared_ms),
            task.processors,
            task.memory_mb,
            task.accelerators,
        )
    return shape


def get_or_create_estimator(team, task_class, size, declared_ms):
    """Return the estimator of a task class and size class, creating it if new."""
    key = (task_class, size)
    estimator = team.estimators.get(key)
    if estimator is None:
        _evict_if_full(team.estimators, MAX_ESTIMATORS_PER_TEAM, lambda candidate: True)
        prior_ms = declared_ms or team.class_estimate_ms(task_class)
        estimator = team.estimators[key] = estimates.RunTimeEstimator(prior_ms)
    return estimator


def _is_shape_queued(team, shape):
    return any(queue.shape is shape for queue in team.queues.values())


def _evict_if_full(table, limit, droppable):
    """Drop the oldest droppable entries of a full table, up to a quarter of the limit.

    Clients determine the keys, so the table would grow without bound otherwise.
    """
    if len(table) < limit:
        return
    for key in [key for key, value in table.items() if droppable(value)][: limit // 4]:
        del table[key]


def task_shape(job, index):
    """Return the shape of one task of a job."""
    return job.shapes.get(index) or job.shapes[None]


def enqueue(team, job, indexes, at_front=False):
    """Queue tasks of a job at the end or, with ``at_front``, at the front."""
    for shape, members in _group_by_shape(job, indexes):
        key = (job.priority, shape, job.claimed, job.spec.idempotent)
        queue = team.queues.get(key)
        if queue is None:
            queue = team.queues[key] = TaskQueue(key)
        queued_batch = QueuedBatch(job, members, job.sequence)
        if at_front:
            queue.queued_batches.appendleft(queued_batch)
        else:
            queue.queued_batches.append(queued_batch)
        queue.count += len(members)
        job.queued_batches.append((key, queued_batch))
    job.queued += len(indexes)
    team.waiting += len(indexes)


def _group_by_shape(job, indexes):
    if len(job.shapes) == 1:
        return [(job.shapes[None], indexes)]
    groups = {}
    for index in indexes:
        groups.setdefault(task_shape(job, index), []).append(index)
    return list(groups.items())


def dequeue(team, queue, queued_batch, count):
    """Remove and return ``count`` tasks of the first batch of a queue.

    ``count`` is at most the number of tasks in the batch.
    """
    indexes = queued_batch.indexes
    if count == 1:
        dequeued = [indexes.popleft()]
    elif count >= len(indexes):
        dequeued = list(indexes)
        indexes.clear()
    else:
        pop = indexes.popleft
        dequeued = [pop() for _ in range(count)]
    queue.count -= count
    queued_batch.job.queued -= count
    team.waiting -= count
    if not indexes:
        queue.queued_batches.popleft()
        _delete_if_empty(team, queue)
    return dequeued


def dequeue_job(team, job):
    """Remove and return every queued task of a job."""
    dropped = []
    for key, queued_batch in job.queued_batches:
        if not queued_batch.indexes:
            continue
        queue = team.queues[key]
        dropped.extend(queued_batch.indexes)
        count = len(queued_batch.indexes)
        queue.count -= count
        job.queued -= count
        team.waiting -= count
        queue.queued_batches.remove(queued_batch)
        queued_batch.indexes.clear()
        _delete_if_empty(team, queue)
    job.queued_batches.clear()
    return dropped


def _delete_if_empty(team, queue):
    if not queue.queued_batches:
        del team.queues[queue.key]


def ordered_queues(team):
    """Return the team's queues by priority, then oldest job, then longest tasks.

    Starting the longest tasks of a job first minimizes its completion time.
    """
    queues = team.queues
    if len(queues) == 1:
        return list(queues.values())
    return sorted(queues.values(), key=_queue_rank)


def _queue_rank(queue):
    return (
        -queue.priority,
        queue.queued_batches[0].sequence,
        -queue.shape.estimator.mean_ms,
    )


def queued_work_s(team, priority=None):
    """Return the queued work of a team in slot-seconds.

    With ``priority``, count only the work queued ahead of a new job of that priority.
    """
    total = 0.0
    for queue in team.queues.values():
        if priority is None or queue.priority >= priority:
            shape = queue.shape
            total += queue.count * shape.cost * shape.estimator.mean_ms
    return total / 1e3
