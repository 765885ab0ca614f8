"""Exception hierarchy of the project."""


class TurmericknotError(Exception):
    """Base class of every error that the project raises."""


class ConfigurationError(TurmericknotError):
    """A setting is missing, unknown or invalid."""


class SettingsError(ConfigurationError):
    """A settings file is invalid; ``problems`` lists every problem found."""

    def __init__(self, problems):
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class UsageError(TurmericknotError):
    """A command was used incorrectly."""


class EntryUnreachable(TurmericknotError):
    """No entry is reachable at the address; nothing was sent."""


class EntryAnswerLost(TurmericknotError):
    """An entry received a request but its response was lost or is malformed."""


class ServiceError(TurmericknotError):
    """Base class of failures of a kernel service."""


class ServiceNotFound(ServiceError):
    """No service is registered under the requested name."""

    def __init__(self, name, known):
        super().__init__(f"no service named {name!r}; known: {', '.join(known)}")
        self.name = name


class DuplicateService(ServiceError):
    """Two services were registered under one name."""


class AddressInUse(ServiceError):
    """A listening address is already in use."""


class WireError(TurmericknotError):
    """A peer sent data that cannot be decoded."""


class LogServiceError(TurmericknotError):
    """Base class of log service failures."""


class AppendNotWritten(LogServiceError):
    """The record was certainly not written to the log."""


class AppendOutcomeUnknown(LogServiceError):
    """The response to an append was lost; the record may have been written."""


class LogUnavailable(LogServiceError):
    """The log service cannot be read."""


class RecordsTrimmed(LogServiceError):
    """The requested offset is older than the log's retention."""

    def __init__(self, first_offset):
        super().__init__(f"records before offset {first_offset} have been trimmed")
        self.first_offset = first_offset


class TargetError(TurmericknotError):
    """A call to a target failed or was refused."""


class RequestError(TurmericknotError):
    """A caller's request is malformed."""


class TargetRefused(TargetError):
    """The target did not start the task and will not start it."""


class TargetLost(TargetError):
    """The call was interrupted; the target may have started the task."""


class DispatcherFailed(ServiceError):
    """The decision logic raised an exception; its state may be inconsistent."""


class CallError(TurmericknotError):
    """Base class of failed calls to another process."""


class CallNotSent(CallError):
    """The peer has certainly not received the call."""


class ConnectTimedOut(CallNotSent):
    """The peer neither accepted nor refused a connection; it may be cut off."""


class CallWithdrawn(CallNotSent):
    """The caller no longer wanted the call when it could be sent."""


class CallAnswerLost(CallError):
    """The peer may have received and executed the call."""


class StoreError(TurmericknotError):
    """Base class of job store failures."""


class StoreUnavailable(StoreError):
    """No valid response was received; the store may have executed the call."""


class StoreRejected(StoreUnavailable):
    """The store certainly did not execute the call."""


class StoreFenced(StoreError):
    """Another process writes to the shard with a later epoch."""


class StoreSequenceExpected(StoreError):
    """The sequence number of an append does not follow the previous one."""

    def __init__(self, expected):
        super().__init__(f"the store expects sequence {expected}")
        self.expected = expected


class MessageError(TurmericknotError):
    """An external message cannot be decoded into its expected type."""


class UnsupportedJob(MessageError):
    """A job requires a feature that is not supported."""


class WorkerError(TurmericknotError):
    """Base class of failed worker commands."""


class WorkerUnavailable(WorkerError):
    """No valid response was received; the worker may have executed the command."""


class WorkerRefused(WorkerError):
    """The worker did not execute the command.

    ``clock_ms`` is the worker's clock, or None if unknown.
    """

    def __init__(self, reason, clock_ms=None):
        super().__init__(f"worker refused: {reason}")
        self.reason = reason
        self.clock_ms = clock_ms


class WorkerSilent(WorkerRefused):
    """The worker neither accepted nor refused a connection; it may be cut off."""

    def __init__(self):
        super().__init__("unreachable")
