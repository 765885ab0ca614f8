"""Settings of a process on the platform.

The platform renders ``deploy/settings.toml.tmpl``, which maps its names to those of
the product. Unknown fields are ignored, because newer platforms add fields.
"""

import os
import tomllib
from typing import Annotated

import msgspec

from turmericknot.core.exceptions import SettingsError

SETTINGS_VARIABLE = "TURMERICKNOT_CONFIG"


class StoreSettings(msgspec.Struct):
    """Address and limits of the store."""

    address: str
    partitions: int
    shortest_ttl_ms: int


class BoundSettings(msgspec.Struct):
    """Bounds that the platform guarantees or requires.

    ``lease_ms``: longest lease of a worker. ``stop_grace_s``: time from SIGTERM to
    SIGKILL. ``keep_s``: how long the state of a finished job can be read.
    ``far_factor``: factor by which a task runs longer away from its data.
    """

    lease_ms: int
    stop_grace_s: float
    keep_s: float
    far_factor: float = 1.0


class OptionSettings(msgspec.Struct):
    """Decisions that can be turned off; the table is optional.

    ``fleet_demand_min_entries``: with fewer entries, each decides by its own backlog.
    ``floor_share``: share of the capacity that each queue keeps; 0 turns floors off.
    """

    fleet_demand_min_entries: Annotated[int, msgspec.Meta(ge=2)] = 4
    floor_share: Annotated[float, msgspec.Meta(ge=0, le=0.5)] = 0.15


class NodeSettings(msgspec.Struct):
    """Settings of one process.

    Addresses have the form ``host:port``. An entry needs ``jobs_address`` and
    ``ready_address``; an agent needs ``reports_address``, ``worker_address`` and
    ``service``.
    """

    node: str
    address: str
    failure_domain: str
    link_port: int
    metrics_port: int
    heartbeat_ms: int
    store: StoreSettings
    bounds: BoundSettings
    worker_orders: str = "rpc"
    jobs_address: str = ""
    ready_address: str = ""
    reports_address: str = ""
    worker_address: str = ""
    service: str = ""
    options: OptionSettings = msgspec.field(default_factory=OptionSettings)

    @property
    def metrics_address(self):
        """Return the address at which this process serves its metrics."""
        return f"{self.address}:{self.metrics_port}"

    @property
    def link_address(self):
        """Return the address at which this process accepts links of other processes."""
        return f"{self.address}:{self.link_port}"


_REQUIRED_BY_ROLE = {
    "entry": ("jobs_address", "ready_address"),
    "agent": ("reports_address", "worker_address", "service"),
}


def load_settings(role, path=None):
    """Load the settings file of a process; raise SettingsError with all problems."""
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError([f"{SETTINGS_VARIABLE} is not set to a settings file"])
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError([f"{path}: {error}"]) from error
    return decode_settings(role, data)


def decode_settings(role, data):
    """Decode a table as NodeSettings; raise SettingsError with all problems."""
    problems = []
    tables = {"store": StoreSettings, "bounds": BoundSettings}
    for name, struct_type in tables.items():
        problems += _find_problems(name + ".", data.get(name), struct_type)
    tables["options"] = OptionSettings
    problems += _find_problems("options.", data.get("options", {}), OptionSettings)
    problems += _find_problems("", data, NodeSettings, skip=tables)
    for name in _REQUIRED_BY_ROLE[role]:
        if not data.get(name):
            problems.append(f"{name}: missing, but required for the role {role}")
    if problems:
        raise SettingsError(problems)
    return msgspec.convert(data, NodeSettings)


def _find_problems(prefix, table, struct_type, skip=()):
    """Return a message for each missing or invalid field of a table."""
    if not isinstance(table, dict):
        return [f"{prefix.rstrip('.')}: must be a table"]
    problems = []
    for field in msgspec.structs.fields(struct_type):
        if field.name in skip:
            continue
        if field.name not in table:
            if field.required:
                problems.append(f"{prefix}{field.name}: missing")
            continue
        try:
            msgspec.convert(table[field.name], field.type)
        except msgspec.ValidationError as error:
            problems.append(f"{prefix}{field.name}: {error}")
    return problems
