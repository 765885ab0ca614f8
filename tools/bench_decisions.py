"""Measure the scheduler's decisions per second at the full size, on one core.

Usage: python -m tools.bench_decisions [--agents=690] [--teams=250] [--tasks=200000]
                                       [--step=17] [--job_tasks=100] [--growth]

Every slot is granted to one entry and all teams have waiting work. A step ends
``step`` running tasks and asks for the next assignments; the time counted covers
``admit``, ``add_job``, ``task_done``, ``next_assignments`` and ``assignment_demand``.
"""

import json
import random
import tracemalloc
from collections import Counter
from time import process_time

import fire

from turmericknot.conf.schema import EntrySettings
from turmericknot.dispatch import scheduler
from turmericknot.dispatch.tasks import JobSpec, Task
from turmericknot.wire.messages import Hello, Window

SLOTS = 8
DOMAINS = 5
STEP_S = 0.001
RUN_MS = 325.0  # 5,520 slots at 17,000 starts/s
BACKLOG_JOBS = 2  # waiting jobs per team


class Bench:
    """One scheduler with agents, teams and a standing backlog."""

    def __init__(self, agents, teams, job_tasks):
        self.rng = random.Random(1)
        settings = EntrySettings("e1", "d0", "r1")
        self.state = scheduler.create_scheduler(settings, self.rng)
        self.teams = [f"team-{number:03}" for number in range(teams)]
        tree = {"teams": {name: {"weight": 1 + len(name) % 3} for name in self.teams}}
        scheduler.config_changed(self.state, 1, tree, 0.0)
        for number in range(agents):
            self._join(number)
        self.job_tasks, self.jobs, self.now = job_tasks, 0, 0.0
        self.running, self.decisions, self.refused = [], 0, 0
        self.spent = Counter()

    def _join(self, number):
        name = f"agent-{number:03}"
        domain = f"d{number % DOMAINS}"
        hello = Hello(1, name, name, name, domain, "r1", SLOTS, 16.0, 32768, 1, 1)
        scheduler.agent_joined(self.state, number, hello, 0.0)
        scheduler.set_rostered(self.state, number, True, 0.0)
        scheduler.set_window(self.state, number, Window(SLOTS, 1), 0.0)

    def timed(self, name, function, *arguments):
        start = process_time()
        result = function(self.state, *arguments, self.now)
        self.spent[name] += process_time() - start
        return result

    def submit(self, team):
        self.jobs += 1
        tasks = [Task(index, b"", 300.0) for index in range(self.job_tasks)]
        identifier = self.jobs.to_bytes(16, "big")
        spec = JobSpec(identifier, team, "", 1e9, 1e6, "check", True, tasks)
        if self.timed("admit", scheduler.admit, spec) is not None:
            self.refused += 1
            return
        added = (spec, range(self.job_tasks), self.now + 1e6, True)
        self.timed("add_job", scheduler.add_job, *added)

    def step(self, ended):
        """End some running tasks and start others in their place."""
        self.now += STEP_S
        chosen = self._choose(ended)
        start = process_time()
        for stream, job, index in chosen:
            scheduler.task_done(self.state, stream, job, index, 0, RUN_MS, self.now)
        self.spent["task_done"] += process_time() - start
        assigned = self.timed("next_assignments", scheduler.next_assignments)
        start = process_time()
        for assignment in assigned:
            scheduler.assignment_demand(self.state, assignment.stream)
        self.spent["waiting"] += process_time() - start
        for assignment in assigned:
            self.decisions += len(assignment.indexes)
            self.running += [
                (assignment.stream, assignment.job, index)
                for index in assignment.indexes
            ]

    def _choose(self, count):
        chosen = []
        for _ in range(min(count, len(self.running))):
            position = int(self.rng.random() * len(self.running))
            self.running[position], last = self.running[-1], self.running[position]
            self.running.pop()
            chosen.append(last)
        return chosen

    def top_up(self):
        for name in self.teams:
            team = self.state.teams[name]
            while team.waiting < BACKLOG_JOBS * self.job_tasks:
                self.submit(name)

    def run(self, tasks, step):
        """Return decisions per second of CPU time and microseconds by function."""
        self.top_up()
        self.step(0)
        self.spent.clear()
        self.decisions = 0
        while self.decisions < tasks:
            for _ in range(50):
                self.step(step)
            self.top_up()
        total = sum(self.spent.values())
        by_function = {
            name: round(spent / self.decisions * 1e6, 2)
            for name, spent in self.spent.items()
        }
        return {
            "decisions_per_s": round(self.decisions / total),
            "us_per_decision": by_function,
            "refused_jobs": self.refused,
        }


def state_bytes(agents, teams, job_tasks):
    """Return the bytes that the scheduler holds with all slots running."""
    tracemalloc.start()
    bench = Bench(agents, teams, job_tasks)
    bench.top_up()
    bench.step(0)
    bench.running.clear()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held


def main(agents=690, teams=250, tasks=200_000, step=17, job_tasks=100, growth=False):
    """Run the measurement; with ``growth`` also at twice the agents and teams."""
    sizes = [(agents, teams)]
    if growth:
        sizes += [(2 * agents, teams), (agents, 2 * teams), (2 * agents, 2 * teams)]
    for size in sizes:
        figures = Bench(*size, job_tasks).run(tasks, step)
        figures["state_bytes"] = state_bytes(*size, job_tasks)
        print(json.dumps({"agents": size[0], "teams": size[1], **figures}), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
