import pytest

from turmericknot.core.exceptions import DuplicateService, ServiceNotFound
from turmericknot.core.kernel import Kernel, running_services


class RecordingService:
    def __init__(self, name, calls, fails=False):
        self._name, self._calls, self._fails = name, calls, fails

    def start(self):
        if self._fails:
            raise OSError("cannot start")
        self._calls.append(f"start {self._name}")

    def stop(self):
        self._calls.append(f"stop {self._name}")


@pytest.fixture
def calls():
    return []


def factory(name, calls, fails=False):
    return name, lambda kernel, settings: RecordingService(name, calls, fails)


def test_services_stop_in_reverse_order(calls):
    with running_services([factory("a", calls), factory("b", calls)], None) as kernel:
        assert kernel.service_names == ("a", "b")
    assert calls == ["start a", "start b", "stop b", "stop a"]


def test_failed_start_stops_what_was_started(calls):
    """Guards against leaked sockets after a service fails to start."""
    with pytest.raises(OSError):
        with running_services([factory("a", calls), factory("b", calls, True)], None):
            pass
    assert calls == ["start a", "stop a"]


def test_unknown_and_duplicate_names():
    kernel = Kernel()
    kernel.register("log", object())
    with pytest.raises(ServiceNotFound):
        kernel.get("links")
    with pytest.raises(DuplicateService):
        kernel.register("log", object())
