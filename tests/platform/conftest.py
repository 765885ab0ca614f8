import asyncio

import pytest

from tests.standins.store import StoreStandin
from turmericknot.platform.store import create_store


@pytest.fixture
def run_with_store():
    """Run ``test(store, standin)`` on a loop with a store over real sockets."""

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
