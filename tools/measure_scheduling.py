"""Measure the decisions of an owner on the platform: time, messages and their sizes.

Run ``python -m tools.measure_scheduling``; it prints a row for each size.
"""

import time

from turmericknot.scheduling import besteffort, owner as decisions, reports, runs
from turmericknot.scheduling.commands import SendMessage
from turmericknot.scheduling.jobs import JobRecord, RunEnd, StepSpec
from turmericknot.wire import codec, shard_messages as wire

AGENTS = (11, 77, 690)
JOBS = 600
TASKS = 8
CPU = 1000
WORKER_CPU = 64_000


def create_owner(agents):
    """Return an owner with connected agents and its shard."""
    owner = decisions.create_owner()
    shard = besteffort.open_best_effort_shard(owner, 1)
    for number in range(agents):
        name = f"side-{number}"
        worker = wire.WorkerReport("l@1", "s", True, WORKER_CPU, 1 << 20, 0, ["a"])
        hello = wire.AgentHello(1, name, "b", "d", worker)
        reports.agent_connected(owner, hello, 0.0)
        reports.grant_request_received(owner, name, 1, 0.0)
        reports.inventory_reported(owner, name, shard.number, 1, [], 0.0)
    owner.take_commands()
    return owner, shard


def measure(agents):
    """Return (microseconds a task, bytes a task to and from agents)."""
    owner, shard = create_owner(agents)
    began = time.process_time()
    size = tasks = 0
    for number in range(JOBS):
        step = StepSpec(TASKS, CPU, 64, 0, 0.2)
        record = JobRecord("q", "s", 0, 0.0, 0, attempts=3, spec="x" * 80, steps=[step])
        job = f"{number:016x}"
        besteffort.run_job(owner, shard, job, record, number, 9.0, 0.0)
        runs.schedule_tasks(owner, 0.0)
        for command in owner.take_commands():
            if not isinstance(command, SendMessage):
                continue
            size += len(codec.encode_message(command.message))
            if isinstance(command.message, wire.StartRuns):
                tasks += len(command.message.runs)
                size += end_runs(owner, command, shard)
    seconds = time.process_time() - began
    return seconds / tasks * 1e6, size / tasks


def end_runs(owner, command, shard):
    """Report the ordered runs as done; return the bytes of the report."""
    size = 0
    for number, run in enumerate(command.message.runs, 1):
        name = wire.RunName(run.job, run.step, run.index, run.run)
        end = wire.EndedRun(name, number, RunEnd.DONE, 200.0)
        size += len(codec.encode_message(wire.RunsEnded(shard.number, "l@1", [end])))
        reports.runs_ended(owner, command.agent, shard.number, "l@1", [end], 0.0)
    return size


def main():
    """Print the table."""
    request = len(codec.encode_message(wire.GrantRequest(1000)))
    shards = [wire.ShardEpoch(1 << 31, 1)]
    grant = len(codec.encode_message(wire.Grant(1000, shards)))
    print(f"grant: request {request} bytes, answer {grant} bytes, without framing")
    print("agents  us/task  bytes/task")
    for agents in AGENTS:
        micros, size = measure(agents)
        print(f"{agents:6}  {micros:7.0f}  {size:10.0f}")


if __name__ == "__main__":
    main()
