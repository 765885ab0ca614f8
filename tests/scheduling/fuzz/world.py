"""Simulated entries, agents and workers with links and a store that can fail."""

import random
from collections import deque
from dataclasses import dataclass, field

from tests.scheduling.delivery import deliver_to_agent, deliver_to_owner
from tests.scheduling.fuzz.oracle import Oracle, Submission
from tests.scheduling.fuzz.worker_model import AgentModel
from tests.scheduling.site import create_job_record
from turmericknot.scheduling import (
    besteffort,
    job_requests,
    owner as decisions,
    ownership,
    reports,
    runs,
    worker_leases,
    worker_runs,
    worker_starts,
)
from turmericknot.scheduling.commands import (
    AnswerRequest,
    Outcome,
    SendMessage,
    StoreRecord,
)
from turmericknot.scheduling.grant_requests import create_grant_requests
from turmericknot.scheduling.jobs import RunEnd
from turmericknot.wire import shard_messages as wire

ENTRY_COUNT, AGENT_COUNT = 3, 3
STEP_DURATION_S = 0.05
GRANT_RENEWAL_INTERVAL_S = 0.25
MEMBER_TTL_S = 1.5
OWNERSHIP_CONFIRMATION_INTERVAL_S = 0.4
RESUBMIT_DELAY_S = 1.3
MIN_RUN_S = 0.1  # longer than the interval between two lease renewals
# An owner whose last tick is older than the threshold starts nothing for the pause.
STALL_THRESHOLD_S, STALL_PAUSE_S = 0.5, 0.3
SHARD = 0


@dataclass(slots=True)
class Store:
    """The store: the records of the shard and the epoch of its owner."""

    records: dict = field(default_factory=dict)
    epoch: int = 0
    generation: int = 0
    is_up: bool = True


@dataclass(slots=True)
class Caller:
    """A caller that waits for the end of a best-effort job."""

    job: str
    entry: str
    boot_count: int
    deadline_at: float


class EntryModel:
    """An entry process; ``owner`` is None while it is not running."""

    def __init__(self, name, number):
        self.name = name
        self.number = number
        self.owner = None
        self.boot_count = 0
        self.epoch = 0  # of the shard of durable jobs; 0 if this entry does not own it
        self.is_paused = False
        self.can_reach_store = True
        self.last_store_contact_at = 0.0
        self.last_tick_at = 0.0
        self.pending_writes = deque()
        self.best_effort_shard = None


class Link:
    """A stream between an entry and an agent, with a queue for each direction.

    A suspended link keeps its messages and delivers none.
    """

    def __init__(self, number, entry, agent):
        self.number = number
        self.entry = entry
        self.agent = agent
        self.to_agent = deque()  # (message, time of the request or None)
        self.to_entry = deque()
        self.is_suspended = False
        self.grant_requests = create_grant_requests()


class World:
    """All processes, links and the store, in simulated time.

    Each agent connects to ``entries_per_agent`` of the entries, and to the owner of the
    shard.
    """

    def __init__(self, seed, entries_per_agent=ENTRY_COUNT):
        self.rng = random.Random(seed)
        self.entries_per_agent = entries_per_agent
        self.now = 100.0
        self.oracle = Oracle()
        self.store = Store()
        self.links = {}  # (entry, agent) -> Link
        self.last_id = 0
        self.waiting_callers = []
        self.resubmissions = []  # (time, job id)
        self.entries = [EntryModel(f"e{n}", n) for n in range(ENTRY_COUNT)]
        self.agents = [
            AgentModel(f"a{n}", self.oracle, random.Random(seed + n))
            for n in range(AGENT_COUNT)
        ]
        for agent in self.agents:
            agent.start(self.now)
        for entry in self.entries:
            self.start_entry(entry)
        self.advance_time(2.0)

    # Processes.

    def start_entry(self, entry):
        entry.boot_count += 1
        entry.owner = decisions.create_owner(
            None, random.Random(entry.boot_count), self.now
        )
        # Each process has its own shard of best-effort jobs.
        number = entry.number + ENTRY_COUNT * entry.boot_count
        entry.best_effort_shard = besteffort.open_best_effort_shard(entry.owner, number)
        entry.epoch = 0
        entry.is_paused = False
        entry.last_tick_at = self.now
        entry.pending_writes.clear()

    def crash_entry(self, entry):
        if entry.owner is None:
            return
        entry.owner = None
        for key in [key for key in self.links if key[0] == entry.name]:
            self.break_link(self.links[key])
        for caller in [c for c in self.waiting_callers if c.entry == entry.name]:
            self.waiting_callers.remove(caller)
            self.resubmissions.append((self.now + RESUBMIT_DELAY_S, caller.job))

    def crash_agent(self, agent):
        agent.state = None
        agent.is_paused = False
        for key in [key for key in self.links if key[1] == agent.name]:
            self.break_link(self.links[key])

    def resume_entry(self, entry):
        entry.is_paused = False

    # Links.

    def connect(self, entry, agent):
        if entry.owner is None or agent.state is None:
            return
        if entry.is_paused or agent.is_paused or not self._serves(agent, entry):
            return
        self.last_id += 1
        link = Link(self.last_id, entry, agent)
        self.links[entry.name, agent.name] = link
        report = worker_runs.worker_report(agent.state)
        hello = wire.AgentHello(1, agent.name, str(agent.boot_count), "d", report)
        reports.agent_connected(entry.owner, hello, self.now)
        link.grant_requests.stream_opened(True, self.now)
        self.request_grant(link)

    def _serves(self, agent, entry):
        distance = entry.number - self.agents.index(agent)
        is_owner = entry.epoch == self.store.epoch > 0
        return distance % ENTRY_COUNT < self.entries_per_agent or is_owner

    def break_link(self, link):
        """Drop all messages in flight and notify both sides of the disconnect."""
        self.links.pop((link.entry.name, link.agent.name), None)
        if link.entry.owner is not None:
            reports.agent_disconnected(link.entry.owner, link.agent.name, self.now)
        if link.agent.state is not None:
            worker_leases.stream_closed(link.agent.state, link.number)

    def request_grant(self, link):
        link.grant_requests.record_request(self.now)
        link.to_entry.append(("grant", self.now))

    def deliver_messages(self, link):
        """Deliver all messages to the sides that are running and not paused."""
        while link.to_entry and link.entry.owner and not link.entry.is_paused:
            self._deliver_to_entry(link, *link.to_entry.popleft())
        while link.to_agent and link.agent.state and not link.agent.is_paused:
            self._deliver_to_agent(link, *link.to_agent.popleft())

    def _deliver_to_entry(self, link, message, sent_at):
        owner, agent, now = link.entry.owner, link.agent.name, self.now
        if message == "grant":
            reports.grant_request_received(owner, agent, 1, now)
            for command in [c for c in owner.commands if _is_grant(c, agent)]:
                owner.commands.remove(command)
                link.to_agent.append((command.message, sent_at))
            return
        deliver_to_owner(owner, agent, message, now)

    def _deliver_to_agent(self, link, message, sent_at):
        state = link.agent.state
        deliver_to_agent(state, link.number, message, sent_at, self.now)
        if isinstance(message, wire.StartRuns):
            link.grant_requests.entry_uses_worker(self.now)
            if worker_starts.needs_grant(state, link.number, self.now):
                self.request_grant(link)

    # Commands.

    def process_pending(self):
        """Execute commands and deliver messages until nothing is left to do."""
        for _ in range(60):
            if not self._process_pending_once():
                return

    def _process_pending_once(self):
        has_progressed = False
        for entry in self.entries:
            if entry.owner is None or entry.is_paused:
                continue
            for command in entry.owner.pop_commands():
                has_progressed = True
                self._execute_command(entry, command)
        for agent in self.agents:
            for stream, message in agent.execute_commands(self.now):
                has_progressed = True
                for link in self.links.values():
                    if link.agent is agent and stream in (link.number, None):
                        link.to_entry.append((message, None))
        for link in list(self.links.values()):
            if not link.is_suspended and (link.to_agent or link.to_entry):
                message_count = len(link.to_agent) + len(link.to_entry)
                self.deliver_messages(link)
                has_progressed = (
                    has_progressed
                    or len(link.to_agent) + len(link.to_entry) != message_count
                )
        return has_progressed

    def _execute_command(self, entry, command):
        if isinstance(command, SendMessage):
            link = self.links.get((entry.name, command.agent))
            if link is not None:
                link.to_agent.append((command.message, None))
        elif isinstance(command, StoreRecord):
            entry.pending_writes.append(command)
        elif isinstance(command, AnswerRequest):
            self._handle_answer(entry, command)

    def _handle_answer(self, entry, command):
        kind, job_id, caller = command.waiter
        outcome = command.outcome
        if kind == "submit":
            self.oracle.check_submit_answer(job_id, outcome, self.now)
        elif kind == "cancel":
            if outcome is Outcome.CANCELLED:
                self.oracle.jobs[job_id].is_cancel_acknowledged = True
        elif kind == "status":
            self.oracle.check_shown_state(job_id, outcome, self.now)
        elif caller in self.waiting_callers:
            self.waiting_callers.remove(caller)
            self.oracle.check_submit_answer(job_id, outcome, self.now)
            if outcome is Outcome.UNDECIDED:
                self.resubmissions.append((self.now + RESUBMIT_DELAY_S, job_id))

    # The store.

    def write_records(self, entry):
        """Write an entry's records to the store, which responds at once."""
        while entry.pending_writes and entry.owner is not None and not entry.is_paused:
            if not self.store.is_up or not entry.can_reach_store:
                return
            if self.store.epoch > entry.epoch:
                self._fence_entry(entry)
                return
            command = entry.pending_writes.popleft()
            self._apply_write(command)
            if self.rng.random() < 0.05:
                entry.pending_writes.appendleft(command)  # lost response: retried
                return
            job_requests.record_stored(entry.owner, command, entry.epoch, self.now)
            shard = entry.owner.shards[SHARD]
            job_requests.shard_confirmed(entry.owner, shard, self.now)
            runs.schedule_tasks(entry.owner, self.now)
            self.process_pending()

    def _apply_write(self, command):
        if command.value:
            self.store.records[command.key] = command.value
        else:
            self.store.records.pop(command.key, None)

    def _fence_entry(self, entry):
        entry.pending_writes.clear()
        entry.epoch = 0
        ownership.lose_shard(entry.owner, SHARD, "fenced", self.now)

    def assign_shard(self, entry):
        """Make an entry the owner of the shard, as after a membership change."""
        if entry.owner is None or entry.is_paused or entry.epoch:
            return
        if not self.store.is_up or not entry.can_reach_store:
            return
        self.store.generation += 1
        self.store.epoch = entry.epoch = self.store.generation
        items = list(self.store.records.items())
        ownership.gain_shard(entry.owner, SHARD, entry.epoch, items, self.now)

    def _confirm_ownership(self):
        """Confirm the ownership to the owner of the shard; fence previous owners."""
        if not self.store.is_up:
            return
        for entry in self.entries:
            if entry.owner is None or entry.is_paused or not entry.can_reach_store:
                continue
            if entry.epoch == self.store.epoch and entry.epoch:
                entry.last_store_contact_at = self.now
                ownership.confirm_ownership(entry.owner, self.now)
            elif entry.epoch:
                self._fence_entry(entry)

    # Callers.

    def submit_best_effort(self, entry, job_id):
        """Submit a best-effort job to an entry."""
        submission = self.oracle.jobs[job_id]
        if entry.owner is None:
            self.resubmissions.append((self.now + RESUBMIT_DELAY_S, job_id))
            return
        if entry.is_paused:
            return  # the caller eventually gives up
        submission.attempt_count += 1
        deadline_at = self.now + submission.wait_s
        caller = Caller(job_id, entry.name, entry.boot_count, deadline_at)
        self.waiting_callers.append(caller)
        besteffort.run_job(
            entry.owner,
            entry.best_effort_shard,
            job_id,
            create_job_record(submission.task_count, **submission.record_fields),
            ("wait", job_id, caller),
            caller.deadline_at,
            self.now,
        )
        runs.schedule_tasks(entry.owner, self.now)

    def submit_durable(self, entry, job_id):
        """Submit a durable job to the owner of the shard."""
        submission = self.oracle.jobs[job_id]
        if entry.owner is None or entry.is_paused:
            return
        submission.attempt_count += 1
        job_record = create_job_record(tasks=submission.task_count)
        waiter = ("submit", job_id, None)
        job_requests.submit_job(
            entry.owner, SHARD, job_id, job_record, waiter, self.now
        )
        runs.schedule_tasks(entry.owner, self.now)

    def new_job(self, is_durable, task_count, wait_s=3.0, **record_fields):
        self.last_id += 1
        job_id = f"{self.last_id:016x}"
        self.oracle.jobs[job_id] = Submission(
            task_count, is_durable, wait_s, record_fields
        )
        return job_id

    def query_state(self, entry, job_id):
        """Query the state of a job; the oracle checks the answer."""
        if entry.owner is None or entry.is_paused:
            return
        waiter = ("status", job_id, None)
        job_requests.answer_job_state(entry.owner, SHARD, job_id, waiter, self.now)
        self.process_pending()

    def cancel(self, entry, job_id):
        if entry.owner is None or entry.is_paused:
            return
        self.oracle.jobs[job_id].cancel_count += 1
        waiter = ("cancel", job_id, None)
        job_requests.cancel_job(entry.owner, SHARD, job_id, waiter, self.now)
        self.process_pending()

    def disconnect_caller(self, caller):
        """Close the connection of a waiting caller."""
        self.waiting_callers.remove(caller)
        entry = next(e for e in self.entries if e.name == caller.entry)
        if entry.owner is not None and entry.boot_count == caller.boot_count:
            waiter = ("wait", caller.job, caller)
            besteffort.abandon_job(
                entry.owner, entry.best_effort_shard, caller.job, waiter, self.now
            )

    # Time.

    def advance_time(self, seconds, finish_share=0.0):
        """Advance time; in each step, ``finish_share`` of the runs end."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += STEP_DURATION_S
            self._advance_step(finish_share)

    def _advance_step(self, finish_share):
        now = self.now
        for agent in self.agents:
            agent.step(now)
            self.finish_runs(agent, finish_share)
        if (
            round(now / STEP_DURATION_S)
            % round(GRANT_RENEWAL_INTERVAL_S / STEP_DURATION_S)
            == 0
        ):
            self._renew_grants()
        if (
            round(now / STEP_DURATION_S)
            % round(OWNERSHIP_CONFIRMATION_INTERVAL_S / STEP_DURATION_S)
            == 0
        ):
            self._confirm_ownership()
        self.process_pending()
        for entry in self.entries:
            self._tick_entry(entry)
        self.process_pending()
        for entry in self.entries:
            self.write_records(entry)
        self._resubmit_due_jobs()
        self.process_pending()

    def finish_runs(self, agent, share):
        """End a random share of the runs that have lasted for MIN_RUN_S."""
        for name, started_at in list(agent.worker.running.items()):
            if self.now - started_at >= MIN_RUN_S and self.rng.random() < share:
                agent.worker.end_run(name, RunEnd.DONE)

    def _renew_grants(self):
        for link in list(self.links.values()):
            if link.agent.state is not None and not link.agent.is_paused:
                report = worker_runs.worker_report(link.agent.state)
                link.to_entry.append((wire.WorkerChanged(report), None))
                if link.number in worker_leases.streams_in_use(link.agent.state):
                    link.grant_requests.entry_uses_worker(self.now)
                if link.grant_requests.is_due(self.now):
                    self.request_grant(link)

    def _tick_entry(self, entry):
        if entry.owner is None or entry.is_paused:
            return
        if self.now - entry.last_tick_at > STALL_THRESHOLD_S:
            entry.owner.paused_until = self.now + STALL_PAUSE_S
        entry.last_tick_at = self.now
        runs.tick(entry.owner, self.now)

    def _resubmit_due_jobs(self):
        for caller in [c for c in self.waiting_callers if c.deadline_at <= self.now]:
            self.disconnect_caller(caller)
            self.resubmissions.append((self.now + RESUBMIT_DELAY_S, caller.job))
        due = [row for row in self.resubmissions if row[0] <= self.now]
        self.resubmissions = [row for row in self.resubmissions if row[0] > self.now]
        for _, job_id in due:
            self.submit_best_effort(self.rng.choice(self.entries), job_id)

    # The end of a walk.

    def clear_faults(self):
        """End all faults, start the stopped processes and connect all of them."""
        self.store.is_up = True
        for entry in self.entries:
            entry.can_reach_store = True
            entry.is_paused = False
            if entry.owner is None:
                self.start_entry(entry)
        for agent in self.agents:
            agent.is_paused = False
            agent.delayed_share = 0.0
            agent.is_worker_reachable = True
            if agent.state is None:
                agent.start(self.now)
        for link in list(self.links.values()):
            link.is_suspended = False
        self.connect_all()

    def connect_all(self):
        for entry in self.entries:
            for agent in self.agents:
                if (entry.name, agent.name) not in self.links:
                    self.connect(entry, agent)

    @property
    def shard_owner(self):
        """Return the running entry with the current epoch of the shard, or None."""
        for entry in self.entries:
            if entry.owner is not None and entry.epoch == self.store.epoch > 0:
                return entry
        return None


def _is_grant(command, agent):
    return (
        isinstance(command, SendMessage)
        and command.agent == agent
        and isinstance(command.message, wire.Grant)
        and command.message.sequence > 0
    )
