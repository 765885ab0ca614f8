import pytest

from tests.standins.fixtures import log_client, log_service  # noqa: F401
from tests.standins.processes import running_target
from turmericknot.clients.target_client import create_target_client


@pytest.fixture
def target_process():
    with running_target("http://127.0.0.1:9", "worker-1", "--slots", "2") as process:
        yield process


@pytest.fixture
def target_client(target_process):
    client = create_target_client(target_process.address)
    yield client
    client.close()
