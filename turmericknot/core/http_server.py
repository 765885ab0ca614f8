"""WSGI server (cheroot) as a kernel service, and JSON request handling."""

import errno
import threading
from http import HTTPStatus

import msgspec
from cheroot import wsgi
from cheroot.errors import MaxSizeExceeded

from turmericknot.utils.logging import get_logger

from .addresses import split_address
from .exceptions import AddressInUse, RequestError

REQUEST_QUEUE_SIZE = 512
IDLE_TIMEOUT_S = 60
SHUTDOWN_TIMEOUT_S = 5
# Number of threads added at a time as more requests wait.
THREAD_GROWTH_STEP = 16

_encoder = msgspec.json.Encoder()


class WsgiServer:
    """WSGI server whose thread pool grows with the number of waiting requests."""

    __slots__ = (
        "_address",
        "_app",
        "_initial_threads",
        "_max_threads",
        "_max_body_bytes",
        "_server",
        "_serving_thread",
        "_waiting_requests",
        "_thread_count",
        "_lock",
    )

    def __init__(self, address, app, threads, max_threads, max_body_bytes):
        self._address = address
        self._app = app
        self._initial_threads = threads
        self._max_threads = max(threads, max_threads)
        self._max_body_bytes = max_body_bytes
        self._server = None
        self._serving_thread = None
        self._waiting_requests = 0
        self._thread_count = threads
        self._lock = threading.Lock()

    @property
    def has_spare_thread(self):
        """Return whether another request may block a thread while it waits."""
        return self._waiting_requests < self._max_threads - THREAD_GROWTH_STEP

    def start(self):
        """Bind the socket and serve; raise AddressInUse if the port is taken."""
        server = wsgi.Server(
            split_address(self._address),
            self._app,
            numthreads=self._initial_threads,
            max=self._max_threads,
            request_queue_size=REQUEST_QUEUE_SIZE,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        server.max_request_body_size = self._max_body_bytes
        server.error_log = _log_server_error
        try:
            server.prepare()
        except OSError as error:
            if _is_address_in_use(error):
                raise AddressInUse(f"HTTP address {self._address}") from error
            raise
        self._server = server
        self._serving_thread = threading.Thread(
            target=server.serve, name="http", daemon=True
        )
        self._serving_thread.start()

    def stop(self):
        """Finish requests in progress and close the socket."""
        if self._server is not None:
            self._server.stop()
            self._serving_thread.join()

    def __enter__(self):
        """Register a waiting request; add threads if few are free."""
        with self._lock:
            self._waiting_requests += 1
            nearly_exhausted = (
                self._waiting_requests > self._thread_count - THREAD_GROWTH_STEP // 2
            )
            should_grow = nearly_exhausted and self._thread_count < self._max_threads
            if should_grow:
                self._thread_count += THREAD_GROWTH_STEP
        if should_grow:
            self._server.requests.grow(THREAD_GROWTH_STEP)

    def __exit__(self, *error):
        """Unregister a waiting request."""
        with self._lock:
            self._waiting_requests -= 1


def create_wsgi_server(address, app, threads, max_threads, max_body_bytes):
    """Return a server for a WSGI application that has not been started."""
    return WsgiServer(address, app, threads, max_threads, max_body_bytes)


class HttpError(RequestError):
    """Error that ends a request with an HTTP status and an error code."""

    def __init__(self, status, code, detail=""):
        super().__init__(f"{code}: {detail}")
        self.status, self.code, self.detail = status, code, detail


def create_json_app(route):
    """Return a WSGI application around ``route(method, path) -> handler or None``.

    A handler takes the WSGI environment and returns ``(status, body, headers)``.
    """

    def app(environ, start_response):
        try:
            method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
            status, body, headers = route(method, path)(environ)
        except HttpError as error:
            status, headers = error.status, []
            body = {"error": error.code, "detail": error.detail}
        except Exception:
            get_logger().exception("http.failed", path=environ["PATH_INFO"])
            status, headers, body = 500, [], {"error": "internal_error", "detail": ""}
        data = _encoder.encode(body)
        headers += [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        start_response(f"{status} {HTTPStatus(status).phrase}", headers)
        return [data]

    return app


def read_json_body(environ, body_type):
    """Return the JSON body decoded as ``body_type``, or raise HttpError."""
    try:
        data = environ["wsgi.input"].read()
    except MaxSizeExceeded as error:
        raise HttpError(413, "body_too_large") from error
    except (OSError, ValueError) as error:
        raise _create_body_error(error) from error
    try:
        return msgspec.json.decode(data, type=body_type)
    except msgspec.ValidationError as error:
        raise HttpError(400, "invalid_body", str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise HttpError(400, "malformed_json", str(error)) from error


def _create_body_error(error):
    """Return the HttpError for an exception that cheroot raised reading a body."""
    # cheroot has no exception type for a chunked body that exceeds the limit.
    if "Too Large" in str(error):
        return HttpError(413, "body_too_large")
    return HttpError(400, "unreadable_body", str(error))


def _is_address_in_use(error):
    # cheroot wraps the bind error and preserves only its text.
    while error is not None:
        if getattr(error, "errno", None) == errno.EADDRINUSE:
            return True
        if "Address already in use" in str(error):
            return True
        error = error.__cause__
    return False


def _log_server_error(msg="", level=20, traceback=False):
    log = get_logger()
    if traceback:
        log.exception("http.server_error", detail=msg)
    else:
        log.debug("http.server", detail=msg)
