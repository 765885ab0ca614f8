"""The configuration in force: from the log, or from a peer while the log is down.

Callbacks of links run in the thread of the event loop, the tail in its own; the
lock guards the follower and the version in force.
"""

import random
import threading

from turmericknot.configtree import follower
from turmericknot.configtree.records import CONFIG_STREAM
from turmericknot.configtree.tree import Verdict
from turmericknot.core.exceptions import (
    AppendNotWritten,
    AppendOutcomeUnknown,
    LogUnavailable,
    RecordsTrimmed,
)
from turmericknot.core.ids import create_record_id
from turmericknot.dispatch import events
from turmericknot.utils.logging import get_logger
from turmericknot.wire.messages import ConfigUpdate

from .log import follow

POLL_WAIT_S = 10.0

_LOUD = (Verdict.CONFLICT, Verdict.INVALID)


class Config:
    """Progress in stream ``config`` and the streams of agents that hear of it."""

    __slots__ = (
        "_kernel",
        "_author",
        "_rng",
        "_state",
        "_retention_s",
        "_agents",
        "_lock",
        "_stopping",
    )

    def __init__(self, kernel, author):
        self._kernel = kernel
        self._author = author
        self._rng = random.Random()
        self._state = follower.create_follower(self._rng)
        self._retention_s = None  # as the log service states it, once asked
        self._agents = set()
        self._lock = threading.Lock()
        self._stopping = threading.Event()

    @property
    def version(self):
        """Return the version in force; 0 while there is none."""
        return self._state.version

    @property
    def tree(self):
        """Return the tree in force; empty while there is none."""
        return self._state.merged.tree

    def start(self):
        """Follow the stream of configuration records."""
        client = self._kernel.get("log").client
        threading.Thread(
            target=follow,
            args=(lambda: self._read(client), self._stopping, lambda: None),
            name="config",
            daemon=True,
        ).start()

    def stop(self):
        """Stop following; a long poll in progress ends with its thread."""
        self._stopping.set()

    def agent_welcomed(self, stream):
        """Tell an agent the version, now and at every change."""
        with self._lock:
            self._agents.add(stream)
            version = self.version
        if version:
            self._send([stream], ConfigUpdate(version, b""))

    def peer_opened(self, stream, version):
        """Give a peer with an older configuration the one in force here."""
        with self._lock:
            own = self.version
            copy = follower.export_copy(self._state) if version < own else None
        if copy is not None:
            self._send([stream], ConfigUpdate(own, copy))

    def take_updates(self, messages):
        """Install what a peer sent; return the other messages."""
        rest = []
        for message in messages:
            if isinstance(message, ConfigUpdate):
                with self._lock:
                    follower.import_copy(self._state, message.tree)
                self._put_in_force()
            else:
                rest.append(message)
        return rest

    def closed(self, stream):
        """Forget the stream of an agent."""
        self._agents.discard(stream)

    def _read(self, client):
        """Wait for records; put a new version in force; keep a snapshot fresh."""
        try:
            page = client.read(CONFIG_STREAM, self._state.next_offset, POLL_WAIT_S)
        except RecordsTrimmed as error:
            with self._lock:
                follower.skip_trimmed_records(self._state, error.first_offset)
            return
        with self._lock:
            outcomes = follower.apply_page(self._state, page)
        for outcome in outcomes:
            if outcome.verdict in _LOUD:
                get_logger().warning("config.skipped", outcome=str(outcome))
        self._put_in_force()
        self._write_snapshot(client, page.log_time)

    def _put_in_force(self):
        with self._lock:
            change = follower.take_configuration(self._state)
            if change is None:
                return
            # Posted under the lock, so that versions reach the dispatcher in order.
            self._kernel.get("dispatcher").post(events.ConfigChanged(*change))
            agents = list(self._agents)
        get_logger().info("config.in_force", version=change[0])
        self._send(agents, ConfigUpdate(change[0], b""))

    def _write_snapshot(self, client, log_time):
        """Append a snapshot when the newest one gets old; any entry may."""
        try:
            if self._retention_s is None:
                self._retention_s = client.info().retention_s
            with self._lock:
                data = follower.take_due_snapshot(
                    self._state,
                    log_time,
                    self._retention_s,
                    create_record_id(self._rng),
                    self._author,
                )
            if data is not None:
                client.append(CONFIG_STREAM, data)
        except (LogUnavailable, AppendNotWritten, AppendOutcomeUnknown) as error:
            get_logger().warning("config.snapshot_failed", error=str(error))

    def _send(self, streams, message):
        links = self._kernel.get("links")
        for stream in streams:
            links.send(stream, message)
        links.flush()


def create_config(kernel, settings):
    """Return the configuration service of an entry."""
    return Config(kernel, settings.entry_id)
