"""Test harness: a scheduler with agents that grant it all of their slots."""

import random

from turmericknot.conf.schema import EntrySettings, PolicySettings
from turmericknot.dispatch import scheduler
from turmericknot.dispatch.tasks import JobSpec, Task
from turmericknot.wire.messages import Hello, Window

TREE = {"teams": {name: {} for name in ("red", "blue")}}


def create_hello(number, domain="d1", region="r1", slots=8, **resources):
    sizes = {"processors": 16.0, "memory_mb": 32768, "accelerators": 0, **resources}
    name = f"agent-{number}"
    return Hello(
        1, name, f"{name}#0", name, domain, region, slots, **sizes, config_version=1
    )


def job_spec(number, team="red", count=1, **fields):
    needs = fields.pop("needs", {})
    tasks = [
        Task(i, b"payload", fields.get("declared_ms", 100.0), **needs)
        for i in range(count)
    ]
    fields.pop("declared_ms", None)
    values = {"deadline_s": 60.0, "task_class": "check", "idempotent": True, **fields}
    identifier = number.to_bytes(16, "big")
    return JobSpec(identifier, team, f"key-{number}", 1e9, tasks=tasks, **values)


class Site:
    """A scheduler with connected agents that grant it all of their slots."""

    def __init__(self, agents=2, slots=4, tree=TREE, policy=None, **resources):
        settings = EntrySettings("e1", "d1", "r1", policy=policy or PolicySettings())
        self.state = scheduler.create_scheduler(settings, random.Random(1))
        if tree is not None:
            scheduler.config_changed(self.state, 1, tree, 0.0)
        for stream in range(agents):
            self.join(stream, slots=slots, **resources)
        self.now = 0.0
        self.jobs = 0

    def join(self, stream, slots=4, now=0.0, **fields):
        scheduler.agent_joined(
            self.state, stream, create_hello(stream, slots=slots, **fields), now
        )
        scheduler.set_rostered(self.state, stream, True, now)
        scheduler.set_window(self.state, stream, Window(slots, 1), now)

    def add(self, count=1, team="red", claimed=True, **fields):
        self.jobs += 1
        spec = job_spec(self.jobs, team, count, **fields)
        deadline = self.now + spec.deadline_s
        scheduler.add_job(self.state, spec, range(count), deadline, claimed, self.now)
        return spec.job

    def start(self):
        """Return the started tasks as (stream, job, index)."""
        return [
            (a.stream, a.job, index)
            for a in scheduler.next_assignments(self.state, self.now)
            for index in a.indexes
        ]

    def finish(self, task, status=0, run_ms=100.0):
        scheduler.task_done(self.state, *task, status, run_ms, self.now)
