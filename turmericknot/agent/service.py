"""The agent role: its services in start order and its main function."""

from turmericknot.core.role import run_role
from turmericknot.dispatch import events

from .announce import create_announce_server
from .dispatcher import (
    create_agent_dispatcher,
    create_agent_identity,
    create_agent_status,
)
from .links import create_agent_links, create_entry_streams
from .runners import create_task_runners

SERVICES = (
    ("identity", create_agent_identity),
    ("entries", create_entry_streams),
    ("links", create_agent_links),
    ("runners", create_task_runners),
    ("dispatcher", create_agent_dispatcher),
    ("status", create_agent_status),
    ("announce", create_announce_server),
)


def serve(settings):
    """Run an agent until SIGTERM or SIGINT."""
    run_role(SERVICES, settings, _request_drain)


def _request_drain(kernel):
    kernel.get("dispatcher").post(events.DrainRequested())
