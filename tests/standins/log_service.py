"""Stand-in for the platform's log service: in memory, one process.

The interface is stated in docs/reference/platform.md. Calls under /control break
the service on purpose.
"""

import argparse
import os
import threading
import time
from base64 import b64encode

from tests.standins.server import (
    Reply,
    create_app,
    create_server,
    serve_until_terminated,
)

THREADS = 160
MAX_RECORD_BYTES = 1024 * 1024
MAX_READ_RECORDS = 10_000
MAX_WAIT_S = 60.0
MAX_HANG_S = 120.0
MODES = ("up", "unavailable", "hang")
SETTINGS = {
    "mode": str,  # what reads and appends meet: see MODES
    "appends": str,  # the same, for appends alone
    "append_delay_ms": float,
    "read_delay_ms": float,
    "appends_per_s": float,
    "retention_s": float,
    "clock_offset_s": float,
    "lose_answers": int,  # answers of the next N appends are lost after the write
}


class Stream:
    """Records of one stream that have not been trimmed."""

    __slots__ = ("first", "records")

    def __init__(self):
        self.first = 0
        self.records = []  # (time, data), the first one has offset ``first``

    @property
    def next(self):
        return self.first + len(self.records)

    def trim(self, first):
        count = max(0, min(first, self.next) - self.first)
        del self.records[:count]
        self.first += count

    def trim_older(self, oldest):
        keep = 0
        while keep < len(self.records) and self.records[keep][0] < oldest:
            keep += 1
        self.trim(self.first + keep)


class LogService:
    """State of the service; ``changed`` guards it and wakes long polls."""

    __slots__ = ("_tokens", "_tokens_at", "changed", "counts", "settings", "streams")

    def __init__(self, settings):
        self.settings = settings
        self.streams = {}
        self.changed = threading.Condition()
        self.counts = {"appends": 0, "reads": 0, "refused": 0, "lost_answers": 0}
        self._tokens = settings["appends_per_s"]
        self._tokens_at = time.monotonic()

    def now(self):
        return time.time() + self.settings["clock_offset_s"]

    def take_token(self):
        """Return whether the rate limit allows one more append; holds one second."""
        rate, at = self.settings["appends_per_s"], time.monotonic()
        self._tokens = min(rate, self._tokens + (at - self._tokens_at) * rate)
        self._tokens_at = at
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def stream(self, name):
        stream = self.streams.setdefault(name, Stream())
        stream.trim_older(self.now() - self.settings["retention_s"])
        return stream


def check_mode(service, key):
    """Answer 503 or block, as the control calls ask."""
    deadline = time.monotonic() + MAX_HANG_S
    with service.changed:
        hung = False
        while service.settings[key] == "hang" and time.monotonic() < deadline:
            hung = True
            service.changed.wait(1)
        if hung or service.settings[key] == "unavailable":
            service.counts["refused"] += 1
            raise Reply(503, {"error": "unavailable"})


def append(service, name, request):
    check_mode(service, "mode")
    check_mode(service, "appends")
    if len(request.body) > MAX_RECORD_BYTES:
        raise Reply(413, {"error": f"record exceeds {MAX_RECORD_BYTES} bytes"})
    with service.changed:
        if not service.take_token():
            service.counts["refused"] += 1
            raise Reply(429, {"error": "append rate exceeded"})
        delay_s = service.settings["append_delay_ms"] / 1000
    time.sleep(delay_s)
    with service.changed:
        stream = service.stream(name)
        offset = stream.next
        stream.records.append((service.now(), request.body))
        service.counts["appends"] += 1
        lost = service.settings["lose_answers"] > 0
        if lost:
            service.settings["lose_answers"] -= 1
            service.counts["lost_answers"] += 1
        service.changed.notify_all()
    if lost:
        request.drop_connection()
    return {"offset": offset, "now": service.now()}


def number(query, key, default, convert=int):
    try:
        return convert(query.get(key, default))
    except ValueError:
        raise Reply(400, {"error": f"{key} must be a number"}) from None


def read(service, name, request):
    start = number(request.query, "from", 0)
    count = min(number(request.query, "max", 1000), MAX_READ_RECORDS)
    wait_s = min(number(request.query, "wait_s", 0, float), MAX_WAIT_S)
    check_mode(service, "mode")
    time.sleep(service.settings["read_delay_ms"] / 1000)
    deadline = time.monotonic() + wait_s
    with service.changed:
        service.counts["reads"] += 1
        stream = service.stream(name)
        while stream.next <= start:
            left = deadline - time.monotonic()
            if left <= 0 or service.settings["mode"] != "up":
                break
            service.changed.wait(left)
            stream = service.stream(name)
        if start < stream.first:
            gone = {"error": "trimmed", "first_offset": stream.first}
            raise Reply(410, gone | {"now": service.now()})
        skip = start - stream.first
        chosen = stream.records[skip : skip + count]
        first, after, at = stream.first, stream.next, service.now()
    check_mode(service, "mode")
    records = [
        {"offset": start + i, "time": t, "data": b64encode(data).decode()}
        for i, (t, data) in enumerate(chosen)
    ]
    return {"first": first, "next": after, "records": records, "now": at}


def info(service):
    check_mode(service, "mode")
    return {
        "retention_s": service.settings["retention_s"],
        "appends_per_s": service.settings["appends_per_s"],
        "now": service.now(),
    }


def control(service, request):
    """Set what the service does; return its settings and counts."""
    with service.changed:
        for key, value in request.json().items():
            if key == "trim":
                service.stream(value["stream"]).trim(value["first"])
            elif key not in SETTINGS:
                raise Reply(400, {"error": f"unknown setting {key}"})
            elif key in ("mode", "appends") and value not in MODES:
                raise Reply(400, {"error": f"{key} must be one of {MODES}"})
            else:
                service.settings[key] = SETTINGS[key](value)
        service.changed.notify_all()
        ends = {name: (s.first, s.next) for name, s in service.streams.items()}
        return {**service.settings, **service.counts, "streams": ends}


def create_handler(service):
    def handle(method, request):
        parts = request.path.strip("/").split("/")
        if parts[0] == "control":
            return control(service, request)
        if method == "GET" and parts == ["v1", "info"]:
            return info(service)
        if parts[:2] == ["v1", "streams"] and len(parts) == 3:
            if method == "POST":
                return append(service, parts[2], request)
            if method == "GET":
                return read(service, parts[2], request)
        raise Reply(404, {"error": "no such resource"})

    return handle


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1:0")
    parser.add_argument("--retention-s", type=float, default=3600)
    parser.add_argument("--appends-per-s", type=float, default=400)
    parser.add_argument("--append-delay-ms", type=float, default=4)
    return parser.parse_args()


def main():
    arguments = parse_arguments()
    settings = {
        "mode": "up",
        "appends": "up",
        "append_delay_ms": arguments.append_delay_ms,
        "read_delay_ms": 0.0,
        "appends_per_s": arguments.appends_per_s,
        "retention_s": arguments.retention_s,
        "clock_offset_s": 0.0,
        "lose_answers": 0,
    }
    service = LogService(settings)
    app = create_app(create_handler(service), service.now)
    serve_until_terminated(create_server(arguments.address, app, THREADS))
    os._exit(0)  # threads in a long poll must not delay the end


if __name__ == "__main__":
    main()
