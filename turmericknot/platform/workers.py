"""Workers: what they report of themselves, and the calls by which they are ordered."""

from dataclasses import dataclass

import msgspec

from turmericknot.core.exceptions import (
    CallAnswerLost,
    CallNotSent,
    MessageError,
    WorkerRefused,
    WorkerUnavailable,
)
from turmericknot.scheduling.jobs import RunEnd
from turmericknot.scheduling.worker_types import (
    HoldResult,
    ListedEnd,
    ListedRun,
    WorkerLife,
)
from turmericknot.utils.logging import get_logger
from turmericknot.wire.shard_messages import RunName

EXPECT_LIFE_HEADER = "X-Turmericknot-Expect-Instance"
# The worker is on the same VM and answers within a millisecond when it is well.
ORDER_TIMEOUT_S = 0.4
REPORT_PATH = "/instances/"
MAX_ROW_CHARS = 100  # of an unreadable row in the log

_ENDS = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LAPSED,
    "broken": RunEnd.OTHER,
    "alone": RunEnd.OTHER,
}
_STATES = ("ready", "draining")


class _Capacity(msgspec.Struct):
    cpu: int
    mem_mb: int = 0
    gpu: int = 0


class _Report(msgspec.Struct):
    service: str
    state: str
    capacity: _Capacity
    clock_ms: int
    seq: int  # rises with each report of one life
    labels: list[str] = []
    born: int = 0  # Unix milliseconds of the worker's start


class _Clock(msgspec.Struct):
    clock_ms: int = 0
    reason: str = ""


class _Lists(msgspec.Struct):
    clock_ms: int
    running: list[list]  # task, run, saved, percent, load
    ended: list[list]  # N, task, run, how, saved
    born: int | None = None


_report_decoder = msgspec.json.Decoder(_Report)
_lists_decoder = msgspec.json.Decoder(_Lists)
_clock_decoder = msgspec.json.Decoder(_Clock)


@dataclass(slots=True)
class WorkerCalls:
    """Calls to the worker beside an agent."""

    client: object

    async def start(self, call):
        """Start a run; raise WorkerRefused when the worker did not.

        Raise WorkerUnavailable when it is not known whether it did.
        """
        body = {
            "task": _task_name(call.name),
            "run": call.name.run,
            "spec": call.spec,
            "deadline_ms": call.deadline_ms,
            "fence_token": call.fence,
        }
        reply = await self._order("/run-start", body, call.life)
        _check_order(reply)

    async def stop(self, call):
        """Stop a run; raise WorkerRefused or WorkerUnavailable."""
        body = {
            "task": _task_name(call.name),
            "run": call.name.run,
            "fence_token": call.fence,
        }
        reply = await self._order("/run-stop", body, call.life)
        _check_order(reply)

    async def hold(self, call, wait_s):
        """Renew the lease and return the HoldResult.

        The answer waits up to ``wait_s`` for an end that is not listed yet.
        """
        body = {
            "fence_token": call.fence,
            "last_seen": call.last_seen,
            "wait_ms": int(wait_s * 1000),
        }
        if call.deadline_ms is not None:
            body["deadline_ms"] = call.deadline_ms
        reply = await self._order("/hold", body, call.life, wait_s)
        _check_order(reply)
        return _decode_lists(reply.body)

    async def ask_clock(self, life):
        """Return the seconds on the worker's clock; change nothing at the worker.

        Raise WorkerRefused when another life answers, or none, and
        WorkerUnavailable when there is no answer.
        """
        body = {"fence_token": 0, "last_seen": 0}
        reply = await self._order("/hold", body, life)
        if reply.status == 200:
            result = _decode_lists(reply.body)
            if result.born != life.born:
                raise WorkerRefused("restarted")
            return result.clock_ms / 1000
        try:
            _check_order(reply)
        except WorkerRefused as refusal:
            # The worker has seen a fence, and tells its clock with the refusal.
            if refusal.reason != "fence" or not refusal.clock_ms:
                raise
            return refusal.clock_ms / 1000

    async def _order(self, path, body, life, wait_s=0.0):
        headers = (
            ("Content-Type", "application/json"),
            (EXPECT_LIFE_HEADER, life.id),
        )
        data = msgspec.json.encode(body)
        timeout_s = ORDER_TIMEOUT_S + wait_s
        try:
            return await self.client.request("POST", path, data, headers, timeout_s)
        except CallNotSent as error:
            raise WorkerRefused("unreachable") from error
        except CallAnswerLost as error:
            raise WorkerUnavailable(str(error)) from error


def _check_order(reply):
    """Raise WorkerRefused with the reason unless the order was carried out."""
    if reply.status == 200:
        return
    if reply.status in (429, 503):
        raise WorkerRefused("unhealthy")
    if reply.status == 421:
        raise WorkerRefused("restarted")
    try:
        refusal = _clock_decoder.decode(reply.body)
    except msgspec.DecodeError:
        refusal = _Clock()
    if reply.status in (400, 409):
        raise WorkerRefused(refusal.reason or "malformed", refusal.clock_ms)
    raise WorkerUnavailable(f"worker answered {reply.status}")


def _decode_lists(body):
    try:
        lists = _lists_decoder.decode(body)
    except msgspec.DecodeError as error:
        raise WorkerUnavailable(f"unreadable lists: {error}") from error
    result = HoldResult(lists.clock_ms, lists.born)
    for row in lists.running:
        name = _run_name(row, 0)
        if name is None:
            get_logger().warning("lists.row_unreadable", row=str(row)[:MAX_ROW_CHARS])
            continue
        percent = row[3] if len(row) > 3 else 0
        result.running.append(ListedRun(name, percent if _is_number(percent) else 0))
    for row in lists.ended:
        name = _run_name(row, 1)
        if name is None or not _is_number(row[0]):
            get_logger().warning("lists.row_unreadable", row=str(row)[:MAX_ROW_CHARS])
            continue
        how = row[3] if len(row) > 3 else ""
        result.ended.append(ListedEnd(row[0], name, _ENDS.get(str(how), RunEnd.OTHER)))
    return result


def _is_number(value):
    return isinstance(value, int) and not isinstance(value, bool)


def _task_name(name):
    # The second part numbers the occurrences of a job with times.
    return f"{name.job}.0.{name.step}.{name.index}"


def _run_name(row, position):
    """Return the RunName in a row, or None when it cannot be read."""
    try:
        job, _, step, index = row[position].split(".")
        return RunName(job, int(step), int(index), int(row[position + 1]))
    except (ValueError, LookupError, AttributeError, TypeError):
        return None


def decode_report(worker_id, body, now):
    """Return the WorkerLife in a worker's report; raise MessageError."""
    try:
        report = _report_decoder.decode(body)
    except msgspec.DecodeError as error:
        raise MessageError(f"report of {worker_id}: {error}") from error
    if report.state not in _STATES:
        raise MessageError(f"report of {worker_id}: state {report.state!r}")
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
    )


def reporting_worker(path):
    """Return the worker's id in the path of a report, or an empty string."""
    return path[len(REPORT_PATH) :] if path.startswith(REPORT_PATH) else ""
