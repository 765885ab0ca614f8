"""Exceptions of the project, one tree."""


class TurmericknotError(Exception):
    """Base class of every error that the project raises."""


class ConfigurationError(TurmericknotError):
    """A setting is missing, unknown or invalid."""


class SettingsError(ConfigurationError):
    """A settings file has problems; ``problems`` lists every one of them."""

    def __init__(self, problems):
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class UsageError(TurmericknotError):
    """A command was called in a way that it does not allow."""


class EntryUnreachable(TurmericknotError):
    """No entry answers at the address; nothing was sent to it."""


class EntryAnswerLost(TurmericknotError):
    """An entry took a request and its answer was lost or cannot be read."""


class ServiceError(TurmericknotError):
    """A service of the kernel failed."""


class ServiceNotFound(ServiceError):
    """No service is registered under the requested name."""

    def __init__(self, name, known):
        super().__init__(f"no service named {name!r}; known: {', '.join(known)}")
        self.name = name


class DuplicateService(ServiceError):
    """Two services were registered under one name."""


class AddressInUse(ServiceError):
    """A listening address is taken by another process."""


class WireError(TurmericknotError):
    """A peer sent something that cannot be decoded."""


class LogServiceError(TurmericknotError):
    """Base class of failures of the platform's log service."""


class AppendNotWritten(LogServiceError):
    """The log service refused the record: it was certainly not written."""


class AppendOutcomeUnknown(LogServiceError):
    """The answer to an append was lost: the record may have been written."""


class LogUnavailable(LogServiceError):
    """The log service cannot be read at present."""


class RecordsTrimmed(LogServiceError):
    """The requested offset is older than the log's retention."""

    def __init__(self, first_offset):
        super().__init__(f"records before offset {first_offset} are gone")
        self.first_offset = first_offset


class TargetError(TurmericknotError):
    """A target failed or refused a call."""


class RequestError(TurmericknotError):
    """A caller's request is malformed."""


class TargetRefused(TargetError):
    """The target did not start the task and never will."""


class TargetLost(TargetError):
    """The call broke off: the target may have started the task."""


class DispatcherFailed(ServiceError):
    """The decision logic raised an exception; its state cannot be trusted."""


class CallError(TurmericknotError):
    """Base class of failures of a call to another process."""


class CallNotSent(CallError):
    """The peer has certainly not received the call."""


class CallAnswerLost(CallError):
    """The peer may have received and executed the call."""


class StoreError(TurmericknotError):
    """Base class of failures of the store that keeps the jobs."""


class StoreUnavailable(StoreError):
    """No usable answer: the call may have been executed."""


class StoreRejected(StoreUnavailable):
    """The store has certainly not executed the call."""


class StoreFenced(StoreError):
    """Another process writes to the shard with a later epoch."""


class StoreSequenceExpected(StoreError):
    """The sequence number of an append does not follow the last one."""

    def __init__(self, expected):
        super().__init__(f"the store expects sequence {expected}")
        self.expected = expected


class MessageError(TurmericknotError):
    """A message from outside cannot be decoded into a type of the product."""


class UnsupportedJob(MessageError):
    """A job asks for something that is not served."""


class WorkerError(TurmericknotError):
    """Base class of failures of an order to a worker."""


class WorkerUnavailable(WorkerError):
    """No usable answer: the worker may have carried out the order."""


class WorkerRefused(WorkerError):
    """The worker did not carry out the order; ``clock_ms`` is its clock or 0."""

    def __init__(self, reason, clock_ms=0):
        super().__init__(f"worker refused: {reason}")
        self.reason = reason
        self.clock_ms = clock_ms
