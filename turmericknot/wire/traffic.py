"""Traffic counters: frames, messages and bytes by direction and message type."""


class MessageTypeCounters:
    """Number of messages of one type in one direction, and their bytes."""

    __slots__ = ("messages", "bytes")

    def __init__(self):
        self.messages = 0
        self.bytes = 0


class DirectionCounters:
    """Traffic in one direction over all streams of a process."""

    __slots__ = ("frames", "types")

    def __init__(self):
        self.frames = 0
        self.types = {}


class TrafficCounters:
    """Traffic of a process; only the thread of the event loop updates it."""

    __slots__ = ("sent", "received")

    def __init__(self):
        self.sent = DirectionCounters()
        self.received = DirectionCounters()


def create_traffic_counters():
    """Return counters set to zero."""
    return TrafficCounters()


def count_message(direction, message_type, size):
    """Count one message of ``size`` bytes."""
    counters = direction.types.get(message_type)
    if counters is None:
        counters = direction.types[message_type] = MessageTypeCounters()
    counters.messages += 1
    counters.bytes += size


def iter_directions(traffic):
    """Yield the name and the DirectionCounters of each direction."""
    yield "sent", traffic.sent
    yield "received", traffic.received


def report_traffic(traffic):
    """Return the counters as nested dicts for GET /v1/status."""
    return {
        direction: _report_direction(counters)
        for direction, counters in iter_directions(traffic)
    }


def _report_direction(direction):
    types = list(direction.types.items())
    return {
        "frames": direction.frames,
        "messages": sum(counters.messages for _, counters in types),
        "bytes": sum(counters.bytes for _, counters in types),
        "types": {
            message_type.__name__: {
                "messages": counters.messages,
                "bytes": counters.bytes,
            }
            for message_type, counters in types
        },
    }
