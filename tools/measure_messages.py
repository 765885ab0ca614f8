"""Measure the processor time of a frame on a link, by the kind of its message.

Run ``python -m tools.measure_messages``. Sender and receiver share one event loop, so a
row holds the time of both sides: encoding, HTTP/2, the socket, decoding and, for the
messages of an agent, the decisions of an owner with many agents.
"""

import asyncio
import socket
import time

from tools.measure_scheduling import create_owner_with_agents
from turmericknot.scheduling import reports, runs
from turmericknot.scheduling.jobs import RunEnd
from turmericknot.wire import shard_messages as wire
from turmericknot.wire.links import LinkCallbacks, create_links

AGENTS = 160
FRAMES = 2000
BATCH = 50  # frames in flight, each written and read by itself
SHARD = 1 << 20


def create_messages():
    """Return one message of each kind that is exchanged while jobs run."""
    name = wire.RunName("00000000000000a1", 0, 0, 1)
    start = wire.RunStart("00000000000000a1", 0, 0, 1, 1300, 64, 0, "x" * 1200)
    return {
        "GrantRequest": wire.GrantRequest(1000),
        "Grant": wire.Grant(1000, [wire.ShardEpoch(SHARD + 1, 1)]),
        "RoomReport": wire.RoomReport(12_000, 640, 0),
        "StartRuns": wire.StartRuns(SHARD + 1, 1, "l@1", [start]),
        "RunsEnded": wire.RunsEnded(
            SHARD + 1, "l@1", [wire.EndedRun(name, 7, RunEnd.DONE, 200.0)]
        ),
        "NoteEnds": wire.NoteEnds("l@1", [7]),
        "RunsRefused": wire.RunsRefused(SHARD + 1, [wire.RefusedRun(name, "room")]),
    }


async def measure(kind, message, owner):
    """Return the microseconds of processor time of one frame."""
    received = asyncio.Event()
    counts = {"received": 0}
    accepted = asyncio.Queue()
    opened = asyncio.Queue()

    def handle(stream, messages):
        counts["received"] += len(messages)
        for decoded in messages:
            reports.message_received(owner, "side-7", decoded, 0.0)
        runs.schedule_tasks(owner, 0.0)
        owner.pop_commands()
        received.set()

    def ignore(*arguments):
        pass

    address = f"127.0.0.1:{_free_port()}"
    server = create_links(
        LinkCallbacks(lambda s, m, k: accepted.put_nowait(s), handle, ignore, ignore),
        address,
    )
    client = create_links(
        LinkCallbacks(lambda s, m, k: opened.put_nowait(s), ignore, ignore, ignore)
    )
    await server.attach()
    await client.attach()
    client.dial("server", address, lambda: wire.PeerGreeting(1, "measure"))
    server.send(await accepted.get(), wire.PeerGreeted("measure"))
    server.flush()
    stream = await opened.get()
    started_at = time.process_time()
    for sent in range(1, FRAMES + 1):
        client.send(stream, message)
        client.flush()
        await asyncio.sleep(0)
        if sent % BATCH == 0:
            while counts["received"] < sent:
                received.clear()
                await received.wait()
    seconds = time.process_time() - started_at
    client.stop_dialing("server")
    return seconds / FRAMES * 1e6


def _free_port():
    with socket.create_server(("127.0.0.1", 0)) as listening_socket:
        return listening_socket.getsockname()[1]


def main():
    """Print the time of each kind of message."""
    owner, _ = create_owner_with_agents(AGENTS)
    print("kind          us/frame")
    for kind, message in create_messages().items():
        print(f"{kind:12}  {asyncio.run(measure(kind, message, owner)):8.0f}")


if __name__ == "__main__":
    main()
