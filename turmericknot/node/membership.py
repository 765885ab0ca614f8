"""Membership of the group of entries: owned shards, and who owns the rest."""

import asyncio

from turmericknot.core.exceptions import StoreError, StoreFenced, StoreUnavailable
from turmericknot.platform.store import JOBS_TOPIC
from turmericknot.scheduling import ownership
from turmericknot.utils.logging import get_logger

from .appender import create_appender
from .clock import steady_time
from .tasks import start_task

# A member that has sent nothing for this long loses its shards to the others.
MEMBER_TTL_S = 1.5
JOIN_INTERVAL_S = 0.4
# Ownership and owners are looked up again after a failure or a change.
RETRY_S = 0.15
# The last appends of a shard that is handed over may take this long.
HAND_OVER_S = 0.5
OWNERS_MAX_AGE_S = 5.0


class Membership:
    """The entry's place in the group and the appenders of its shards."""

    __slots__ = (
        "_node",
        "_store",
        "_member",
        "_shard_count",
        "_generation",
        "_appenders",
        "_gaining",
        "_owners",
        "_owners_at",
        "_owners_generation",
        "_refresh",
        "_is_leaving",
        "_is_joined",
    )

    def __init__(self, node, store, member, shard_count):
        self._node = node
        self._store = store
        self._member = member
        self._shard_count = shard_count
        self._generation = 0
        self._appenders = {}  # shard -> Appender
        self._gaining = {}  # shard -> Task
        self._owners = {}  # shard -> member
        self._owners_at = 0.0
        self._owners_generation = -1
        self._refresh = asyncio.Event()
        self._is_leaving = False
        self._is_joined = False

    @property
    def is_joined(self):
        """Return whether the store answered the last call."""
        return self._is_joined

    def appender(self, shard):
        """Return the appender of an owned shard, or None."""
        return self._appenders.get(shard)

    def owner(self, shard):
        """Return the member that owns a shard, or an empty string."""
        return self._owners.get(shard, "")

    def ask_refresh(self):
        """Look up the owners again soon: one of them does not answer."""
        self._owners_at = 0.0
        self._refresh.set()

    async def run(self):
        """Stay in the group and follow what it assigns to this entry."""
        while not self._is_leaving:
            try:
                await self._join()
            except StoreError as error:
                self._note_failure(error)
            delay = JOIN_INTERVAL_S if self._is_joined else RETRY_S
            try:
                async with asyncio.timeout(delay):
                    await self._refresh.wait()
                await asyncio.sleep(RETRY_S / 3)
            except TimeoutError:
                pass
            self._refresh.clear()

    async def leave(self):
        """Hand all shards over to the rest of the group."""
        self._is_leaving = True
        for shard in list(self._appenders):
            await self._lose(shard, "leaving")
        try:
            await self._store.leave(self._member)
            self._owners = {}
            await self._look_up_owners()
        except StoreError as error:
            get_logger().warning("group.leave_failed", reason=str(error))

    async def run_after_leave(self):
        """Follow the owners for the requests that still arrive."""
        while True:
            await asyncio.sleep(RETRY_S)
            try:
                await self._look_up_owners()
            except StoreError as error:
                get_logger().warning("owners.unknown", reason=str(error))

    async def _join(self):
        sent_at = steady_time()
        reply = await self._store.join(self._member, self._generation, MEMBER_TTL_S)
        if self._is_leaving:
            return
        if not self._is_joined:
            self._is_joined = True
            get_logger().info("store.regained", use="group")
        assigned = {
            shard
            for shard in range(self._shard_count)
            if self._store.shard_partition(shard, self._shard_count) in reply.shards
        }
        is_changed = reply.generation != self._generation
        self._generation = reply.generation
        if is_changed:
            get_logger().info(
                "group.changed", generation=reply.generation, shards=sorted(assigned)
            )
        for shard in [*self._appenders]:
            if shard not in assigned:
                await self._lose(shard, "assigned to another entry")
        if is_changed:
            await self._check_retained()
        for shard in assigned:
            if shard not in self._appenders and shard not in self._gaining:
                task = start_task(self._gain(shard), "gain", self._node.failed)
                self._gaining[shard] = task
        if self._appenders:
            ownership.confirm_ownership(self._node.owner, sent_at)
        age = steady_time() - self._owners_at
        if reply.generation != self._owners_generation or age > OWNERS_MAX_AGE_S:
            await self._look_up_owners()
            self._owners_generation = reply.generation

    async def _look_up_owners(self):
        partitions = await self._store.owners()
        self._owners = {
            shard: partitions.get(
                self._store.shard_partition(shard, self._shard_count), ""
            )
            for shard in range(self._shard_count)
        }
        self._owners_at = steady_time()
        self._node.owners_changed()

    async def _check_retained(self):
        """Make sure that nobody has owned a shard since this entry last wrote."""
        for shard, appender in list(self._appenders.items()):
            if not appender.is_idle:
                continue  # the append under way finds out
            try:
                await appender.fence()
            except StoreFenced:
                await self._lose(shard, "owned by another entry meanwhile")

    async def _gain(self, shard):
        """Fence off the former owner and load the shard."""
        try:
            await self._fence_and_load(shard)
        except StoreFenced:
            get_logger().warning("shard.fenced", shard=shard, epoch=self._generation)
            await asyncio.sleep(RETRY_S)
        except StoreUnavailable as error:
            get_logger().warning("shard.not_loaded", shard=shard, reason=str(error))
            await asyncio.sleep(RETRY_S)
        finally:
            del self._gaining[shard]

    async def _fence_and_load(self, shard):
        node = self._node
        epoch = self._generation
        partition = self._store.shard_partition(shard, self._shard_count)
        appender = create_appender(
            self._store, partition, epoch, node.append_events, steady_time
        )
        await appender.fence()
        _, records = await self._store.newest(JOBS_TOPIC, partition)
        now = steady_time()
        if self._is_leaving:
            return
        self._appenders[shard] = appender
        items = [(record.key, record.value) for record in records if record.value]
        ownership.gain_shard(node.owner, shard, epoch, items, now)
        start_task(appender.run(), "append", node.failed)
        node.decided()
        node.owners_changed()

    async def _lose(self, shard, reason):
        appender = self._appenders.pop(shard)
        self._node.owner.shards[shard].is_closing = True
        deadline = steady_time() + HAND_OVER_S
        while not appender.is_idle and steady_time() < deadline:
            await asyncio.sleep(0.005)
        self.drop(shard, appender, reason)

    def drop(self, shard, appender, reason):
        """Forget a shard at once."""
        self._appenders.pop(shard, None)
        appender.close()
        ownership.lose_shard(self._node.owner, shard, reason, steady_time())
        self._node.decided()
        self._node.owners_changed()

    def fenced(self, appender):
        """Note that another entry writes to a shard of this one."""
        for shard, known in list(self._appenders.items()):
            if known is appender:
                self.drop(shard, appender, "fenced")

    def _note_failure(self, error):
        if self._is_joined:
            self._is_joined = False
            get_logger().warning("store.lost", use="group", reason=str(error))


def create_membership(node, store, member, shard_count):
    """Return the membership of an entry that has not joined yet."""
    return Membership(node, store, member, shard_count)
