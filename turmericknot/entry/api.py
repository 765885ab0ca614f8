"""HTTP API for callers, who submit, await and cancel jobs.

See docs/design.md, section 10.
"""

import math
import re
import time
from urllib.parse import parse_qs

import msgspec

from turmericknot.core.http_server import (
    HttpError,
    create_json_app,
    create_wsgi_server,
    read_json_body,
)
from turmericknot.core.ids import compute_job_id
from turmericknot.dispatch import events
from turmericknot.dispatch.tasks import Answer, JobStatus, Reason

from .bodies import (
    JobBody,
    OneTaskBody,
    create_answer_body,
    create_job_spec,
    http_status,
)
from .response_times import record_response

# Limits the number of callers that can wait at the same time. Callers beyond that are
# answered after MIN_WAIT_S at the latest and have to poll.
MAX_HTTP_THREADS = 1024
# Lets callers that do not wait still receive an immediate refusal.
MIN_WAIT_S = 0.1
# A job ends at most 1 s after its deadline; the rest is for delivery of the answer.
ANSWER_MARGIN_S = 2.0
MAX_WAIT_S = 3600.0
CANCEL_WAIT_S = 10.0

_JOB_PATH = re.compile(r"/v1/jobs/([^/]+)/([^/]+)")


class ApiService:
    """HTTP server that passes requests to the dispatcher and waits for the answers."""

    __slots__ = ("_kernel", "_server", "_draining")

    def __init__(self, kernel, settings):
        self._kernel = kernel
        self._draining = False
        self._server = create_wsgi_server(
            settings.http_address,
            create_json_app(_create_router(self)),
            settings.http_threads,
            MAX_HTTP_THREADS,
            settings.max_body_bytes,
        )

    def start(self):
        """Start the HTTP server."""
        self._server.start()

    def stop(self):
        """Answer all waiting callers, then stop the HTTP server."""
        answer = Answer(
            b"",
            JobStatus.UNKNOWN,
            Reason.MAY_HAVE_STARTED,
            "the entry stopped before the job ended",
        )
        self._kernel.get("requests").respond_all(answer)
        self._server.stop()

    def report_draining(self):
        """Fail health checks, so that the load balancer sends no new requests."""
        self._draining = True

    def submit(self, environ, body_type):
        """Submit a job; respond when it ends or the time to wait is over."""
        body = read_json_body(environ, body_type)
        spec = create_job_spec(body, self._kernel.get("config").tree)
        wait_s = spec.deadline_s + ANSWER_MARGIN_S
        if body.wait_s is not None:
            wait_s = body.wait_s
        if not body.wait:
            wait_s = 0.0
        event_type = events.JobSubmitted
        started_at = time.monotonic()
        response = self._request_answer(
            spec.job, wait_s, lambda request_id: event_type(request_id, spec)
        )
        record_response(spec, response[1], time.monotonic() - started_at)
        return response

    def await_job(self, environ, team, key):
        """Respond with the state of a job that was submitted earlier."""
        job, expires_at, query = _parse_job_reference(environ, team, key)
        wait_s = _parse_number(query, "wait_s", 0.0)
        event_type = events.JobAwaited
        return self._request_answer(
            job,
            wait_s,
            lambda request_id: event_type(request_id, job, team, expires_at),
        )

    def cancel(self, environ, team, key):
        """Cancel a job; respond when none of its tasks can start any more."""
        job, _, _ = _parse_job_reference(environ, team, key)
        event_type = events.JobCancelled
        status, body, headers = self._request_answer(
            job, CANCEL_WAIT_S, lambda request_id: event_type(request_id, job)
        )
        cancelled = body.reason == Reason.CANCELLED
        return (200 if cancelled else status), body, headers

    def status(self, environ):
        """Return the status page."""
        return 200, self._kernel.get("status")(), []

    def healthz(self, environ):
        """Return 200 while the entry accepts new jobs, otherwise 503."""
        if not self._kernel.get("dispatcher").is_responsive:
            return 503, {"status": "dispatcher_hung"}, []
        if self._draining:
            return 503, {"status": "draining"}, []
        return 200, {"status": "ok"}, []

    def _request_answer(self, job, wait_s, create_event):
        """Post the event of a new request id to the dispatcher and await its answer.

        Without an answer in time, the job is reported as pending.
        """
        wait_s = min(max(wait_s, MIN_WAIT_S), MAX_WAIT_S)
        if not self._server.has_spare_thread:
            wait_s = MIN_WAIT_S
        dispatcher = self._kernel.get("dispatcher")
        with (
            self._server,
            self._kernel.get("requests").open_request() as waiting_request,
        ):
            dispatcher.post(create_event(waiting_request.request_id))
            answer = waiting_request.await_answer(wait_s)
            if answer is None:
                dispatcher.post(events.RequestAbandoned(waiting_request.request_id))
        if answer is None:
            answer = Answer(job, JobStatus.PENDING)
        elif not answer.job:
            answer = msgspec.structs.replace(answer, job=job)
        return http_status(answer), create_answer_body(answer), _retry_headers(answer)


def create_api_service(kernel, settings):
    """Return the HTTP API service of an entry."""
    return ApiService(kernel, settings)


def _create_router(api):
    routes = {
        ("POST", "/v1/jobs"): lambda environ: api.submit(environ, JobBody),
        ("POST", "/v1/tasks"): lambda environ: api.submit(environ, OneTaskBody),
        ("GET", "/v1/status"): api.status,
        ("GET", "/v1/healthz"): api.healthz,
    }
    job_methods = {"GET": api.await_job, "DELETE": api.cancel}
    paths = {path for _, path in routes}

    def route(method, path):
        handler = routes.get((method, path))
        if handler is not None:
            return handler
        match = _JOB_PATH.fullmatch(path)
        if match and method in job_methods:
            team, key = (_decode_segment(segment) for segment in match.groups())
            return lambda environ: job_methods[method](environ, team, key)
        if match or path in paths:
            raise HttpError(405, "method_not_allowed", method)
        raise HttpError(404, "no_such_resource", path)

    return route


def _decode_segment(segment):
    # cheroot decodes all percent-encoded characters of a path except %2F.
    text = re.sub("%2F", "/", segment, flags=re.IGNORECASE)
    # WSGI passes the bytes of a path as Latin-1.
    return text.encode("latin-1").decode("utf-8", "replace")


def _parse_job_reference(environ, team, key):
    query = parse_qs(environ.get("QUERY_STRING", ""))
    expires_at = _parse_number(query, "expires_at", None)
    return compute_job_id(team, key, expires_at), expires_at, query


def _parse_number(query, name, default):
    """Return a finite number from the query string, or ``default`` without one.

    Raise HttpError when the number is invalid, or missing without a default.
    """
    values = query.get(name)
    if not values:
        if default is None:
            raise HttpError(400, "missing_parameter", name)
        return default
    try:
        value = float(values[-1])
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise HttpError(400, "invalid_parameter", f"{name} is not a number")
    return value


def _retry_headers(answer):
    if answer.retry_after_s <= 0:
        return []
    return [("Retry-After", str(math.ceil(answer.retry_after_s)))]
