"""Discrete-event simulation of schedulers and agents that run a trace of jobs.

It uses the production scheduler and agent code. Messages take a fixed time, and
tasks take the run times of the trace. Claims, leases and network failures are not
simulated, so its figures are not those of a real deployment.
"""

import random
from dataclasses import dataclass, field
from heapq import heappop, heappush
from types import SimpleNamespace

from turmericknot.conf.schema import AgentSettings, EntrySettings, PolicySettings
from turmericknot.dispatch import agent, commands, events, scheduler
from turmericknot.dispatch.tasks import JobSpec, Task
from turmericknot.wire import messages

SAME_DOMAIN_S = 0.0002
CROSS_DOMAIN_S = 0.0015
TICK_S = 0.02
FAULTY_RUN_MS = 2.0  # run time of a task on a faulty worker
EXPIRES_AT = 1e9
WALL = 1e8


@dataclass(slots=True)
class JobOutcome:
    """Outcome of one job of the trace."""

    arrived_at: float
    status: str = "pending"
    ended_at: float = 0.0
    remaining_tasks: int = 0


@dataclass(slots=True)
class Run:
    """Execution of one task on an agent."""

    job: int
    team: str
    agent: int
    start: float
    end: float
    failed: bool


@dataclass
class Driver:
    """Simulation of one federation and one trace; call ``run`` only once."""

    trace: object
    policy: str = "windows"
    entries: int = 2
    agents: int = 10
    slots: int = 8
    domains: int = 3
    seed: int = 1
    teams: dict = field(default_factory=dict)
    faulty: tuple = ()
    slow: dict = field(default_factory=dict)

    def __post_init__(self):
        self.heap, self.sequence, self.now = [], 0, 0.0
        self.outcomes, self.runs, self.waiting_samples = [], [], []
        self.messages = self.frames = 0
        self.rng = random.Random(f"driver/{self.seed}")
        names = {job.team for job in self.trace.jobs}
        tree = {"teams": {name: self.teams.get(name, {}) for name in names}}
        self.schedulers = [self._create_scheduler(n, tree) for n in range(self.entries)]
        self.agent_states = [self._create_agent(n) for n in range(self.agents)]
        for number in range(self.agents):
            self._connect_agent(number)
        for number, job in enumerate(self.trace.jobs):
            self.outcomes.append(JobOutcome(job.at_s, remaining_tasks=len(job.run_ms)))
            self.schedule(job.at_s, self._submit, number)
        self.schedule(0.0, self._tick)

    def schedule(self, when, function, *arguments):
        self.sequence += 1
        heappush(self.heap, (when, self.sequence, function, arguments))

    def run(self, until=None):
        """Simulate until the trace is over and all jobs have ended."""
        until = until or self.trace.duration_s * 3 + 30.0
        while self.heap and self.heap[0][0] <= until:
            self.now, _, function, arguments = heappop(self.heap)
            function(*arguments)
            if self.now > self.trace.duration_s and self._all_jobs_ended():
                break
        return self

    def _all_jobs_ended(self):
        return all(outcome.status != "pending" for outcome in self.outcomes)

    def _create_scheduler(self, number, tree):
        settings = EntrySettings(
            f"e{number}",
            f"d{number % self.domains}",
            "r1",
            policy=PolicySettings(policy=self.policy),
        )
        rng = random.Random(f"{self.seed}/{number}")
        state = scheduler.create_scheduler(settings, rng)
        scheduler.config_changed(state, 1, tree, 0.0)
        return state

    def _create_agent(self, number):
        settings = AgentSettings(f"a{number}", f"d{number % self.domains}", "r1")
        rng = random.Random(f"{self.seed}/a{number}")
        state = agent.create_agent_state(settings, f"a{number}#0", rng)
        state.settings.announce_ttl_s = 1e9
        return state

    def _connect_agent(self, number):
        state = self.agent_states[number]
        announced = events.TargetAnnounced(
            f"w{number}", "-", self.slots, 16.0, 32768, 0
        )
        agent.handle(state, announced, 0.0, WALL)
        for entry, scheduler_state in enumerate(self.schedulers):
            scheduler.agent_joined(
                scheduler_state, number, agent.create_hello(state), 0.0
            )
            scheduler.set_rostered(scheduler_state, number, True, 0.0)
            welcome = messages.Welcome(1, f"e{entry}", f"e{entry}#0", [], 1)
            self._handle_agent_event(number, events.EntryConnected(entry, welcome))

    def _delay_s(self, entry, number):
        same = entry % self.domains == number % self.domains
        return SAME_DOMAIN_S if same else CROSS_DOMAIN_S

    def _handle_agent_event(self, number, event):
        out = agent.handle(self.agent_states[number], event, self.now, WALL + self.now)
        for command in out:
            if isinstance(command, commands.StartTask):
                self._start_task(number, command)
            elif isinstance(command, commands.Send):
                entry = command.stream
                self._send(entry, number, self._handle_entry_message, command.message)

    def _send(self, entry, number, deliver, message):
        counted = not isinstance(message, (messages.Heartbeat, messages.Inventory))
        self.messages += counted
        delay = self._delay_s(entry, number)
        self.schedule(self.now + delay, deliver, entry, number, message)

    def _start_task(self, number, command):
        job = int.from_bytes(command.job, "big")
        index = command.task.index
        failed = number in self.faulty
        run_ms = self.trace.jobs[job].run_ms[index] * self.slow.get(number, 1.0)
        run_ms = FAULTY_RUN_MS if failed else run_ms
        end = self.now + run_ms / 1e3
        self.runs.append(Run(job, command.team, number, self.now, end, failed))
        status = messages.TaskStatus.FAILED if failed else messages.TaskStatus.OK
        done = events.TaskFinished(command.job, index, status, b"", run_ms)
        self.schedule(end, self._handle_agent_event, number, done)

    def _handle_entry_message(self, entry, number, message):
        state = self.schedulers[entry]
        if isinstance(message, messages.Window):
            scheduler.set_window(state, number, message, self.now)
        elif isinstance(message, messages.Results):
            for result in message.results:
                known = (message.job, result.index, result.status, result.run_ms)
                scheduler.task_done(state, number, *known, self.now)
                self._task_ended(state, message.job, result.status)
        elif isinstance(message, messages.Returned):
            returned = (message.job, message.indexes)
            scheduler.tasks_returned(state, number, *returned, self.now)
        self._dispatch(entry)

    def _task_ended(self, state, identifier, status):
        outcome = self.outcomes[int.from_bytes(identifier, "big")]
        outcome.remaining_tasks -= 1
        if outcome.status != "pending":
            return
        if status != messages.TaskStatus.OK:
            outcome.status, outcome.ended_at = "failed", self.now
            scheduler.remove_job(state, identifier, self.now)
        elif not outcome.remaining_tasks:
            outcome.status, outcome.ended_at = "complete", self.now

    def _submit(self, number):
        job = self.trace.jobs[number]
        entry = number % self.entries
        state = self.schedulers[entry]
        tasks = [Task(i, b"", declared) for i, declared in enumerate(job.declared_ms)]
        identifier = number.to_bytes(16, "big")
        spec = JobSpec(
            identifier,
            job.team,
            job.key,
            EXPIRES_AT,
            job.deadline_s,
            job.task_class,
            job.idempotent,
            tasks,
        )
        if scheduler.admit(state, spec, self.now):
            self.outcomes[number].status = "not_run"
            self.outcomes[number].ended_at = self.now
            return
        deadline = self.now + job.deadline_s
        scheduler.add_job(state, spec, range(len(tasks)), deadline, True, self.now)
        self._dispatch(entry)

    def _dispatch(self, entry):
        state = self.schedulers[entry]
        for assignment in scheduler.next_assignments(state, self.now):
            message = self._build_assign(entry, state, assignment)
            self._send(entry, assignment.stream, self._deliver_to_agent, message)
        for number, message in scheduler.due_demands(state, self.now):
            self._send(entry, number, self._deliver_to_agent, message)

    def _build_assign(self, entry, state, assignment):
        job = self.trace.jobs[int.from_bytes(assignment.job, "big")]
        specs = [
            scheduler.spec_for(state, assignment.job, index)
            for index in assignment.indexes
        ]
        return messages.Assign(
            assignment.job,
            f"e{entry}#0",
            job.team,
            job.task_class,
            EXPIRES_AT,
            1e6,
            specs,
            *scheduler.assignment_demand(state, assignment.stream),
            assignment.window_sequence,
        )

    def _deliver_to_agent(self, entry, number, message):
        self._handle_agent_event(number, events.EntryMessage(entry, message))

    def _tick(self):
        for entry, state in enumerate(self.schedulers):
            for identifier in scheduler.expire_jobs(state, self.now):
                outcome = self.outcomes[int.from_bytes(identifier, "big")]
                if outcome.status == "pending":
                    outcome.status, outcome.ended_at = "expired", self.now
                scheduler.remove_job(state, identifier, self.now)
            digest = scheduler.due_digest(state, self.now)
            if digest is not None:
                self._send_digest(entry, digest)
            self._dispatch(entry)
        self._sample_waiting()
        self.schedule(self.now + TICK_S, self._tick)

    def _send_digest(self, entry, digest):
        for peer, state in enumerate(self.schedulers):
            if peer != entry:
                receive = scheduler.peer_digest
                at = self.now + CROSS_DOMAIN_S
                self.schedule(at, self._deliver_digest, receive, state, entry, digest)

    def _deliver_digest(self, receive, state, entry, digest):
        receive(state, entry, digest, self.now)

    def _sample_waiting(self):
        waiting = sum(state.waiting for state in self.schedulers)
        waiting += sum(len(agent_state.queue) for agent_state in self.agent_states)
        running = sum(len(agent_state.running) for agent_state in self.agent_states)
        by_team = {}
        for state in self.schedulers:
            for team in state.teams.values():
                by_team[team.name] = by_team.get(team.name, 0) + team.waiting
        for agent_state in self.agent_states:
            for queued in agent_state.queue:
                by_team[queued.assign.team] += 1
        sample = SimpleNamespace(
            at=self.now, waiting=waiting, running=running, teams=by_team
        )
        self.waiting_samples.append(sample)
