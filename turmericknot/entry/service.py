"""The entry role: its services in start order, and a run until a signal."""

from turmericknot.core.role import run_role
from turmericknot.dispatch import events

from .api import create_api
from .config import create_config
from .dispatcher import create_entry_dispatcher, create_identity, create_status
from .links import create_entry_links
from .log import create_log
from .peers import create_peers
from .requests import create_requests_service

SERVICES = (
    ("identity", create_identity),
    ("requests", create_requests_service),
    ("links", create_entry_links),
    ("log", create_log),
    ("config", create_config),
    ("dispatcher", create_entry_dispatcher),
    ("peers", create_peers),
    ("status", create_status),
    ("api", create_api),
)


def serve(settings):
    """Run an entry until SIGTERM or SIGINT."""
    run_role(SERVICES, settings, _drain)


def _drain(kernel):
    kernel.get("api").drain()
    kernel.get("dispatcher").post(events.DrainRequested())
