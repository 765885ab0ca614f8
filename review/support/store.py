"""Stand-in for the platform's store: a log with keyed topics and groups, in memory."""

import asyncio
import base64
import random
import time
from urllib.parse import parse_qs

from .web import ListeningSocket, NoAnswer, WebServer

REMEMBERED_APPENDS = 5
PAGE_RECORDS = 500
APPEND_S = 0.001
ANSWER_S = 0.004
SILENT_S = 30.0  # callers give up before


class Partition:
    """Records of one partition, and the producer's state."""

    def __init__(self):
        self.records = []
        self.epoch = -1
        self.sequence = None  # of the last append
        self.answers = {}  # sequence -> answer
        self.appended = asyncio.Event()
        self.lock = asyncio.Lock()

    def append(self, records):
        offset = len(self.records)
        self.records += records
        self.appended.set()
        self.appended = asyncio.Event()
        return {"offset": offset, "end_offset": len(self.records)}


class Group:
    """Members of a group and the holder of each (topic, partition)."""

    def __init__(self):
        self.generation = 0
        self.members = {}  # member -> [time of the last join, TTL in s, generation]
        self.wanted = {}  # (topic, part) -> member that should hold it
        self.holders = {}  # (topic, part) -> member


class Store:
    """The store; ``partitions`` is the number of partitions of each topic."""

    def __init__(self, partitions=24):
        self.partitions = partitions
        self.topics = {}
        self.groups = {}
        self.is_down = False  # whether every call is answered with 503
        self.lost_share = 0.0  # of the writing calls: done, and not answered
        self.late_s = 0.0  # lost calls are done this much later
        self.answer_s = ANSWER_S
        self.rng = random.Random(1)
        self.server = WebServer(self._handle)
        self.doors = {}  # name of a process -> Door

    async def open_door(self, name):
        """Open an address of the store for one process, which can be cut off alone."""
        door = self.doors[name] = Door(self)
        await door.start()
        return door.server.address

    async def handle(self, call):
        return await self._handle(call)

    def part(self, topic, number=0):
        return self.topics.setdefault((topic, number), Partition())

    def put(self, topic, key, value):
        """Append a keyed record, as the operator does."""
        name = key.encode()
        self.part(topic).append([bytes((len(name),)) + name + value])

    async def _handle(self, call):
        query = {name: rows[0] for name, rows in parse_qs(call.query).items()}
        await asyncio.sleep(self.answer_s)
        if self.is_down:
            return 503, {}
        handler = getattr(self, "_" + call.path.strip("/").replace("-", "_"), None)
        if handler is None:
            return 404, {}
        if call.method == "POST" and self.rng.random() < self.lost_share:
            await asyncio.sleep(self.late_s)
            await handler(call, query)
            raise NoAnswer
        return await handler(call, query)

    def rebalance(self):
        """Deal all partitions anew at once, without any request of a member."""
        for group in self.groups.values():
            topics = sorted({topic for topic, _ in group.wanted})
            group.wanted = {}
            self._deal(group, topics)
            group.holders = dict(group.wanted)

    async def _log_append(self, call, query):
        part = self.part(query["topic"], int(query["part"]))
        records, position = [], 0
        while position < len(call.body):
            start = position + 4
            position = start + int.from_bytes(call.body[position:start], "big")
            records.append(call.body[start:position])
        async with part.lock:
            await asyncio.sleep(APPEND_S)
            if "at" in query and int(query["at"]) != len(part.records):
                return 412, {"end_offset": len(part.records)}
            if "producer" not in query:
                return 200, part.append(records)
            return _append_of_producer(part, records, query)

    async def _log_read(self, call, query):
        part = self.part(query["topic"], int(query["part"]))
        first = int(query["from"])
        if first >= len(part.records) and int(query.get("wait_ms", 0)):
            try:
                async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                    await part.appended.wait()
            except TimeoutError:
                pass
        data = len(part.records).to_bytes(8, "big") + bytes(8)
        limit = int(query.get("max_kb", 1024)) * 1024
        for record in part.records[first:]:
            if len(data) + len(record) > limit:
                break
            data += len(record).to_bytes(4, "big") + record
        return 200, data

    async def _log_newest(self, call, query):
        part = self.part(query["topic"], int(query["part"]))
        newest = {}
        for offset, record in enumerate(part.records):
            end = 1 + record[0]
            newest[record[1:end].decode()] = (record[end:], offset)
        rows = sorted((key, row) for key, row in newest.items() if row[0])
        rows = [row for row in rows if row[0] > query.get("after", "")]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in rows[:PAGE_RECORDS]
        ]
        return 200, {
            "items": items,
            "has_more": len(rows) > PAGE_RECORDS,
            "end_offset": len(part.records),
        }

    async def _log_join(self, call, query):
        body = call.json()
        group = self.groups.setdefault(body["group"], Group())
        member, now = body["member"], time.monotonic()
        if member not in group.members:
            group.members[member] = [now, body["ttl_ms"] / 1000, 0]
            self._deal(group, body["topics"])
        row = group.members[member]
        row[0] = now
        self._expire(group, body["topics"], now)
        if body["generation"] >= group.generation:
            for key, holder in list(group.holders.items()):
                if holder == member and group.wanted.get(key) != member:
                    del group.holders[key]
        for key, wanted in group.wanted.items():
            group.holders.setdefault(key, wanted)
        parts = [
            [topic, number, 0]
            for (topic, number), holder in sorted(group.holders.items())
            if holder == member and group.wanted[topic, number] == member
        ]
        return 200, {"generation": group.generation, "parts": parts}

    async def _log_leave(self, call, query):
        body = call.json()
        group = self.groups.setdefault(body["group"], Group())
        if group.members.pop(body["member"], None):
            topics = sorted({topic for topic, _ in group.wanted})
            self._drop_holder(group, body["member"])
            self._deal(group, topics)
        return 200, {}

    async def _log_owners(self, call, query):
        group = self.groups.setdefault(query["group"], Group())
        rows = [
            [topic, number, member, 0]
            for (topic, number), member in sorted(group.holders.items())
        ]
        return 200, {"owners": rows}

    def _expire(self, group, topics, now):
        for member, (joined_at, ttl_s, _) in list(group.members.items()):
            if now - joined_at > ttl_s:
                del group.members[member]
                self._drop_holder(group, member)
                self._deal(group, topics)

    def _drop_holder(self, group, member):
        group.holders = {k: m for k, m in group.holders.items() if m != member}

    def _deal(self, group, topics):
        """Distribute all partitions evenly; members keep what they have if possible."""
        group.generation += 1
        keys = [(topic, n) for topic in topics for n in range(self.partitions)]
        members = sorted(group.members)
        if not members:
            group.wanted = {}
            return
        room = {member: -(-len(keys) // len(members)) for member in members}
        wanted = {}
        for key in keys:
            member = group.wanted.get(key)
            if room.get(member, 0) > 0:
                wanted[key] = member
                room[member] -= 1
        for key in keys:
            if key not in wanted:
                wanted[key] = max(members, key=lambda member: room[member])
                room[wanted[key]] -= 1
        group.wanted = wanted


class Door:
    """The way of one process to the store, which can be cut.

    ``mode`` is "open", "silent" (no answer), "busy" (503) or "reset". While it is cut,
    open connections are silent and new ones are not accepted: their opening packets are
    dropped, since the queue of the listening socket is full.
    """

    def __init__(self, store):
        self.mode = "open"
        self._store = store
        self._listener = ListeningSocket()
        self.server = WebServer(self._handle)

    async def start(self):
        self._listener.bind("127.0.0.1:0")
        await self.server.start_on(self._listener)

    async def cut(self):
        self.mode = "silent"
        self.server.stop_accepting()
        await self._listener.block()

    async def heal(self):
        self._listener.unblock()
        self.mode = "open"
        await self.server.start_on(self._listener)

    async def _handle(self, call):
        if self.mode == "open":
            answer = await self._store.handle(call)
            if self.mode != "silent":
                return answer
        if self.mode == "busy":
            return 503, {}
        if self.mode == "silent":
            await asyncio.sleep(SILENT_S)
        raise NoAnswer


def _append_of_producer(part, records, query):
    epoch, sequence = int(query["epoch"]), int(query["seq"])
    if epoch < part.epoch:
        return 409, {"reason": "fenced"}
    if epoch > part.epoch:
        part.epoch, part.sequence, part.answers = epoch, None, {}
    if not records:
        end = len(part.records)
        return 200, {"offset": end, "end_offset": end}
    if sequence in part.answers:
        return 200, part.answers[sequence]
    if part.sequence is not None and sequence != part.sequence + 1:
        return 409, {"reason": "seq", "seq": part.sequence + 1}
    part.sequence = sequence
    answer = part.answers[sequence] = part.append(records)
    part.answers.pop(sequence - REMEMBERED_APPENDS, None)
    return 200, answer
