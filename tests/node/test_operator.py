"""Following the operator's configuration over gaps, outages and malformed records."""

import asyncio
import contextlib

import msgspec

from tests.standins.store import StoreStandin
from turmericknot.node.operator import follow_operator
from turmericknot.platform.store import create_store


def encode_document(version):
    return msgspec.json.encode({"version": version, "routes": [], "limits": {}})


def run_with_follower(test):
    """Run ``test(standin, versions)`` while a follower collects applied versions."""

    async def main():
        standin = StoreStandin()
        await standin.start()
        store = create_store(standin.address, standin.partitions)
        versions = []
        follower = asyncio.create_task(
            follow_operator(
                store,
                lambda configuration: versions.append(configuration.version),
                lambda domains, position: None,
            )
        )
        try:
            await test(standin, versions)
        finally:
            follower.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await follower
            store.close()
            standin.server.stop()

    asyncio.run(main())


async def wait_until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


def test_only_newer_versions_are_applied():
    """A late or repeated record must not bring back an earlier version."""

    async def test(standin, versions):
        standin.put("keyed.op", "config", encode_document(7))
        await wait_until(lambda: versions == [7])
        standin.put("keyed.op", "config", encode_document(5))
        standin.put("keyed.op", "config", b"{damaged")
        standin.put("keyed.op", "other", encode_document(90))
        standin.put("keyed.op", "config", encode_document(9))
        await wait_until(lambda: versions == [7, 9])

    run_with_follower(test)


def test_follower_reloads_after_records_were_trimmed():
    """The store may drop records that a slow follower has not read yet."""

    async def test(standin, versions):
        standin.put("keyed.op", "config", encode_document(1))
        await wait_until(lambda: versions == [1])
        partition = standin.partition("keyed.op")
        partition.first_offset = 50
        partition.records = []
        standin.put("keyed.op", "config", encode_document(2))
        await wait_until(lambda: versions == [1, 2])

    run_with_follower(test)


def test_store_outage_keeps_the_version_in_force():
    """A store outage must not revert the configuration or hide its next version."""

    async def test(standin, versions):
        standin.put("keyed.op", "config", encode_document(1))
        await wait_until(lambda: versions == [1])
        standin.refuse_calls = True
        await asyncio.sleep(1.2)
        standin.refuse_calls = False
        standin.put("keyed.op", "config", encode_document(2))
        await wait_until(lambda: versions == [1, 2])

    run_with_follower(test)
