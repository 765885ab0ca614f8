"""Entries, agents and workers on links and a store that lose and delay."""

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
)
from turmericknot.scheduling.commands import (
    AnswerRequest,
    Outcome,
    SendMessage,
    StoreRecord,
)
from turmericknot.scheduling.jobs import RunEnd
from turmericknot.wire import shard_messages as wire

ENTRIES, AGENTS = 3, 3
STEP_S = 0.05
RENEW_S = 0.25
MEMBER_TTL_S = 1.5
CONFIRM_S = 0.4
RESEND_S = 1.3
SHORTEST_RUN_S = 0.1  # of a task; looks come more often
STALL_S, STALL_PAUSE_S = 0.5, 0.3
SHARD = 0


@dataclass(slots=True)
class Store:
    """Records of the shard and the epoch of its writer."""

    records: dict = field(default_factory=dict)
    epoch: int = 0
    generation: int = 0
    is_up: bool = True


@dataclass(slots=True)
class Caller:
    """A caller that waits for a job that is not kept."""

    job: str
    entry: str
    boot: int
    deadline_at: float


class EntryModel:
    """One entry; ``owner`` is None while it is down."""

    def __init__(self, name, number):
        self.name = name
        self.number = number
        self.owner = None
        self.boot = 0
        self.epoch = 0  # with which it owns the stored shard; 0: it does not
        self.is_paused = False
        self.reaches_store = True
        self.seen_at = 0.0  # when the store last heard of it
        self.ticked_at = 0.0
        self.to_store = deque()
        self.unkept = None


class Link:
    """A stream between an entry and an agent; each direction is a queue."""

    def __init__(self, number, entry, agent):
        self.number = number
        self.entry = entry
        self.agent = agent
        self.to_agent = deque()  # (message, time of the request or None)
        self.to_entry = deque()
        self.is_silent = False


class World:
    """All processes; ``step`` counts the actions taken."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.oracle = Oracle()
        self.store = Store()
        self.links = {}  # (entry, agent) -> Link
        self.numbers = 0
        self.callers = []
        self.resubmissions = []  # (time, job id)
        self.entries = [EntryModel(f"e{n}", n) for n in range(ENTRIES)]
        self.agents = [
            AgentModel(f"a{n}", self.oracle, random.Random(seed + n))
            for n in range(AGENTS)
        ]
        for agent in self.agents:
            agent.start(self.now)
        for entry in self.entries:
            self.start_entry(entry)
        self.advance(2.0)

    # Processes.

    def start_entry(self, entry):
        entry.boot += 1
        entry.owner = decisions.create_owner(None, random.Random(entry.boot), self.now)
        # Each process has a shard of its own.
        number = entry.number + ENTRIES * entry.boot
        entry.unkept = besteffort.open_best_effort_shard(entry.owner, number)
        entry.epoch = 0
        entry.is_paused = False
        entry.ticked_at = self.now
        entry.to_store.clear()

    def kill_entry(self, entry):
        if entry.owner is None:
            return
        entry.owner = None
        for key in [key for key in self.links if key[0] == entry.name]:
            self.cut(self.links[key])
        for caller in [c for c in self.callers if c.entry == entry.name]:
            self.callers.remove(caller)
            self.resubmissions.append((self.now + RESEND_S, caller.job))

    def kill_agent(self, agent):
        agent.state = None
        agent.is_paused = False
        for key in [key for key in self.links if key[1] == agent.name]:
            self.cut(self.links[key])

    def resume_entry(self, entry):
        entry.is_paused = False

    # Links.

    def connect(self, entry, agent):
        if entry.owner is None or agent.state is None:
            return
        if entry.is_paused or agent.is_paused:
            return
        self.numbers += 1
        link = Link(self.numbers, entry, agent)
        self.links[entry.name, agent.name] = link
        report = worker_runs.worker_report(agent.state)
        hello = wire.AgentHello(1, agent.name, str(agent.boot), "d", report)
        reports.agent_connected(entry.owner, hello, self.now)
        self.request_grant(link)

    def cut(self, link):
        """Lose what is under way; both sides notice."""
        self.links.pop((link.entry.name, link.agent.name), None)
        if link.entry.owner is not None:
            reports.agent_disconnected(link.entry.owner, link.agent.name, self.now)
        if link.agent.state is not None:
            worker_leases.stream_closed(link.agent.state, link.number)

    def request_grant(self, link):
        link.to_entry.append(("grant", self.now))

    def deliver(self, link):
        """Deliver all that is under way, unless a side stands still."""
        while link.to_entry and link.entry.owner and not link.entry.is_paused:
            self._to_entry(link, *link.to_entry.popleft())
        while link.to_agent and link.agent.state and not link.agent.is_paused:
            self._to_agent(link, *link.to_agent.popleft())

    def _to_entry(self, link, message, sent_at):
        owner, agent, now = link.entry.owner, link.agent.name, self.now
        if message == "grant":
            reports.grant_request_received(owner, agent, 1, now)
            for command in [c for c in owner.commands if _is_grant(c, agent)]:
                owner.commands.remove(command)
                link.to_agent.append((command.message, sent_at))
            return
        deliver_to_owner(owner, agent, message, now)

    def _to_agent(self, link, message, sent_at):
        deliver_to_agent(link.agent.state, link.number, message, sent_at, self.now)

    # Commands.

    def flow(self):
        """Carry out what was decided and deliver messages until none moves."""
        for _ in range(60):
            if not self._flow_once():
                return

    def _flow_once(self):
        moved = False
        for entry in self.entries:
            if entry.owner is None or entry.is_paused:
                continue
            for command in entry.owner.take_commands():
                moved = True
                self._carry_out(entry, command)
        for agent in self.agents:
            for stream, message in agent.carry_out(self.now):
                moved = True
                for link in self.links.values():
                    if link.number == stream:
                        link.to_entry.append((message, None))
        for link in list(self.links.values()):
            if not link.is_silent and (link.to_agent or link.to_entry):
                before = len(link.to_agent) + len(link.to_entry)
                self.deliver(link)
                moved = moved or len(link.to_agent) + len(link.to_entry) != before
        return moved

    def _carry_out(self, entry, command):
        if isinstance(command, SendMessage):
            link = self.links.get((entry.name, command.agent))
            if link is not None:
                link.to_agent.append((command.message, None))
        elif isinstance(command, StoreRecord):
            entry.to_store.append(command)
        elif isinstance(command, AnswerRequest):
            self._answer(entry, command)

    def _answer(self, entry, command):
        kind, job_id, caller = command.waiter
        outcome = command.outcome
        if kind == "submit":
            self.oracle.answered(job_id, outcome, self.now)
        elif kind == "cancel":
            if outcome is Outcome.CANCELLED:
                self.oracle.jobs[job_id].is_cancelled = True
        elif kind == "status":
            self.oracle.shown(job_id, outcome, self.now)
        elif caller in self.callers:
            self.callers.remove(caller)
            self.oracle.answered(job_id, outcome, self.now)
            if outcome is Outcome.UNDECIDED:
                self.resubmissions.append((self.now + RESEND_S, job_id))

    # The store.

    def write(self, entry):
        """Let the store take what an entry wants to write; answers come at once."""
        while entry.to_store and entry.owner is not None and not entry.is_paused:
            if not self.store.is_up or not entry.reaches_store:
                return
            if self.store.epoch > entry.epoch:
                self._fenced(entry)
                return
            command = entry.to_store.popleft()
            self._put(command)
            if self.rng.random() < 0.05:
                entry.to_store.appendleft(command)  # the answer is lost: repeated
                return
            entry.owner.ownership_confirmed_at = max(
                entry.owner.ownership_confirmed_at, self.now
            )
            job_requests.record_stored(entry.owner, command.token, self.now)
            runs.schedule_tasks(entry.owner, self.now)
            self.flow()

    def _put(self, command):
        if command.value:
            self.store.records[command.key] = command.value
        else:
            self.store.records.pop(command.key, None)

    def _fenced(self, entry):
        entry.to_store.clear()
        entry.epoch = 0
        ownership.lose_shard(entry.owner, SHARD, "fenced", self.now)

    def assign(self, entry):
        """Make an entry the owner of the shard, as a change of the group does."""
        if entry.owner is None or entry.is_paused or entry.epoch:
            return
        if not self.store.is_up or not entry.reaches_store:
            return
        self.store.generation += 1
        self.store.epoch = entry.epoch = self.store.generation
        items = list(self.store.records.items())
        ownership.gain_shard(entry.owner, SHARD, entry.epoch, items, self.now)

    def _confirm(self):
        """Let the group tell members that they still own the shard."""
        if not self.store.is_up:
            return
        for entry in self.entries:
            if entry.owner is None or entry.is_paused or not entry.reaches_store:
                continue
            if entry.epoch == self.store.epoch and entry.epoch:
                entry.seen_at = self.now
                ownership.confirm_ownership(entry.owner, self.now)
            elif entry.epoch:
                self._fenced(entry)

    # Callers.

    def hand_in(self, entry, job_id):
        """Send a job that is not kept to an entry."""
        submission = self.oracle.jobs[job_id]
        if entry.owner is None:
            self.resubmissions.append((self.now + RESEND_S, job_id))
            return
        if entry.is_paused:
            return  # the caller gives up in the end
        submission.attempts += 1
        caller = Caller(job_id, entry.name, entry.boot, self.now + 3.0)
        self.callers.append(caller)
        besteffort.run_job(
            entry.owner,
            entry.unkept,
            job_id,
            create_job_record(tasks=submission.tasks),
            ("wait", job_id, caller),
            caller.deadline_at,
            self.now,
        )
        runs.schedule_tasks(entry.owner, self.now)

    def submit(self, entry, job_id):
        """Send a stored job to its owner."""
        submission = self.oracle.jobs[job_id]
        if entry.owner is None or entry.is_paused:
            return
        submission.attempts += 1
        job_record = create_job_record(tasks=submission.tasks)
        waiter = ("submit", job_id, None)
        job_requests.submit_job(
            entry.owner, SHARD, job_id, job_record, waiter, self.now
        )
        runs.schedule_tasks(entry.owner, self.now)

    def new_job(self, is_kept, tasks):
        self.numbers += 1
        job_id = f"{self.numbers:016x}"
        self.oracle.jobs[job_id] = Submission(tasks, is_kept)
        return job_id

    def ask(self, entry, job_id):
        """Ask the owner for the state of a job; return the outcome or None."""
        if entry.owner is None or entry.is_paused:
            return
        waiter = ("status", job_id, None)
        job_requests.answer_job_state(entry.owner, SHARD, job_id, waiter, self.now)
        self.flow()

    def cancel(self, entry, job_id):
        if entry.owner is None or entry.is_paused:
            return
        self.oracle.jobs[job_id].cancels += 1
        waiter = ("cancel", job_id, None)
        job_requests.cancel_job(entry.owner, SHARD, job_id, waiter, self.now)
        self.flow()

    def leave(self, caller):
        """Let a caller close its connection."""
        self.callers.remove(caller)
        entry = next(e for e in self.entries if e.name == caller.entry)
        if entry.owner is not None and entry.boot == caller.boot:
            waiter = ("wait", caller.job, caller)
            besteffort.abandon_job(
                entry.owner, entry.unkept, caller.job, waiter, self.now
            )

    # Time.

    def advance(self, seconds, finishing=0.0):
        """Let time pass; ``finishing`` is the share of runs that end in a step."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += STEP_S
            self._step(finishing)

    def _step(self, finishing):
        now = self.now
        for agent in self.agents:
            agent.step(now)
            self.finish_runs(agent, finishing)
        if round(now / STEP_S) % round(RENEW_S / STEP_S) == 0:
            self._renew()
        if round(now / STEP_S) % round(CONFIRM_S / STEP_S) == 0:
            self._confirm()
        self.flow()
        for entry in self.entries:
            self._tick(entry)
        self.flow()
        for entry in self.entries:
            self.write(entry)
        self._serve_callers()
        self.flow()

    def finish_runs(self, agent, share):
        """Let a share of the runs that have lasted long enough end."""
        for name, begun in list(agent.worker.running.items()):
            if self.now - begun >= SHORTEST_RUN_S and self.rng.random() < share:
                agent.worker.end(name, RunEnd.DONE)

    def _renew(self):
        for link in list(self.links.values()):
            if link.agent.state is not None and not link.agent.is_paused:
                report = worker_runs.worker_report(link.agent.state)
                link.to_entry.append((wire.WorkerChanged(report), None))
                self.request_grant(link)

    def _tick(self, entry):
        if entry.owner is None or entry.is_paused:
            return
        if self.now - entry.ticked_at > STALL_S:
            entry.owner.paused_until = self.now + STALL_PAUSE_S
        entry.ticked_at = self.now
        runs.tick(entry.owner, self.now)

    def _serve_callers(self):
        for caller in [c for c in self.callers if c.deadline_at <= self.now]:
            self.leave(caller)
            self.resubmissions.append((self.now + RESEND_S, caller.job))
        due = [row for row in self.resubmissions if row[0] <= self.now]
        self.resubmissions = [row for row in self.resubmissions if row[0] > self.now]
        for _, job_id in due:
            self.hand_in(self.rng.choice(self.entries), job_id)

    # The end of a walk.

    def heal(self):
        """Undo every fault."""
        self.store.is_up = True
        for entry in self.entries:
            entry.reaches_store = True
            entry.is_paused = False
            if entry.owner is None:
                self.start_entry(entry)
        for agent in self.agents:
            agent.is_paused = False
            agent.late_share = 0.0
            if agent.state is None:
                agent.start(self.now)
        for link in list(self.links.values()):
            link.is_silent = False
        self.connect_all()

    def connect_all(self):
        for entry in self.entries:
            for agent in self.agents:
                if (entry.name, agent.name) not in self.links:
                    self.connect(entry, agent)

    @property
    def shard_owner(self):
        """Return the entry that may write to the shard, or None."""
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
