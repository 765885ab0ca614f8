"""Membership of an entry in the group of entries, and the owners of all shards."""

import asyncio

from turmericknot.core.exceptions import StoreError, StoreFenced, StoreUnavailable
from turmericknot.platform.store import JOBS_TOPIC
from turmericknot.scheduling import ownership
from turmericknot.utils.logging import get_logger

from .appender import create_appender
from .clock import steady_time
from .tasks import start_background_task

# After this time without a join the store assigns a member's shards to others.
MEMBER_TTL_S = 1.5
JOIN_INTERVAL_S = 0.4
# Delay before the next attempt after a failure, and between reads of the owners.
RETRY_DELAY_S = 0.15
# How long a handover waits for the last appends of the shard.
HANDOVER_TIMEOUT_S = 0.5
OWNERS_MAX_AGE_S = 5.0


class Membership:
    """The entry's membership in the group and the appenders of its shards."""

    __slots__ = (
        "_node",
        "_store",
        "_member",
        "_shard_count",
        "_generation",
        "_appender_by_shard",
        "_unverified_shards",
        "_takeovers",
        "_owner_by_shard",
        "_owners_read_at",
        "_owners_generation",
        "_wakeup",
        "_is_leaving",
        "_is_joined",
    )

    def __init__(self, node, store, member, shard_count):
        self._node = node
        self._store = store
        self._member = member
        self._shard_count = shard_count
        self._generation = 0
        self._appender_by_shard = {}  # shard -> Appender
        self._unverified_shards = set()  # another entry may have owned these meanwhile
        self._takeovers = {}  # shard -> Task
        self._owner_by_shard = {}  # shard -> member
        self._owners_read_at = 0.0
        self._owners_generation = -1
        self._wakeup = asyncio.Event()
        self._is_leaving = False
        self._is_joined = False

    @property
    def is_joined(self):
        """Return whether the last join succeeded."""
        return self._is_joined

    def find_appender(self, shard):
        """Return the appender of an owned shard, or None for other shards."""
        return self._appender_by_shard.get(shard)

    def owner_of(self, shard):
        """Return the member that owns a shard, or an empty string if none is known."""
        return self._owner_by_shard.get(shard, "")

    def request_owner_refresh(self):
        """Read the owners again soon, because one of them does not answer."""
        self._owners_read_at = 0.0
        self._wakeup.set()

    async def run(self):
        """Renew the membership and take over or hand over shards as assigned."""
        while not self._is_leaving:
            try:
                await self._join()
            except StoreError as error:
                self._log_store_failure(error)
            delay_s = JOIN_INTERVAL_S if self._is_joined else RETRY_DELAY_S
            try:
                async with asyncio.timeout(delay_s):
                    await self._wakeup.wait()
                await asyncio.sleep(RETRY_DELAY_S / 3)
            except TimeoutError:
                pass
            self._wakeup.clear()

    async def leave(self):
        """Hand over all shards and leave the group."""
        self._is_leaving = True
        for shard in list(self._appender_by_shard):
            await self._hand_over(shard, "leaving")
        try:
            await self._store.leave(self._member)
            self._owner_by_shard = {}
            await self._refresh_owners()
        except StoreError as error:
            get_logger().warning("group.leave_failed", reason=str(error))

    async def run_after_leave(self):
        """Keep reading the owners, to forward the requests that still arrive."""
        while True:
            await asyncio.sleep(RETRY_DELAY_S)
            try:
                await self._refresh_owners()
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
        assigned_shards = {
            shard
            for shard in range(self._shard_count)
            if self._store.shard_partition(shard, self._shard_count) in reply.partitions
        }
        is_changed = reply.generation != self._generation
        self._generation = reply.generation
        if is_changed:
            get_logger().info(
                "group.changed",
                generation=reply.generation,
                shards=sorted(assigned_shards),
            )
        for shard in [*self._appender_by_shard]:
            if shard not in assigned_shards:
                await self._hand_over(shard, "assigned to another entry")
        if is_changed:
            self._unverified_shards = set(self._appender_by_shard)
        await self._verify_retained_shards()
        for shard in assigned_shards:
            if shard not in self._appender_by_shard and shard not in self._takeovers:
                task = start_background_task(
                    self._take_over(shard), "gain", self._node.on_task_failure
                )
                self._takeovers[shard] = task
        if self._appender_by_shard:
            ownership.confirm_ownership(
                self._node.owner, sent_at, self._unverified_shards
            )
            self._node.execute_commands()
        owners_age_s = steady_time() - self._owners_read_at
        if (
            reply.generation != self._owners_generation
            or owners_age_s > OWNERS_MAX_AGE_S
        ):
            await self._refresh_owners()
            self._owners_generation = reply.generation

    async def _refresh_owners(self):
        member_by_partition = await self._store.read_owners()
        self._owner_by_shard = {
            shard: member_by_partition.get(
                self._store.shard_partition(shard, self._shard_count), ""
            )
            for shard in range(self._shard_count)
        }
        self._owners_read_at = steady_time()
        self._node.update_peers()

    async def _verify_retained_shards(self):
        """Hand over shards that another entry has owned since this entry last wrote."""
        for shard in list(self._unverified_shards):
            appender = self._appender_by_shard.get(shard)
            if appender is not None and not appender.is_idle:
                continue  # a fence is detected by the append in flight
            try:
                if appender is not None:
                    await appender.fence()
            except StoreFenced:
                if self._appender_by_shard.get(shard) is appender:
                    await self._hand_over(shard, "owned by another entry meanwhile")
            self._unverified_shards.discard(shard)

    async def _take_over(self, shard):
        """Take over a shard; after a failure the next join tries again."""
        try:
            await self._fence_and_load(shard)
        except StoreFenced:
            get_logger().warning("shard.fenced", shard=shard, epoch=self._generation)
            await asyncio.sleep(RETRY_DELAY_S)
        except StoreUnavailable as error:
            get_logger().warning("shard.not_loaded", shard=shard, reason=str(error))
            await asyncio.sleep(RETRY_DELAY_S)
        finally:
            del self._takeovers[shard]

    async def _fence_and_load(self, shard):
        """Fence off the previous owner, then load the jobs of the shard.

        If the group changes meanwhile, another entry may have owned the shard since the
        records were read; it has then fenced off this epoch.
        """
        node = self._node
        epoch = self._generation
        partition = self._store.shard_partition(shard, self._shard_count)
        appender = create_appender(
            self._store, partition, epoch, node.append_listener, steady_time
        )
        await appender.fence()
        _, records = await self._store.read_newest(JOBS_TOPIC, partition)
        confirmed_generation = epoch
        while confirmed_generation != self._generation:
            confirmed_generation = self._generation
            await appender.fence()
        now = steady_time()
        if self._is_leaving:
            return
        self._appender_by_shard[shard] = appender
        key_values = [(record.key, record.value) for record in records if record.value]
        ownership.gain_shard(node.owner, shard, epoch, key_values, now)
        start_background_task(appender.run(), "append", node.on_task_failure)
        node.execute_commands()
        node.update_peers()

    async def _hand_over(self, shard, reason):
        appender = self._appender_by_shard.pop(shard)
        self._node.owner.shards[shard].is_closing = True
        deadline = steady_time() + HANDOVER_TIMEOUT_S
        while not appender.is_idle and steady_time() < deadline:
            await asyncio.sleep(0.005)
        self.drop_shard(shard, appender, reason)

    def drop_shard(self, shard, appender, reason):
        """Release a shard at once, without waiting for its appends."""
        self._appender_by_shard.pop(shard, None)
        appender.close()
        ownership.lose_shard(self._node.owner, shard, reason, steady_time())
        self._node.execute_commands()
        self._node.update_peers()

    def drop_fenced_shard(self, appender):
        """Release the shard of an appender that another entry has fenced off."""
        for shard, known_appender in list(self._appender_by_shard.items()):
            if known_appender is appender:
                self.drop_shard(shard, appender, "fenced")

    def _log_store_failure(self, error):
        if self._is_joined:
            self._is_joined = False
            get_logger().warning("store.lost", use="group", reason=str(error))


def create_membership(node, store, member, shard_count):
    """Return the membership of an entry; it joins in ``run``."""
    return Membership(node, store, member, shard_count)
