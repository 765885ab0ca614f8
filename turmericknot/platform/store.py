"""Client of the platform's store, a log with keyed topics and member groups.

A shard is stored in one partition of the jobs topic. The client never repeats a call.
"""

import asyncio
import math
import time
from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from turmericknot.aio.client import create_http_client
from turmericknot.core.exceptions import (
    CallAnswerLost,
    CallNotSent,
    RecordsTrimmed,
    StoreError,
    StoreFenced,
    StoreRejected,
    StoreSequenceExpected,
    StoreUnavailable,
)
from turmericknot.utils.logging import get_logger

JOBS_TOPIC = "keyed.jobs"
ENTRIES_TOPIC = "keyed.entries"
WORKERS_TOPIC = "keyed.workers"
OPERATOR_TOPIC = "keyed.op"
ENTRY_GROUP = "entries"
PRODUCER_NAME = "owner"
CALL_TIMEOUT_S = 1.0  # 250 times the usual response time of the store
MAX_READ_KB = 1024  # the platform's default
RECORD_LENGTH_BYTES = 4  # length field before each record
PAGE_HEADER_BYTES = 16  # end offset and first offset, 8 bytes each
# With these statuses the store states that it has not executed the call.
_NOT_EXECUTED_STATUSES = frozenset({429, 503})


@dataclass(slots=True)
class GroupAssignment:
    """The partitions assigned to a member, and the generation of the group."""

    generation: int
    partitions: list


@dataclass(slots=True)
class KeyedRecord:
    """A record of a keyed topic; an empty value deletes the key."""

    key: str
    value: bytes


@dataclass(slots=True)
class RecordPage:
    """Records that were read together; ``next_offset`` is the offset after them.

    A snapshot has the newest record of every key: others have been removed.
    """

    next_offset: int
    records: list
    is_snapshot: bool = False


class _JoinReply(msgspec.Struct):
    generation: int
    parts: list[tuple[str, int, int]]  # topic, partition, committed offset


class _Item(msgspec.Struct):
    key: str
    value: bytes  # base64 in JSON
    offset: int = 0


class _NewestReply(msgspec.Struct):
    items: list[_Item]
    end_offset: int
    has_more: bool = False


class _AppendReply(msgspec.Struct):
    offset: int
    end_offset: int


class _Refusal(msgspec.Struct):
    reason: str = ""
    first_offset: int = 0
    # A sequence conflict names the expected number in one of these fields.
    expected: int | None = None
    seq: int | None = None
    expected_seq: int | None = None


class Store:
    """Client of the store for one process."""

    __slots__ = ("_call_client", "_poll_client", "_partitions")

    def __init__(self, call_client, poll_client, partitions):
        self._call_client = call_client
        # Long polls have a client of their own, so that they do not block other calls.
        self._poll_client = poll_client
        self._partitions = partitions

    @property
    def partitions(self):
        """Return the number of partitions of each topic."""
        return self._partitions

    def shard_partition(self, shard, shard_count):
        """Return the partition of a shard; shards are spread evenly over the topic."""
        return shard * self._partitions // shard_count

    async def join(self, member, generation, ttl_s):
        """Join the group of entries, or stay in it; return the GroupAssignment.

        Raise StoreUnavailable when the call fails.
        """
        body = {
            "group": ENTRY_GROUP,
            "member": member,
            "topics": [JOBS_TOPIC],
            "ttl_ms": int(ttl_s * 1000),
            "generation": generation,
        }
        reply = await self._request_decoded("POST", "/log-join", body, _JoinReply)
        partitions = [part for topic, part, _ in reply.parts if topic == JOBS_TOPIC]
        return GroupAssignment(reply.generation, partitions)

    async def leave(self, member):
        """Leave the group of entries; raise StoreUnavailable."""
        body = {"group": ENTRY_GROUP, "member": member}
        await self._request_checked("POST", "/log-leave", msgspec.json.encode(body))

    async def read_owners(self):
        """Return a dict of partition -> member of the jobs topic.

        Raise StoreUnavailable when the call fails.
        """
        reply = await self._request_checked("GET", f"/log-owners?group={ENTRY_GROUP}")
        return _decode_owners(reply.body)

    async def append(self, topic, partition, records, epoch=None, sequence=None):
        """Append KeyedRecords, all or none.

        Raise StoreRejected when nothing was written, StoreUnavailable when the outcome
        is not known, StoreFenced when a later epoch has written, and
        StoreSequenceExpected when another sequence number is due.
        """
        target = f"/log-append?topic={quote(topic)}&part={partition}"
        if epoch is not None:
            target += f"&producer={PRODUCER_NAME}&epoch={epoch}&seq={sequence}"
        body = b"".join(_encode_record(record) for record in records)
        reply = await self._send("POST", target, body)
        if reply.status == 200:
            return
        if reply.status in _NOT_EXECUTED_STATUSES or reply.status == 507:
            raise StoreRejected(f"append answered {reply.status}")
        if reply.status == 409:
            _raise_conflict(reply.body)
        raise StoreUnavailable(f"append answered {reply.status}: {reply.body[:200]}")

    async def read_newest(self, topic, partition):
        """Return (end offset of the first page, newest KeyedRecord of each key).

        Records appended since can be read from that offset on.
        """
        records, last_key, end_offset = [], None, None
        while True:
            target = f"/log-newest?topic={quote(topic)}&part={partition}"
            if last_key is not None:
                target += f"&after={quote(last_key, safe='')}"
            reply = await self._request_decoded("GET", target, None, _NewestReply)
            if end_offset is None:
                end_offset = reply.end_offset
            records += [KeyedRecord(item.key, item.value) for item in reply.items]
            if not reply.has_more or not reply.items:
                return end_offset, records
            last_key = reply.items[-1].key

    async def poll(self, topic, partition, offset, wait_s):
        """Return the RecordPage from an offset on, as soon as it has a record.

        The page is empty when no record arrives within ``wait_s``. Raise
        RecordsTrimmed when the store has dropped the records at the offset.
        """
        target = (
            f"/log-read?topic={quote(topic)}&part={partition}&from={offset}"
            f"&max_kb={MAX_READ_KB}&wait_ms={int(wait_s * 1000)}"
        )
        timeout_s = wait_s + CALL_TIMEOUT_S
        reply = await self._send("GET", target, timeout_s=timeout_s, is_poll=True)
        if reply.status == 410:
            raise RecordsTrimmed(_decode_refusal(reply.body).first_offset)
        _raise_unless_ok(reply, "read")
        return _decode_page(reply.body, offset)

    async def follow(
        self, topic, wait_s, retry_delay_s, purpose, eager_s=math.inf, pause_s=0.0
    ):
        """Yield the KeyedRecords of a topic, newest of each key first; never ends.

        The parameters are those of ``follow_pages``.
        """
        pages = self.follow_pages(
            topic, wait_s, retry_delay_s, purpose, eager_s, pause_s
        )
        async for page in pages:
            for record in page.records:
                yield record

    async def follow_pages(
        self, topic, wait_s, retry_delay_s, purpose, eager_s=math.inf, pause_s=0.0
    ):
        """Yield a topic as RecordPages, a snapshot first; never ends.

        Another snapshot follows when the store has dropped records before they were
        read. It is the only sign of keys that were removed by then.

        A poll lasts ``wait_s`` at most, so that a dead connection is noticed.
        ``purpose`` names the topic in log lines. After the first ``eager_s``, polls are
        ``pause_s`` apart, so that one poll returns many records.
        """
        offset = None
        is_reachable = True
        eager_until = time.monotonic() + eager_s
        while True:
            if offset is not None and time.monotonic() > eager_until:
                await asyncio.sleep(pause_s)
            try:
                if offset is None:
                    end_offset, records = await self.read_newest(topic, 0)
                    page = RecordPage(end_offset, records, is_snapshot=True)
                else:
                    page = await self.poll(topic, 0, offset, wait_s)
                offset = page.next_offset
            except RecordsTrimmed:
                offset = None
                continue
            except StoreError as error:
                if is_reachable:
                    is_reachable = False
                    get_logger().warning("store.lost", use=purpose, reason=str(error))
                await asyncio.sleep(retry_delay_s)
                continue
            if not is_reachable:
                is_reachable = True
                get_logger().info("store.regained", use=purpose)
            yield page

    def close(self):
        """Close all connections."""
        self._call_client.close()
        self._poll_client.close()

    async def _request_decoded(self, method, target, body, reply_type):
        encoded = msgspec.json.encode(body) if body is not None else b""
        reply = await self._request_checked(method, target, encoded)
        try:
            return msgspec.json.decode(reply.body, type=reply_type)
        except msgspec.DecodeError as error:
            raise StoreUnavailable(f"unreadable answer: {error}") from error

    async def _request_checked(self, method, target, body=b""):
        reply = await self._send(method, target, body)
        _raise_unless_ok(reply, target.partition("?")[0])
        return reply

    async def _send(
        self, method, target, body=b"", timeout_s=CALL_TIMEOUT_S, is_poll=False
    ):
        client = self._poll_client if is_poll else self._call_client
        headers = (("Content-Type", "application/json"),) if body else ()
        try:
            return await client.request(method, target, body, headers, timeout_s)
        except CallNotSent as error:
            raise StoreRejected(str(error)) from error
        except CallAnswerLost as error:
            raise StoreUnavailable(str(error)) from error


def create_store(address, partitions):
    """Return a client of the store at ``host:port``."""
    call_client = create_http_client(address)
    return Store(call_client, create_http_client(address), partitions)


def _raise_unless_ok(reply, operation):
    if reply.status in _NOT_EXECUTED_STATUSES:
        raise StoreRejected(f"{operation} answered {reply.status}")
    if reply.status != 200:
        raise StoreUnavailable(
            f"{operation} answered {reply.status}: {reply.body[:200]}"
        )


def _decode_refusal(body):
    try:
        return msgspec.json.decode(body, type=_Refusal)
    except msgspec.DecodeError as error:
        raise StoreUnavailable(f"unreadable refusal: {error}") from error


def _raise_conflict(body):
    refusal = _decode_refusal(body)
    if refusal.reason == "fenced":
        raise StoreFenced("a later epoch has written to the shard")
    for expected in (refusal.expected, refusal.expected_seq, refusal.seq):
        if expected is not None:
            raise StoreSequenceExpected(expected)
    raise StoreUnavailable(f"append conflict: {body[:200]}")


def _encode_record(record):
    key = record.key.encode()
    content = bytes((len(key),)) + key + record.value
    return len(content).to_bytes(RECORD_LENGTH_BYTES, "big") + content


def _decode_page(data, offset):
    """Decode the RecordPage in the body of a read from ``offset``."""
    records = []
    position = PAGE_HEADER_BYTES
    while position + RECORD_LENGTH_BYTES <= len(data):
        start = position + RECORD_LENGTH_BYTES
        end = start + int.from_bytes(data[position:start], "big")
        if end > len(data):
            break
        record = _decode_record(data[start:end])
        if record is not None:
            records.append(record)
        offset += 1
        position = end
    return RecordPage(offset, records)


def _decode_record(content):
    """Decode a KeyedRecord; return None for data in another format."""
    if not content:
        return None
    key_end = 1 + content[0]
    try:
        return KeyedRecord(content[1:key_end].decode(), content[key_end:])
    except UnicodeDecodeError:
        return None


def _decode_owners(body):
    """Return partition -> member from rows of (topic, partition, member, offset)."""
    try:
        reply = msgspec.json.decode(body)
        rows = (
            reply
            if isinstance(reply, list)
            else next(value for value in reply.values() if isinstance(value, list))
        )
        return {row[1]: row[2] for row in rows if row[0] == JOBS_TOPIC and row[2]}
    except (msgspec.DecodeError, StopIteration, LookupError, TypeError) as error:
        raise StoreUnavailable(f"unreadable owners: {error}") from error
