"""Dispatcher of an agent: an actor that owns the state of the agent."""

import random
import time

from turmericknot.core.dispatcher import create_dispatcher
from turmericknot.core.ids import create_incarnation_id
from turmericknot.core.lifecycle import RoleOutcome
from turmericknot.core.passive import PassiveService
from turmericknot.core.process import process_stats
from turmericknot.core.reporting import create_report_executors
from turmericknot.dispatch import agent, commands
from turmericknot.wire.traffic import report_traffic


class AgentIdentity(PassiveService):
    """State of one incarnation of an agent; a restarted agent is a new incarnation."""

    __slots__ = ("state",)

    def __init__(self, state):
        self.state = state

    def create_hello(self):
        """Return the first message sent on each stream to an entry."""
        return agent.create_hello(self.state)


def create_agent_identity(kernel, settings):
    """Return the identity service with a new incarnation and empty state."""
    rng = random.Random()
    incarnation = create_incarnation_id(settings.agent_id, rng)
    return AgentIdentity(agent.create_agent_state(settings, incarnation, rng))


def create_agent_dispatcher(kernel, settings):
    """Return the dispatcher service of an agent."""
    state = kernel.get("identity").state

    def handle(event, now, wall):
        return agent.handle(state, event, now, wall)

    return create_dispatcher(
        handle,
        _create_executors(kernel, settings),
        kernel.get("links").flush,
        kernel.get("lifecycle"),
        settings.tick_interval_s,
    )


def _create_executors(kernel, settings):
    links = kernel.get("links")
    runners = kernel.get("runners")
    lifecycle = kernel.get("lifecycle")
    entries = kernel.get("entries")
    return {
        commands.Send: lambda c: links.send(c.stream, c.message),
        commands.CloseStream: lambda c: links.close(c.stream, c.reason),
        commands.DialEntry: lambda c: entries.dial(c.entry_id, c.link_address),
        commands.StartTask: runners.start_task,
        commands.StopTask: runners.stop_task,
        commands.ThrottleTask: runners.throttle_task,
        commands.Retire: lambda c: lifecycle.request_shutdown(
            RoleOutcome.RETIRED, c.reason
        ),
        commands.Drained: lambda c: lifecycle.mark_drained(),
        **create_report_executors(agent=settings.agent_id),
    }


class AgentStatus(PassiveService):
    """Collect the figures of the status page."""

    __slots__ = ("_kernel",)

    def __init__(self, kernel):
        self._kernel = kernel

    def __call__(self):
        """Return the figures as JSON-serializable values."""
        kernel = self._kernel
        state = kernel.get("identity").state
        dispatcher = kernel.get("dispatcher")
        dispatcher_status = dispatcher.call_in_actor(
            lambda: agent.status(state, time.monotonic())
        )
        return {
            **dispatcher_status,
            "entries": kernel.get("entries").connected_entry_ids,
            "traffic": report_traffic(kernel.get("links").traffic),
            "process": process_stats(dispatcher),
        }


def create_agent_status(kernel, settings):
    """Return the status service of an agent."""
    return AgentStatus(kernel)
