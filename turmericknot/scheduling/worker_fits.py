"""Which waiting tasks no usable worker could run, even if it ran nothing else.

Load pattern: many tasks wait for a label or a size whose workers are lost, while all
other workers are idle. New jobs are not served after these tasks, so they must not be
refused because of them.
"""

from . import workers

MAX_KNOWN_SHAPES = 1000  # of tasks, for which the result is kept


class WorkerFits:
    """Results by shape of a task, until a worker changes."""

    __slots__ = ("_lacking", "_is_outdated")

    def __init__(self):
        self._lacking = {}  # shape -> whether the service has no worker for it
        self._is_outdated = False

    def workers_changed(self):
        """Forget all results: a worker was lost, gained or has changed."""
        self._lacking.clear()
        self._is_outdated = True

    def pop_outdated(self):
        """Return whether results that were given before may have changed."""
        is_outdated, self._is_outdated = self._is_outdated, False
        return is_outdated

    def lacks_worker(self, agents, service, spec):
        """Return whether usable workers of the service exist, but none for the task.

        While none of them is usable, as after a loss of power, all are expected back.
        """
        shape = workers.shape_of(service, spec)
        if shape not in self._lacking:
            if len(self._lacking) >= MAX_KNOWN_SHAPES:
                self._lacking.clear()
            self._lacking[shape] = _find_lack(agents, service, spec)
        return self._lacking[shape]


def _find_lack(agents, service, spec):
    has_usable_worker = False
    for agent in agents:
        if not workers.is_connected_and_usable(agent):
            continue
        if agent.worker.service != service:
            continue
        if workers.fits_empty_worker(agent.worker, spec):
            return False
        has_usable_worker = True
    return has_usable_worker


def create_worker_fits():
    """Return results of an owner that knows no workers."""
    return WorkerFits()
