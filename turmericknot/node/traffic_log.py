"""Log lines on the messages and the processor time of a process."""

import asyncio
import time

from turmericknot.utils.logging import get_logger
from turmericknot.wire.traffic import iter_directions

TRAFFIC_LOG_INTERVAL_S = 5.0


class TrafficSnapshot:
    """Message counts and used processor time of a process at one moment."""

    __slots__ = ("taken_at", "cpu_s", "messages")

    def __init__(self, taken_at, cpu_s, messages):
        self.taken_at = taken_at
        self.cpu_s = cpu_s
        self.messages = messages  # (direction, kind) -> (messages, bytes)


def take_snapshot(traffic, taken_at, cpu_s):
    """Return the TrafficSnapshot of these TrafficCounters."""
    messages = {
        (direction, message_type.__name__): (counter.messages, counter.bytes)
        for direction, counters in iter_directions(traffic)
        for message_type, counter in counters.types.items()
    }
    return TrafficSnapshot(taken_at, cpu_s, messages)


def traffic_fields(before, after):
    """Return the fields of the log line for the time between two snapshots.

    ``sent`` and ``received`` list ``kind:messages:bytes``, separated by commas.
    """
    fields = {
        "seconds": round(after.taken_at - before.taken_at, 2),
        "cpu": round(after.cpu_s - before.cpu_s, 4),
    }
    parts = {"sent": [], "received": []}
    for key, (messages, size) in after.messages.items():
        messages_before, size_before = before.messages.get(key, (0, 0))
        if messages > messages_before:
            direction, kind = key
            parts[direction].append(
                f"{kind}:{messages - messages_before}:{size - size_before}"
            )
    return fields | {direction: ",".join(rows) for direction, rows in parts.items()}


async def log_traffic(traffic, role):
    """Log the traffic of the process at a fixed interval."""
    log = get_logger()
    before = take_snapshot(traffic, time.monotonic(), time.process_time())
    while True:
        await asyncio.sleep(TRAFFIC_LOG_INTERVAL_S)
        after = take_snapshot(traffic, time.monotonic(), time.process_time())
        log.info("process.traffic", role=role, **traffic_fields(before, after))
        before = after
