"""Stand-in for the network between two processes: a TCP relay with faults.

Started as ``python -m tests.standins.relay CONTROL LISTEN=TARGET...``. Lines sent to
the control address set the state of all links or of the named listeners::

    cut [LISTEN...]      close connections and refuse new ones
    stall [LISTEN...]    keep connections open and deliver nothing
    heal [LISTEN...]     deliver again
    delay MS [LISTEN...] delay each direction by MS milliseconds
"""

import asyncio
import sys
from dataclasses import dataclass, field

CHUNK_BYTES = 65536


@dataclass(slots=True)
class Link:
    """One listening address and where it leads."""

    target: tuple
    state: str = "heal"
    delay_s: float = 0.0
    healed: asyncio.Event = field(default_factory=asyncio.Event)
    writers: set = field(default_factory=set)


def parse(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


async def pump(link, reader, writer):
    """Copy one direction; bytes leave in order, ``delay_s`` after they came."""
    loop = asyncio.get_running_loop()
    queue = asyncio.Queue()

    async def deliver():
        while (item := await queue.get()) is not None:
            due, data = item
            await asyncio.sleep(max(0.0, due - loop.time()))
            await link.healed.wait()
            writer.write(data)
            await writer.drain()
        writer.close()

    delivery = asyncio.create_task(deliver())
    try:
        while data := await reader.read(CHUNK_BYTES):
            queue.put_nowait((loop.time() + link.delay_s, data))
    except ConnectionError:
        pass
    queue.put_nowait(None)
    try:
        await delivery
    except ConnectionError:
        writer.close()


async def connect(link, reader, writer):
    if link.state == "cut":
        writer.transport.abort()
        return
    try:
        far_reader, far_writer = await asyncio.open_connection(*link.target)
    except OSError:
        writer.transport.abort()
        return
    ends = {writer, far_writer}
    link.writers |= ends
    try:
        await asyncio.gather(
            pump(link, reader, far_writer), pump(link, far_reader, writer)
        )
    finally:
        link.writers -= ends


def apply(links, words):
    command, *names = words
    delay_s = float(names.pop(0)) / 1000.0 if command == "delay" else 0.0
    for name in names or list(links):
        link = links[name]
        if command == "delay":
            link.delay_s = delay_s
            continue
        link.state = command
        if command == "heal":
            link.healed.set()
        elif command == "stall":
            link.healed.clear()
        elif command == "cut":
            link.healed.set()
            for writer in list(link.writers):
                writer.transport.abort()
        else:
            raise ValueError(command)


async def serve(control, pairs):
    links = {}
    for pair in pairs:
        listen, _, target = pair.partition("=")
        link = links[listen] = Link(parse(target))
        link.healed.set()
        await asyncio.start_server(
            lambda r, w, link=link: connect(link, r, w), *parse(listen)
        )

    async def on_control(reader, writer):
        while line := await reader.readline():
            apply(links, line.decode().split())
            writer.write(b"ok\n")
        writer.close()

    server = await asyncio.start_server(on_control, *parse(control))
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], sys.argv[2:]))
