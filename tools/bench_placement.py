"""Measure the processor time of the choice of a worker, and of a decision to wait.

Usage: python -m tools.bench_placement [--rounds=2000]

All workers are nearly full, in racks of eight; every task is urgent. Prints
lists of agents, rack of the data, and microseconds of the choice and of the decision.
"""

import json
import random
from functools import partial
from time import process_time
from timeit import timeit

import fire

from turmericknot.scheduling import besteffort, offers, owner as owners, reports
from turmericknot.scheduling.jobs import JobRecord, StepSpec, create_job
from turmericknot.wire import shard_messages as wire

NOW = 100.0
CPU = 10_000
AGENTS_PER_RACK = 8


def create_owner(agents):
    """Return an owner of nearly full workers, and its shard."""
    owner = owners.create_owner(None, random.Random(1), NOW - 60.0, far_factor=2.0)
    shard = besteffort.open_best_effort_shard(owner, 1)
    for number in range(agents):
        name, labels = f"agent-{number}", [f"rack-{number // AGENTS_PER_RACK}"]
        worker = wire.WorkerReport("l@1", "s", True, CPU, 1 << 20, 0, labels)
        reports.agent_connected(owner, wire.AgentHello(1, name, "b", "d", worker), NOW)
        reports.grant_request_received(owner, name, 1, NOW)
        reports.inventory_reported(owner, name, shard.number, 1, [], NOW)
        # The first rack is as full as urgent tasks may make it.
        owner.agents[name].foreign_cpu = CPU * 1.2 if number < AGENTS_PER_RACK else CPU
    return owner, shard


def measure(agents, data_rack, rounds):
    """Return microseconds of the choice, and of the decision to wait after it."""
    owner, shard = create_owner(agents)
    offer = offers.create_offer(owner, owner.agents, lambda *names: True, NOW)
    step = StepSpec(1, cpu=1000, memory=1, estimate=0.1, data_rack=data_rack)
    record = JobRecord("q", "s", 0, 0.0, 0, objective=1.0, steps=[step])
    task = create_job("j", 0, record, NOW).tasks[0][0]
    choose = partial(offer.choose_agent, shard, task, False)
    calls = choose, partial(offer.pays_to_wait, task, choose())
    seconds = [timeit(call, timer=process_time, number=rounds) for call in calls]
    return [round(each / rounds * 1e6, 1) for each in seconds]


def main(rounds=2000):
    """Print the figures of each size, without and with data."""
    for agents in (60, 690):
        for rack in ("", "rack-0"):
            figures = measure(agents, rack, rounds)
            print(json.dumps([agents, rack, *figures]), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
