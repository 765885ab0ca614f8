import pykka
import pytest

from turmericknot.agent import runners as runners_module
from turmericknot.core.kernel import Kernel
from turmericknot.dispatch.commands import StartTask
from turmericknot.wire.messages import TaskSpec, TaskStatus


class FakeDispatcher:
    """Collect posted events."""

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
def dispatcher():
    yield FakeDispatcher()
    pykka.ActorRegistry.stop_all()


def test_client_failure_finishes_the_task_as_unknown(dispatcher, monkeypatch):
    """Guards against a slot that stays in use after an exception in its runner."""
    monkeypatch.setattr(
        runners_module, "create_slot_client", lambda address: BrokenClient()
    )
    kernel = Kernel()
    kernel.register("dispatcher", dispatcher)
    runners = runners_module.create_task_runners(kernel, None)
    runners.set_target_address("127.0.0.1:9")
    actor = runners_module.RunnerActor.start(runners)
    actor.ask(StartTask(b"j" * 16, "t", "c", TaskSpec(3, b"{}"), 1.0))
    assert [event.status for event in dispatcher.events] == [TaskStatus.UNKNOWN]
    assert dispatcher.events[0].index == 3
