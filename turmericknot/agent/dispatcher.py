"""The dispatcher of an agent: its decision state behind an actor."""

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
    """Decision state of one incarnation of an agent."""

    __slots__ = ("state",)

    def __init__(self, state):
        self.state = state

    def hello(self):
        """Return the message that opens a stream."""
        return agent.hello(self.state)


def create_identity(kernel, settings):
    """Return the identity service: a new incarnation with an empty state."""
    rng = random.Random()
    name = create_incarnation_id(settings.agent_id, rng)
    return AgentIdentity(agent.create_agent_state(settings, name, rng))


def create_agent_dispatcher(kernel, settings):
    """Return the dispatcher service."""
    state = kernel.get("identity").state

    def handle(event, now, wall):
        return agent.handle(state, event, now, wall)

    return create_dispatcher(
        handle,
        _executors(kernel, settings),
        kernel.get("links").flush,
        kernel.get("lifecycle"),
        settings.tick_interval_s,
    )


def _executors(kernel, settings):
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


class Status(PassiveService):
    """Collect what an operator wants to see."""

    __slots__ = ("_kernel",)

    def __init__(self, kernel):
        self._kernel = kernel

    def __call__(self):
        """Return the figures as plain values."""
        kernel = self._kernel
        state = kernel.get("identity").state
        dispatcher = kernel.get("dispatcher")
        decided = dispatcher.ask(lambda: agent.status(state, time.monotonic()))
        return {
            **decided,
            "entries": kernel.get("entries").open_ids,
            "traffic": report_traffic(kernel.get("links").traffic),
            "process": process_stats(dispatcher),
        }


def create_status(kernel, settings):
    """Return the service that collects the figures of the status page."""
    return Status(kernel)
