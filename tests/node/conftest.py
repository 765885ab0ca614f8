import asyncio

import pytest

from tests.node.platform_site import platform_site
from tests.standins.fixtures import run_with_store  # noqa: F401


@pytest.fixture
def run_site(tmp_path):
    """Run ``test(site)``; check that no task ever ran twice at the same time."""

    def run(test, **size):
        async def main():
            async with platform_site(tmp_path, **size) as site:
                await test(site)
                assert site.violations == []

        asyncio.run(main())

    return run
