import pytest

from tests.standins.processes import running_log_service, running_target
from turmericknot.platform.log_client import create_log_client
from turmericknot.platform.target_client import create_target_client


@pytest.fixture
def log_service():
    with running_log_service("--append-delay-ms", "0") as service:
        yield service


@pytest.fixture
def log(log_service):
    client = create_log_client(log_service.url)
    yield client
    client.close()


@pytest.fixture
def worker():
    with running_target("http://127.0.0.1:9", "worker-1", "--slots", "2") as target:
        yield target


@pytest.fixture
def target(worker):
    client = create_target_client(worker.address)
    yield client
    client.close()
