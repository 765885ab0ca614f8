"""The links of an agent to the entries: discovery, grant requests, usage reports."""

import asyncio

import msgspec

from turmericknot.core.exceptions import MessageError
from turmericknot.platform.store import ENTRIES_TOPIC
from turmericknot.scheduling import (
    neighborhood,
    usage_reports,
    worker_crashes,
    worker_health,
    worker_leases,
    worker_runs,
)
from turmericknot.scheduling.grant_requests import create_grant_requests
from turmericknot.utils.logging import get_logger
from turmericknot.wire import shard_messages as wire
from turmericknot.wire.links import LinkCallbacks, create_links
from turmericknot.wire.messages import PROTOCOL_VERSION

from . import health_reports
from .clock import steady_time
from .constants import REDIAL_LIMIT_S
from .registration import (
    FORGET_ENTRY_AFTER_S,
    create_registrations,
    decode_registration,
)

RETRY_DELAY_S = 0.3
POLL_WAIT_S = 8.0
# At first, registrations are read as they are written, since everything may be starting
# together. Later they are read in batches: each entry renews its own twice a minute.
EAGER_DISCOVERY_S = 6.0
DISCOVERY_PAUSE_S = 1.0
# Entries are chosen this long after a registration, since many start together, and
# anyway at this interval.
REGISTRATIONS_SETTLE_S = 0.05
CHOOSE_INTERVAL_S = 1.0
# An entry without a stream for this long counts as unreachable.
UNREACHABLE_AFTER_S = 2.0
# How long an entry may take to stop using an agent that leaves it.
LEAVE_DELAY_S = 3.0


class EntryLink:
    """The stream to one entry and the grant requests sent on it."""

    __slots__ = (
        "name",
        "stream",
        "grant_requests",
        "answered_at",
        "known_usage",
        "leaving_since",
    )

    def __init__(self, name, now):
        self.name = name
        self.leaving_since = None  # when the entry was no longer chosen
        self.stream = None
        self.grant_requests = create_grant_requests()
        self.answered_at = now
        self.known_usage = usage_reports.EntryUsage()

    def is_unreachable(self, now):
        """Return whether no stream to the entry has been open for some time."""
        return self.stream is None and now - self.answered_at > UNREACHABLE_AFTER_S


class EntryLinks:
    """The entries that an agent knows, by address, and the streams to them."""

    __slots__ = (
        "_settings",
        "_boot_id",
        "_runs",
        "_store",
        "_handle_messages",
        "_log",
        "_links",
        "_entries",
        "_address_by_stream",
        "_registrations",
        "_choose_timer",
        "_next_choice_at",
    )

    def __init__(self, settings, boot_id, runs, store, handle_messages):
        self._settings = settings
        self._boot_id = boot_id
        self._runs = runs
        self._store = store
        self._handle_messages = handle_messages
        self._log = get_logger()
        callbacks = LinkCallbacks(
            self._on_opened,
            self._on_received,
            self._on_closed,
            lambda key, refused: None,
        )
        self._links = create_links(callbacks, redial_max_delay_s=REDIAL_LIMIT_S)
        self._entries = {}  # address -> EntryLink
        self._address_by_stream = {}  # stream -> address
        self._registrations = create_registrations()
        self._choose_timer = None
        self._next_choice_at = 0.0

    @property
    def links(self):
        """Return the Links that carry the streams."""
        return self._links

    @property
    def connected_count(self):
        """Return the number of entries with an open stream."""
        return sum(1 for link in self._entries.values() if link.stream is not None)

    async def run(self):
        """Follow the registrations of entries in the store and connect to them."""
        records = self._store.follow(
            ENTRIES_TOPIC,
            POLL_WAIT_S,
            RETRY_DELAY_S,
            "entries",
            EAGER_DISCOVERY_S,
            DISCOVERY_PAUSE_S,
        )
        async for record in records:
            try:
                registration = decode_registration(record.value)
            except MessageError as error:
                self._log.warning("registration.unreadable", reason=str(error))
                continue
            self._add_registration(record.key, registration)

    def _add_registration(self, name, registration):
        self._registrations.add(name, registration, steady_time())
        if self._choose_timer is None:
            self._choose_timer = asyncio.get_running_loop().call_later(
                REGISTRATIONS_SETTLE_S, self._choose_entries
            )

    def update(self, now):
        """Connect to the chosen entries and leave the others; called periodically."""
        self._forget_unreachable_entries(now)
        if now >= self._next_choice_at:
            self._choose_entries()
        self._close_left_links(now)

    def _choose_entries(self):
        now = steady_time()
        self._next_choice_at = now + CHOOSE_INTERVAL_S
        if self._choose_timer is not None:
            self._choose_timer.cancel()
            self._choose_timer = None
        connected_names = {
            link.name for link in self._entries.values() if link.stream is not None
        }
        registrations = self._registrations.current(now, connected_names)
        link_by_name = {link.name: link for link in self._entries.values()}
        candidates = [
            neighborhood.EntryCandidate(
                name,
                name in link_by_name and link_by_name[name].is_unreachable(now),
                registration.lacking_services,
                registration.owned_shards,
                registration.wanted_labels,
            )
            for name, registration in registrations.items()
        ]
        life = self._runs.life
        service = life.service if life is not None else self._settings.service
        chosen = neighborhood.choose_entries(
            self._settings.node,
            service,
            candidates,
            life.labels if life is not None else (),
        )
        for name in chosen:
            self._connect_entry(name, registrations[name].address)
        for link in self._entries.values():
            is_left = link.leaving_since is not None
            if is_left != (link.name not in chosen):
                link.leaving_since = None if is_left else now
                self._send_worker_report(link)
        self._links.flush()

    def _connect_entry(self, name, address):
        """Connect to an entry; drop the previous address of an entry that has moved."""
        for known_address, link in list(self._entries.items()):
            if link.name == name and known_address != address:
                self._drop(known_address)
        if address in self._entries:
            self._entries[address].name = name
        else:
            self._entries[address] = EntryLink(name, steady_time())
            self._links.dial(address, address, lambda: self._create_hello(address))

    def _close_left_links(self, now):
        """Close the links to entries that were told some time ago that we leave."""
        streams_in_use = worker_leases.streams_in_use(self._runs)
        for address, link in list(self._entries.items()):
            if link.leaving_since is None or now - link.leaving_since < LEAVE_DELAY_S:
                continue
            if link.stream not in streams_in_use:
                self._log.info("entry.left", entry=address)
                self._drop(address)

    def _drop(self, address):
        self._links.stop_dialing(address)
        del self._entries[address]

    def _forget_unreachable_entries(self, now):
        """Stop reconnecting to entries that are gone, until they register again."""
        for address, link in list(self._entries.items()):
            if link.stream is None and now - link.answered_at > FORGET_ENTRY_AFTER_S:
                self._log.info("entry.forgotten", entry=address)
                self._registrations.remove(link.name)
                self._drop(address)

    def send_crash(self, message):
        """Report a crash of the worker to all connected entries."""
        for link in self._entries.values():
            if link.stream is not None:
                self._links.send(link.stream, message)

    def send_worker_report(self):
        """Report the state of the worker to all connected entries."""
        for link in self._entries.values():
            self._send_worker_report(link)
        self._links.flush()

    def _send_worker_report(self, link):
        if link.stream is not None:
            message = wire.WorkerChanged(self._worker_report(link))
            self._links.send(link.stream, message)

    def _worker_report(self, link):
        """Return the report for an entry, which is not to use an agent that leaves it.

        ``link`` is None for an entry that has just been left.
        """
        report = worker_runs.worker_report(self._runs)
        if report is not None and (link is None or link.leaving_since is not None):
            report = msgspec.structs.replace(report, usable=False)
        return report

    def _create_hello(self, address):
        return wire.AgentHello(
            PROTOCOL_VERSION,
            self._settings.node,
            self._boot_id,
            self._settings.failure_domain,
            self._worker_report(self._entries.get(address)),
        )

    def _on_opened(self, stream, first_message, key):
        link = self._entries.get(key)
        if link is None:
            self._links.abort(stream, "not followed")
            return
        link.stream = stream
        link.known_usage.forget()
        now = steady_time()
        on_demand = isinstance(first_message, wire.Grant) and first_message.on_demand
        link.grant_requests.stream_opened(on_demand, now)
        link.answered_at = now
        self._address_by_stream[stream] = key
        self._log.info("entry.connected", entry=key)
        for message in worker_crashes.recent_crash_reports(self._runs, now):
            self._links.send(stream, message)
        self._on_received(stream, [first_message])
        # The worker may have changed since the hello was sent.
        self._send_worker_report(link)
        self.request_grant(link, now)
        self._links.flush()

    def _on_closed(self, stream, reason):
        link = self._entries.get(self._address_by_stream.pop(stream, None))
        if link is not None and link.stream == stream:
            link.stream = None
        worker_leases.stream_closed(self._runs, stream)
        worker_health.stream_closed(self._runs, stream)
        self._log.info("entry.disconnected", reason=reason)

    def _on_received(self, stream, messages):
        link = self._entries.get(self._address_by_stream.get(stream))
        if link is None or link.stream != stream:
            return
        self._handle_messages(link, messages)

    def request_grant(self, link, now):
        """Ask an entry for a grant."""
        sequence = link.grant_requests.record_request(now)
        self._links.send(link.stream, wire.GrantRequest(sequence))
        self.attach_usage_reports((link.stream,))

    def renew_grants(self, now):
        """Request the grants that are due, and reconnect to silent entries."""
        streams_in_use = worker_leases.streams_in_use(self._runs)
        for address, link in self._entries.items():
            if link.stream is None:
                continue
            if link.grant_requests.is_unanswered(now):
                self._log.warning("entry.silent", entry=address)
                stream, link.stream = link.stream, None
                worker_leases.stream_closed(self._runs, stream)
                self._links.abort(stream, "silent")
                continue
            if link.stream in streams_in_use:
                link.grant_requests.entry_uses_worker(now)
            if link.grant_requests.is_due(now):
                self.request_grant(link, now)

    def report_usage(self):
        """Report significant changes of the capacity that other entries use."""
        life = self._runs.life
        open_links = {
            link.stream: link
            for link in self._entries.values()
            if link.stream is not None
        }
        known_by_stream = {
            stream: link.known_usage for stream, link in open_links.items()
        }
        usage = usage_reports.measure_usage(self._runs)
        capacity = (life.cpu, life.memory, life.accelerators)
        for stream, foreign_usage in usage_reports.choose_reports(
            known_by_stream, usage, capacity
        ):
            self._report_usage(open_links[stream], foreign_usage)
        self._links.flush()

    def attach_usage_reports(self, streams):
        """Report the usage to entries that are being sent other messages."""
        usage = usage_reports.measure_usage(self._runs)
        for stream in streams:
            link = self._entries.get(self._address_by_stream.get(stream))
            if link is None or link.stream != stream:
                continue
            foreign_usage = usage.foreign_to(stream)
            if foreign_usage != link.known_usage.usage:
                self._report_usage(link, foreign_usage)
        health_reports.attach_health(self._links, self._runs, streams)

    def report_health_changes(self):
        """Tell all connected entries that the agent judges its worker anew."""
        if worker_health.pop_change(self._runs, steady_time()):
            links = self._entries.values()
            streams = [link.stream for link in links if link.stream is not None]
            health_reports.attach_health(self._links, self._runs, streams)

    def _report_usage(self, link, foreign_usage):
        link.known_usage.record_report(foreign_usage, steady_time())
        self._links.send(link.stream, wire.RoomReport(*foreign_usage))


def create_entry_links(settings, boot_id, runs, store, handle_messages):
    """Return the links of an agent that knows no entry yet.

    ``handle_messages(link, messages)`` is called for the messages of each frame.
    """
    return EntryLinks(settings, boot_id, runs, store, handle_messages)
