"""The configuration in force: from the log, or from a peer while the log is down.

Callbacks of links run in the thread of the event loop, the tail in its own.
"""

import threading

import msgspec

from turmericknot.core.exceptions import RecordsTrimmed
from turmericknot.dispatch import events
from turmericknot.utils.logging import get_logger
from turmericknot.wire.messages import ConfigUpdate

from .log import follow

STREAM = "config"
POLL_WAIT_S = 10.0


class Config:
    """Version and tree in force, and the streams of agents that hear of them."""

    __slots__ = ("_kernel", "_version", "_tree", "_next", "_agents", "_lock", "_stop")

    def __init__(self, kernel):
        self._kernel = kernel
        self._version = 0
        self._tree = {}
        self._next = 0
        self._agents = set()
        self._lock = threading.Lock()
        self._stop = threading.Event()

    @property
    def version(self):
        """Return the version in force; 0 while there is none."""
        return self._version

    def start(self):
        """Follow the stream of configuration records."""
        client = self._kernel.get("log").client
        threading.Thread(
            target=follow,
            args=(lambda: self._read(client), self._stop, lambda: None),
            name="config",
            daemon=True,
        ).start()

    def stop(self):
        """Stop following; a long poll in progress ends with its thread."""
        self._stop.set()

    def install(self, version, tree):
        """Put a configuration in force unless it is older than the present one."""
        with self._lock:
            if version <= self._version:
                return
            self._version, self._tree = version, tree
            self._kernel.get("dispatcher").post(events.ConfigChanged(version, tree))
            agents = list(self._agents)
        get_logger().info("config.in_force", version=version)
        links = self._kernel.get("links")
        for stream in agents:
            links.send(stream, ConfigUpdate(version, b""))
        links.flush()

    def agent_welcomed(self, stream):
        """Tell an agent the version, now and at every change."""
        self._agents.add(stream)
        if self._version:
            self._send(stream, ConfigUpdate(self._version, b""))

    def peer_opened(self, stream, version):
        """Give a peer with an older configuration the one in force here."""
        if version < self._version:
            tree = msgspec.msgpack.encode(self._tree)
            self._send(stream, ConfigUpdate(self._version, tree))

    def take_updates(self, messages):
        """Install what a peer sent; return the other messages."""
        rest = []
        for message in messages:
            if isinstance(message, ConfigUpdate):
                self.install(message.version, msgspec.msgpack.decode(message.tree))
            else:
                rest.append(message)
        return rest

    def closed(self, stream):
        """Forget the stream of an agent."""
        self._agents.discard(stream)

    def _send(self, stream, message):
        links = self._kernel.get("links")
        links.send(stream, message)
        links.flush()

    def _read(self, client):
        try:
            page = client.read(STREAM, self._next, POLL_WAIT_S)
        except RecordsTrimmed as error:
            self._next = error.first_offset
            return
        for record in page.records:
            self._next = record.offset + 1
            tree = msgspec.json.decode(record.data)["tree"]
            self.install(record.offset + 1, tree)


def create_config(kernel, settings):
    """Return the configuration service of an entry."""
    return Config(kernel)
