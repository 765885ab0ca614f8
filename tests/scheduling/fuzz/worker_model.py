"""A worker and its agent under faults: leases, fences, late orders, lives."""

from dataclasses import dataclass

from tests.scheduling.fuzz.oracle import End
from turmericknot.scheduling import (
    worker_leases,
    worker_lists,
    worker_runs,
    worker_starts,
)
from turmericknot.scheduling.jobs import RunEnd
from turmericknot.scheduling.worker_types import (
    HoldResult,
    ListedEnd,
    ListedRun,
    SendToOwner,
    StartCall,
    StopCall,
    WorkerLife,
)

GRANT_S = 1.1
HOLD_MAX_S = 1.0
CLOCK_RATE = 0.985  # the worker's clock may be 2% slow
REPORT_INTERVAL_S = 1.5
CPU = 3000


class WorkerModel:
    """A worker as the platform's page describes it; tells the oracle what it does."""

    def __init__(self, name, oracle):
        self.name = name
        self.oracle = oracle
        self.born = 0
        self.restart(0.0)

    def restart(self, now):
        """Begin a new life: nothing of the former one is known."""
        self.born += 1
        self.born_at = now
        self.fence = 0
        self.running = {}  # RunName -> time of the start
        self.ends = []  # End, not noted yet
        self.last_number = 0
        self.highest = {}  # task -> highest run that was stopped or has ended
        self.deadline = 0.0  # on the worker's clock

    def clock(self, now):
        """Return the worker's clock in seconds."""
        return (now - self.born_at) * CLOCK_RATE

    def pass_time(self, now):
        """Let the lease lapse when it is over."""
        if self.deadline and self.clock(now) > self.deadline:
            self.deadline = 0.0
            for end in self.ends:
                end.has_lapsed = True
            for name in list(self.running):
                self.end(name, RunEnd.LAPSED)

    def renew(self, deadline_ms, now):
        """Extend the lease, never beyond its longest time."""
        longest = self.clock(now) + HOLD_MAX_S
        self.deadline = max(self.deadline, min(deadline_ms / 1000, longest))

    def start(self, call, now, is_late=False):
        """Carry out an order; return why not, or an empty string.

        A life under the same id takes the orders for the former one as its own.
        """
        if call.fence < self.fence:
            return "fence"
        self.fence = call.fence
        if call.name in self.running:
            return ""
        if call.name.run <= self.highest.get(_task(call.name), 0):
            return "old"
        self.renew(call.deadline_ms, now)
        if call.deadline_ms / 1000 < self.clock(now):
            return "late"
        self.running[call.name] = now
        self.oracle.started(self.name, call.name, is_late)
        return ""

    def stop(self, call):
        """Stop a run, and reject it when it has not come yet."""
        if call.fence < self.fence:
            return
        self.fence = call.fence
        if call.name in self.running:
            self.end(call.name, RunEnd.STOPPED)
        task = _task(call.name)
        self.highest[task] = max(self.highest.get(task, 0), call.name.run)

    def end(self, name, how):
        """End a run."""
        del self.running[name]
        task = _task(name)
        self.highest[task] = max(self.highest.get(task, 0), name.run)
        self.last_number += 1
        end = End(self.last_number, name, how)
        self.ends.append(end)
        self.oracle.ended(self.name, end)

    def look(self, call, now):
        """Answer a hold; return None for a lower fence."""
        if call.fence < self.fence:
            return None
        self.fence = call.fence
        for end in self.ends:
            if end.number <= call.last_seen:
                self.oracle.noted(end)
        self.ends = [end for end in self.ends if end.number > call.last_seen]
        if call.deadline_ms is not None:
            self.renew(call.deadline_ms, now)
        rows = [ListedRun(name, 50) for name in self.running]
        ends = [ListedEnd(end.number, end.name, end.how) for end in self.ends]
        clock_ms = int(self.clock(now) * 1000)
        return HoldResult(clock_ms, self.born, rows, ends)

    def crash(self, now):
        """Lose everything and begin again under the same id."""
        for name in self.running:
            self.oracle.lost(self.name, name)
        self.restart(now)


def _task(name):
    return (name.job, name.step, name.index)


@dataclass(slots=True)
class LateOrder:
    """An order without an answer that may be carried out later."""

    call: StartCall
    lands_at: float


class AgentModel:
    """The agent's decisions beside a worker; ``state`` is None while it is down."""

    def __init__(self, name, oracle, rng):
        self.name = name
        self.worker = WorkerModel(name, oracle)
        self.rng = rng
        self.state = None
        self.boot = 0
        self.sequence = 0
        self.is_paused = False
        self.late = []
        self.late_share = 0.0  # of the orders that get no answer
        self.reported_at = -REPORT_INTERVAL_S

    def start(self, now):
        """Start a process of the agent."""
        self.boot += 1
        self.state = worker_runs.create_worker_runs(1, GRANT_S, HOLD_MAX_S, now)
        self.reported_at = now - self.rng.random() * REPORT_INTERVAL_S

    def step(self, now):
        """Let the worker report and the agent look."""
        self.worker.pass_time(now)
        for order in [order for order in self.late if order.lands_at <= now]:
            self.late.remove(order)
            self.worker.start(order.call, now, is_late=True)
        if self.state is None or self.is_paused:
            return
        worker_leases.check_grants(self.state, now)
        if now - self.reported_at >= REPORT_INTERVAL_S:
            self._report(now)
        call = worker_lists.next_hold_call(self.state, now)
        if call is None:
            return
        result = self.worker.look(call, now)
        if result is None:
            worker_runs.fence_refused(self.state, now)
            return
        worker_lists.hold_answered(self.state, call, result, now)

    def _report(self, now):
        self.reported_at = now
        self.sequence += 1
        worker = self.worker
        life = WorkerLife(
            f"i-{self.name}", worker.born, "s", True, CPU, 32768, 0, [], 0.0, now
        )
        life.clock = worker.clock(now)
        life.sequence = self.sequence
        worker_runs.worker_reported(self.state, life, now)

    def carry_out(self, now):
        """Carry out calls to the worker; return (stream, message) to entries."""
        messages = []
        if self.state is None or self.is_paused:
            return messages
        for command in self.state.take_commands():
            if isinstance(command, StartCall):
                self._order_start(command, now)
            elif isinstance(command, StopCall):
                self.worker.stop(command)
            elif isinstance(command, SendToOwner):
                messages.append((command.stream, command.message))
        return messages

    def _order_start(self, call, now):
        if self.rng.random() < self.late_share:
            delay = self.rng.uniform(0.05, 6.0)
            self.late.append(LateOrder(call, now + delay))
            worker_starts.start_unanswered(self.state, call.name, now)
            return
        reason = self.worker.start(call, now)
        if not reason:
            worker_starts.start_confirmed(self.state, call.name, now)
            return
        if reason == "fence" and call.fence >= self.state.fence:
            worker_runs.fence_refused(self.state, now)
        worker_starts.start_refused(self.state, call.name, reason)
