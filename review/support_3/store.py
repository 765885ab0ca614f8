"""Stand-in for the platform's store, as the users' page on the protocol tells it.

Faults are set as attributes: ``is_down`` (every call is answered with 503),
``turned_away`` (the same for some processes), ``slow_s`` (added to every answer),
``lost_share`` of the writing calls are carried out and not answered, ``late_share`` of
them are carried out 1 to 6 s later instead.
"""

import asyncio
import base64
import json
import random
import time
from itertools import pairwise

from .web import Reply, Server

ANSWER_S = 0.004
APPEND_S = 0.001
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
REPEATED_APPENDS = 5


class Partition:
    """The records of a partition and the state of its producers."""

    def __init__(self):
        self.records = []  # (key, value)
        self.epochs = {}  # producer -> epoch
        self.last_sequences = {}  # producer -> sequence of its last append, or None
        self.replies = {}  # producer -> {sequence: Reply}
        self.lock = asyncio.Lock()
        self.grown = asyncio.Event()


class Group:
    """A group: members, who holds which partition, and who shall hold it."""

    def __init__(self):
        self.generation = 0
        self.members = {}  # member -> [last join, TTL in s, generation]
        self.holders = {}  # partition -> member
        self.shift = 0


class Store:
    """The store; ``log`` takes (event, fields) of what changes in the group."""

    def __init__(self, parts=24, seed=1, log=None):
        self.parts = parts
        self.random = random.Random(seed)
        self.log = log or (lambda event, **fields: None)
        self.partitions = {}
        self.groups = {}
        self.is_down = False
        self.slow_s = 0.0
        self.lost_share = 0.0
        self.late_share = 0.0
        self.servers = {}  # process -> the Server that it calls
        self.turned_away = set()  # processes whose calls are answered with 503

    async def open_for(self, name):
        """Start to listen for a process; return the address for its settings."""

        async def handle(call):
            return Reply(503) if name in self.turned_away else await self._handle(call)

        self.servers[name] = Server(handle)
        return await self.servers[name].start()

    def stop(self):
        """Stop to listen."""
        for server in self.servers.values():
            server.stop()

    def partition(self, topic, number=0):
        return self.partitions.setdefault((topic, number), Partition())

    def put(self, topic, key, value):
        """Append a record as the operator does."""
        self._append(self.partition(topic), [_encode_record(key, value)])

    def deal_anew(self):
        """Assign all partitions of all groups anew at once."""
        for group in self.groups.values():
            if len(group.members) > 1:
                group.shift += 1
                group.generation += 1
                group.holders = {
                    number: self._assigned(group, number)
                    for number in range(self.parts)
                }
                self.log("store.dealt_anew", generation=group.generation)

    def members(self):
        """Return the names of the entries in the group, the longest there first."""
        names = [name for group in self.groups.values() for name in group.members]
        return [name.split("|")[0] for name in names]

    def holder(self, number=0):
        """Return the name of the member that holds a partition, or None."""
        for group in self.groups.values():
            return group.holders.get(number)
        return None

    async def _handle(self, call):
        await asyncio.sleep(ANSWER_S + self.slow_s)
        if self.is_down:
            return Reply(503)
        name = "_" + call.path.strip("/").replace("-", "_")
        handle = getattr(self, name, None)
        if handle is None:
            return Reply(404)
        if call.method == "POST":
            luck = self.random.random()
            if luck < self.late_share:
                asyncio.get_running_loop().create_task(self._carry_out(handle, call))
                return None
            if luck < self.late_share + self.lost_share:
                await handle(call)
                return None
        return await handle(call)

    async def _carry_out(self, handle, call):
        await asyncio.sleep(self.random.uniform(1.0, 6.0))
        await handle(call)

    async def _log_append(self, call):
        if call.query["topic"] in ("keyed.op", "keyed.servers"):
            return Reply(403)
        records = _split_records(call.body)
        if len(call.body) > CALL_BYTES or any(len(r) > RECORD_BYTES for r in records):
            return Reply(400)
        partition = self.partition(call.query["topic"], int(call.query["part"]))
        async with partition.lock:
            await asyncio.sleep(APPEND_S)
            refusal = _check_conditions(partition, call.query, bool(records))
            if refusal is not None:
                return refusal
            offset = len(partition.records)
            self._append(partition, records)
            body = {"offset": offset, "end_offset": len(partition.records)}
            reply = _json_reply(body)
            if "producer" in call.query and records:
                producer = call.query["producer"]
                sequence = int(call.query["seq"])
                partition.last_sequences[producer] = sequence
                replies = partition.replies.setdefault(producer, {})
                replies[sequence] = reply
                for old in sorted(replies)[:-REPEATED_APPENDS]:
                    del replies[old]
            return reply

    def _append(self, partition, records):
        partition.records += [_decode_record(record) for record in records]
        partition.grown.set()
        partition.grown = asyncio.Event()

    async def _log_read(self, call):
        partition = self.partition(call.query["topic"], int(call.query["part"]))
        offset = int(call.query["from"])
        if offset >= len(partition.records):
            try:
                async with asyncio.timeout(int(call.query.get("wait_ms", 0)) / 1000):
                    await partition.grown.wait()
            except TimeoutError:
                pass
        body = len(partition.records).to_bytes(8, "big") + bytes(8)
        for key, value in partition.records[offset:]:
            record = _encode_record(key, value)
            if len(body) + len(record) > int(call.query.get("max_kb", 1024)) * 1024:
                break
            body += len(record).to_bytes(4, "big") + record
        return Reply(200, body)

    async def _log_newest(self, call):
        partition = self.partition(call.query["topic"], int(call.query["part"]))
        newest = {}
        for offset, (key, value) in enumerate(partition.records):
            newest.pop(key, None)
            if value:
                newest[key] = (value, offset)
        rows = sorted(newest.items())
        page = [row for row in rows if row[0] > call.query.get("after", "")][:500]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in page
        ]
        has_more = bool(page) and page[-1] != rows[-1]
        end_offset = len(partition.records)
        return _json_reply(
            {"items": items, "has_more": has_more, "end_offset": end_offset}
        )

    async def _log_trim(self, call):
        return _json_reply({})

    async def _log_join(self, call):
        body = json.loads(call.body)
        group = self.groups.setdefault(body["group"], Group())
        member, now = body["member"], time.monotonic()
        self._expire_members(group, now)
        is_new = member not in group.members
        if is_new:
            group.generation += 1
            self.log("store.joined", member=member, generation=group.generation)
        group.members[member] = [now, body["ttl_ms"] / 1000, body["generation"]]
        for number in range(self.parts):
            assigned, holder = self._assigned(group, number), group.holders.get(number)
            if (
                holder == member
                and assigned != member
                and body["generation"] >= group.generation
            ):
                del group.holders[number]
                holder = None
            if holder is None and assigned == member:
                group.holders[number] = member
        parts = [
            [topic, number, 0]
            for topic in body["topics"]
            for number in range(self.parts)
            if group.holders.get(number) == member
            and self._assigned(group, number) == member
        ]
        return _json_reply({"generation": group.generation, "parts": parts})

    async def _log_leave(self, call):
        body = json.loads(call.body)
        group = self.groups.setdefault(body["group"], Group())
        self._remove_member(group, body["member"])
        return _json_reply({})

    async def _log_owners(self, call):
        group = self.groups.setdefault(call.query["group"], Group())
        rows = [
            ["keyed.jobs", number, member, 0]
            for number, member in sorted(group.holders.items())
        ]
        return _json_reply({"owners": rows})

    def _assigned(self, group, number):
        members = list(group.members)  # the longest in the group first
        return members[(number + group.shift) % len(members)] if members else None

    def _expire_members(self, group, now):
        for member, (joined_at, ttl_s, _) in list(group.members.items()):
            if now - joined_at > ttl_s:
                self._remove_member(group, member)

    def _remove_member(self, group, member):
        if group.members.pop(member, None) is None:
            return
        group.generation += 1
        group.holders = {n: m for n, m in group.holders.items() if m != member}
        self.log("store.left", member=member, generation=group.generation)


def _check_conditions(partition, query, has_records):
    """Return the refusal of an append, its first answer, or None to append."""
    if "at" in query and int(query["at"]) != len(partition.records):
        return _json_reply({"end_offset": len(partition.records)}, 412)
    if "producer" not in query:
        return None
    producer, epoch = query["producer"], int(query["epoch"])
    sequence, known = int(query["seq"]), partition.epochs.get(producer, -1)
    if epoch < known:
        return _json_reply({"reason": "fenced"}, 409)
    if epoch > known:
        partition.epochs[producer] = epoch
        partition.last_sequences[producer] = None
        partition.replies[producer] = {}
        return None
    if not has_records:
        return None
    first_reply = partition.replies.get(producer, {}).get(sequence)
    if first_reply is not None:
        return first_reply
    last = partition.last_sequences.get(producer)
    if last is not None and sequence != last + 1:
        return _json_reply({"reason": "seq", "expected": last + 1}, 409)
    return None


def _json_reply(body, status=200):
    return Reply(
        status, json.dumps(body).encode(), {"Content-Type": "application/json"}
    )


def _encode_record(key, value):
    encoded = key.encode()
    return bytes((len(encoded),)) + encoded + value


def _decode_record(record):
    end = 1 + record[0]
    return record[1:end].decode(), record[end:]


def _split_records(body):
    ends = [0]
    while ends[-1] < len(body):
        start = ends[-1] + 4
        ends.append(start + int.from_bytes(body[ends[-1] : start], "big"))
    return [body[start + 4 : end] for start, end in pairwise(ends)]
