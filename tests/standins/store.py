"""Stand-in for the platform's store: keyed topics and consumer groups in memory.

Tests inject faults by setting attributes of StoreStandin. ``refuse_calls`` answers
every call with 503. ``lose_answers`` is a number of calls that are carried out and not
answered within 60 s. ``hang_calls`` delays every call by 60 s. Clients give up before.
"""

import asyncio
import base64
import time
from urllib.parse import parse_qs

import msgspec

from turmericknot.aio.server import Response, create_http_server

REMEMBERED_APPEND_ANSWERS = 5


class Partition:
    """Records of one partition of a topic, and the state of its producer."""

    def __init__(self):
        self.records = []
        self.first_offset = 0
        self.epoch = 0
        self.next_sequence = None
        self.answers_by_sequence = {}  # sequence -> answer, for the last appends
        self.record_appended = asyncio.Event()

    @property
    def end_offset(self):
        return self.first_offset + len(self.records)


class Group:
    """Members of a consumer group and the holder of each partition."""

    def __init__(self):
        self.generation = 0
        self.members = {}  # member -> (last join, TTL in s, generation)
        self.holders = {}  # partition -> member


class StoreStandin:
    """The store; ``received_calls`` lists (method, path) of every call."""

    def __init__(self, partitions=24):
        self.partitions = partitions
        self.topics = {}
        self.groups = {}
        self.received_calls = []
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
        """Append a record to a topic, as the operator's tools do."""
        self._append_records(
            self.partition(topic, number), [_encode_record(key, value)]
        )

    def newest_values(self, topic, number=0):
        """Return the newest value of each key of a partition, without deleted keys."""
        newest = {}
        for record in self.partition(topic, number).records:
            key, value = _decode_record(record)
            newest.pop(key, None)
            if value:
                newest[key] = value
        return newest

    async def handle(self, request):
        self.received_calls.append((request.method, request.path))
        if self.hang_calls:
            await asyncio.sleep(60)
        if self.refuse_calls:
            return Response(503)
        query = {
            name: values[0]
            for name, values in parse_qs(request.target.partition("?")[2]).items()
        }
        method_name = request.path.strip("/").replace("-", "_")
        response = await getattr(self, method_name)(request, query)
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
        offset = partition.end_offset
        self._append_records(partition, records)
        answer = _json_response({"offset": offset, "end_offset": partition.end_offset})
        if "producer" in query and records:
            sequence = int(query["seq"])
            partition.next_sequence = sequence + 1
            partition.answers_by_sequence[sequence] = answer
            partition.answers_by_sequence.pop(
                sequence - REMEMBERED_APPEND_ANSWERS, None
            )
        return answer

    def _append_records(self, partition, records):
        partition.records += records
        partition.record_appended.set()
        partition.record_appended = asyncio.Event()

    async def log_read(self, request, query):
        partition = self.partition(query["topic"], int(query["part"]))
        offset = int(query["from"])
        if offset < partition.first_offset:
            return _json_response({"first_offset": partition.first_offset}, 410)
        wait_s = int(query.get("wait_ms", 0)) / 1000
        if offset >= partition.end_offset and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await partition.record_appended.wait()
            except TimeoutError:
                pass
        body = partition.end_offset.to_bytes(
            8, "big"
        ) + partition.first_offset.to_bytes(8, "big")
        for record in partition.records[offset - partition.first_offset :]:
            body += len(record).to_bytes(4, "big") + record
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
        return _json_response(
            {"items": items, "has_more": has_more, "end_offset": partition.end_offset}
        )

    async def log_join(self, request, query):
        body = msgspec.json.decode(request.body)
        group = self.groups.setdefault(body["group"], Group())
        member, now = body["member"], time.monotonic()
        is_new = member not in group.members
        group.members[member] = (now, body["ttl_ms"] / 1000, body["generation"])
        self._expire_members(group, now)
        if is_new:
            self._start_generation(group)
        if body["generation"] == group.generation or is_new:
            self._rebalance_member(group, member)
        parts = [
            [body["topics"][0], number, 0]
            for number, holder in sorted(group.holders.items())
            if holder == member and self._assigned_member(group, number) == member
        ]
        return _json_response({"generation": group.generation, "parts": parts})

    async def log_leave(self, request, query):
        body = msgspec.json.decode(request.body)
        group = self.groups.setdefault(body["group"], Group())
        if group.members.pop(body["member"], None):
            self._release_partitions(group, body["member"])
            self._start_generation(group)
        return _json_response({})

    async def log_owners(self, request, query):
        group = self.groups.setdefault(query["group"], Group())
        rows = [
            ["keyed.jobs", number, member, 0]
            for number, member in sorted(group.holders.items())
        ]
        return _json_response({"owners": rows})

    def _expire_members(self, group, now):
        for member, (joined_at, ttl, _) in list(group.members.items()):
            if now - joined_at > ttl:
                del group.members[member]
                self._release_partitions(group, member)
                self._start_generation(group)

    def _release_partitions(self, group, member):
        group.holders = {
            number: holder
            for number, holder in group.holders.items()
            if holder != member
        }

    def _start_generation(self, group):
        group.generation += 1

    def _assigned_member(self, group, number):
        members = sorted(group.members)
        return members[number % len(members)] if members else None

    def _rebalance_member(self, group, member):
        """Release partitions assigned to other members, take unheld ones of its own.

        A partition changes its holder over two joins, so that no two members hold it.
        """
        for number in range(self.partitions):
            holder = group.holders.get(number)
            assigned_member = self._assigned_member(group, number)
            if holder == member and assigned_member != member:
                del group.holders[number]
            elif holder is None and assigned_member == member:
                group.holders[number] = member


def _check_producer(partition, query):
    """Return the answer to a fenced, repeated or out-of-sequence append, else None.

    A higher epoch fences the producers with a lower one and starts a new sequence.
    """
    epoch, sequence = int(query["epoch"]), int(query["seq"])
    if epoch < partition.epoch:
        return _json_response({"reason": "fenced"}, 409)
    if epoch > partition.epoch:
        partition.epoch = epoch
        partition.next_sequence = None
        partition.answers_by_sequence.clear()
        return None
    if sequence in partition.answers_by_sequence:
        return partition.answers_by_sequence[sequence]
    expected = partition.next_sequence
    if expected is not None and sequence != expected:
        return _json_response({"reason": "seq", "expected": expected}, 409)
    return None


def _json_response(body, status=200):
    return Response(status, msgspec.json.encode(body))


def _encode_record(key, value):
    encoded = key.encode()
    return bytes((len(encoded),)) + encoded + value


def _decode_record(record):
    end = 1 + record[0]
    return record[1:end].decode(), record[end:]


def _split_records(body):
    records, position = [], 0
    while position < len(body):
        start = position + 4
        end = start + int.from_bytes(body[position:start], "big")
        records.append(body[start:end])
        position = end
    return records
