"""Decodes the reports of workers and sends calls to the worker of an agent."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from turmericknot.core.exceptions import (
    CallAnswerLost,
    CallNotSent,
    CallWithdrawn,
    ConnectTimedOut,
    MessageError,
    WorkerRefused,
    WorkerSilent,
    WorkerUnavailable,
)
from turmericknot.scheduling.jobs import RunEnd
from turmericknot.scheduling.worker_types import (
    LeaseRenewalResult,
    ListedEnd,
    ListedRun,
    WorkerLife,
)
from turmericknot.utils.logging import get_logger
from turmericknot.wire.shard_messages import RunName

EXPECT_INSTANCE_HEADER = "X-Turmericknot-Expect-Instance"
# A healthy worker, on the same VM, answers within a millisecond. Calls whose answer is
# lost are settled by the next renewal, which also shows the ends of runs: a long wait
# for a lost answer costs more than a call too many.
WORKER_CALL_TIMEOUT_S = 0.2
REPORT_PATH_PREFIX = "/instances/"
MAX_LOGGED_ROW_CHARS = 100
MAX_LISTED_ENDS = 500  # the platform's limit for one list

_RUN_ENDS = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LAPSED,
    "broken": RunEnd.OTHER,
    "alone": RunEnd.OTHER,
}
_REPORT_STATES = ("ready", "draining")


# Larger numbers would overflow in conversions to seconds.
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _Capacity(msgspec.Struct):
    cpu: _Count
    mem_mb: _Count
    gpu: _Count


class _Report(msgspec.Struct):
    """A worker's report about itself.

    Fields that are not used are declared as well: a report that lacks one of them comes
    from another writer and names no worker.
    """

    service: str
    addr: str
    zone: str
    version: str
    slots: _Count
    state: str
    capacity: _Capacity
    labels: list[str]
    clock_ms: _Count
    seq: _Count  # increases with each report since a start of the worker
    born: _Count  # start time of the worker in Unix milliseconds
    cold_left_ms: float  # how much longer it remains slow after its start
    # Least time left to a draining worker; only such a worker reports it.
    remaining_ms: int | msgspec.UnsetType = msgspec.UNSET


class _RefusalBody(msgspec.Struct):
    clock_ms: int | None = None
    reason: str = ""


class _RunLists(msgspec.Struct):
    clock_ms: int
    running: list[list]  # task, run, saved, percent, load
    ended: list[list]  # N, task, run, how, saved
    born: int | None = None


_report_decoder = msgspec.json.Decoder(_Report)
_run_lists_decoder = msgspec.json.Decoder(_RunLists)
_refusal_decoder = msgspec.json.Decoder(_RefusalBody)


@dataclass(slots=True)
class WorkerClient:
    """Client of the worker on the VM of an agent."""

    http_client: object

    async def start(self, call, may_send):
        """Start a run; raise WorkerRefused when the worker did not start it.

        ``may_send()`` is asked just before the call is written; if it returns False,
        nothing is sent and the reason of the WorkerRefused is ``no_grant``.
        Raise WorkerUnavailable when it is not known whether the run has started.
        """
        body = {
            "task": _encode_task_name(call.name),
            "run": call.name.run,
            "spec": call.spec,
            "deadline_ms": call.deadline_ms,
            "fence_token": call.fence,
        }
        reply = await self._post(
            "/run-start",
            body,
            call.life,
            call.answer_timeout_s,
            may_send,
            connect_timeout_s=WORKER_CALL_TIMEOUT_S,
        )
        _raise_unless_accepted(reply)

    async def stop(self, call):
        """Stop a run; raise WorkerRefused or WorkerUnavailable."""
        body = {
            "task": _encode_task_name(call.name),
            "run": call.name.run,
            "fence_token": call.fence,
        }
        reply = await self._post("/run-stop", body, call.life)
        _raise_unless_accepted(reply)

    async def renew_lease(self, call, wait_s, answer_time_s):
        """Renew the lease of the worker and return the LeaseRenewalResult.

        The worker delays its answer by up to ``wait_s`` until a run ends that has not
        been listed yet. Raise WorkerUnavailable without an answer ``answer_time_s``
        after that.
        """
        body = {
            "fence_token": call.fence,
            "last_seen": call.last_seen,
            "wait_ms": int(wait_s * 1000),
        }
        if call.deadline_ms is not None:
            body["deadline_ms"] = call.deadline_ms
        timeout_s = answer_time_s + wait_s
        reply = await self._post(
            "/hold",
            body,
            call.life,
            timeout_s,
            connect_timeout_s=WORKER_CALL_TIMEOUT_S,
        )
        _raise_unless_accepted(reply)
        return _decode_run_lists(reply.body)

    async def read_clock(self, life):
        """Return the worker's clock in seconds, without changing its lease.

        Raise WorkerRefused when the worker has restarted or cannot be reached, and
        WorkerUnavailable when the answer is lost or malformed.
        """
        body = {"fence_token": 0, "last_seen": 0}
        reply = await self._post("/hold", body, life)
        if reply.status == 200:
            result = _decode_run_lists(reply.body)
            if result.born != life.born:
                raise WorkerRefused("restarted")
            return result.clock_ms / 1000
        try:
            _raise_unless_accepted(reply)
        except WorkerRefused as refusal:
            # The worker refuses the low fence, but its refusal includes the clock.
            if refusal.reason != "fence" or refusal.clock_ms is None:
                raise
            return refusal.clock_ms / 1000

    async def _post(
        self,
        path,
        body,
        life,
        timeout_s=WORKER_CALL_TIMEOUT_S,
        may_send=None,
        connect_timeout_s=None,
    ):
        headers = (
            ("Content-Type", "application/json"),
            (EXPECT_INSTANCE_HEADER, life.id),
        )
        data = msgspec.json.encode(body)
        try:
            return await self.http_client.request(
                "POST", path, data, headers, timeout_s, may_send, connect_timeout_s
            )
        except CallWithdrawn as error:
            raise WorkerRefused("no_grant") from error
        except ConnectTimedOut as error:
            raise WorkerSilent from error
        except CallNotSent as error:
            raise WorkerRefused("unreachable") from error
        except CallAnswerLost as error:
            raise WorkerUnavailable(str(error)) from error


def _raise_unless_accepted(reply):
    """Raise unless the worker has executed the call.

    Raise WorkerRefused with the worker's reason, WorkerUnavailable for other answers.
    """
    if reply.status == 200:
        return
    if reply.status in (429, 503):
        raise WorkerRefused("unhealthy")
    if reply.status == 421:
        raise WorkerRefused("restarted")
    try:
        refusal = _refusal_decoder.decode(reply.body)
    except msgspec.DecodeError:
        refusal = _RefusalBody()
    if reply.status in (400, 409):
        unnamed = "malformed" if reply.status == 400 else "unnamed"
        raise WorkerRefused(refusal.reason or unnamed, refusal.clock_ms)
    raise WorkerUnavailable(f"worker answered {reply.status}")


def _decode_run_lists(body):
    try:
        lists = _run_lists_decoder.decode(body)
    except msgspec.DecodeError as error:
        raise WorkerUnavailable(f"unreadable lists: {error}") from error
    result = LeaseRenewalResult(
        lists.clock_ms,
        lists.born,
        has_more_ends=len(lists.ended) >= MAX_LISTED_ENDS,
    )
    for row in lists.running:
        name = _decode_run_name(row, 0)
        if name is None:
            get_logger().warning(
                "lists.row_unreadable", row=str(row)[:MAX_LOGGED_ROW_CHARS]
            )
            continue
        percent = row[3] if len(row) > 3 else 0
        result.running.append(ListedRun(name, percent if _is_integer(percent) else 0))
    for row in lists.ended:
        name = _decode_run_name(row, 1)
        if name is None or not _is_integer(row[0]):
            get_logger().warning(
                "lists.row_unreadable", row=str(row)[:MAX_LOGGED_ROW_CHARS]
            )
            continue
        how = row[3] if len(row) > 3 else ""
        result.ended.append(
            ListedEnd(row[0], name, _RUN_ENDS.get(str(how), RunEnd.OTHER))
        )
    return result


def _is_integer(value):
    return isinstance(value, int) and not isinstance(value, bool)


def _encode_task_name(name):
    # The second part is the occurrence of a job that runs several times, which is not
    # supported: it is always 0.
    return f"{name.job}.0.{name.step}.{name.index}"


def _decode_run_name(row, position):
    """Decode the RunName in a row; return None if it is malformed."""
    try:
        job, _, step, index = row[position].split(".")
        return RunName(job, int(step), int(index), int(row[position + 1]))
    except (ValueError, LookupError, AttributeError, TypeError):
        return None


def decode_worker_report(worker_id, body, now):
    """Decode the WorkerLife in a worker's report; raise MessageError."""
    try:
        report = _report_decoder.decode(body)
    except msgspec.DecodeError as error:
        raise MessageError(f"report of {worker_id}: {error}") from error
    if report.state not in _REPORT_STATES:
        raise MessageError(f"report of {worker_id}: state {report.state!r}")
    if report.state == "draining" and report.remaining_ms is msgspec.UNSET:
        raise MessageError(f"report of {worker_id}: draining without a remaining time")
    return WorkerLife(
        id=worker_id,
        born=report.born,
        service=report.service,
        usable=report.state == "ready",
        cpu=report.capacity.cpu,
        memory=report.capacity.mem_mb,
        accelerators=report.capacity.gpu,
        labels=report.labels,
        clock=report.clock_ms / 1000,
        clock_at=now,
        sequence=report.seq,
        cold_s=max(0.0, report.cold_left_ms / 1000),
        leaves_at=_decode_leaves_at(report, now),
    )


def _decode_leaves_at(report, now):
    """Return when a draining worker leaves at the earliest, None for others."""
    if report.state != "draining":
        return None
    return now + max(0, report.remaining_ms) / 1000


def worker_id_from_path(path):
    """Return the worker id in the path of a report, or an empty string."""
    return (
        path[len(REPORT_PATH_PREFIX) :] if path.startswith(REPORT_PATH_PREFIX) else ""
    )
