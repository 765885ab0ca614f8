"""What an agent last knew of its worker, kept in the store for its next process.

A worker reports itself every 1.5 s. An agent that has restarted need not wait for
that: it reads what its former process stored, asks the worker for its clock and its
lists, and trusts the rest until the next report.
"""

import asyncio
import zlib
from dataclasses import replace

import msgspec

from turmericknot.core.exceptions import MessageError, StoreError
from turmericknot.platform.store import WORKERS_TOPIC, KeyedRecord
from turmericknot.scheduling.worker_types import WorkerLife
from turmericknot.utils.logging import get_logger

BEFORE_ALL_REPORTS = -1  # the number of a recalled life: every report is newer
RETRY_S = 1.0  # of a write: a later report of the worker says the same


_decoder = msgspec.msgpack.Decoder(WorkerLife)


def encode_worker(life):
    """Return the bytes of a WorkerLife; none without a worker.

    What each report changes is left out: the clock and the number of the report.
    """
    if life is None:
        return b""
    lasting = replace(life, clock=0.0, clock_at=0.0, sequence=BEFORE_ALL_REPORTS)
    return msgspec.msgpack.encode(lasting)


def decode_worker(data):
    """Return the WorkerLife in the bytes, with its clock at 0; raise MessageError."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise MessageError(f"worker: {error}") from error


class WorkerMemory:
    """The record of one agent's worker in the store."""

    __slots__ = ("_store", "_key", "_partition", "_stored", "_wanted", "_changed")

    def __init__(self, store, node):
        self._store = store
        self._key = node
        # Agents share the partitions, so that a read returns a few records only.
        self._partition = zlib.crc32(node.encode()) % store.partitions
        self._stored = b""
        self._wanted = b""
        self._changed = asyncio.Event()

    def remember(self, life):
        """Have what is known of the worker stored, if that has changed."""
        value = encode_worker(life)
        if value != self._wanted:
            self._wanted = value
            self._changed.set()

    async def recall(self):
        """Return the WorkerLife that a former process stored, or None.

        Raise StoreError, or MessageError for a record that cannot be read.
        """
        _, records = await self._store.newest(WORKERS_TOPIC, self._partition)
        for record in records:
            if record.key == self._key and record.value:
                life = decode_worker(record.value)
                self._stored = record.value
                return life
        return None

    async def run(self):
        """Store what is remembered, the newest only, for ever."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            value = self._wanted
            if value == self._stored:
                continue
            try:
                record = KeyedRecord(self._key, value)
                await self._store.append(WORKERS_TOPIC, self._partition, [record])
                self._stored = value
            except StoreError as error:
                get_logger().warning("worker.not_stored", reason=str(error))
                await asyncio.sleep(RETRY_S)
                self._changed.set()


def create_worker_memory(store, node):
    """Return the memory of the agent on a VM."""
    return WorkerMemory(store, node)
