"""A simulated worker: runs with durations, and lists of running and ended runs."""

import random

from turmericknot.scheduling.jobs import RunEnd
from turmericknot.scheduling.worker_types import (
    LeaseRenewalResult,
    ListedEnd,
    ListedRun,
    WorkerLife,
)

MEMORY_MB = 1 << 20


class ModelWorker:
    """A worker that starts whatever its agent tells it to."""

    __slots__ = (
        "slowdown",
        "failed_share",
        "fails_at_once",
        "_rng",
        "is_down",
        "_born",
        "_clock",
        "_life_id",
        "_cpu",
        "labels",
        "_running",
        "_ends",
        "_last_number",
        "_on_end",
    )

    def __init__(self, clock, life_id, cpu, speed, on_end, labels):
        self.labels = labels
        self.slowdown = 1 / speed
        self.failed_share = 0.0
        self.fails_at_once = False  # failed runs end as soon as they start
        self._rng = random.Random(life_id)
        self.is_down = False  # between a crash and the report of the next process
        self._born = 1
        self._clock = clock
        self._life_id = life_id
        self._cpu = cpu
        self._running = {}  # run name -> (start time, end time)
        self._ends = []
        self._last_number = 0
        self._on_end = on_end

    def describe(self):
        """Return the WorkerLife that the worker reports."""
        now = self._clock.now
        return WorkerLife(
            self._life_id,
            self._born,
            "s",
            True,
            self._cpu,
            MEMORY_MB,
            0,
            self.labels,
            now,
            now,
            1,
        )

    def start(self, name, run_s):
        """Start a run that takes ``run_s`` on a worker of speed 1."""
        duration_s = run_s * self.slowdown
        now = self._clock.now
        how = RunEnd.DONE
        if self.failed_share and self._rng.random() < self.failed_share:
            how = RunEnd.FAILED
            duration_s *= not self.fails_at_once
        self._running[name] = (now, now + duration_s)
        self._clock.call_later(duration_s, self._end, name, how)

    def crash(self):
        """End the process and all of its runs."""
        self.is_down = True
        self._running.clear()
        self._ends.clear()
        self._last_number = 0

    def restart(self):
        """Start the next process."""
        self.is_down = False
        self._born += 1

    def stop(self, name):
        """Stop a run if it is running."""
        self._end(name, RunEnd.STOPPED)

    def _end(self, name, how):
        if self._running.pop(name, None) is None:
            return
        self._last_number += 1
        self._ends.append(ListedEnd(self._last_number, name, how))
        self._on_end()

    def answer_renewal(self, call):
        """Return the LeaseRenewalResult of a LeaseRenewal."""
        now = self._clock.now
        self._ends = [end for end in self._ends if end.number > call.last_seen]
        running = [
            ListedRun(
                name, int(99 * (now - started_at) / max(ends_at - started_at, 1e-9))
            )
            for name, (started_at, ends_at) in self._running.items()
        ]
        return LeaseRenewalResult(
            int(now * 1000), self._born, running, list(self._ends)
        )


def create_worker(clock, life_id, cpu, speed, on_end, labels):
    """Return a worker without runs; ``on_end()`` is called when a run has ended."""
    return ModelWorker(clock, life_id, cpu, speed, on_end, labels)
