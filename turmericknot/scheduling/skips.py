"""Which waiting tasks a pass leaves out, so that its cost stays bounded.

Load pattern: tasks that only some workers can run wait for these, which are lost or
full, while all others are idle. The waiting tasks are divided into pools: those of one
pool compete for the same workers, and those of another one do not wait behind them.
"""

from .pending import is_job_out_of_reach


class ShapeSet:
    """Shapes of tasks, by key; larger shapes than these are members as well."""

    __slots__ = ("_smallest",)

    def __init__(self):
        self._smallest = {}  # key -> specs, none of which contains another one

    def add(self, key, spec):
        """Add the shape of a task."""
        known = self._smallest.get(key, ())
        kept = [other for other in known if not _is_contained(spec, other)]
        self._smallest[key] = [*kept, spec]

    def contains(self, key, spec):
        """Return whether a task of this shape needs as much as one that was added."""
        known = self._smallest.get(key, ())
        return any(_is_contained(other, spec) for other in known)


def _is_contained(small, large):
    return (
        small.cpu <= large.cpu
        and small.memory <= large.memory
        and small.accelerators <= large.accelerators
    )


class SkippedJobs:
    """Number of jobs by pool for which one pass has found no worker."""

    __slots__ = ("_limit", "_counts", "_full_pools")

    def __init__(self, limit):
        self._limit = limit
        self._counts = {}
        self._full_pools = set()

    @property
    def full_pool_count(self):
        """Return the number of pools with more skipped jobs than the limit."""
        return len(self._full_pools)

    def count(self, pool):
        """Count a job of the pool as skipped."""
        count = self._counts[pool] = self._counts.get(pool, 0) + 1
        if self._limit is not None and count > self._limit:
            self._full_pools.add(pool)

    def is_full(self, pool):
        """Return whether the pass leaves out all further jobs of the pool."""
        return pool in self._full_pools


def create_skipped_jobs(limit):
    """Return an empty count; ``limit`` is None for a pass that reaches all jobs."""
    return SkippedJobs(limit)


def skip_known_job(owner, offer, job, skipped):
    """Count a job that an earlier pass has reached, unless no worker could run it."""
    if is_job_out_of_reach(owner, job):
        return
    first_tasks = {task.step: task for task in reversed(owner.waiting.tasks(job))}
    for step, task in first_tasks.items():
        if offer.has_fitting_worker(task):
            skipped.count(pool_of(job, step))


def pool_of(job, step):
    """Return what decides, besides free capacity, which workers a step may use.

    A step with a limit for each worker waits for its own tasks.
    """
    spec = job.record.steps[step]
    return (
        job.record.service,
        spec.required_label,
        spec.accelerators > 0,
        job.id if spec.max_per_worker else "",
    )
