import pytest

from tests.standins.fixtures import log_client, log_service  # noqa: F401
from tests.standins.processes import running_target
from turmericknot.clients.target_client import create_target_client


@pytest.fixture
def worker():
    with running_target("http://127.0.0.1:9", "worker-1", "--slots", "2") as target:
        yield target


@pytest.fixture
def target(worker):
    client = create_target_client(worker.address)
    yield client
    client.close()
