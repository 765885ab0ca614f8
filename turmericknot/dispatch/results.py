"""What an agent remembers of started tasks.

The ids of started tasks are kept until the key's expiry, because they are the proof
that a task must not start again. Results are kept until acknowledged and past the
retention, or until the memory bound is reached.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from turmericknot.wire.messages import JobInventory, TaskResult

# A resubmission is accepted until the key's expiry by any clock within the skew
# bound, so ids are kept a little longer than the expiry.
EXPIRY_GRACE_S = 5.0


@dataclass(slots=True)
class JobRecord:
    """Started tasks of one job on this agent."""

    job: bytes
    owner: str
    expires_at: float  # wall clock, seconds
    former_owners: set[str] = field(default_factory=set)
    running: set[int] = field(default_factory=set)
    results: dict[int, TaskResult] = field(default_factory=dict)
    forgotten: set[int] = field(default_factory=set)
    acknowledged: bool = False
    finished_at: float = 0.0  # monotonic time of the newest result

    def has_started(self, index):
        """Return whether this agent ever started the task."""
        return index in self.running or index in self.results or index in self.forgotten


@dataclass(slots=True)
class ResultStore:
    """Records of all jobs with started tasks, oldest first."""

    retention_s: float
    memory_bytes: int
    _records: OrderedDict = field(default_factory=OrderedDict)
    _bytes: int = 0

    @property
    def records(self):
        """Return the records by job id."""
        return self._records

    @property
    def bytes(self):
        """Return the size of the retained outputs."""
        return self._bytes

    def get(self, job):
        """Return the record of a job or None."""
        return self._records.get(job)

    def start(self, job, owner, expires_at, index):
        """Note that a task starts now."""
        record = self._records.get(job)
        if record is None:
            record = self._records[job] = JobRecord(job, owner, expires_at)
        record.running.add(index)
        return record

    def withdraw(self, job, index):
        """Forget a start that provably did not reach the worker."""
        record = self._records[job]
        record.running.discard(index)
        if not (record.running or record.results or record.forgotten):
            del self._records[job]

    def finish(self, job, result, now):
        """Store a result; return its record, or None when it is not expected."""
        record = self._records.get(job)
        if record is None or result.index not in record.running:
            return None
        record.running.discard(result.index)
        record.results[result.index] = result
        record.finished_at = now
        self._bytes += _size(result)
        self._enforce_memory_bound()
        return record

    def acknowledge(self, job):
        """Note that the owner holds all results of the job."""
        record = self._records.get(job)
        if record is not None:
            record.acknowledged = True

    def expire(self, now, wall):
        """Drop expired records, and results that are acknowledged and old."""
        for job, record in list(self._records.items()):
            if record.running:
                continue
            if wall > record.expires_at + EXPIRY_GRACE_S:
                self._drop_results(record)
                del self._records[job]
            elif record.acknowledged and now - record.finished_at > self.retention_s:
                self._drop_results(record)

    def _drop_results(self, record):
        self._bytes -= sum(_size(result) for result in record.results.values())
        record.forgotten.update(record.results)
        record.results.clear()

    def _enforce_memory_bound(self):
        if self._bytes <= self.memory_bytes:
            return
        by_age = sorted(
            (r for r in self._records.values() if r.results),
            key=lambda r: (not r.acknowledged, r.finished_at),
        )
        for record in by_age:
            if self._bytes <= self.memory_bytes:
                return
            self._drop_results(record)


def create_result_store(settings):
    """Return an empty store with the bounds of the agent's settings."""
    return ResultStore(settings.result_retention_s, settings.result_memory_bytes)


def inventory_of(record):
    """Return what a new owner has to know of a job."""
    return JobInventory(
        record.job,
        sorted(record.running),
        list(record.results.values()),
        sorted(record.forgotten),
    )


def _size(result):
    return len(result.output) + len(result.error) + 64
