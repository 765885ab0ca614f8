"""Started tasks and their results, as stored by an agent.

The ids of started tasks are kept until the key expires, because they prevent a
second start of the same task. Results are kept until they are acknowledged and older
than the retention period, or until the memory limit is reached.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from turmericknot.wire.messages import JobInventory, TaskResult

# Entries accept a resubmission until the key expires by their own clock, which may be
# slow within the skew bound, so ids are kept a little past the expiry.
EXPIRY_GRACE_S = 5.0


@dataclass(slots=True)
class JobRecord:
    """Tasks of one job that were started on this agent."""

    job: bytes
    owner: str
    expires_at: float  # wall clock, seconds
    former_owners: set[str] = field(default_factory=set)
    running: set[int] = field(default_factory=set)
    results: dict[int, TaskResult] = field(default_factory=dict)
    forgotten: set[int] = field(default_factory=set)  # ended, result dropped
    acknowledged: bool = False
    finished_at: float = 0.0  # monotonic time of the newest result

    def has_started(self, index):
        """Return whether this agent ever started the task."""
        return index in self.running or index in self.results or index in self.forgotten


@dataclass(slots=True)
class ResultStore:
    """Records of all jobs with started tasks, in the order of their first start."""

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
        """Return the memory that the stored results use."""
        return self._bytes

    def get(self, job):
        """Return the record of a job, or None."""
        return self._records.get(job)

    def record_start(self, job, owner, expires_at, index):
        """Record the start of a task."""
        record = self._records.get(job)
        if record is None:
            record = self._records[job] = JobRecord(job, owner, expires_at)
        record.running.add(index)
        return record

    def discard_start(self, job, index):
        """Discard a start that provably did not reach the worker."""
        record = self._records[job]
        record.running.discard(index)
        if not (record.running or record.results or record.forgotten):
            del self._records[job]

    def record_result(self, job, result, now):
        """Store a result; return the job's record, or None if it was unexpected."""
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
        """Record that the owner has received all results of the job."""
        record = self._records.get(job)
        if record is not None:
            record.acknowledged = True

    def expire(self, now, wall):
        """Drop expired records, and acknowledged results past the retention."""
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
    """Return an empty store with the limits of the agent's settings."""
    return ResultStore(settings.result_retention_s, settings.result_memory_bytes)


def build_job_inventory(record):
    """Return the inventory of a job that an owner is sent."""
    return JobInventory(
        record.job,
        sorted(record.running),
        list(record.results.values()),
        sorted(record.forgotten),
    )


def _size(result):
    """Return the approximate memory use of a result, in bytes."""
    return len(result.output) + len(result.error) + 64
