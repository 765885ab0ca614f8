"""Client of the platform's store: a log with keyed topics and groups.

A shard is a partition of the topic of jobs. Every call is sent once.
"""

import asyncio
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
GROUP = "entries"
PRODUCER = "owner"
CALL_TIMEOUT_S = 1.0  # 250 times the usual answer of the store
MAX_READ_KB = 1024  # as the platform's default
LENGTH_BYTES = 4  # before each record
READ_HEADER_BYTES = 16  # end and first offset, 8 bytes each
# 429 and 503: the store states that it has done nothing.
_NOT_DONE = frozenset({429, 503})


@dataclass(slots=True)
class Membership:
    """What the store says of a member: its shards and the group's generation."""

    generation: int
    shards: list


@dataclass(slots=True)
class KeyedRecord:
    """A record of a keyed topic; an empty value drops the key."""

    key: str
    value: bytes


@dataclass(slots=True)
class KeyedPage:
    """Records from an offset on; ``next_offset`` continues after them."""

    next_offset: int
    records: list


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
    # The platform answers ``seq`` conflicts with the number it expects.
    expected: int | None = None
    seq: int | None = None
    expected_seq: int | None = None


class Store:
    """The store as one process of the system sees it."""

    __slots__ = ("_calls", "_watches", "_partitions")

    def __init__(self, calls, watches, partitions):
        self._calls = calls
        self._watches = watches  # long polls do not take the connections of calls
        self._partitions = partitions

    @property
    def partitions(self):
        """Return the number of partitions of each topic."""
        return self._partitions

    def shard_partition(self, shard, shard_count):
        """Return the partition that holds a shard; shards lie far apart."""
        return shard * self._partitions // shard_count

    async def join(self, member, generation, ttl_s):
        """Join or stay in the group of entries and return the Membership.

        Raise StoreUnavailable when there is no answer.
        """
        body = {
            "group": GROUP,
            "member": member,
            "topics": [JOBS_TOPIC],
            "ttl_ms": int(ttl_s * 1000),
            "generation": generation,
        }
        reply = await self._json("POST", "/log-join", body, _JoinReply)
        shards = [part for topic, part, _ in reply.parts if topic == JOBS_TOPIC]
        return Membership(reply.generation, shards)

    async def leave(self, member):
        """Leave the group of entries; raise StoreUnavailable."""
        body = {"group": GROUP, "member": member}
        await self._request("POST", "/log-leave", msgspec.json.encode(body))

    async def owners(self):
        """Return partition -> member of the topic of jobs; raise StoreUnavailable."""
        reply = await self._request("GET", f"/log-owners?group={GROUP}")
        return _decode_owners(reply.body)

    async def append(self, topic, partition, records, epoch=None, sequence=None):
        """Append KeyedRecords, all or none.

        Raise StoreRejected when nothing was written, StoreUnavailable when that is
        not known, StoreFenced when a later epoch writes, StoreSequenceExpected when
        the sequence does not follow.
        """
        target = f"/log-append?topic={quote(topic)}&part={partition}"
        if epoch is not None:
            target += f"&producer={PRODUCER}&epoch={epoch}&seq={sequence}"
        body = b"".join(_encode_keyed(record) for record in records)
        reply = await self._send("POST", target, body)
        if reply.status == 200:
            return
        if reply.status in _NOT_DONE or reply.status == 507:
            raise StoreRejected(f"append answered {reply.status}")
        if reply.status == 409:
            _raise_conflict(reply.body)
        raise StoreUnavailable(f"append answered {reply.status}: {reply.body[:200]}")

    async def newest(self, topic, partition):
        """Return (end offset of the first page, newest KeyedRecord of each key)."""
        records, after, end_offset = [], None, None
        while True:
            target = f"/log-newest?topic={quote(topic)}&part={partition}"
            if after is not None:
                target += f"&after={quote(after, safe='')}"
            reply = await self._json("GET", target, None, _NewestReply)
            if end_offset is None:
                end_offset = reply.end_offset
            records += [KeyedRecord(item.key, item.value) for item in reply.items]
            if not reply.has_more or not reply.items:
                return end_offset, records
            after = reply.items[-1].key

    async def watch(self, topic, partition, offset, wait_s):
        """Return the KeyedPage from an offset on, as soon as it has a record.

        Raise RecordsTrimmed when the offset is no longer kept.
        """
        target = (
            f"/log-read?topic={quote(topic)}&part={partition}&from={offset}"
            f"&max_kb={MAX_READ_KB}&wait_ms={int(wait_s * 1000)}"
        )
        timeout_s = wait_s + CALL_TIMEOUT_S
        reply = await self._send("GET", target, timeout_s=timeout_s, watch=True)
        if reply.status == 410:
            raise RecordsTrimmed(_refusal(reply.body).first_offset)
        _check_ok(reply, "read")
        return _decode_page(reply.body, offset)

    async def follow(self, topic, wait_s, retry_s, use):
        """Yield the KeyedRecords of a topic, newest of each key first, for ever.

        A watch lasts ``wait_s`` at most, so that a connection that has gone silent
        is noticed. ``use`` names the topic in the log.
        """
        offset = None
        is_reachable = True
        while True:
            try:
                if offset is None:
                    offset, records = await self.newest(topic, 0)
                else:
                    page = await self.watch(topic, 0, offset, wait_s)
                    offset, records = page.next_offset, page.records
            except RecordsTrimmed:
                offset = None
                continue
            except StoreError as error:
                if is_reachable:
                    is_reachable = False
                    get_logger().warning("store.lost", use=use, reason=str(error))
                await asyncio.sleep(retry_s)
                continue
            if not is_reachable:
                is_reachable = True
                get_logger().info("store.regained", use=use)
            for record in records:
                yield record

    def close(self):
        """Drop the connections."""
        self._calls.close()
        self._watches.close()

    async def _json(self, method, target, body, kind):
        encoded = msgspec.json.encode(body) if body is not None else b""
        reply = await self._request(method, target, encoded)
        try:
            return msgspec.json.decode(reply.body, type=kind)
        except msgspec.DecodeError as error:
            raise StoreUnavailable(f"unreadable answer: {error}") from error

    async def _request(self, method, target, body=b""):
        reply = await self._send(method, target, body)
        _check_ok(reply, target.partition("?")[0])
        return reply

    async def _send(
        self, method, target, body=b"", timeout_s=CALL_TIMEOUT_S, watch=False
    ):
        client = self._watches if watch else self._calls
        headers = (("Content-Type", "application/json"),) if body else ()
        try:
            return await client.request(method, target, body, headers, timeout_s)
        except CallNotSent as error:
            raise StoreRejected(str(error)) from error
        except CallAnswerLost as error:
            raise StoreUnavailable(str(error)) from error


def create_store(address, partitions):
    """Return a client of the store at ``host:port``."""
    calls = create_http_client(address)
    return Store(calls, create_http_client(address), partitions)


def _check_ok(reply, what):
    if reply.status in _NOT_DONE:
        raise StoreRejected(f"{what} answered {reply.status}")
    if reply.status != 200:
        raise StoreUnavailable(f"{what} answered {reply.status}: {reply.body[:200]}")


def _refusal(body):
    try:
        return msgspec.json.decode(body, type=_Refusal)
    except msgspec.DecodeError as error:
        raise StoreUnavailable(f"unreadable refusal: {error}") from error


def _raise_conflict(body):
    refusal = _refusal(body)
    if refusal.reason == "fenced":
        raise StoreFenced("a later epoch writes to the shard")
    for number in (refusal.expected, refusal.expected_seq, refusal.seq):
        if number is not None:
            raise StoreSequenceExpected(number)
    raise StoreUnavailable(f"append conflict: {body[:200]}")


def _encode_keyed(record):
    key = record.key.encode()
    content = bytes((len(key),)) + key + record.value
    return len(content).to_bytes(LENGTH_BYTES, "big") + content


def _decode_page(data, offset):
    """Return the KeyedPage in the body of a read from ``offset``."""
    records = []
    position = READ_HEADER_BYTES
    while position + LENGTH_BYTES <= len(data):
        start = position + LENGTH_BYTES
        end = start + int.from_bytes(data[position:start], "big")
        if end > len(data):
            break
        record = _decode_keyed(data[start:end])
        if record is not None:
            records.append(record)
        offset += 1
        position = end
    return KeyedPage(offset, records)


def _decode_keyed(content):
    """Return the KeyedRecord, or None for bytes that another writer left."""
    if not content:
        return None
    key_end = 1 + content[0]
    try:
        return KeyedRecord(content[1:key_end].decode(), content[key_end:])
    except UnicodeDecodeError:
        return None


def _decode_owners(body):
    """Return partition -> member from rows of topic, partition, member, offset."""
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
