import pykka
import pytest

from turmericknot.agent import runners as runners_module
from turmericknot.core.kernel import Kernel
from turmericknot.dispatch.commands import StartTask
from turmericknot.wire.messages import TaskSpec, TaskStatus


class Inbox:
    """Collect the events that a runner posts."""

    def __init__(self):
        self.events = []

    def post(self, event):
        self.events.append(event)


class BrokenClient:
    def run(self, request):
        raise AttributeError("no such method")

    def close(self):
        pass


@pytest.fixture
def inbox():
    yield Inbox()
    pykka.ActorRegistry.stop_all()


def test_broken_client_ends_the_task_as_unknown(inbox, monkeypatch):
    """Guards against a slot that stays in use because its runner failed."""
    monkeypatch.setattr(
        runners_module, "create_slot_client", lambda address: BrokenClient()
    )
    kernel = Kernel()
    kernel.register("dispatcher", inbox)
    runners = runners_module.create_runners(kernel, None)
    runners.set_target("127.0.0.1:9")
    actor = runners_module.RunnerActor.start(runners)
    actor.ask(StartTask(b"j" * 16, "t", "c", TaskSpec(3, b"{}"), 1.0))
    assert [event.status for event in inbox.events] == [TaskStatus.UNKNOWN]
    assert inbox.events[0].index == 3
