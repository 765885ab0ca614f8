"""The entry role: its services in start order and its main function."""

from turmericknot.core.role import run_role
from turmericknot.dispatch import events

from .api import create_api_service
from .config import create_config_service
from .dispatcher import (
    create_entry_dispatcher,
    create_entry_identity,
    create_entry_status,
)
from .links import create_entry_links
from .log import create_log_connection
from .peers import create_peer_links
from .requests import create_requests_service

SERVICES = (
    ("identity", create_entry_identity),
    ("requests", create_requests_service),
    ("links", create_entry_links),
    ("log", create_log_connection),
    ("config", create_config_service),
    ("dispatcher", create_entry_dispatcher),
    ("peers", create_peer_links),
    ("status", create_entry_status),
    ("api", create_api_service),
)


def serve(settings):
    """Run an entry until SIGTERM or SIGINT."""
    run_role(SERVICES, settings, _request_drain)


def _request_drain(kernel):
    kernel.get("api").report_draining()
    kernel.get("dispatcher").post(events.DrainRequested())
