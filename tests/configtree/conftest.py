from tests.standins.fixtures import log_client, log_service  # noqa: F401
