"""Client of the HTTP API of an entry."""

from urllib.parse import quote, urlencode

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from turmericknot.conf.rules import is_address
from turmericknot.core.exceptions import (
    EntryAnswerLost,
    EntryUnreachable,
    RequestError,
    UsageError,
)

CONNECT_TIMEOUT_S = 2.0
# Read timeout beyond the time that the entry was asked to wait. A job ends at the
# latest one second after its deadline.
ANSWER_MARGIN_S = 10.0
_REQUEST_REFUSED = "the entry refused the request ({}): {}"
_MAX_ERROR_CHARACTERS = 200


def submit_job(address, body, timeout_s):
    """Submit a job and return its answer as a dict."""
    return _check_job_answer(
        _send_request("POST", address, "/v1/jobs", timeout_s, body)
    )


def await_job(address, team, key, expires_at, wait_s):
    """Return the answer of a job after waiting for it for at most ``wait_s``."""
    query = {"expires_at": repr(expires_at), "wait_s": f"{wait_s:g}"}
    path = f"{_job_path(team, key)}?{urlencode(query)}"
    return _check_job_answer(_send_request("GET", address, path, wait_s))


def cancel_job(address, team, key, expires_at):
    """Cancel a job and return its answer."""
    query = urlencode({"expires_at": repr(expires_at)})
    path = f"{_job_path(team, key)}?{query}"
    return _check_job_answer(_send_request("DELETE", address, path, ANSWER_MARGIN_S))


def read_status(address):
    """Return the status of an entry as a dict."""
    status, body = _send_request("GET", address, "/v1/status", ANSWER_MARGIN_S)
    if status != 200:
        raise EntryAnswerLost(f"the entry at {address} answered with status {status}")
    return body


def _job_path(team, key):
    return f"/v1/jobs/{quote(team, safe='')}/{quote(key, safe='')}"


def _send_request(method, address, path, wait_s, body=None):
    """Send a request; return the HTTP status and the decoded body."""
    if not is_address(address):
        raise UsageError(f"{address!r} is not an address of the form host:port")
    timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=wait_s + ANSWER_MARGIN_S)
    try:
        response = urllib3.request(
            method,
            f"http://{address}{path}",
            json=body,
            timeout=timeout,
            retries=False,
            redirect=False,
        )
    except (NewConnectionError, ConnectTimeoutError) as error:
        raise EntryUnreachable(f"no entry answers at {address}: {error}") from error
    except HTTPError as error:
        raise EntryAnswerLost(
            f"the entry at {address} gave no answer: {error}; it is safe to send the"
            " same request with the same key again"
        ) from error
    return response.status, _decode_json_body(address, response)


def _decode_json_body(address, response):
    """Return the decoded JSON body of a response."""
    try:
        return msgspec.json.decode(response.data)
    except msgspec.DecodeError as error:
        if 400 <= response.status < 500:
            # The HTTP server rejects a body over the size limit with plain text.
            text = response.data.decode(errors="replace")[:_MAX_ERROR_CHARACTERS]
            raise RequestError(
                _REQUEST_REFUSED.format(response.status, text)
            ) from error
        raise EntryAnswerLost(
            f"{address} answered with status {response.status} and a body that is not"
            " JSON; is it the http_address of an entry?"
        ) from error


def _check_job_answer(status_and_body):
    """Return the answer of a job from ``(HTTP status, body)``.

    Raise RequestError or EntryAnswerLost when the body is no job answer.
    """
    status, body = status_and_body
    if isinstance(body, dict) and "status" in body:
        return body
    detail = _error_text(body)
    if 400 <= status < 500:
        raise RequestError(_REQUEST_REFUSED.format(status, detail))
    raise EntryAnswerLost(f"the entry answered with status {status}: {detail}")


def _error_text(body):
    """Return the error code and detail of a body that is no job answer."""
    if not isinstance(body, dict):
        return body
    return ": ".join(body[field] for field in ("error", "detail") if body.get(field))
