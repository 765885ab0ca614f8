"""Settings of a process on the platform.

The platform fills in ``deploy/settings.toml.tmpl``, which maps its names to those of
the product. Fields that are not known are ignored: newer platforms add some.
"""

import os
import tomllib

import msgspec

from turmericknot.core.exceptions import SettingsError

SETTINGS_VARIABLE = "TURMERICKNOT_CONFIG"


class StoreSettings(msgspec.Struct):
    """Where the store is and what it allows; the time is in milliseconds."""

    address: str
    partitions: int
    shortest_ttl_ms: int


class BoundSettings(msgspec.Struct):
    """Bounds that the platform promises or asks for.

    ``lease_ms``: longest lease of a worker. ``stop_grace_s``: from SIGTERM to
    SIGKILL. ``keep_s``: how long the state of a finished job is shown.
    ``far_factor``: how much longer a task runs away from its data.
    """

    lease_ms: int
    stop_grace_s: float
    keep_s: float
    far_factor: float = 1.0


class NodeSettings(msgspec.Struct):
    """Settings of one process.

    Addresses are ``host:port``. Those of the jobs and of readiness are set for an
    entry, those of the worker and its reports for an agent.
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

    @property
    def metrics_address(self):
        """Return where this process serves its metrics."""
        return f"{self.address}:{self.metrics_port}"

    @property
    def link_address(self):
        """Return where this process listens for links of other processes."""
        return f"{self.address}:{self.link_port}"


_REQUIRED = {
    "entry": ("jobs_address", "ready_address"),
    "agent": ("reports_address", "worker_address", "service"),
}


def load_settings(role, path=None):
    """Return the NodeSettings of a process; raise SettingsError with all problems."""
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError([f"{SETTINGS_VARIABLE} names no settings file"])
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError([f"{path}: {error}"]) from error
    return decode_settings(role, data)


def decode_settings(role, data):
    """Return the NodeSettings in a table; raise SettingsError with all problems."""
    problems = []
    tables = {"store": StoreSettings, "bounds": BoundSettings}
    for name, kind in tables.items():
        problems += _problems(name + ".", data.get(name), kind)
    problems += _problems("", data, NodeSettings, skip=tables)
    for name in _REQUIRED[role]:
        if not data.get(name):
            problems.append(f"{name}: missing, but role {role} needs it")
    if problems:
        raise SettingsError(problems)
    return msgspec.convert(data, NodeSettings)


def _problems(prefix, table, kind, skip=()):
    """Return what is wrong with each field of a table."""
    if not isinstance(table, dict):
        return [f"{prefix.rstrip('.')}: a table is needed"]
    problems = []
    for field in msgspec.structs.fields(kind):
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
