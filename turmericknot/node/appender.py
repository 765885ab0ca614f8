"""Appends to one shard: in order, one at a time, in batches, until they are decided."""

import asyncio

from turmericknot.core.exceptions import (
    StoreFenced,
    StoreRejected,
    StoreSequenceExpected,
    StoreUnavailable,
)
from turmericknot.platform.store import JOBS_TOPIC, KeyedRecord
from turmericknot.scheduling import job_requests
from turmericknot.utils.logging import get_logger

MAX_BATCH_RECORDS = 500
MAX_BATCH_BYTES = 1_000_000  # half of what the platform takes in one call
RETRY_FIRST_S = 0.05
RETRY_LIMIT_S = 0.4
# A caller whose job may be stored is told to ask again after this time.
UNDECIDED_AFTER_S = 1.0


class Appender:
    """The records of one shard that wait, and the one batch under way."""

    __slots__ = (
        "_store",
        "_partition",
        "_epoch",
        "_sequence",
        "_queue",
        "_wakeup",
        "_events",
        "_clock",
        "_in_flight",
        "_is_available",
        "_is_closed",
    )

    def __init__(self, store, partition, epoch, events, clock):
        self._store = store
        self._partition = partition
        self._epoch = epoch
        self._sequence = 0
        self._queue = []
        self._wakeup = asyncio.Event()
        self._events = events
        self._clock = clock
        self._in_flight = False
        self._is_available = True
        self._is_closed = False

    @property
    def epoch(self):
        """Return the epoch of the appends."""
        return self._epoch

    @property
    def is_available(self):
        """Return whether the store answered the last call."""
        return self._is_available

    @property
    def is_idle(self):
        """Return whether nothing waits or is under way."""
        return not self._queue and not self._in_flight

    def add(self, command):
        """Queue a StoreRecord."""
        self._queue.append(command)
        self._wakeup.set()

    def close(self):
        """End the run of this appender."""
        self._is_closed = True
        self._wakeup.set()

    async def fence(self):
        """Make this epoch the only one that can write.

        Raise StoreFenced when a later one has written, StoreUnavailable.
        """
        try:
            await self._append([])
        except StoreSequenceExpected as error:
            self._sequence = error.expected

    async def run(self):
        """Write batches until the appender is closed or fenced off."""
        while not self._is_closed:
            await self._wait()
            while self._queue and not self._is_closed:
                batch = self._take_batch()
                self._in_flight = True
                try:
                    await self._write(batch)
                except StoreFenced:
                    self._is_closed = True
                    self._events.fenced(self)
                finally:
                    self._in_flight = False

    async def _wait(self):
        """Wait for records; probe a store that did not answer the last call."""
        if self._is_available:
            await self._wakeup.wait()
        while not self._is_available and not self._queue and not self._is_closed:
            await asyncio.sleep(RETRY_LIMIT_S)
            try:
                await self._append([])
            except StoreUnavailable:
                continue
            except (StoreFenced, StoreSequenceExpected):
                pass  # it answers; the next batch finds out the rest
            self._note_success()
        self._wakeup.clear()

    def _take_batch(self):
        size = taken = 0
        for command in self._queue:
            size += len(command.value) + len(command.key)
            if taken and (size > MAX_BATCH_BYTES or taken >= MAX_BATCH_RECORDS):
                break
            taken += 1
        batch, self._queue = self._queue[:taken], self._queue[taken:]
        return batch

    async def _write(self, batch):
        """Append a batch; give up only what is certainly not written."""
        may_be_written = False
        delay = RETRY_FIRST_S
        started_at = self._clock()
        while batch and not self._is_closed:
            sent_at = self._clock()
            try:
                await self._append(batch)
            except StoreSequenceExpected as error:
                if may_be_written and error.expected == self._sequence + 1:
                    self._written(batch, sent_at)
                    return
                get_logger().warning(
                    "append.sequence", epoch=self._epoch, expected=error.expected
                )
                self._sequence = error.expected
                continue
            except StoreRejected as error:
                self._note_failure(error)
                if not may_be_written:
                    batch = self._refuse_submissions(batch)
            except StoreUnavailable as error:
                self._note_failure(error)
                may_be_written = True
            else:
                self._written(batch, sent_at)
                return
            if may_be_written and self._clock() - started_at > UNDECIDED_AFTER_S:
                self._events.undecided(batch)
            await asyncio.sleep(delay)
            delay = min(2 * delay, RETRY_LIMIT_S)

    async def _append(self, batch):
        records = [KeyedRecord(command.key, command.value) for command in batch]
        await self._store.append(
            JOBS_TOPIC, self._partition, records, self._epoch, self._sequence
        )

    def _written(self, batch, sent_at):
        self._sequence += 1
        self._note_success()
        self._events.written(self, batch, sent_at)

    def _refuse_submissions(self, batch):
        refused = [c for c in batch if job_requests.is_acceptance_token(c.token)]
        if refused:
            self._events.not_written(refused)
        return [c for c in batch if not job_requests.is_acceptance_token(c.token)]

    def _note_success(self):
        if not self._is_available:
            self._is_available = True
            get_logger().info("store.regained", use="append", epoch=self._epoch)

    def _note_failure(self, error):
        if self._is_available:
            self._is_available = False
            get_logger().warning("store.lost", use="append", reason=str(error))


def create_appender(store, partition, epoch, events, clock):
    """Return an appender; ``events`` takes written, not_written, undecided, fenced."""
    return Appender(store, partition, epoch, events, clock)
