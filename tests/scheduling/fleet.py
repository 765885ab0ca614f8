"""A fleet of entries under load: jobs arrive, runs end, digests are exchanged."""

from dataclasses import dataclass
from random import Random

from turmericknot.scheduling import demand, usage_reports
from turmericknot.scheduling.commands import Outcome
from turmericknot.wire import shard_messages as wire

from .delivery import deliver_to_owner
from .site import Agent, Entry, Site, create_job_record

STEP_S = 0.025
PROBE_STEPS = 16  # a digest every 0.4 s
CORES = 48
# Queue: (priority, tasks, seconds); each task uses one core.
QUEUES = {"urgent": (0, 8, 0.1), "normal": (1, 2, 0.35), "large": (2, 4, 1.6)}


@dataclass(slots=True)
class Caller:
    """One job and what its caller saw."""

    queue: str
    submitted_at: float
    objective: float
    answered_at: float | None = None
    outcome: Outcome | None = None

    @property
    def is_in_time(self):
        waited = (self.answered_at or 1e9) - self.submitted_at
        return self.outcome is Outcome.SUCCEEDED and waited <= self.objective + STEP_S

    @property
    def is_late_refusal(self):
        waited = (self.answered_at or 1e9) - self.submitted_at
        return self.outcome is Outcome.REFUSED and waited > self.objective / 4 + STEP_S


class Fleet:
    """Owners that share the agents; the first one sums up the digests."""

    def __init__(self, entries=6, agents=6, min_entries=4, floor_share=0.15, seed=1):
        self.rng = Random(seed)
        self.entries = [Entry(f"e{number}", number) for number in range(entries)]
        for entry in self.entries:
            entry.owner.demand.min_entries = min_entries
            entry.owner.floors.floor_share = floor_share
            entry.owner.workers_known_at = 0.0
        self.agents = [Agent(f"a{n}", 1000 * CORES // agents) for n in range(agents)]
        self.site = Site(self.entries, self.agents)
        self.callers = []
        self.lost_digest_share = 0.0
        self._due = dict.fromkeys(QUEUES, 0.0)
        self._steps = 0

    def exchange_digests(self):
        first, *others = self.entries
        now = self.site.now
        for entry in others:
            if self.rng.random() < self.lost_digest_share:
                continue
            own = demand.own_digest(entry.owner, now)
            first.owner.demand.record_report(entry.name, own, now)
            own = demand.own_digest(first.owner, now)
            total = first.owner.demand.sum_for(entry.name, own, now)
            entry.owner.demand.record_status(total, now)

    def play(self, seconds, rates, at=None):
        """Play {queue: share of the capacity}; ``at``: number of the only entry."""
        for _ in range(round(seconds / STEP_S)):
            if self._steps % PROBE_STEPS == 0:
                self.exchange_digests()
            self._steps += 1
            for queue, share in rates.items():
                _, tasks, run_s = QUEUES[queue]
                self._due[queue] += share * CORES * STEP_S / (tasks * run_s)
                while self._due[queue] >= 1:
                    self._due[queue] -= 1
                    self._submit(queue, at)
            self._end_runs()
            self.site.advance(STEP_S, STEP_S)
            self._report_usage()
            self._record_answers()

    def _report_usage(self):
        for agent in self.agents:
            usage = usage_reports.measure_usage(agent.state)
            for entry in self.entries:
                stream = self.site.stream_numbers.get((entry.name, agent.name))
                report = wire.RoomReport(*usage.foreign_to(stream))
                deliver_to_owner(entry.owner, agent.name, report, self.site.now)
            self.site.deliver_all()

    def _submit(self, queue, at):
        priority, tasks, run_s = QUEUES[queue]
        entry = self.rng.choice(self.entries) if at is None else self.entries[at]
        record = create_job_record(tasks, 1000, run_s, priority=priority)
        record.queue = queue
        objective = 1.6 * run_s + 0.06
        caller = Caller(queue, self.site.now, objective)
        self.callers.append(caller)
        job = f"{len(self.callers):016x}"
        entry.submit_best_effort(caller, self.site.now, job, record, 10.0)
        self.site.deliver_all()

    def _end_runs(self):
        by_length = {8: 0.1, 2: 0.35, 4: 1.6}
        for agent in self.agents:
            if agent.down_until is not None:
                continue
            for name, started_at in list(agent.worker.running.items()):
                tasks = QUEUES[self.callers[int(name.job, 16) - 1].queue][1]
                if self.site.now - started_at >= by_length[tasks] - 1e-6:
                    agent.worker.end_run(name)

    def _record_answers(self):
        for entry in self.entries:
            for caller, outcome in entry.answers:
                caller.answered_at, caller.outcome = self.site.now, outcome
            entry.answers.clear()

    def share(self, condition, queue=None):
        """Return the share of the callers (of a queue) for whom the condition holds."""
        callers = [c for c in self.callers if queue in (None, c.queue)]
        return sum(map(condition, callers)) / max(len(callers), 1)

    def served_cores(self, queue, seconds):
        """Return the mean cores that served a queue, as a share of the capacity."""
        _, tasks, run_s = QUEUES[queue]
        served = [
            c
            for c in self.callers
            if c.queue == queue and c.outcome is Outcome.SUCCEEDED
        ]
        return len(served) * tasks * run_s / seconds / CORES
