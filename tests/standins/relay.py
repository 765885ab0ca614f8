"""Stand-in for the network between processes: a TCP relay that injects faults.

Started as ``python -m tests.standins.relay CONTROL LISTEN=TARGET...``. A command sent
to the control address applies to the named listeners, by default to all of them::

    cut [LISTEN...]      close connections and refuse new ones
    stall [LISTEN...]    keep connections open and hold back all data
    heal [LISTEN...]     accept connections and deliver data again
    delay MS [LISTEN...] delay data in each direction by MS milliseconds
"""

import asyncio
import sys
from dataclasses import dataclass, field

CHUNK_BYTES = 65536


@dataclass(slots=True)
class RelayedLink:
    """One listening address with its target address and the state of the link."""

    target: tuple
    state: str = "heal"
    delay_s: float = 0.0
    delivery_allowed: asyncio.Event = field(default_factory=asyncio.Event)
    writers: set = field(default_factory=set)


def parse_address(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


async def copy_stream(link, reader, writer):
    """Copy one direction in order, each chunk ``delay_s`` after it was read."""
    loop = asyncio.get_running_loop()
    queue = asyncio.Queue()

    async def deliver():
        while (item := await queue.get()) is not None:
            deliver_at, data = item
            await asyncio.sleep(max(0.0, deliver_at - loop.time()))
            await link.delivery_allowed.wait()
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


async def relay_connection(link, reader, writer):
    if link.state == "cut":
        writer.transport.abort()
        return
    try:
        target_reader, target_writer = await asyncio.open_connection(*link.target)
    except OSError:
        writer.transport.abort()
        return
    connection_writers = {writer, target_writer}
    link.writers |= connection_writers
    try:
        await asyncio.gather(
            copy_stream(link, reader, target_writer),
            copy_stream(link, target_reader, writer),
        )
    finally:
        link.writers -= connection_writers


def apply_command(links, command_words):
    command, *names = command_words
    delay_s = float(names.pop(0)) / 1000.0 if command == "delay" else 0.0
    for name in names or list(links):
        link = links[name]
        if command == "delay":
            link.delay_s = delay_s
            continue
        link.state = command
        if command == "heal":
            link.delivery_allowed.set()
        elif command == "stall":
            link.delivery_allowed.clear()
        elif command == "cut":
            link.delivery_allowed.set()
            for writer in list(link.writers):
                writer.transport.abort()
        else:
            raise ValueError(command)


async def run_relay(control, pairs):
    links = {}
    for pair in pairs:
        listen, _, target = pair.partition("=")
        link = links[listen] = RelayedLink(parse_address(target))
        link.delivery_allowed.set()
        await asyncio.start_server(
            lambda r, w, link=link: relay_connection(link, r, w), *parse_address(listen)
        )

    async def handle_control(reader, writer):
        while line := await reader.readline():
            apply_command(links, line.decode().split())
            writer.write(b"ok\n")
        writer.close()

    server = await asyncio.start_server(handle_control, *parse_address(control))
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(run_relay(sys.argv[1], sys.argv[2:]))
