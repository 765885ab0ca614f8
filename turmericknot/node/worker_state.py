"""Stores an agent's last known state of its worker for the next agent process.

A worker reports every 1.5 s. To resume before the next report, a restarted agent
loads what the previous process stored, reads the clock and the run lists from the
worker, and relies on the stored values for the rest.
"""

import asyncio
import zlib
from dataclasses import replace

import msgspec

from turmericknot.core.exceptions import MessageError, StoreError
from turmericknot.platform.store import WORKERS_TOPIC, KeyedRecord
from turmericknot.scheduling.worker_types import WorkerLife
from turmericknot.utils.logging import get_logger

STORED_SEQUENCE = -1  # lower than the number of any report, so every report is newer
WRITE_RETRY_DELAY_S = 1.0  # not urgent: later reports of the worker repeat the state


_worker_life_decoder = msgspec.msgpack.Decoder(WorkerLife)


def encode_worker_life(life):
    """Encode a WorkerLife; return no bytes for None.

    The clock, the sequence number and the times that the worker remains cold and leaves
    are left out, because every report changes them.
    """
    if life is None:
        return b""
    stored_life = replace(
        life,
        clock=0.0,
        clock_at=0.0,
        sequence=STORED_SEQUENCE,
        cold_s=0.0,
        leaves_at=None,
    )
    return msgspec.msgpack.encode(stored_life)


def decode_worker_life(data):
    """Decode a WorkerLife, its clock set to 0; raise MessageError if malformed."""
    try:
        return _worker_life_decoder.decode(data)
    except msgspec.DecodeError as error:
        raise MessageError(f"worker: {error}") from error


class WorkerStateStore:
    """The stored state of one agent's worker."""

    __slots__ = (
        "_store",
        "_key",
        "_partition",
        "_stored_value",
        "_wanted_value",
        "_changed",
    )

    def __init__(self, store, node_name):
        self._store = store
        self._key = node_name
        # Agents are spread over the partitions, so that a read returns few records.
        self._partition = zlib.crc32(node_name.encode()) % store.partitions
        self._stored_value = b""
        self._wanted_value = b""
        self._changed = asyncio.Event()

    def save(self, life):
        """Request that the state is stored, if it has changed; ``run`` writes it."""
        value = encode_worker_life(life)
        if value != self._wanted_value:
            self._wanted_value = value
            self._changed.set()

    async def load(self):
        """Return the WorkerLife that an earlier process stored, or None.

        Raise StoreError when the store fails, MessageError for a malformed record.
        """
        _, records = await self._store.read_newest(WORKERS_TOPIC, self._partition)
        for record in records:
            if record.key == self._key and record.value:
                life = decode_worker_life(record.value)
                self._stored_value = record.value
                return life
        return None

    async def run(self):
        """Write the newest saved state whenever it changes; never returns."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            value = self._wanted_value
            if value == self._stored_value:
                continue
            try:
                record = KeyedRecord(self._key, value)
                await self._store.append(WORKERS_TOPIC, self._partition, [record])
                self._stored_value = value
            except StoreError as error:
                get_logger().warning("worker.not_stored", reason=str(error))
                await asyncio.sleep(WRITE_RETRY_DELAY_S)
                self._changed.set()


def create_worker_state_store(store, node_name):
    """Return the store for the state of the worker next to an agent."""
    return WorkerStateStore(store, node_name)
