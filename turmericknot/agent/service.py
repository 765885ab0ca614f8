"""The agent role: its services in start order, and a run until a signal."""

from turmericknot.core.role import run_role
from turmericknot.dispatch import events

from .announce import create_announce
from .dispatcher import create_agent_dispatcher, create_identity, create_status
from .links import create_agent_links, create_entries
from .runners import create_runners

SERVICES = (
    ("identity", create_identity),
    ("entries", create_entries),
    ("links", create_agent_links),
    ("runners", create_runners),
    ("dispatcher", create_agent_dispatcher),
    ("status", create_status),
    ("announce", create_announce),
)


def serve(settings):
    """Run an agent until SIGTERM or SIGINT."""
    run_role(SERVICES, settings, _drain)


def _drain(kernel):
    kernel.get("dispatcher").post(events.DrainRequested())
