"""Run a role as a process: ``python -m tests.entry.role_process entry '{json}'``."""

import sys

import msgspec

from turmericknot.agent import service as agent
from turmericknot.conf.schema import AgentSettings, EntrySettings
from turmericknot.entry import service as entry

ROLES = {"entry": (entry, EntrySettings), "agent": (agent, AgentSettings)}

if __name__ == "__main__":
    service, kind = ROLES[sys.argv[1]]
    settings = msgspec.json.decode(sys.argv[2], type=kind)
    sys.exit(service.serve(settings))
