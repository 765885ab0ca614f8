"""A simulated agent: decisions of ``scheduling`` on simulated links and a worker."""

from turmericknot.scheduling import (
    usage_reports,
    worker_crashes,
    worker_health,
    worker_leases,
    worker_lists,
    worker_pace,
    worker_runs,
    worker_starts,
)
from turmericknot.scheduling.grant_requests import create_grant_requests
from turmericknot.scheduling.worker_types import (
    SendToEntries,
    SendToOwner,
    StartCall,
    StopCall,
)
from turmericknot.wire import shard_messages as wire

from .worker import create_worker

CHECK_INTERVAL_S = 0.25
QUEUE_CHECK_INTERVAL_S = 0.03
MAX_LEASE_S = 1.0
REFUSED_RENEWAL_INTERVAL_S = 0.1  # while the worker accepts no connection


class ModelAgent:
    """An agent beside a worker; a stream has the number of its entry."""

    __slots__ = (
        "name",
        "worker",
        "_site",
        "_clock",
        "_state",
        "_grant_requests",
        "_known_usage",
        "_is_renewal_due",
    )

    def __init__(self, site, name, cpu, speed, labels):
        self.name = name
        self._site = site
        self._clock = site.clock
        self.worker = create_worker(
            self._clock, f"i-{name}", cpu, speed, self._schedule_renewal, labels
        )
        self._state = worker_runs.create_worker_runs(
            1, worker_runs.GRANT_S, MAX_LEASE_S, self._clock.now
        )
        if site.worker_health:
            worker_health.enable(self._state, self._clock.now)
        self._grant_requests = {}  # number of an entry -> GrantRequests
        self._known_usage = {}  # number of an entry -> EntryUsage
        self._is_renewal_due = False

    def start(self, offset_s):
        """Take over the worker and begin the periodic checks."""
        worker_runs.worker_reported(
            self._state, self.worker.describe(), self._clock.now
        )
        self._renew()
        self._clock.call_repeatedly(CHECK_INTERVAL_S, self._check_grants, offset_s)
        self._clock.call_repeatedly(CHECK_INTERVAL_S, self._schedule_renewal, offset_s)
        self._clock.call_repeatedly(
            QUEUE_CHECK_INTERVAL_S, self._check_queue, offset_s / 10
        )

    def connect(self, entry):
        """Open a stream to an entry."""
        self._grant_requests[entry] = create_grant_requests()
        self._known_usage[entry] = usage_reports.EntryUsage()
        self._grant_requests[entry].stream_opened(True, self._clock.now)
        report = worker_runs.worker_report(self._state)
        self._site.send_to_entry(
            self.name, entry, wire.AgentHello(1, self.name, "b", "d", report)
        )
        self._request_grant(entry)

    def disconnect(self, entry):
        """Handle the loss of the stream to an entry."""
        self._grant_requests.pop(entry, None)
        self._known_usage.pop(entry, None)
        worker_leases.stream_closed(self._state, entry)
        worker_health.stream_closed(self._state, entry)

    def receive(self, entry, message):
        """Handle a message of an entry."""
        requests = self._grant_requests.get(entry)
        if requests is None:
            return
        state, now = self._state, self._clock.now
        match message:
            case wire.Grant():
                sent_at = requests.pop_sent_at(message.sequence)
                worker_leases.grant_received(state, entry, message, sent_at, now)
                worker_starts.start_queued_runs(state, now)
            case wire.StartRuns():
                requests.entry_uses_worker(now)
                if worker_starts.start_runs(state, entry, message, now):
                    self._known_usage[entry].forget()
                if worker_starts.needs_grant(state, entry, now):
                    self._request_grant(entry)
            case wire.StopRuns():
                worker_starts.stop_runs(state, entry, message, now)
            case wire.NoteEnds():
                worker_leases.ends_acknowledged(state, message.life, message.numbers)
        self._execute_commands()

    def _execute_commands(self):
        addressed = set()
        while self._state.commands:
            for command in self._state.pop_commands():
                if isinstance(command, SendToOwner):
                    self._site.send_to_entry(self.name, command.stream, command.message)
                    addressed.add(command.stream)
                elif isinstance(command, SendToEntries):
                    for entry in self._grant_requests:
                        self._site.send_to_entry(self.name, entry, command.message)
                elif isinstance(command, StartCall):
                    self._call_start(command)
                elif isinstance(command, StopCall):
                    delay_s = self._site.call_delay_s
                    self._clock.call_later(delay_s, self.worker.stop, command.name)
        self._attach_usage(addressed)
        if worker_health.pop_change(self._state, self._clock.now):
            self._attach_health(self._grant_requests)

    def _attach_health(self, entries):
        for entry, message in worker_health.due_reports(
            self._state, entries, self._clock.now
        ):
            self._site.send_to_entry(self.name, entry, message)

    def _attach_usage(self, entries):
        if not entries:
            return
        usage = usage_reports.measure_usage(self._state)
        for entry in entries:
            known = self._known_usage.get(entry)
            if known is not None and usage.foreign_to(entry) != known.usage:
                self._report_usage(entry, usage.foreign_to(entry))
        self._attach_health(entries)

    def _report_usage(self, entry, foreign_usage):
        self._known_usage[entry].record_report(foreign_usage, self._clock.now)
        self._site.send_to_entry(self.name, entry, wire.RoomReport(*foreign_usage))

    def _call_start(self, call):
        site = self._site
        if site.rng.random() < site.lost_answer_share:
            # The raised fence keeps the worker from carrying it out later.
            self._clock.call_later(call.answer_timeout_s, self._start_unanswered, call)
            return
        if self.worker.is_down:
            worker_starts.start_refused(self._state, call.name, "unreachable")
            self._record_unreachable()
            return
        run_s = site.duration_of(call.name, self.worker.labels)
        self._clock.call_later(site.call_delay_s, self.worker.start, call.name, run_s)
        self._clock.call_later(2 * site.call_delay_s, self._start_confirmed, call)
        crash_delay_s = site.crash_delay_of(call.name)
        if crash_delay_s is not None:
            self._clock.call_later(
                site.call_delay_s + crash_delay_s, self._crash_worker
            )

    def _start_unanswered(self, call):
        worker_starts.start_unanswered(self._state, call.name, self._clock.now)
        self._renew()

    def _crash_worker(self):
        if self.worker.is_down:
            return
        self.worker.crash()
        self._schedule_renewal()
        self._clock.call_later(self._site.crashed_s, self._restart_worker)

    def _restart_worker(self):
        self.worker.restart()
        worker_runs.worker_reported(
            self._state, self.worker.describe(), self._clock.now
        )
        self._send_worker_report()
        self._execute_commands()

    def _record_unreachable(self):
        if worker_crashes.worker_unreachable(self._state, self._clock.now):
            self._send_worker_report()
            worker_starts.start_queued_runs(self._state, self._clock.now)

    def _send_worker_report(self):
        message = wire.WorkerChanged(worker_runs.worker_report(self._state))
        for entry in self._grant_requests:
            self._site.send_to_entry(self.name, entry, message)

    def _start_confirmed(self, call):
        if self.worker.is_down:
            return
        worker_crashes.worker_answered(self._state, self._clock.now)
        worker_starts.start_confirmed(self._state, call.name, self._clock.now)

    def _schedule_renewal(self):
        """Let the renewal that waits for an end return."""
        if not self._is_renewal_due:
            self._is_renewal_due = True
            self._clock.call_later(self._site.call_delay_s, self._renew)

    def _renew(self):
        self._is_renewal_due = False
        now = self._clock.now
        call = worker_lists.next_lease_renewal(self._state, now)
        if call is not None and self.worker.is_down:
            self._record_unreachable()
            worker_lists.lease_renewal_not_sent(self._state, call)
            self._clock.call_later(REFUSED_RENEWAL_INTERVAL_S, self._schedule_renewal)
        elif call is not None:
            result = self.worker.answer_renewal(call)
            worker_lists.lease_renewal_answered(self._state, call, result, now)
        self._execute_commands()

    def _request_grant(self, entry):
        sequence = self._grant_requests[entry].record_request(self._clock.now)
        self._site.send_to_entry(self.name, entry, wire.GrantRequest(sequence))
        self._attach_usage((entry,))

    def _check_grants(self):
        now = self._clock.now
        in_use = worker_leases.streams_in_use(self._state)
        for entry, requests in list(self._grant_requests.items()):
            if entry in in_use:
                requests.entry_uses_worker(now)
            if requests.is_due(now):
                self._request_grant(entry)
        worker_leases.check_grants(self._state, now)
        worker_pace.report_progress(self._state, now)
        self._execute_commands()

    def _check_queue(self):
        worker_starts.start_queued_runs(self._state, self._clock.now)
        self._execute_commands()
        life = self._state.life
        capacity = (life.cpu, life.memory, life.accelerators)
        usage = usage_reports.measure_usage(self._state)
        for entry, foreign_usage in usage_reports.choose_reports(
            self._known_usage, usage, capacity
        ):
            self._report_usage(entry, foreign_usage)


def create_agent(site, name, cpu, speed, labels):
    """Return an agent that has not started."""
    return ModelAgent(site, name, cpu, speed, labels)
