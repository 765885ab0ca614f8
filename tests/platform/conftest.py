from tests.standins.fixtures import run_with_store  # noqa: F401
