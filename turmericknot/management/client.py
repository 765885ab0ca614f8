"""Calls to an entry over its outside interface (HTTP)."""

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
# Beyond the time that the entry was asked to wait: a job ends at the latest one
# second after its deadline.
ANSWER_MARGIN_S = 10.0
_REFUSED = "the entry refused the request ({}): {}"
_SHOWN_CHARACTERS = 200


def submit_job(address, body, timeout_s):
    """Submit a job and return its answer as a dict."""
    return _job_answer(_call("POST", address, "/v1/jobs", timeout_s, body))


def await_job(address, team, key, expires_at, wait_s):
    """Return the answer of a job, after waiting for it at most ``wait_s``."""
    query = {"expires_at": repr(expires_at), "wait_s": f"{wait_s:g}"}
    path = f"{_job_path(team, key)}?{urlencode(query)}"
    return _job_answer(_call("GET", address, path, wait_s))


def cancel_job(address, team, key, expires_at):
    """Cancel a job and return its answer."""
    query = urlencode({"expires_at": repr(expires_at)})
    path = f"{_job_path(team, key)}?{query}"
    return _job_answer(_call("DELETE", address, path, ANSWER_MARGIN_S))


def read_status(address):
    """Return what an entry says of itself."""
    status, body = _call("GET", address, "/v1/status", ANSWER_MARGIN_S)
    if status != 200:
        raise EntryAnswerLost(f"the entry at {address} answered with status {status}")
    return body


def _job_path(team, key):
    return f"/v1/jobs/{quote(team, safe='')}/{quote(key, safe='')}"


def _call(method, address, path, wait_s, body=None):
    """Return ``(status, decoded body)`` of one call."""
    if not is_address(address):
        raise UsageError(f"{address!r} is not an address host:port")
    timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=wait_s + ANSWER_MARGIN_S)
    try:
        answer = urllib3.request(
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
            f"the entry at {address} gave no answer: {error}; the same request with"
            " the same key may be sent again"
        ) from error
    return answer.status, _decode(address, answer)


def _decode(address, answer):
    """Return the JSON body of an answer."""
    try:
        return msgspec.json.decode(answer.data)
    except msgspec.DecodeError as error:
        if 400 <= answer.status < 500:
            # The HTTP server itself refuses a body over the limit, in plain text.
            text = answer.data.decode(errors="replace")[:_SHOWN_CHARACTERS]
            raise RequestError(_REFUSED.format(answer.status, text)) from error
        raise EntryAnswerLost(
            f"{address} answered with status {answer.status} and no JSON: is it the"
            " http_address of an entry?"
        ) from error


def _job_answer(result):
    """Return the answer of a job; raise RequestError when there is no job."""
    status, body = result
    if isinstance(body, dict) and "status" in body:
        return body
    detail = _error_text(body)
    if 400 <= status < 500:
        raise RequestError(_REFUSED.format(status, detail))
    raise EntryAnswerLost(f"the entry answered with status {status}: {detail}")


def _error_text(body):
    """Return the error code and detail of a body that is no answer of a job."""
    if not isinstance(body, dict):
        return body
    return ": ".join(body[name] for name in ("error", "detail") if body.get(name))
