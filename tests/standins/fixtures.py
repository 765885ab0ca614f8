"""Fixtures that start stand-ins, shared by the test packages."""

import asyncio

import pytest

from tests.standins.processes import running_log_service
from tests.standins.store import StoreStandin
from turmericknot.clients.log_client import create_log_client
from turmericknot.platform.store import create_store


@pytest.fixture
def log_service():
    with running_log_service("--append-delay-ms", "0") as service:
        yield service


@pytest.fixture
def log_client(log_service):
    client = create_log_client(log_service.url)
    yield client
    client.close()


@pytest.fixture
def run_with_store():
    """Run ``test(store, standin)`` with a store client connected over a socket."""

    def run(test):
        async def main():
            standin = StoreStandin()
            await standin.start()
            store = create_store(standin.address, standin.partitions)
            try:
                await test(store, standin)
            finally:
                store.close()
                standin.server.stop()

        asyncio.run(main())

    return run
