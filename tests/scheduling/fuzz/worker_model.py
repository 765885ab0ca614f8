"""Models of a worker and its agent: leases, fences, restarts and delayed starts."""

from dataclasses import dataclass

from tests.scheduling.fuzz.oracle import ListedRunEnd
from turmericknot.scheduling import (
    worker_crashes,
    worker_leases,
    worker_lists,
    worker_runs,
    worker_starts,
)
from turmericknot.scheduling.jobs import RunEnd
from turmericknot.scheduling.worker_types import (
    LeaseRenewalResult,
    ListedEnd,
    ListedRun,
    SendToEntries,
    SendToOwner,
    StartCall,
    StopCall,
    WorkerLife,
)

GRANT_DURATION_S = 1.1
MAX_LEASE_S = 1.0
CLOCK_RATE = 0.985  # the worker's clock may be 2% slow
REPORT_INTERVAL_S = 1.5
WORKER_CPU = 3000


class WorkerModel:
    """A worker as the platform documents it, observed by the oracle."""

    def __init__(self, name, oracle):
        self.name = name
        self.oracle = oracle
        self.born = 0
        self.restart(0.0)

    def restart(self, now):
        """Start a new incarnation, without any state of the previous one."""
        self.born += 1
        self.born_at = now
        self.fence = 0
        self.running = {}  # RunName -> time of the start
        self.unacknowledged_ends = []  # ListedRunEnd
        self.last_number = 0
        self.highest_runs = {}  # task -> highest run stopped or ended
        self.lease_deadline = 0.0  # on the worker's clock

    def read_clock(self, now):
        """Return the worker's clock in seconds."""
        return (now - self.born_at) * CLOCK_RATE

    def expire_lease(self, now):
        """End all runs if the lease has expired."""
        if self.lease_deadline and self.read_clock(now) > self.lease_deadline:
            self.lease_deadline = 0.0
            for end in self.unacknowledged_ends:
                end.has_lease_lapsed = True
            for name in list(self.running):
                self.end_run(name, RunEnd.LAPSED)

    def renew_lease(self, deadline_ms, now):
        """Extend the lease, to at most MAX_LEASE_S from now."""
        latest_deadline = self.read_clock(now) + MAX_LEASE_S
        self.lease_deadline = max(
            self.lease_deadline, min(deadline_ms / 1000, latest_deadline)
        )

    def start_run(self, call, now, is_delayed=False):
        """Start a run; return an empty string, or the reason for a refusal.

        A restarted worker keeps its id and accepts starts meant for its previous
        incarnation.
        """
        if call.fence < self.fence:
            return "fence"
        self.fence = call.fence
        if call.name in self.running:
            return ""
        if call.name.run <= self.highest_runs.get(_task(call.name), 0):
            return "old"
        self.renew_lease(call.deadline_ms, now)
        if call.deadline_ms / 1000 < self.read_clock(now):
            return "late"
        self.running[call.name] = now
        self.oracle.check_start(self.name, call.name, is_delayed)
        return ""

    def stop_run(self, call):
        """Stop a run, or refuse its start if that has not arrived yet."""
        if call.fence < self.fence:
            return
        self.fence = call.fence
        if call.name in self.running:
            self.end_run(call.name, RunEnd.STOPPED)
        task = _task(call.name)
        self.highest_runs[task] = max(self.highest_runs.get(task, 0), call.name.run)

    def end_run(self, name, how):
        """End a run and list its end."""
        del self.running[name]
        task = _task(name)
        self.highest_runs[task] = max(self.highest_runs.get(task, 0), name.run)
        self.last_number += 1
        end_run = ListedRunEnd(self.last_number, name, how)
        self.unacknowledged_ends.append(end_run)
        self.oracle.record_end(self.name, end_run)

    def answer_lease_renewal(self, call, now):
        """Return the result of a lease renewal, or None if its fence is too low."""
        if call.fence < self.fence:
            return None
        self.fence = call.fence
        for end in self.unacknowledged_ends:
            if end.number <= call.last_seen:
                self.oracle.check_acknowledged_end(end)
        self.unacknowledged_ends = [
            end for end in self.unacknowledged_ends if end.number > call.last_seen
        ]
        if call.deadline_ms is not None:
            self.renew_lease(call.deadline_ms, now)
        rows = [ListedRun(name, 50) for name in self.running]
        ends = [
            ListedEnd(end.number, end.name, end.how) for end in self.unacknowledged_ends
        ]
        clock_ms = int(self.read_clock(now) * 1000)
        return LeaseRenewalResult(clock_ms, self.born, rows, ends)

    def crash(self, now):
        """Lose all runs and restart under the same id."""
        for name in self.running:
            self.oracle.record_lost_run(self.name, name)
        self.restart(now)


def _task(name):
    return (name.job, name.step, name.index)


@dataclass(slots=True)
class DelayedStart:
    """A start that got no response and reaches the worker later."""

    call: StartCall
    arrives_at: float


class AgentModel:
    """An agent process with its worker; ``state`` is None while it is not running."""

    def __init__(self, name, oracle, rng):
        self.name = name
        self.worker = WorkerModel(name, oracle)
        self.rng = rng
        self.state = None
        self.boot_count = 0
        self.sequence = 0
        self.is_paused = False
        self.delayed_starts = []
        self.delayed_share = 0.0  # of starts
        self.last_report_at = -REPORT_INTERVAL_S
        self.is_worker_reachable = True
        self.worker_down_until = 0.0

    def start(self, now):
        """Start a new agent process."""
        self.boot_count += 1
        self.state = worker_runs.create_worker_runs(
            1, GRANT_DURATION_S, MAX_LEASE_S, now
        )
        self.last_report_at = now - self.rng.random() * REPORT_INTERVAL_S

    def step(self, now):
        """Carry out due delayed starts, the worker's report and the next renewal."""
        self.worker.expire_lease(now)
        for delayed_start in [
            delayed_start
            for delayed_start in self.delayed_starts
            if delayed_start.arrives_at <= now
        ]:
            self.delayed_starts.remove(delayed_start)
            self.worker.start_run(delayed_start.call, now, is_delayed=True)
        if self.state is None or self.is_paused:
            return
        worker_leases.check_grants(self.state, now)
        is_report_due = now - self.last_report_at >= REPORT_INTERVAL_S
        if is_report_due and self._can_call(now):
            self._report_worker(now)
        call = worker_lists.next_lease_renewal(self.state, now)
        if call is None:
            return
        if not self._can_call(now):
            worker_crashes.worker_unreachable(self.state, now)
            worker_lists.lease_renewal_not_sent(self.state, call)
            return
        result = self.worker.answer_lease_renewal(call, now)
        if result is None:
            worker_runs.fence_refused(self.state, now)
            return
        worker_lists.lease_renewal_answered(self.state, call, result, now)

    def _can_call(self, now):
        return self.is_worker_reachable and now >= self.worker_down_until

    @property
    def has_unlisted_runs(self):
        """Return whether the agent has sent a start that no list has shown yet."""
        return self.state is not None and any(
            run.pending_start is None and not run.is_listed
            for run in self.state.runs.values()
        )

    def crash_worker(self, now, down_s):
        """Crash the worker; the next process reports itself after ``down_s``."""
        self.delayed_starts.clear()
        self.worker.crash(now)
        self.worker_down_until = now + down_s
        self.last_report_at = -REPORT_INTERVAL_S

    def _report_worker(self, now):
        self.last_report_at = now
        self.sequence += 1
        worker = self.worker
        life = WorkerLife(
            f"i-{self.name}", worker.born, "s", True, WORKER_CPU, 32768, 0, [], 0.0, now
        )
        life.clock = worker.read_clock(now)
        life.sequence = self.sequence
        worker_runs.worker_reported(self.state, life, now)

    def execute_commands(self, now):
        """Execute calls to the worker; return (stream, message) pairs for entries."""
        messages = []
        if self.state is None or self.is_paused:
            return messages
        for command in self.state.pop_commands():
            if isinstance(command, StartCall):
                self._request_start(command, now)
            elif not self._can_call(now) and isinstance(command, StopCall):
                worker_crashes.worker_unreachable(self.state, now)
            elif isinstance(command, StopCall):
                self.worker.stop_run(command)
            elif isinstance(command, SendToOwner):
                messages.append((command.stream, command.message))
            elif isinstance(command, SendToEntries):
                messages.append((None, command.message))
        return messages

    def _request_start(self, call, now):
        if not self._can_call(now):
            worker_starts.start_refused(self.state, call.name, "unreachable")
            worker_crashes.worker_unreachable(self.state, now)
            return
        if self.rng.random() < self.delayed_share:
            delay = self.rng.uniform(0.05, 6.0)
            self.delayed_starts.append(DelayedStart(call, now + delay))
            worker_starts.start_unanswered(self.state, call.name, now)
            return
        reason = self.worker.start_run(call, now)
        if not reason:
            worker_starts.start_confirmed(self.state, call.name, now)
            return
        if reason == "fence" and call.fence >= self.state.fence:
            worker_runs.fence_refused(self.state, now)
        worker_starts.start_refused(self.state, call.name, reason)
