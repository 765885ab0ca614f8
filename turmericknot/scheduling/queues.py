"""Queues that the operator has configured, and the lookup of a request's queue."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Queue:
    """A queue of jobs; times are in seconds.

    ``host`` and ``prefix`` select the requests of the queue. The response time
    objective of a job is ``stretch`` times its critical path plus ``objective``.
    ``timeout`` limits a request; 0 means no limit.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    objective: float = 0.0
    timeout: float = 0.0


@dataclass(slots=True)
class Service:
    """A group of workers that run the tasks of queues."""

    name: str
    enforces_capacity: bool = False


@dataclass(slots=True)
class Configuration:
    """One version of the operator's configuration."""

    version: int
    queues: list
    services: dict
    limits: object
    _by_host: dict = field(default_factory=dict, repr=False)

    def __post_init__(self):
        for queue in self.queues:
            self._by_host.setdefault(queue.host, []).append(queue)
        for queues in self._by_host.values():
            queues.sort(key=lambda queue: -len(queue.prefix))

    def find_queue(self, host, path):
        """Return the queue with the longest prefix of the path, or None."""
        host = host.partition(":")[0]
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None
