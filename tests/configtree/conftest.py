from tests.standins.fixtures import log, log_service  # noqa: F401
