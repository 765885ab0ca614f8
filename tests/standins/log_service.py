"""Stand-in for the platform's log service: one process that stores records in memory.

It implements the interface in docs/reference/platform.md. Calls under /control inject
faults.
"""

import argparse
import os
import threading
import time
from base64 import b64encode

from tests.standins.server import (
    ErrorReply,
    create_app,
    create_server,
    serve_until_terminated,
)

SERVER_THREADS = 160
MAX_RECORD_BYTES = 1024 * 1024
MAX_READ_RECORDS = 10_000
MAX_WAIT_S = 60.0
MAX_HANG_S = 120.0
MODES = ("up", "unavailable", "hang")
SETTING_TYPES = {
    "mode": str,  # one of MODES, for reads and appends
    "appends": str,  # one of MODES, for appends only
    "append_delay_ms": float,
    "read_delay_ms": float,
    "appends_per_s": float,
    "retention_s": float,
    "clock_offset_s": float,
    "lose_answers": int,  # number of appends whose answer is dropped after the write
}


class Stream:
    """Records of one stream, without those that were trimmed."""

    __slots__ = ("first_offset", "records")

    def __init__(self):
        self.first_offset = 0
        self.records = []  # (time, data); the first record has ``first_offset``

    @property
    def next_offset(self):
        return self.first_offset + len(self.records)

    def trim(self, first_offset):
        count = max(0, min(first_offset, self.next_offset) - self.first_offset)
        del self.records[:count]
        self.first_offset += count

    def trim_older_than(self, oldest_time):
        expired_count = 0
        while (
            expired_count < len(self.records)
            and self.records[expired_count][0] < oldest_time
        ):
            expired_count += 1
        self.trim(self.first_offset + expired_count)


class LogService:
    """State of the service; the condition ``changed`` locks it and wakes long polls."""

    __slots__ = (
        "_append_tokens",
        "_tokens_updated_at",
        "changed",
        "counts",
        "settings",
        "streams",
    )

    def __init__(self, settings):
        self.settings = settings
        self.streams = {}
        self.changed = threading.Condition()
        self.counts = {"appends": 0, "reads": 0, "refused": 0, "lost_answers": 0}
        self._append_tokens = settings["appends_per_s"]
        self._tokens_updated_at = time.monotonic()

    def now(self):
        return time.time() + self.settings["clock_offset_s"]

    def take_append_token(self):
        """Return whether the rate limit allows an append, with bursts of up to 1 s."""
        rate, now = self.settings["appends_per_s"], time.monotonic()
        self._append_tokens = min(
            rate, self._append_tokens + (now - self._tokens_updated_at) * rate
        )
        self._tokens_updated_at = now
        if self._append_tokens < 1:
            return False
        self._append_tokens -= 1
        return True

    def get_stream(self, name):
        stream = self.streams.setdefault(name, Stream())
        stream.trim_older_than(self.now() - self.settings["retention_s"])
        return stream


def apply_mode(service, key):
    """Answer 503 if the mode in setting ``key`` is unavailable; block while it hangs.

    A call that hung is answered with 503 afterwards.
    """
    deadline = time.monotonic() + MAX_HANG_S
    with service.changed:
        hung = False
        while service.settings[key] == "hang" and time.monotonic() < deadline:
            hung = True
            service.changed.wait(1)
        if hung or service.settings[key] == "unavailable":
            service.counts["refused"] += 1
            raise ErrorReply(503, {"error": "unavailable"})


def append_record(service, name, request):
    apply_mode(service, "mode")
    apply_mode(service, "appends")
    if len(request.body) > MAX_RECORD_BYTES:
        raise ErrorReply(413, {"error": f"record exceeds {MAX_RECORD_BYTES} bytes"})
    with service.changed:
        if not service.take_append_token():
            service.counts["refused"] += 1
            raise ErrorReply(429, {"error": "append rate exceeded"})
        delay_s = service.settings["append_delay_ms"] / 1000
    time.sleep(delay_s)
    with service.changed:
        stream = service.get_stream(name)
        offset = stream.next_offset
        stream.records.append((service.now(), request.body))
        service.counts["appends"] += 1
        answer_lost = service.settings["lose_answers"] > 0
        if answer_lost:
            service.settings["lose_answers"] -= 1
            service.counts["lost_answers"] += 1
        service.changed.notify_all()
    if answer_lost:
        request.drop_connection()
    return {"offset": offset, "now": service.now()}


def query_number(query, key, default, convert=int):
    try:
        return convert(query.get(key, default))
    except ValueError:
        raise ErrorReply(400, {"error": f"{key} must be a number"}) from None


def read_records(service, name, request):
    start = query_number(request.query, "from", 0)
    count = min(query_number(request.query, "max", 1000), MAX_READ_RECORDS)
    wait_s = min(query_number(request.query, "wait_s", 0, float), MAX_WAIT_S)
    apply_mode(service, "mode")
    time.sleep(service.settings["read_delay_ms"] / 1000)
    deadline = time.monotonic() + wait_s
    with service.changed:
        service.counts["reads"] += 1
        stream = service.get_stream(name)
        while stream.next_offset <= start:
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0 or service.settings["mode"] != "up":
                break
            service.changed.wait(remaining_s)
            stream = service.get_stream(name)
        if start < stream.first_offset:
            error_body = {"error": "trimmed", "first_offset": stream.first_offset}
            raise ErrorReply(410, error_body | {"now": service.now()})
        skip = start - stream.first_offset
        page = stream.records[skip : skip + count]
        first_offset, next_offset, read_at = (
            stream.first_offset,
            stream.next_offset,
            service.now(),
        )
    apply_mode(service, "mode")
    records = [
        {"offset": start + i, "time": t, "data": b64encode(data).decode()}
        for i, (t, data) in enumerate(page)
    ]
    return {
        "first": first_offset,
        "next": next_offset,
        "records": records,
        "now": read_at,
    }


def service_info(service):
    apply_mode(service, "mode")
    return {
        "retention_s": service.settings["retention_s"],
        "appends_per_s": service.settings["appends_per_s"],
        "now": service.now(),
    }


def apply_settings(service, request):
    """Change settings or trim a stream; return settings, counts and stream offsets."""
    with service.changed:
        for key, value in request.json().items():
            if key == "trim":
                service.get_stream(value["stream"]).trim(value["first"])
            elif key not in SETTING_TYPES:
                raise ErrorReply(400, {"error": f"unknown setting {key}"})
            elif key in ("mode", "appends") and value not in MODES:
                raise ErrorReply(400, {"error": f"{key} must be one of {MODES}"})
            else:
                service.settings[key] = SETTING_TYPES[key](value)
        service.changed.notify_all()
        offsets = {
            name: (s.first_offset, s.next_offset) for name, s in service.streams.items()
        }
        return {**service.settings, **service.counts, "streams": offsets}


def create_handler(service):
    def handle(method, request):
        path_parts = request.path.strip("/").split("/")
        if path_parts[0] == "control":
            return apply_settings(service, request)
        if method == "GET" and path_parts == ["v1", "info"]:
            return service_info(service)
        if path_parts[:2] == ["v1", "streams"] and len(path_parts) == 3:
            if method == "POST":
                return append_record(service, path_parts[2], request)
            if method == "GET":
                return read_records(service, path_parts[2], request)
        raise ErrorReply(404, {"error": "no such resource"})

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
    serve_until_terminated(create_server(arguments.address, app, SERVER_THREADS))
    os._exit(0)  # avoids waiting for threads in a long poll


if __name__ == "__main__":
    main()
