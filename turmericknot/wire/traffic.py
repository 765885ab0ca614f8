"""Counters of frames, messages and bytes per direction and message type."""


class TypeCount:
    """Messages and bytes of one type in one direction."""

    __slots__ = ("messages", "bytes")

    def __init__(self):
        self.messages = 0
        self.bytes = 0


class Direction:
    """Traffic of one direction over all streams of a process."""

    __slots__ = ("frames", "types")

    def __init__(self):
        self.frames = 0
        self.types = {}


class Traffic:
    """Traffic of a process; only the thread of the event loop changes it."""

    __slots__ = ("sent", "received")

    def __init__(self):
        self.sent = Direction()
        self.received = Direction()


def create_traffic():
    """Return counters that are all zero."""
    return Traffic()


def count_message(direction, message_type, size):
    """Count one message of a frame."""
    counted = direction.types.get(message_type)
    if counted is None:
        counted = direction.types[message_type] = TypeCount()
    counted.messages += 1
    counted.bytes += size


def report_traffic(traffic):
    """Return the counters as nested dicts, as /v1/status shows them."""
    return {
        "sent": _report_direction(traffic.sent),
        "received": _report_direction(traffic.received),
    }


def _report_direction(direction):
    types = list(direction.types.items())
    return {
        "frames": direction.frames,
        "messages": sum(counted.messages for _, counted in types),
        "bytes": sum(counted.bytes for _, counted in types),
        "types": {
            message_type.__name__: {
                "messages": counted.messages,
                "bytes": counted.bytes,
            }
            for message_type, counted in types
        },
    }
