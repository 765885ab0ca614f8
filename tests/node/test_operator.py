"""The operator's configuration: newer versions only, over gaps and damage."""

import asyncio
import contextlib

import msgspec

from tests.standins.store import StoreStandin
from turmericknot.node.operator import follow_configuration
from turmericknot.platform.store import create_store


def document(version):
    return msgspec.json.encode({"version": version, "routes": [], "limits": {}})


def follow(test):
    """Run ``test(standin, versions)`` beside a follower of the configuration."""

    async def main():
        standin = StoreStandin()
        await standin.start()
        store = create_store(standin.address, standin.partitions)
        versions = []
        following = asyncio.create_task(
            follow_configuration(store, lambda c: versions.append(c.version))
        )
        try:
            await test(standin, versions)
        finally:
            following.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await following
            store.close()
            standin.server.stop()

    asyncio.run(main())


async def until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


def test_versions_never_go_back():
    """A late or repeated record must not bring a former version into force."""

    async def test(standin, versions):
        standin.put("keyed.op", "config", document(7))
        await until(lambda: versions == [7])
        standin.put("keyed.op", "config", document(5))
        standin.put("keyed.op", "config", b"{damaged")
        standin.put("keyed.op", "other", document(90))
        standin.put("keyed.op", "config", document(9))
        await until(lambda: versions == [7, 9])

    follow(test)


def test_follower_that_fell_behind_loads_anew():
    """The store may drop the records between two versions."""

    async def test(standin, versions):
        standin.put("keyed.op", "config", document(1))
        await until(lambda: versions == [1])
        partition = standin.partition("keyed.op")
        partition.first = 50
        partition.records = []
        standin.put("keyed.op", "config", document(2))
        await until(lambda: versions == [1, 2])

    follow(test)


def test_outage_of_the_store():
    """The version in force stays, and the next one is found after the outage."""

    async def test(standin, versions):
        standin.put("keyed.op", "config", document(1))
        await until(lambda: versions == [1])
        standin.refuse = True
        await asyncio.sleep(1.2)
        standin.refuse = False
        standin.put("keyed.op", "config", document(2))
        await until(lambda: versions == [1, 2])

    follow(test)
