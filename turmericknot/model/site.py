"""The simulated site: entries, agents, links and callers."""

import math
import random

from turmericknot.scheduling import (
    besteffort,
    demand,
    neighborhood,
    owner as owners,
    reports,
    runs,
)
from turmericknot.scheduling.commands import AnswerRequest, Outcome, SendMessage
from turmericknot.scheduling.jobs import JobRecord, JobState, StepSpec
from turmericknot.wire import shard_messages as wire

from .agent import create_agent
from .clock import create_clock

LEAD_S = 4.0  # before the first job: connections and grants
TICK_INTERVAL_S = 0.1
PROBE_INTERVAL_S = 0.4  # of the entries among each other
CRASH_DELAY_S = 0.01  # from the start of a deadly task to the crash of its worker


class JobResult:
    """What a caller saw of one job."""

    __slots__ = (
        "kind",
        "submitted_at",
        "objective_s",
        "outcome",
        "seconds",
        "answered_s",
        "is_deadly",
        "crashes",
    )

    def __init__(self, kind, submitted_at, objective_s):
        self.kind = kind
        self.submitted_at = submitted_at  # seconds since the first job may come
        self.objective_s = objective_s
        self.outcome = None  # Outcome, or None: no answer
        self.seconds = math.inf  # until it succeeded
        self.answered_s = math.inf  # until any answer
        self.is_deadly = False  # whether a task of it crashes each worker
        self.crashes = 0  # of workers, by that task


class ModelEntry:
    """An entry; ``owner`` is None while it is away."""

    __slots__ = ("number", "owner", "shard", "boots")

    def __init__(self, number):
        self.number = number
        self.owner = None
        self.shard = None
        self.boots = 0


class ModelSite:
    """All processes of a site in virtual time."""

    __slots__ = (
        "clock",
        "rng",
        "_load_rng",
        "call_delay_s",
        "lost_answer_share",
        "results",
        "messages",
        "_experiment",
        "_entries",
        "_agents",
        "_entries_of_agent",
        "_durations",
        "_last_job",
        "_deadly_rng",
        "_deadly_trouble",
        "_deadly_tasks",
    )

    def __init__(self, experiment, seed):
        self.clock = create_clock()
        self.rng = random.Random(seed)
        # Arrivals and durations are the same whatever the decisions draw.
        self._load_rng = random.Random(f"load {seed}")
        self.call_delay_s = experiment.call_delay_s
        self.lost_answer_share = 0.0
        self.results = []
        self.messages = {}  # kind of message -> number sent
        self._experiment = experiment
        self._entries = [ModelEntry(number) for number in range(experiment.entries)]
        self._agents = {}
        self._entries_of_agent = {}  # name of an agent -> numbers of its entries
        self._durations = {}  # (job, step, index) -> seconds at speed 1
        self._last_job = 0
        # Which jobs are deadly does not change the other jobs of the same seed.
        self._deadly_rng = random.Random(f"deadly {seed}")
        self._deadly_trouble = None
        self._deadly_tasks = {}  # (job, step, index) -> JobResult

    def play(self):
        """Play the experiment to its end; return the results of all jobs."""
        experiment = self._experiment
        for entry in self._entries:
            self._start_entry(entry)
        speeds = experiment.worker_speeds
        for number in range(experiment.agents):
            name = f"side-{number}"
            agent = create_agent(
                self, name, experiment.worker_cpu, speeds[number % len(speeds)]
            )
            self._agents[name] = agent
            agent.start(self.rng.uniform(0.0, 0.25))
            chosen = self._choose_entries(name)
            self._entries_of_agent[name] = chosen
            for entry in chosen:
                agent.connect(entry)
        for trouble in experiment.troubles:
            self.clock.call_later(LEAD_S + trouble.at_s, self._begin_trouble, trouble)
        for kind in experiment.kinds:
            self._schedule_next_job(kind)
        longest_wait_s = max(kind.wait_s for kind in experiment.kinds)
        self.clock.run_until(LEAD_S + experiment.duration_s + longest_wait_s)
        return self.results

    def _choose_entries(self, agent):
        candidates = [
            neighborhood.EntryCandidate(f"front-{entry.number}")
            for entry in self._entries
        ]
        names = neighborhood.choose_entries(agent, "s", candidates)
        return sorted(int(name.rpartition("-")[2]) for name in names)

    # Links.

    def send_to_entry(self, agent, entry, message):
        """Deliver a message of an agent after the delay of the link."""
        self._count(message)
        boots = self._entries[entry].boots
        self.clock.call_later(
            self._experiment.link_delay_s,
            self._deliver_to_entry,
            agent,
            entry,
            boots,
            message,
        )

    def _deliver_to_entry(self, agent, number, boots, message):
        entry = self._entries[number]
        if entry.owner is None or entry.boots != boots:
            return
        now = self.clock.now
        if isinstance(message, wire.AgentHello):
            reports.agent_connected(entry.owner, message, now)
        else:
            reports.message_received(entry.owner, agent, message, now)
        runs.schedule_tasks(entry.owner, now)
        self._execute_commands(entry)

    def _execute_commands(self, entry):
        while entry.owner is not None and entry.owner.commands:
            for command in entry.owner.pop_commands():
                if isinstance(command, SendMessage):
                    self._count(command.message)
                    self.clock.call_later(
                        self._experiment.link_delay_s,
                        self._agents[command.agent].receive,
                        entry.number,
                        command.message,
                    )
                elif isinstance(command, AnswerRequest):
                    self._record_answer(command)

    def _count(self, message):
        kind = type(message).__name__
        self.messages[kind] = self.messages.get(kind, 0) + 1

    # Callers.

    def duration_of(self, name):
        """Return the seconds that a run takes on a worker of speed 1."""
        return self._durations[name.job, name.step, name.index]

    def crash_delay_of(self, name):
        """Return the seconds until a run crashes its worker, or None; count it."""
        result = self._deadly_tasks.get((name.job, name.step, name.index))
        if result is None:
            return None
        result.crashes += 1
        return CRASH_DELAY_S

    @property
    def crashed_s(self):
        """Return the seconds from the crash of a worker to its next report."""
        return self._deadly_trouble.down_s

    def _schedule_next_job(self, kind):
        """Draw the arrivals of a Poisson process; the rate follows wave and bursts."""
        wave = self._experiment.wave
        bursts = [b for b in self._experiment.bursts if b.kind == kind.name]
        highest_factor = max([1.0, *(burst.factor for burst in bursts)])
        highest_rate = kind.jobs_per_s * (1 + wave.swing) * highest_factor
        at = max(self.clock.now, LEAD_S)
        while True:
            at += self._load_rng.expovariate(highest_rate)
            phase = 2 * math.pi * (at - LEAD_S) / wave.period_s
            share = (1 + wave.swing * math.sin(phase)) / (1 + wave.swing)
            share /= highest_factor
            for burst in bursts:
                if 0 <= at - LEAD_S - burst.at_s < burst.for_s:
                    share *= burst.factor
            if self._load_rng.random() < share:
                break
        if at < LEAD_S + self._experiment.duration_s:
            self.clock.call_later(at - self.clock.now, self._submit, kind)

    def _submit(self, kind):
        self._schedule_next_job(kind)
        self._last_job += 1
        job_id = f"{self._last_job:016x}"
        result = JobResult(kind.name, self.clock.now - LEAD_S, 0.0)
        self.results.append(result)
        longest_s = 0.0
        for index in range(kind.tasks):
            run_s = kind.run_s * self._load_rng.lognormvariate(
                -(kind.spread**2) / 2, kind.spread
            )
            self._durations[job_id, 0, index] = run_s
            longest_s = max(longest_s, run_s)
        result.objective_s = kind.stretch * longest_s + kind.objective_s
        entry = self._load_rng.choice(self._entries)
        if self._is_deadly(kind):
            result.is_deadly = True
            self._deadly_tasks[job_id, 0, 0] = result
        if entry.owner is None:
            return  # no connection
        record = _create_record(kind)
        now = self.clock.now
        besteffort.run_job(
            entry.owner, entry.shard, job_id, record, result, now + kind.wait_s, now
        )
        runs.schedule_tasks(entry.owner, now)
        self._execute_commands(entry)

    def _is_deadly(self, kind):
        trouble = self._deadly_trouble
        if trouble is None or trouble.job_kind not in ("", kind.name):
            return False
        elapsed_s = self.clock.now - LEAD_S - trouble.at_s
        return (
            0 <= elapsed_s < trouble.for_s and self._deadly_rng.random() < trouble.share
        )

    def _record_answer(self, command):
        result = command.waiter
        result.outcome = command.outcome
        result.answered_s = self.clock.now - LEAD_S - result.submitted_at
        if command.outcome is Outcome.SUCCEEDED:
            result.seconds = self.clock.now - LEAD_S - result.submitted_at

    # Processes and troubles.

    def _start_entry(self, entry):
        entry.boots += 1
        entry.owner = owners.create_owner(
            None, random.Random(self.rng.random()), self.clock.now
        )
        shard_number = entry.number + len(self._entries) * entry.boots
        entry.shard = besteffort.open_best_effort_shard(entry.owner, shard_number)
        boots = entry.boots

        def tick():
            if entry.boots == boots and entry.owner is not None:
                runs.tick(entry.owner, self.clock.now)
                self._execute_commands(entry)

        def probe():
            if entry.boots == boots and entry.owner is not None:
                self._exchange_demand(entry)

        self.clock.call_repeatedly(TICK_INTERVAL_S, tick, TICK_INTERVAL_S)
        first_probe_s = PROBE_INTERVAL_S * (entry.number + 1) / len(self._entries)
        self.clock.call_repeatedly(first_probe_s, probe, PROBE_INTERVAL_S)

    def _exchange_demand(self, entry):
        """Report the demand of an entry to the first one that is there."""
        now = self.clock.now
        first = next(other for other in self._entries if other.owner is not None)
        if first is entry:
            return
        first.owner.demand.record_report(
            entry.number, demand.own_digest(entry.owner, now), now
        )
        entry.owner.demand.record_status(
            first.owner.demand.sum_for(
                entry.number, demand.own_digest(first.owner, now), now
            ),
            now,
        )

    def _begin_trouble(self, trouble):
        if trouble.kind == "entry_loss":
            self._lose_entries(trouble)
        elif trouble.kind == "deadly":
            self._deadly_trouble = trouble
        elif trouble.kind == "lost_answers":
            self.lost_answer_share = trouble.share
            self.clock.call_later(trouble.for_s, self._end_lost_answers)
        else:
            count = round(trouble.share * len(self._agents))
            for name in self.rng.sample(sorted(self._agents), count):
                self._change_worker(self._agents[name].worker, trouble)

    def _end_lost_answers(self):
        self.lost_answer_share = 0.0

    def _change_worker(self, worker, trouble):
        slowdown = worker.slowdown

        def restore():
            worker.slowdown = slowdown
            worker.is_failing = False

        if trouble.kind == "slow":
            worker.slowdown = slowdown * trouble.factor
        else:
            worker.is_failing = True
        self.clock.call_later(trouble.for_s, restore)

    def _lose_entries(self, trouble):
        count = round(trouble.share * len(self._entries))
        for entry in self.rng.sample(self._entries, count):
            entry.owner = None
            for name, agent in self._agents.items():
                if entry.number in self._entries_of_agent[name]:
                    agent.disconnect(entry.number)
            self.clock.call_later(trouble.for_s, self._return_entry, entry)

    def _return_entry(self, entry):
        self._start_entry(entry)
        for name, agent in self._agents.items():
            if entry.number in self._entries_of_agent[name]:
                agent.connect(entry.number)


def _create_record(kind):
    step = StepSpec(
        count=kind.tasks, cpu=kind.cpu, memory=kind.memory_mb, estimate=kind.run_s
    )
    return JobRecord(
        queue=kind.name,
        service="s",
        state=int(JobState.ACTIVE),
        accepted_at=0.0,
        accepted_epoch=0,
        spec="",
        steps=[step],
        priority=kind.priority,
        attempts=kind.attempts,
        stretch=kind.stretch,
        objective=kind.objective_s,
    )


def create_site(experiment, seed):
    """Return a site whose processes have not started."""
    return ModelSite(experiment, seed)
