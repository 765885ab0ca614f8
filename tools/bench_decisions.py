"""Measure the decisions per second of a scheduler at full size on one core.

Usage: python -m tools.bench_decisions [--agents=690] [--teams=250] [--tasks=200000]
                                       [--step=17] [--job_tasks=100] [--growth]

All slots are granted to one entry and every team has waiting tasks. Each step ends
``step`` running tasks and requests the next assignments. The measured CPU time covers
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

SLOTS_PER_AGENT = 8
FAILURE_DOMAINS = 5
STEP_S = 0.001
RUN_MS = 325.0  # keeps 5,520 slots busy at 17,000 starts/s
BACKLOG_JOBS_PER_TEAM = 2


class SchedulerBenchmark:
    """A scheduler with connected agents, teams and a constant backlog."""

    def __init__(self, agents, teams, job_tasks):
        self.rng = random.Random(1)
        settings = EntrySettings("e1", "d0", "r1")
        self.state = scheduler.create_scheduler(settings, self.rng)
        self.teams = [f"team-{number:03}" for number in range(teams)]
        tree = {"teams": {name: {"weight": 1 + len(name) % 3} for name in self.teams}}
        scheduler.config_changed(self.state, 1, tree, 0.0)
        for number in range(agents):
            self._connect_agent(number)
        self.job_tasks, self.submitted_jobs, self.now = job_tasks, 0, 0.0
        self.running, self.decision_count, self.refused_jobs = [], 0, 0
        self.cpu_s = Counter()

    def _connect_agent(self, number):
        name = f"agent-{number:03}"
        domain = f"d{number % FAILURE_DOMAINS}"
        hello = Hello(
            1, name, name, name, domain, "r1", SLOTS_PER_AGENT, 16.0, 32768, 1, 1
        )
        scheduler.agent_joined(self.state, number, hello, 0.0)
        scheduler.set_rostered(self.state, number, True, 0.0)
        scheduler.set_window(self.state, number, Window(SLOTS_PER_AGENT, 1), 0.0)

    def timed_call(self, name, function, *arguments):
        start = process_time()
        result = function(self.state, *arguments, self.now)
        self.cpu_s[name] += process_time() - start
        return result

    def submit_job(self, team):
        self.submitted_jobs += 1
        tasks = [Task(index, b"", 300.0) for index in range(self.job_tasks)]
        identifier = self.submitted_jobs.to_bytes(16, "big")
        spec = JobSpec(identifier, team, "", 1e9, 1e6, "check", True, tasks)
        if self.timed_call("admit", scheduler.admit, spec) is not None:
            self.refused_jobs += 1
            return
        added = (spec, range(self.job_tasks), self.now + 1e6, True)
        self.timed_call("add_job", scheduler.add_job, *added)

    def step(self, ended):
        """End ``ended`` random running tasks and start waiting tasks in their place."""
        self.now += STEP_S
        ended_tasks = self._pop_random_running(ended)
        start = process_time()
        for stream, job, index in ended_tasks:
            scheduler.task_done(self.state, stream, job, index, 0, RUN_MS, self.now)
        self.cpu_s["task_done"] += process_time() - start
        assigned = self.timed_call("next_assignments", scheduler.next_assignments)
        start = process_time()
        for assignment in assigned:
            scheduler.assignment_demand(self.state, assignment.stream)
        self.cpu_s["waiting"] += process_time() - start
        for assignment in assigned:
            self.decision_count += len(assignment.indexes)
            self.running += [
                (assignment.stream, assignment.job, index)
                for index in assignment.indexes
            ]

    def _pop_random_running(self, count):
        chosen_tasks = []
        for _ in range(min(count, len(self.running))):
            position = int(self.rng.random() * len(self.running))
            self.running[position], chosen_task = (
                self.running[-1],
                self.running[position],
            )
            self.running.pop()
            chosen_tasks.append(chosen_task)
        return chosen_tasks

    def fill_backlog(self):
        for name in self.teams:
            team = self.state.teams[name]
            while team.waiting < BACKLOG_JOBS_PER_TEAM * self.job_tasks:
                self.submit_job(name)

    def run(self, tasks, step):
        """Return decisions per CPU second, and CPU microseconds of each function."""
        self.fill_backlog()
        self.step(0)
        self.cpu_s.clear()
        self.decision_count = 0
        while self.decision_count < tasks:
            for _ in range(50):
                self.step(step)
            self.fill_backlog()
        total = sum(self.cpu_s.values())
        by_function = {
            name: round(cpu_s / self.decision_count * 1e6, 2)
            for name, cpu_s in self.cpu_s.items()
        }
        return {
            "decisions_per_s": round(self.decision_count / total),
            "us_per_decision": by_function,
            "refused_jobs": self.refused_jobs,
        }


def state_bytes(agents, teams, job_tasks):
    """Return the memory in bytes of the scheduler while every slot runs a task."""
    tracemalloc.start()
    benchmark = SchedulerBenchmark(agents, teams, job_tasks)
    benchmark.fill_backlog()
    benchmark.step(0)
    benchmark.running.clear()
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held_bytes


def main(agents=690, teams=250, tasks=200_000, step=17, job_tasks=100, growth=False):
    """Run the measurement; with ``growth`` also at twice the agents and teams."""
    sizes = [(agents, teams)]
    if growth:
        sizes += [(2 * agents, teams), (agents, 2 * teams), (2 * agents, 2 * teams)]
    for size in sizes:
        figures = SchedulerBenchmark(*size, job_tasks).run(tasks, step)
        figures["state_bytes"] = state_bytes(*size, job_tasks)
        print(json.dumps({"agents": size[0], "teams": size[1], **figures}), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
