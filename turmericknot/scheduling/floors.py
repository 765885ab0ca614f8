"""Shares of the capacity that queues keep when it is short.

Load pattern: bursts of an urgent queue to more than the capacity. Served by priority
alone, the queue of the lowest priority gets nothing for the length of a wave, and its
callers are refused altogether.

While the workers of a service are short, each of its queues that has work waiting earns
credit at the rate of its floor, shared among the entries in proportion to what waits
there. A job whose tasks the credit covers is served before the other queues. A queue
that uses its share anyway earns nothing, and what a queue does not use is lent to the
others. It gets its floor back as running tasks end.
"""

from . import demand
from .admission import spread

# Share of the capacity that each queue keeps. A caller that may wait for three times
# the objective is served if the queue's own backlog drains in that time, so the share
# has to be a visible part of the capacity; with three queues, seven tenths are still
# handed out by priority.
FLOOR_SHARE = 0.15
# The floors of all queues of a service take this share at most.
MAX_FLOORS_SHARE = 0.5
# Priority of jobs that are served by their floor; agents start them first, too.
FLOOR_PRIORITY = -1
# Time for which credit is earned at once when the last pass was longer ago.
MAX_STEP_S = 0.2


class Floors:
    """Credit of each queue at this entry, in core-seconds."""

    __slots__ = ("floor_share", "_credit", "_promoted", "_updated_at")

    def __init__(self, floor_share):
        self.floor_share = floor_share  # 0 turns floors off
        self._credit = {}  # queue -> core-seconds; only while the queue is short
        self._promoted = []  # jobs served by their floor
        self._updated_at = 0.0

    @property
    def in_force(self):
        """Return the number of queues that earn credit."""
        return len(self._credit)

    def share_of(self, view, service, queue):
        """Return the share of the capacity that each queue of the service keeps.

        ``queue`` is counted even if it has no work yet.
        """
        names = {other.queue for other in view.queues_of(service) if _has_work(other)}
        count = len(names | {queue})
        return min(self.floor_share, MAX_FLOORS_SHARE / count) if count > 1 else 0.0

    def charge(self, task):
        """Take the work of a run that the floor starts from the credit of its queue."""
        queue = task.job.record.queue
        if queue in self._credit and task.job.effective_priority == FLOOR_PRIORITY:
            task.floor_work = _work(task)
            self._credit[queue] -= task.floor_work

    def refund(self, task):
        """Return the credit of a run that has not ended with a result."""
        work, task.floor_work = task.floor_work, 0.0
        queue = task.job.record.queue
        if work and queue in self._credit:
            self._credit[queue] += work

    def reset_promoted(self):
        """Give all jobs the priority of their record again."""
        for job in self._promoted:
            job.effective_priority = job.record.priority
        self._promoted = []

    def promote(self, job):
        """Serve a job before all others."""
        job.effective_priority = FLOOR_PRIORITY
        self._promoted.append(job)

    def earn(self, view, now):
        """Update the credit of all queues; return the queues that have some."""
        elapsed = min(max(0.0, now - self._updated_at), MAX_STEP_S)
        self._updated_at = now
        short = {}  # queue -> core-seconds per second that it earns here
        for queue in view.queues.values():
            rate = self._rate(view, queue)
            if rate > 0:
                short[queue.queue] = rate
            elif queue.queue in self._credit:
                self._pay_debt(view, queue, elapsed)
        for name, rate in short.items():
            credit = self._credit.get(name, 0.0) + rate * elapsed
            self._credit[name] = min(credit, view.queues[name].own_waiting)
        return {name: self._credit[name] for name in short}

    def _pay_debt(self, view, queue, elapsed):
        """Let a queue that is served anyway earn until it has no debt."""
        floor = self.share_of(view, queue.service, queue.queue) * view.cores.get(
            queue.service, 0.0
        )
        credit = self._credit[queue.queue] + floor / view.entries * elapsed
        if credit < 0:
            self._credit[queue.queue] = credit
        else:
            del self._credit[queue.queue]

    def _rate(self, view, queue):
        """Return what a queue earns at this entry; 0 if it is served anyway."""
        if queue.own_waiting <= 0.0005 or not view.is_short(queue.service):
            return 0.0
        if not any(
            other.priority < queue.priority and _has_work(other)
            for other in view.queues_of(queue.service)
        ):
            return 0.0
        floor = self.share_of(view, queue.service, queue.queue) * view.cores.get(
            queue.service, 0.0
        )
        if queue.used >= floor:
            return 0.0
        return floor * min(1.0, queue.own_waiting / queue.waiting)


def jobs_in_order(owner, now):
    """Return the waiting jobs: those that floors serve, then by priority."""
    jobs = owner.waiting.jobs()
    floors = owner.floors
    floors.reset_promoted()
    view = demand.fleet_view(owner, now) if floors.floor_share else None
    if view is None:
        return jobs
    credit = floors.earn(view, now)
    if not credit:
        return jobs
    first, rest = [], []
    for job in jobs:
        if job.record.queue in credit and _is_covered(owner, job, credit):
            floors.promote(job)
            first.append(job)
        else:
            rest.append(job)
    return first + rest


def _is_covered(owner, job, credit):
    """Return whether the credit of its queue covers a job; take it from ``credit``.

    Entries that save for equal jobs must not start them at the same moment. A job
    therefore needs a share of its work that depends on its id, and the queue is in debt
    afterwards. What the job has been charged counts, so that its last tasks follow.
    """
    queue = job.record.queue
    waiting = sum(map(_work, owner.waiting.tasks(job)))
    charged = sum(task.floor_work for tasks in job.tasks for task in tasks)
    if credit[queue] + charged < spread(job.id) * (waiting + charged):
        # The next job has to wait for this one.
        del credit[queue]
        return False
    credit[queue] -= waiting
    return True


def _has_work(queue):
    return queue.waiting > 0 or queue.used > 0


def _work(task):
    return task.spec.cpu / 1000 * (task.spec.estimate or 0.1)


def create_floors(floor_share=None):
    """Return floors without credit."""
    return Floors(FLOOR_SHARE if floor_share is None else floor_share)
