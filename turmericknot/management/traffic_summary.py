"""Messages and processor time by role and kind, summed over the logs of processes."""

from dataclasses import dataclass, field

TRAFFIC_EVENT = "process.traffic"


@dataclass(slots=True)
class RoleTraffic:
    """Sums over the ``process.traffic`` lines of all processes of one role."""

    processes: set = field(default_factory=set)
    seconds: float = 0.0  # summed over the processes
    cpu_s: float = 0.0
    kinds: dict = field(default_factory=dict)  # (direction, kind) -> [messages, bytes]


def sum_traffic(lines):
    """Return the RoleTraffic of each role; lines of other events are skipped."""
    roles = {}
    for line in lines:
        if line.event != TRAFFIC_EVENT:
            continue
        role = roles.setdefault(line.fields.get("role", "?"), RoleTraffic())
        role.processes.add(line.process)
        role.seconds += float(line.fields.get("seconds", 0))
        role.cpu_s += float(line.fields.get("cpu", 0))
        for direction in ("sent", "received"):
            for part in filter(None, line.fields.get(direction, "").split(",")):
                kind, messages, size = part.split(":")
                sums = role.kinds.setdefault((direction, kind), [0, 0])
                sums[0] += int(messages)
                sums[1] += int(size)
    return roles


def traffic_rows(roles):
    """Return rows (role, direction, kind, messages/s, bytes/s of one process)."""
    rows = []
    for name, role in sorted(roles.items()):
        seconds = role.seconds or 1.0
        for (direction, kind), (messages, size) in sorted(
            role.kinds.items(), key=lambda item: -item[1][0]
        ):
            rows.append((name, direction, kind, messages / seconds, size / seconds))
    return rows


def processor_rows(roles):
    """Return rows (role, processes, seconds of processor time, share of a core)."""
    return [
        (name, len(role.processes), role.cpu_s, f"{role.cpu_s / role.seconds:.4f}")
        for name, role in sorted(roles.items())
        if role.seconds
    ]
