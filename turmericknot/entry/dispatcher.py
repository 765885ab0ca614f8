"""Dispatcher of an entry: an actor that owns the state of the entry."""

import random
import time

from turmericknot.core.dispatcher import create_dispatcher
from turmericknot.core.ids import create_incarnation_id
from turmericknot.core.lifecycle import RoleOutcome
from turmericknot.core.passive import PassiveService
from turmericknot.core.process import process_stats
from turmericknot.core.reporting import create_report_executors
from turmericknot.dispatch import commands, entry
from turmericknot.utils import histograms
from turmericknot.wire.messages import EntryAddress, Welcome
from turmericknot.wire.traffic import report_traffic


class EntryIdentity(PassiveService):
    """Address and state of one incarnation of an entry.

    A restarted entry is a new incarnation.
    """

    __slots__ = ("address", "state")

    def __init__(self, address, state):
        self.address = address
        self.state = state


def create_entry_identity(kernel, settings):
    """Return the identity service with a new incarnation and empty state."""
    rng = random.Random()
    address = EntryAddress(
        settings.entry_id,
        create_incarnation_id(settings.entry_id, rng),
        settings.advertised_link_address or settings.link_address,
        settings.failure_domain,
        settings.region,
    )
    return EntryIdentity(address, entry.create_entry_state(settings, address, rng))


def create_entry_dispatcher(kernel, settings):
    """Return the dispatcher service of an entry.

    The peers service is created later and looked up when a command needs it.
    """
    identity = kernel.get("identity")
    state = identity.state

    def handle(event, now, wall):
        return entry.handle(state, event, now, wall)

    return create_dispatcher(
        handle,
        _create_executors(kernel, identity),
        kernel.get("links").flush,
        kernel.get("lifecycle"),
        settings.tick_interval_s,
        lambda now: entry.get_next_tick_at(state, now),
    )


def _create_executors(kernel, identity):
    links = kernel.get("links")
    lifecycle = kernel.get("lifecycle")
    requests = kernel.get("requests")
    log = kernel.get("log")
    config = kernel.get("config")

    def send(command):
        links.send(command.stream, command.message)
        if type(command.message) is Welcome:
            config.subscribe_agent(command.stream)

    return {
        commands.Send: send,
        commands.CloseStream: lambda c: links.close(c.stream, c.reason),
        commands.Respond: lambda c: requests.respond(c.request, c.answer),
        commands.AppendRecord: lambda c: log.append(c.stream, c.record_id, c.data),
        commands.ReadLog: lambda c: log.read_now(),
        commands.DialEntry: lambda c: kernel.get("peers").dial(
            c.entry_id, c.link_address
        ),
        commands.Retire: lambda c: lifecycle.request_shutdown(
            RoleOutcome.RETIRED, c.reason
        ),
        commands.Drained: lambda c: lifecycle.mark_drained(),
        **create_report_executors(entry=identity.address.entry_id),
    }


def create_entry_status(kernel, settings):
    """Return the status service of an entry."""
    return EntryStatus(kernel)


class EntryStatus(PassiveService):
    """Collect the figures of the status page."""

    __slots__ = ("_kernel",)

    def __init__(self, kernel):
        self._kernel = kernel

    def __call__(self):
        """Return the figures as JSON-serializable values."""
        kernel = self._kernel
        identity = kernel.get("identity")
        dispatcher = kernel.get("dispatcher")
        dispatcher_status = dispatcher.call_in_actor(
            lambda: entry.status(identity.state, time.monotonic())
        )
        return {
            "entry_id": identity.address.entry_id,
            **dispatcher_status,
            "waiting_callers": len(kernel.get("requests")),
            "log": kernel.get("log").status(),
            "config_version": kernel.get("config").version,
            "traffic": report_traffic(kernel.get("links").traffic),
            "process": process_stats(dispatcher),
            "histograms": histograms.snapshot(),
        }
