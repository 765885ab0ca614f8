"""HTTP server of the log service and target stand-ins."""

import signal
import socket
import sys
import threading
from email.utils import formatdate
from http import HTTPStatus
from urllib.parse import parse_qs

import msgspec
from cheroot import wsgi

LISTEN_BACKLOG = 512
IDLE_TIMEOUT_S = 60
MAX_BODY_BYTES = 64 * 1024 * 1024


class ErrorReply(Exception):
    """Raised by a handler to answer a request with an error status and a JSON body."""

    def __init__(self, status, body):
        super().__init__(status)
        self.status, self.body = status, body


class Request:
    """One HTTP request, as passed to a handler."""

    __slots__ = ("body", "connection", "path", "query")

    def __init__(self, environ):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > MAX_BODY_BYTES:
            raise ErrorReply(413, {"error": "body too large"})
        self.path = environ["PATH_INFO"]
        self.query = {k: v[-1] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        self.body = environ["wsgi.input"].read(length) if length else b""
        self.connection = environ["standin.connection"]

    def json(self):
        try:
            return msgspec.json.decode(self.body) if self.body else {}
        except msgspec.DecodeError as error:
            raise ErrorReply(400, {"error": str(error)}) from error

    def drop_connection(self):
        """Close the connection so that the client receives no answer."""
        self.connection.socket.shutdown(socket.SHUT_RDWR)


class ConnectionGateway(wsgi.Gateway_10):
    """Adds the client connection to the WSGI environment."""

    def get_environ(self):
        return super().get_environ() | {"standin.connection": self.req.conn}


def create_app(handle, clock):
    """Return a WSGI application that answers with ``handle(method, request)``.

    ``clock()`` returns the time of the Date header.
    """

    def app(environ, start_response):
        try:
            status, body = 200, handle(environ["REQUEST_METHOD"], Request(environ))
        except ErrorReply as reply:
            status, body = reply.status, reply.body
        data = msgspec.json.encode(body)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
            ("Date", formatdate(clock(), usegmt=True)),
        ]
        start_response(f"{status} {HTTPStatus(status).phrase}", headers)
        return [data]

    return app


def parse_address(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


def create_server(address, app, threads):
    server = wsgi.Server(
        parse_address(address),
        app,
        numthreads=threads,
        request_queue_size=LISTEN_BACKLOG,
        timeout=IDLE_TIMEOUT_S,
        shutdown_timeout=1,
    )
    server.gateway = ConnectionGateway
    server.prepare()
    return server


def bound_address(server):
    host, port = server.bind_addr[:2]
    return f"{host}:{port}"


def serve_until_terminated(server):
    """Serve until SIGTERM or SIGINT; print the address once the socket listens."""
    terminated = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: terminated.set())
    threading.Thread(target=server.serve, daemon=True).start()
    print(f"ready {bound_address(server)}", flush=True)
    terminated.wait()
    sys.stdout.flush()
