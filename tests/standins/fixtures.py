"""Fixtures for every package that tests against a stand-in."""

import pytest

from tests.standins.processes import running_log_service
from turmericknot.clients.log_client import create_log_client


@pytest.fixture
def log_service():
    with running_log_service("--append-delay-ms", "0") as service:
        yield service


@pytest.fixture
def log(log_service):
    client = create_log_client(log_service.url)
    yield client
    client.close()
