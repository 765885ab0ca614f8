"""The active configuration, read from the log or, while that is down, from a peer.

Link callbacks run in the event loop thread and the log is read in a separate thread.
A lock guards the follower state and the active version.
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

from .log import poll_until_stopped

LONG_POLL_WAIT_S = 10.0

_SKIPPED_VERDICTS = (Verdict.CONFLICT, Verdict.INVALID)


class ConfigService:
    """Follow stream ``config`` and notify agents and peers of new versions."""

    __slots__ = (
        "_kernel",
        "_author",
        "_rng",
        "_follower",
        "_retention_s",
        "_agent_streams",
        "_lock",
        "_stopping",
    )

    def __init__(self, kernel, author):
        self._kernel = kernel
        self._author = author
        self._rng = random.Random()
        self._follower = follower.create_follower(self._rng)
        self._retention_s = None  # None until requested from the log service
        self._agent_streams = set()
        self._lock = threading.Lock()
        self._stopping = threading.Event()

    @property
    def version(self):
        """Return the active version; 0 while there is none."""
        return self._follower.version

    @property
    def tree(self):
        """Return the active configuration tree; empty while there is none."""
        return self._follower.merged.tree

    def start(self):
        """Start the thread that reads configuration records."""
        client = self._kernel.get("log").client
        threading.Thread(
            target=poll_until_stopped,
            args=(lambda: self._read_page(client), self._stopping, lambda: None),
            name="config",
            daemon=True,
        ).start()

    def stop(self):
        """Stop reading; the thread ends after the long poll in progress."""
        self._stopping.set()

    def subscribe_agent(self, stream):
        """Send an agent the active version now and after every change."""
        with self._lock:
            self._agent_streams.add(stream)
            version = self.version
        if version:
            self._send([stream], ConfigUpdate(version, b""))

    def send_newer_config(self, stream, version):
        """Send the active configuration to a peer that has an older version."""
        with self._lock:
            own_version = self.version
            config_copy = (
                follower.export_copy(self._follower) if version < own_version else None
            )
        if config_copy is not None:
            self._send([stream], ConfigUpdate(own_version, config_copy))

    def apply_updates(self, messages):
        """Apply the configuration updates of a peer; return all other messages."""
        other_messages = []
        for message in messages:
            if isinstance(message, ConfigUpdate):
                with self._lock:
                    follower.import_copy(self._follower, message.tree)
                self._activate_change()
            else:
                other_messages.append(message)
        return other_messages

    def unsubscribe_agent(self, stream):
        """Send no more versions to a stream; other streams are ignored."""
        self._agent_streams.discard(stream)

    def _read_page(self, client):
        """Read one page; activate a new version; append a snapshot when one is due."""
        try:
            page = client.read(
                CONFIG_STREAM, self._follower.next_offset, LONG_POLL_WAIT_S
            )
        except RecordsTrimmed as error:
            with self._lock:
                follower.skip_trimmed_records(self._follower, error.first_offset)
            return
        with self._lock:
            outcomes = follower.apply_page(self._follower, page)
        for outcome in outcomes:
            if outcome.verdict in _SKIPPED_VERDICTS:
                get_logger().warning("config.skipped", outcome=str(outcome))
        self._activate_change()
        self._append_due_snapshot(client, page.log_time)

    def _activate_change(self):
        with self._lock:
            change = follower.take_configuration(self._follower)
            if change is None:
                return
            # Post under the lock, so that versions reach the dispatcher in order.
            self._kernel.get("dispatcher").post(events.ConfigChanged(*change))
            agent_streams = list(self._agent_streams)
        get_logger().info("config.in_force", version=change[0])
        self._send(agent_streams, ConfigUpdate(change[0], b""))

    def _append_due_snapshot(self, client, log_time):
        """Append a snapshot when the newest one is too old; any entry may do so."""
        try:
            if self._retention_s is None:
                self._retention_s = client.info().retention_s
            with self._lock:
                data = follower.take_due_snapshot(
                    self._follower,
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


def create_config_service(kernel, settings):
    """Return the configuration service of an entry."""
    return ConfigService(kernel, settings.entry_id)
