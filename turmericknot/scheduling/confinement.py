"""Where the tasks of a queue may start whose tasks crash workers.

Suspects are isolated, but the first crash of a deadly task hits any worker. When such
tasks keep coming in, every worker is down before the tasks are given up. The queue that
they come from is therefore confined to a part of the workers: it cannot take down those
that the other queues of the service run on.
"""

import math
from collections import deque
from heapq import nsmallest

from .quarantine import rank_of, serves

# How long a crash counts.
STORM_WINDOW_S = 6.0
# A queue is confined when it has caused this many crashes within the window.
CRASHES_TO_CONFINE = 1.5
# The same as a share of the workers: in a large fleet, some crash for other reasons.
CRASHED_SHARE_TO_CONFINE = 0.04
# Share of the workers of the service that a confined queue may use.
CELL_SHARE = 0.35
# A queue that has had no job for this long needs no protection.
QUEUE_IDLE_S = 10.0
# Services with fewer workers are not divided.
MIN_WORKERS = 4


class Confinement:
    """Recent crashes by queue, and the queues that a service has work of."""

    __slots__ = ("_crashes", "_submissions")

    def __init__(self):
        self._crashes = {}  # queue -> deque of (time, life of the worker, weight)
        self._submissions = {}  # queue -> (service, time of the latest job)

    def record_submission(self, queue, service, now):
        """Record that a queue has a new job."""
        self._submissions[queue] = (service, now)

    def record(self, life, tasks, reported_at):
        """Record the suspects of a crash, as CrashedTask; each gets an equal share."""
        suspects = [task for task in tasks if task.is_suspect]
        if any(life == known for q in self._crashes.values() for _, known, _ in q):
            return
        for queue in {task.queue for task in suspects if task.queue}:
            share = sum(task.queue == queue for task in suspects) / len(suspects)
            self._crashes.setdefault(queue, deque()).append((reported_at, life, share))

    def withdraw(self, life):
        """Remove a crash that has not happened."""
        for queue, crashes in list(self._crashes.items()):
            kept = [crash for crash in crashes if crash[1] != life]
            self._crashes[queue] = deque(kept)

    def confined_queues(self, worker_count, now):
        """Return the names of the queues that are confined now."""
        threshold = max(CRASHES_TO_CONFINE, CRASHED_SHARE_TO_CONFINE * worker_count)
        for queue, crashes in list(self._crashes.items()):
            # Repeated reports come late, so the times need not be in order.
            while crashes and now - crashes[0][0] > STORM_WINDOW_S:
                crashes.popleft()
            if not crashes:
                del self._crashes[queue]
        if worker_count < MIN_WORKERS:
            return ()
        return tuple(
            queue
            for queue, crashes in self._crashes.items()
            if sum(w for at, _, w in crashes if now - at <= STORM_WINDOW_S) >= threshold
            and self._is_sharing_workers(queue, now)
        )

    def _is_sharing_workers(self, queue, now):
        """Return whether another queue uses the workers of the queue's service."""
        service, _ = self._submissions.get(queue, ("", now))
        return any(
            other != queue and used == service and now - at <= QUEUE_IDLE_S
            for other, (used, at) in self._submissions.items()
        )


def cell_agents(agents, service):
    """Return the ids of the agents that confined queues of the service may use.

    All entries choose alike. Connected agents whose workers are down are included.
    """
    of_service = [agent for agent in agents if serves(agent, service)]
    count = math.ceil(CELL_SHARE * len(of_service))
    return frozenset(agent.id for agent in nsmallest(count, of_service, key=rank_of))


def create_confinement():
    """Return a record without crashes."""
    return Confinement()
