"""Measure CPU time and message bytes per task of a platform owner's scheduling.

Run ``python -m tools.measure_scheduling``; it prints one row per number of agents.
"""

import time

from turmericknot.scheduling import besteffort, owner as owners, reports, runs
from turmericknot.scheduling.commands import SendMessage
from turmericknot.scheduling.jobs import JobRecord, RunEnd, StepSpec
from turmericknot.wire import codec, shard_messages as wire

AGENT_COUNTS = (11, 77, 690)
JOBS = 600
TASKS_PER_JOB = 8
TASK_CPU_MILLICORES = 1000
WORKER_CPU_MILLICORES = 64_000


def create_owner_with_agents(agents):
    """Return an owner with connected agents, and its best-effort shard."""
    owner = owners.create_owner()
    shard = besteffort.open_best_effort_shard(owner, 1)
    for number in range(agents):
        name = f"side-{number}"
        worker = wire.WorkerReport(
            "l@1", "s", True, WORKER_CPU_MILLICORES, 1 << 20, 0, ["a"]
        )
        hello = wire.AgentHello(1, name, "b", "d", worker)
        reports.agent_connected(owner, hello, 0.0)
        reports.grant_request_received(owner, name, 1, 0.0)
        reports.inventory_reported(owner, name, shard.number, 1, [], 0.0)
    owner.pop_commands()
    return owner, shard


def measure_scheduling(agents):
    """Return (CPU microseconds per task, bytes per task to and from agents)."""
    owner, shard = create_owner_with_agents(agents)
    started_at = time.process_time()
    message_bytes = tasks = 0
    for number in range(JOBS):
        step = StepSpec(TASKS_PER_JOB, TASK_CPU_MILLICORES, 64, 0, 0.2)
        record = JobRecord("q", "s", 0, 0.0, 0, attempts=3, spec="x" * 80, steps=[step])
        job = f"{number:016x}"
        besteffort.run_job(owner, shard, job, record, number, 9.0, 0.0)
        runs.schedule_tasks(owner, 0.0)
        for command in owner.pop_commands():
            if not isinstance(command, SendMessage):
                continue
            message_bytes += len(codec.encode_message(command.message))
            if isinstance(command.message, wire.StartRuns):
                tasks += len(command.message.runs)
                message_bytes += report_runs_done(owner, command, shard)
    seconds = time.process_time() - started_at
    return seconds / tasks * 1e6, message_bytes / tasks


def report_runs_done(owner, command, shard):
    """Report the runs of a StartRuns message as done; return the bytes sent."""
    message_bytes = 0
    for number, run in enumerate(command.message.runs, 1):
        name = wire.RunName(run.job, run.step, run.index, run.run)
        end = wire.EndedRun(name, number, RunEnd.DONE, 200.0)
        message_bytes += len(
            codec.encode_message(wire.RunsEnded(shard.number, "l@1", [end]))
        )
        reports.runs_ended(owner, command.agent, shard.number, "l@1", [end], 0.0)
    return message_bytes


def main():
    """Print the sizes of grant messages and the figures for each number of agents."""
    request = len(codec.encode_message(wire.GrantRequest(1000)))
    shards = [wire.ShardEpoch(1 << 31, 1)]
    grant = len(codec.encode_message(wire.Grant(1000, shards)))
    print(f"grant: request {request} bytes, answer {grant} bytes, without framing")
    print("agents  us/task  bytes/task")
    for agents in AGENT_COUNTS:
        us_per_task, message_bytes = measure_scheduling(agents)
        print(f"{agents:6}  {us_per_task:7.0f}  {message_bytes:10.0f}")


if __name__ == "__main__":
    main()
