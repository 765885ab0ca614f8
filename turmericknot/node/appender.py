"""Appends records to one shard: in order, in batches, one batch at a time."""

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
MAX_BATCH_BYTES = 1_000_000  # half of the platform's limit for one call
INITIAL_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.4
# After this time the caller of a submission that may be stored is told to retry.
UNDECIDED_TIMEOUT_S = 1.0


class Appender:
    """The queued records of one shard and the batch in flight."""

    __slots__ = (
        "_store",
        "_partition",
        "_epoch",
        "_sequence",
        "_queue",
        "_wakeup",
        "_listener",
        "_read_clock",
        "_is_in_flight",
        "_is_store_available",
        "_is_closed",
    )

    def __init__(self, store, partition, epoch, listener, read_clock):
        self._store = store
        self._partition = partition
        self._epoch = epoch
        self._sequence = 0
        self._queue = []
        self._wakeup = asyncio.Event()
        self._listener = listener
        self._read_clock = read_clock
        self._is_in_flight = False
        self._is_store_available = True
        self._is_closed = False

    @property
    def epoch(self):
        """Return the epoch under which this appender writes."""
        return self._epoch

    @property
    def is_store_available(self):
        """Return whether the store answered the last call."""
        return self._is_store_available

    @property
    def is_idle(self):
        """Return whether no record is queued or in flight."""
        return not self._queue and not self._is_in_flight

    def add_record(self, command):
        """Queue a StoreRecord command."""
        self._queue.append(command)
        self._wakeup.set()

    def close(self):
        """Stop writing; records still queued are not written."""
        self._is_closed = True
        self._wakeup.set()

    async def fence(self):
        """Fence off all earlier epochs of the shard.

        Raise StoreFenced when a later epoch has already written, StoreUnavailable
        when the call fails.
        """
        try:
            await self._append_batch([])
        except StoreSequenceExpected as error:
            self._sequence = error.expected

    async def run(self):
        """Write batches until the appender is closed or fenced."""
        while not self._is_closed:
            await self._wait_for_records()
            while self._queue and not self._is_closed:
                batch = self._pop_batch()
                self._is_in_flight = True
                try:
                    await self._write_batch(batch)
                except StoreFenced:
                    self._is_closed = True
                    self._listener.on_fenced(self)
                finally:
                    self._is_in_flight = False

    async def _wait_for_records(self):
        """Wait for records; meanwhile probe a store that failed the last call."""
        if self._is_store_available:
            await self._wakeup.wait()
        while not self._is_store_available and not self._queue and not self._is_closed:
            await asyncio.sleep(MAX_RETRY_DELAY_S)
            try:
                await self._append_batch([])
            except StoreUnavailable:
                continue
            except (StoreFenced, StoreSequenceExpected):
                pass  # the store answers again; the next batch handles the conflict
            self._mark_store_available()
        self._wakeup.clear()

    def _pop_batch(self):
        size = count = 0
        for command in self._queue:
            size += len(command.value) + len(command.key)
            if count and (size > MAX_BATCH_BYTES or count >= MAX_BATCH_RECORDS):
                break
            count += 1
        batch, self._queue = self._queue[:count], self._queue[count:]
        return batch

    async def _write_batch(self, batch):
        """Append a batch, with retries.

        Only submissions that are certainly not written are given up.
        """
        may_be_written = False
        retry_delay_s = INITIAL_RETRY_DELAY_S
        started_at = self._read_clock()
        while batch and not self._is_closed:
            sent_at = self._read_clock()
            try:
                await self._append_batch(batch)
            except StoreSequenceExpected as error:
                if may_be_written and error.expected == self._sequence + 1:
                    self._complete_batch(batch, sent_at)
                    return
                get_logger().warning(
                    "append.sequence", epoch=self._epoch, expected=error.expected
                )
                self._sequence = error.expected
                continue
            except StoreRejected as error:
                self._mark_store_unavailable(error)
                if not may_be_written:
                    batch = self._refuse_submissions(batch)
            except StoreUnavailable as error:
                self._mark_store_unavailable(error)
                may_be_written = True
            else:
                self._complete_batch(batch, sent_at)
                return
            if may_be_written and self._read_clock() - started_at > UNDECIDED_TIMEOUT_S:
                self._listener.on_undecided(batch)
            await asyncio.sleep(retry_delay_s)
            retry_delay_s = min(2 * retry_delay_s, MAX_RETRY_DELAY_S)

    async def _append_batch(self, batch):
        records = [KeyedRecord(command.key, command.value) for command in batch]
        await self._store.append(
            JOBS_TOPIC, self._partition, records, self._epoch, self._sequence
        )

    def _complete_batch(self, batch, sent_at):
        self._sequence += 1
        self._mark_store_available()
        self._listener.on_written(self, batch, sent_at)

    def _refuse_submissions(self, batch):
        refused = [
            command
            for command in batch
            if job_requests.is_acceptance_token(command.token)
        ]
        if refused:
            self._listener.on_not_written(self, refused)
        return [
            command
            for command in batch
            if not job_requests.is_acceptance_token(command.token)
        ]

    def _mark_store_available(self):
        if not self._is_store_available:
            self._is_store_available = True
            get_logger().info("store.regained", use="append", epoch=self._epoch)

    def _mark_store_unavailable(self, error):
        if self._is_store_available:
            self._is_store_available = False
            get_logger().warning("store.lost", use="append", reason=str(error))


def create_appender(store, partition, epoch, listener, read_clock):
    """Return an appender.

    Its ``listener`` has the methods ``on_written``, ``on_not_written``,
    ``on_undecided`` and ``on_fenced``.
    """
    return Appender(store, partition, epoch, listener, read_clock)
