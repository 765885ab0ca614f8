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
# As shells report a command that was ended by SIGINT or SIGPIPE.
INTERRUPTED = 130
BROKEN_PIPE = 141

MEANINGS = {
    OK: "success; a submitted job is complete, or accepted when not waited for",
    FAILED: "the job failed, or the command failed for another reason",
    USAGE: "wrong usage, settings, configuration or request",
    NOT_RUN: "the job was not run by this attempt and never will be",
    UNKNOWN: "the outcome of the job or change cannot be told, or not yet",
    UNREACHABLE: "no entry or log service answers at the address",
}

_BY_STATUS = {
    JobStatus.PENDING: UNKNOWN,
    JobStatus.COMPLETE: OK,
    JobStatus.FAILED: FAILED,
    JobStatus.NOT_RUN: NOT_RUN,
    JobStatus.UNKNOWN: UNKNOWN,
}
# The request itself is at fault; there is no job that it could have ended.
_REQUEST_REASONS = (Reason.KEY_CONFLICT, Reason.NOT_FOUND)

_BY_ERROR = (
    (EntryUnreachable, UNREACHABLE),
    (EntryAnswerLost, UNKNOWN),
    (LogServiceError, UNREACHABLE),
    ((UsageError, ConfigurationError, RequestError, AddressInUse), USAGE),
)


def for_answer(answer):
    """Return the exit code for the answer of a job."""
    if answer.get("reason") in _REQUEST_REASONS:
        return USAGE
    return _BY_STATUS.get(answer.get("status"), UNKNOWN)


def for_error(error):
    """Return the exit code for a typed error."""
    for kinds, code in _BY_ERROR:
        if isinstance(error, kinds):
            return code
    return FAILED
