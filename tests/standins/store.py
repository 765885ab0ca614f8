"""Stand-in for the platform's store: a log with keyed topics and groups, in memory.

Faults are attributes that the test sets: ``refuse_calls`` answers 503, ``lose_answers`` carries out
a call and closes its connection, ``silent`` never answers.
"""

import asyncio
import base64
import time
from urllib.parse import parse_qs

import msgspec

from turmericknot.aio.server import Response, create_http_server

REMEMBERED_APPENDS = 5


class Partition:
    """Records of one partition of a keyed topic."""

    def __init__(self):
        self.records = []
        self.first_offset = 0
        self.epoch = 0
        self.next_sequence = None
        self.answers = {}  # sequence -> answer of the last appends
        self.changed = asyncio.Event()

    @property
    def end(self):
        return self.first_offset + len(self.records)


class Group:
    """Members of a group and the partitions that they hold."""

    def __init__(self):
        self.generation = 0
        self.members = {}  # member -> (time of the last join, ttl, generation)
        self.holders = {}  # partition -> member


class StoreStandin:
    """The store; ``calls`` lists (method, path) of all calls."""

    def __init__(self, partitions=24):
        self.partitions = partitions
        self.topics = {}
        self.groups = {}
        self.calls = []
        self.refuse_calls = False
        self.lose_answers = 0
        self.hang_calls = False
        self.address = ""
        self.server = create_http_server(self.handle)

    async def start(self):
        await self.server.start("127.0.0.1:0")
        host, port = self.server._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def partition(self, topic, number=0):
        return self.topics.setdefault((topic, number), Partition())

    def put(self, topic, key, value, number=0):
        """Append a record as the operator does."""
        self._extend(self.partition(topic, number), [_keyed(key, value)])

    def newest_values(self, topic, number=0):
        """Return key -> value of a topic."""
        newest = {}
        for content in self.partition(topic, number).records:
            key, value = _split(content)
            newest.pop(key, None)
            if value:
                newest[key] = value
        return newest

    async def handle(self, request):
        self.calls.append((request.method, request.path))
        if self.hang_calls:
            await asyncio.sleep(60)
        if self.refuse_calls:
            return Response(503)
        query = {
            name: values[0]
            for name, values in parse_qs(request.target.partition("?")[2]).items()
        }
        name = request.path.strip("/").replace("-", "_")
        response = await getattr(self, name)(request, query)
        if self.lose_answers:
            self.lose_answers -= 1
            await asyncio.sleep(60)
        return response

    async def log_append(self, request, query):
        partition = self.partition(query["topic"], int(query["part"]))
        records = _split_records(request.body)
        if "producer" in query:
            refusal = _check_producer(partition, query)
            if refusal is not None:
                return refusal
        offset = partition.end
        self._extend(partition, records)
        answer = _json({"offset": offset, "end_offset": partition.end})
        if "producer" in query and records:
            sequence = int(query["seq"])
            partition.next_sequence = sequence + 1
            partition.answers[sequence] = answer
            partition.answers.pop(sequence - REMEMBERED_APPENDS, None)
        return answer

    def _extend(self, partition, records):
        partition.records += records
        partition.changed.set()
        partition.changed = asyncio.Event()

    async def log_read(self, request, query):
        partition = self.partition(query["topic"], int(query["part"]))
        offset = int(query["from"])
        if offset < partition.first_offset:
            return _json({"first_offset": partition.first_offset}, 410)
        wait_s = int(query.get("wait_ms", 0)) / 1000
        if offset >= partition.end and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await partition.changed.wait()
            except TimeoutError:
                pass
        body = partition.end.to_bytes(8, "big") + partition.first_offset.to_bytes(
            8, "big"
        )
        for content in partition.records[offset - partition.first_offset :]:
            body += len(content).to_bytes(4, "big") + content
        return Response(200, body)

    async def log_newest(self, request, query):
        partition = self.partition(query["topic"], int(query["part"]))
        newest = sorted(self.newest_values(query["topic"], int(query["part"])).items())
        page = [item for item in newest if item[0] > query.get("after", "")][:500]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": 0}
            for key, value in page
        ]
        has_more = bool(page) and page[-1] != newest[-1]
        return _json(
            {"items": items, "has_more": has_more, "end_offset": partition.end}
        )

    async def log_join(self, request, query):
        body = msgspec.json.decode(request.body)
        group = self.groups.setdefault(body["group"], Group())
        member, now = body["member"], time.monotonic()
        is_new = member not in group.members
        group.members[member] = (now, body["ttl_ms"] / 1000, body["generation"])
        self._expire(group, now)
        if is_new:
            self._deal(group)
        if body["generation"] == group.generation or is_new:
            self._hand_over(group, member)
        parts = [
            [body["topics"][0], number, 0]
            for number, holder in sorted(group.holders.items())
            if holder == member and self._due(group, number) == member
        ]
        return _json({"generation": group.generation, "parts": parts})

    async def log_leave(self, request, query):
        body = msgspec.json.decode(request.body)
        group = self.groups.setdefault(body["group"], Group())
        if group.members.pop(body["member"], None):
            self._release(group, body["member"])
            self._deal(group)
        return _json({})

    async def log_owners(self, request, query):
        group = self.groups.setdefault(query["group"], Group())
        rows = [
            ["keyed.jobs", number, member, 0]
            for number, member in sorted(group.holders.items())
        ]
        return _json({"owners": rows})

    def _expire(self, group, now):
        for member, (joined_at, ttl, _) in list(group.members.items()):
            if now - joined_at > ttl:
                del group.members[member]
                self._release(group, member)
                self._deal(group)

    def _release(self, group, member):
        group.holders = {
            number: holder
            for number, holder in group.holders.items()
            if holder != member
        }

    def _deal(self, group):
        group.generation += 1

    def _due(self, group, number):
        members = sorted(group.members)
        return members[number % len(members)] if members else None

    def _hand_over(self, group, member):
        """Move what the member no longer has, and take what is free for it."""
        for number in range(self.partitions):
            holder = group.holders.get(number)
            due = self._due(group, number)
            if holder == member and due != member:
                del group.holders[number]
            elif holder is None and due == member:
                group.holders[number] = member


def _check_producer(partition, query):
    epoch, sequence = int(query["epoch"]), int(query["seq"])
    if epoch < partition.epoch:
        return _json({"reason": "fenced"}, 409)
    if epoch > partition.epoch:
        partition.epoch = epoch
        partition.next_sequence = None
        partition.answers.clear()
        return None
    if sequence in partition.answers:
        return partition.answers[sequence]
    expected = partition.next_sequence
    if expected is not None and sequence != expected:
        return _json({"reason": "seq", "expected": expected}, 409)
    return None


def _json(body, status=200):
    return Response(status, msgspec.json.encode(body))


def _keyed(key, value):
    encoded = key.encode()
    return bytes((len(encoded),)) + encoded + value


def _split(content):
    end = 1 + content[0]
    return content[1:end].decode(), content[end:]


def _split_records(body):
    records, position = [], 0
    while position < len(body):
        start = position + 4
        end = start + int.from_bytes(body[position:start], "big")
        records.append(body[start:end])
        position = end
    return records
