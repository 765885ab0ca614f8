import random

import pytest

from tests.dispatch.site import Site
from turmericknot.conf.schema import AgentSettings
from turmericknot.dispatch import agent, commands, events
from turmericknot.wire import messages

WALL = 1_000_000.0


class AgentDriver:
    """Pass events to an agent state and return the resulting commands."""

    def __init__(self, state):
        self.state = state
        self.now = 100.0

    def __call__(self, event):
        return agent.handle(self.state, event, self.now, WALL + self.now)

    def announce(self, slots=2):
        return self(events.TargetAnnounced("w1", "127.0.0.1:9", slots, 16.0, 32768, 2))

    def connect(self, stream, entry_id="e1", incarnation="e1#1"):
        welcome = messages.Welcome(1, entry_id, incarnation, [], 1)
        return self(events.EntryConnected(stream, welcome))

    def assign(self, stream, indexes, job=b"j" * 16, owner="e1#1", waiting=0):
        tasks = [messages.TaskSpec(index, b"{}", 100.0) for index in indexes]
        return self(
            events.EntryMessage(
                stream,
                messages.Assign(
                    job, owner, "t1", "c1", WALL + 700.0, 10.0, tasks, waiting, 1.0, 1
                ),
            )
        )

    def finish(self, index, job=b"j" * 16, status=0, started=True):
        return self(events.TaskFinished(job, index, status, b"out", 50.0, "", started))

    def fence(self, stream, owner, fenced_by, jobs=()):
        message = messages.Fence(owner, fenced_by, list(jobs))
        return self(events.EntryMessage(stream, message))


@pytest.fixture
def driver():
    settings = AgentSettings(agent_id="a1", failure_domain="fd1", region="r1")
    state = agent.create_agent_state(settings, "a1#1", random.Random(1))
    return AgentDriver(state)


@pytest.fixture
def sent():
    """Return a function that selects sent messages of a type from commands."""

    def pick(out, message_type, stream=None):
        return [
            c.message
            for c in out
            if isinstance(c, commands.Send)
            and isinstance(c.message, message_type)
            and (stream is None or c.stream == stream)
        ]

    return pick


@pytest.fixture
def starts():
    """Return a function that lists the task indexes started by commands."""

    def pick(out):
        return [c.task.index for c in out if isinstance(c, commands.StartTask)]

    return pick


@pytest.fixture
def create_site():
    """Return the Site class: a scheduler that is granted all slots of its agents."""
    return Site
