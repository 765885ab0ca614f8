"""The caller's interface over HTTP; see section 10 of the design."""

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

from .bodies import JobBody, OneTaskBody, answer_body, http_status, job_of
from .response_times import record_response

# Most callers that can wait at the same time; more are told to ask again.
MAX_HTTP_THREADS = 1024
# A caller that does not wait still learns of a refusal that comes at once.
QUICK_WAIT_S = 0.1
# A job ends at most 1 s after its deadline; the rest covers the way of the answer.
ANSWER_MARGIN_S = 2.0
MAX_WAIT_S = 3600.0
CANCEL_WAIT_S = 10.0

_JOB_PATH = re.compile(r"/v1/jobs/([^/]+)/([^/]+)")


class Api:
    """The HTTP server and the table of waiting callers."""

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
        """Listen."""
        self._server.start()

    def stop(self):
        """Answer the callers that still wait, then close."""
        answer = Answer(
            b"",
            JobStatus.UNKNOWN,
            Reason.MAY_HAVE_STARTED,
            "the entry stopped before the job ended",
        )
        self._kernel.get("requests").respond_all(answer)
        self._server.stop()

    def drain(self):
        """Report as unhealthy, so that the load balancer sends no new callers."""
        self._draining = True

    def submit(self, environ, kind):
        """Accept a job and answer when it ends or the caller stops waiting."""
        body = read_json_body(environ, kind)
        spec = job_of(body, self._kernel.get("config").tree)
        wait_s = spec.deadline_s + ANSWER_MARGIN_S
        if body.wait_s is not None:
            wait_s = body.wait_s
        if not body.wait:
            wait_s = 0.0
        event = events.JobSubmitted
        started = time.monotonic()
        response = self._exchange(spec.job, wait_s, lambda number: event(number, spec))
        record_response(spec, response[1], time.monotonic() - started)
        return response

    def await_job(self, environ, team, key):
        """Answer with the state of a job that was submitted earlier."""
        job, expires_at, query = _named_job(environ, team, key)
        wait_s = _number(query, "wait_s", 0.0)
        event = events.JobAwaited
        return self._exchange(
            job, wait_s, lambda number: event(number, job, team, expires_at)
        )

    def cancel(self, environ, team, key):
        """Cancel a job; answer when no task of it can start any more."""
        job, _, _ = _named_job(environ, team, key)
        event = events.JobCancelled
        status, body, headers = self._exchange(
            job, CANCEL_WAIT_S, lambda number: event(number, job)
        )
        cancelled = body.reason == Reason.CANCELLED
        return (200 if cancelled else status), body, headers

    def status(self, environ):
        """Return what an operator wants to see."""
        return 200, self._kernel.get("status")(), []

    def healthz(self, environ):
        """Return 200 when the entry takes new jobs."""
        if not self._kernel.get("dispatcher").is_responsive:
            return 503, {"status": "dispatcher_hung"}, []
        if self._draining:
            return 503, {"status": "draining"}, []
        return 200, {"status": "ok"}, []

    def _exchange(self, job, wait_s, create_event):
        """Send an event with a request number; wait for the answer."""
        wait_s = min(max(wait_s, QUICK_WAIT_S), MAX_WAIT_S)
        if not self._server.has_spare_thread:
            wait_s = QUICK_WAIT_S
        dispatcher = self._kernel.get("dispatcher")
        with self._server, self._kernel.get("requests").waiting() as waiter:
            dispatcher.post(create_event(waiter.request))
            answer = waiter.get(wait_s)
            if answer is None:
                dispatcher.post(events.RequestAbandoned(waiter.request))
        if answer is None:
            answer = Answer(job, JobStatus.PENDING)
        elif not answer.job:
            answer = msgspec.structs.replace(answer, job=job)
        return http_status(answer), answer_body(answer), _headers(answer)


def create_api(kernel, settings):
    """Return the HTTP service of an entry."""
    return Api(kernel, settings)


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
            team, key = (_unquote_slash(part) for part in match.groups())
            return lambda environ: job_methods[method](environ, team, key)
        if match or path in paths:
            raise HttpError(405, "method_not_allowed", method)
        raise HttpError(404, "no_such_resource", path)

    return route


def _unquote_slash(part):
    # cheroot decodes everything in a path but %2F.
    text = re.sub("%2F", "/", part, flags=re.IGNORECASE)
    # WSGI hands the bytes of a path over as Latin-1.
    return text.encode("latin-1").decode("utf-8", "replace")


def _named_job(environ, team, key):
    query = parse_qs(environ.get("QUERY_STRING", ""))
    expires_at = _number(query, "expires_at", None)
    return compute_job_id(team, key, expires_at), expires_at, query


def _number(query, name, default):
    """Return a number of the query string or raise HttpError."""
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


def _headers(answer):
    if answer.retry_after_s <= 0:
        return []
    return [("Retry-After", str(math.ceil(answer.retry_after_s)))]
