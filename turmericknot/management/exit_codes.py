"""Exit codes of the commands, for use in scripts."""

from turmericknot.core.exceptions import (
    AddressInUse,
    ConfigurationError,
    EntryAnswerLost,
    EntryUnreachable,
    LogServiceError,
    RequestError,
    UsageError,
)
from turmericknot.dispatch.tasks import JobStatus, Reason

OK = 0
FAILED = 1
USAGE = 2
NOT_RUN = 3
UNKNOWN = 4
UNREACHABLE = 5
# 128 plus the signal number, as shells report an end by SIGINT or SIGPIPE.
INTERRUPTED = 130
BROKEN_PIPE = 141

MEANINGS = {
    OK: "success; a submitted job is complete, or accepted when not waited for",
    FAILED: "the job failed, or the command failed for another reason",
    USAGE: "wrong usage, settings, configuration or request",
    NOT_RUN: "the job was not run by this attempt and never will be",
    UNKNOWN: "the outcome of the job or change is unknown, or not known yet",
    UNREACHABLE: "no entry or log service answers at the address",
}

_CODE_BY_JOB_STATUS = {
    JobStatus.PENDING: UNKNOWN,
    JobStatus.COMPLETE: OK,
    JobStatus.FAILED: FAILED,
    JobStatus.NOT_RUN: NOT_RUN,
    JobStatus.UNKNOWN: UNKNOWN,
}
# These reasons reject the request itself; no job has ended with them.
_INVALID_REQUEST_REASONS = (Reason.KEY_CONFLICT, Reason.NOT_FOUND)

_CODE_BY_ERROR = (
    (EntryUnreachable, UNREACHABLE),
    (EntryAnswerLost, UNKNOWN),
    (LogServiceError, UNREACHABLE),
    ((UsageError, ConfigurationError, RequestError, AddressInUse), USAGE),
)


def code_for_answer(answer):
    """Return the exit code for a job answer."""
    if answer.get("reason") in _INVALID_REQUEST_REASONS:
        return USAGE
    return _CODE_BY_JOB_STATUS.get(answer.get("status"), UNKNOWN)


def code_for_error(error):
    """Return the exit code for a TurmericknotError."""
    for error_types, code in _CODE_BY_ERROR:
        if isinstance(error, error_types):
            return code
    return FAILED
