"""The process of an entry, without its sockets."""

import asyncio
import math
from types import SimpleNamespace

from turmericknot.node.entry import EntryNode


def test_nothing_starts_before_the_evacuations_are_known():
    """A restarted entry takes over jobs before it has read the operator's topic."""

    async def main():
        settings = SimpleNamespace(
            node="n",
            link_address="127.0.0.1:1",
            bounds=SimpleNamespace(keep_s=1.0, far_factor=1.0),
            store=SimpleNamespace(address="127.0.0.1:1", partitions=1),
        )
        node = EntryNode(settings)
        assert node.owner.paused_until == math.inf
        node.apply_evacuations(frozenset({"z"}), 7)
        assert node.owner.paused_until < math.inf

    asyncio.run(main())
