"""Random walks: sequences of weighted random actions, reproducible by seed."""

import random

from tests.scheduling.fuzz.oracle import InvariantViolation
from tests.scheduling.fuzz.worker_model import WORKER_CPU
from tests.scheduling.fuzz.world import ENTRY_COUNT, World
from turmericknot.scheduling.commands import Outcome

RECOVERY_S = 14.0  # longer than a recovery after the longest grant
MAX_JOBS = 40


def _submit_best_effort(world, rng):
    if len(world.oracle.jobs) < MAX_JOBS:
        world.submit_best_effort(
            rng.choice(world.entries), world.new_job(False, rng.randint(1, 3))
        )


def _submit_durable(world, rng):
    entry = world.shard_owner
    if entry is not None and len(world.oracle.jobs) < MAX_JOBS:
        world.submit_durable(entry, world.new_job(True, rng.randint(1, 3)))


def _resubmit_durable(world, rng):
    durable_jobs = [
        job for job, submission in world.oracle.jobs.items() if submission.is_durable
    ]
    entry = world.shard_owner
    if durable_jobs and entry is not None:
        world.submit_durable(entry, rng.choice(durable_jobs))


def _cancel(world, rng):
    durable_jobs = [
        job for job, submission in world.oracle.jobs.items() if submission.is_durable
    ]
    entry = world.shard_owner
    if durable_jobs and entry is not None:
        world.cancel(entry, rng.choice(durable_jobs))


def _query_state(world, rng):
    durable_jobs = [
        job for job, submission in world.oracle.jobs.items() if submission.is_durable
    ]
    if durable_jobs:
        world.query_state(rng.choice(world.entries), rng.choice(durable_jobs))


def _disconnect_caller(world, rng):
    if world.waiting_callers:
        world.disconnect_caller(rng.choice(world.waiting_callers))


def _finish_runs(world, rng):
    world.finish_runs(rng.choice(world.agents), 0.5)


def _advance_short(world, rng):
    world.advance_time(0.05 * rng.randint(1, 3), finish_share=0.05)


def _advance_long(world, rng):
    world.advance_time(rng.uniform(0.3, 2.5), finish_share=0.02)


def _assign_shard(world, rng):
    world.assign_shard(rng.choice(world.entries))


def _crash_entry(world, rng):
    world.crash_entry(rng.choice(world.entries))


def _start_entries(world, rng):
    for entry in world.entries:
        if entry.owner is None:
            world.start_entry(entry)


def _crash_agent(world, rng):
    world.crash_agent(rng.choice(world.agents))


def _start_agents(world, rng):
    for agent in world.agents:
        if agent.state is None:
            agent.start(world.now)


def _crash_worker(world, rng):
    agent = rng.choice(world.agents)
    # The crash also loses the starts that the worker has not carried out yet.
    agent.delayed_starts.clear()
    agent.worker.crash(world.now)


def _pause_process(world, rng):
    rng.choice([*world.entries, *world.agents]).is_paused = True


def _resume_processes(world, rng):
    for process in (*world.entries, *world.agents):
        process.is_paused = False


def _suspend_link(world, rng):
    if world.links:
        rng.choice(list(world.links.values())).is_suspended = True


def _resume_links(world, rng):
    for link in world.links.values():
        link.is_suspended = False


def _break_link(world, rng):
    if world.links:
        world.break_link(rng.choice(list(world.links.values())))


def _connect_all(world, rng):
    world.connect_all()


def _delay_starts(world, rng):
    rng.choice(world.agents).delayed_share = rng.choice((0.0, 0.5))


def _set_store_availability(world, rng):
    world.store.is_up = rng.random() < 0.7


def _toggle_store_access(world, rng):
    entry = rng.choice(world.entries)
    entry.can_reach_store = not entry.can_reach_store


def _crash_all(world, rng):
    for entry in world.entries:
        world.crash_entry(entry)
    for agent in world.agents:
        world.crash_agent(agent)


ACTIONS = {
    _submit_best_effort: 10,
    _submit_durable: 8,
    _resubmit_durable: 2,
    _cancel: 2,
    _query_state: 3,
    _disconnect_caller: 2,
    _finish_runs: 8,
    _advance_short: 14,
    _advance_long: 4,
    _assign_shard: 3,
    _crash_entry: 2,
    _start_entries: 3,
    _crash_agent: 2,
    _start_agents: 3,
    _crash_worker: 1,
    _pause_process: 2,
    _resume_processes: 3,
    _suspend_link: 2,
    _resume_links: 2,
    _break_link: 2,
    _connect_all: 5,
    _delay_starts: 2,
    _set_store_availability: 2,
    _toggle_store_access: 2,
    _crash_all: 0.3,
}


def _crash_worker_for_seconds(world, rng):
    rng.choice(world.agents).crash_worker(world.now, rng.uniform(0.2, 4.0))


def _cut_off_worker(world, rng):
    rng.choice(world.agents).is_worker_reachable = False


def _reach_workers(world, rng):
    for agent in world.agents:
        agent.is_worker_reachable = True


# Workers that accept no connections: crashed, or cut off and running on.
UNREACHABLE_WORKERS = {
    **ACTIONS,
    _crash_worker_for_seconds: 3,
    _cut_off_worker: 3,
    _reach_workers: 4,
}


def _submit_low_priority(world, rng):
    if len(world.oracle.jobs) < MAX_JOBS:
        wait_s = rng.choice((1.0, 3.0))
        job_id = world.new_job(False, rng.randint(1, 3), wait_s, priority=1)
        world.submit_best_effort(rng.choice(world.entries), job_id)


def _submit_urgent(world, rng):
    if len(world.oracle.jobs) < MAX_JOBS:
        job_id = world.new_job(False, 3, 60.0, cpu=WORKER_CPU, estimate=2.0)
        world.submit_best_effort(rng.choice(world.entries), job_id)


def _resubmit_rejected(world, rng):
    entry = rng.choice(world.entries)
    jobs = [
        job
        for job, submission in world.oracle.jobs.items()
        if submission.is_rejected and not submission.is_durable
    ]
    if jobs and entry.owner is not None:  # else the next action might submit it too
        world.submit_best_effort(entry, rng.choice(jobs))


def _restart_starting_worker(world, rng):
    agents = [agent for agent in world.agents if agent.has_unlisted_runs]
    if agents:
        rng.choice(agents).crash_worker(world.now, rng.choice((0.0, 0.1, 0.4)))


# Workers that are back at once, right after starts, beside jobs that get too late.
RESTARTED_WORKERS = {
    **ACTIONS,
    _submit_low_priority: 10,
    _submit_urgent: 4,
    _resubmit_rejected: 3,
    _restart_starting_worker: 8,
    _crash_worker: 2,
    _delay_starts: 4,
}


def _replace_owner(world, rng):
    """Cut the owner of the shard off from the store, which chooses another one."""
    owner = world.shard_owner
    if owner is None:
        return
    others = [entry for entry in world.entries if entry is not owner]
    owner.can_reach_store = False
    world.assign_shard(rng.choice(others))


def _restore_store_access(world, rng):
    for entry in world.entries:
        entry.can_reach_store = True


# Owners of durable jobs that are replaced while they cannot reach the store.
REPLACED_OWNERS = {
    **ACTIONS,
    _submit_durable: 16,
    _replace_owner: 4,
    _restore_store_access: 2,
}


def walk(seed, steps, actions=ACTIONS, entries_per_agent=ENTRY_COUNT):
    """Run a walk and return its world.

    Raises InvariantViolation with the seed and the step.
    """
    rng = random.Random(seed)
    step = 0
    world = World(seed, entries_per_agent)
    try:
        for action in rng.choices(list(actions), list(actions.values()), k=steps):
            step += 1
            action(world, rng)
            world.process_pending()
        finish_walk(world)
    except InvariantViolation as error:
        raise InvariantViolation(f"seed {seed} step {step}: {error}") from None
    return world


def finish_walk(world):
    """Clear all faults, let all runs end, and check every accepted job."""
    world.clear_faults()
    world.resubmissions.clear()
    # Lets previous owners learn that they are fenced.
    world.advance_time(1.0, finish_share=0.3)
    if world.shard_owner is None:
        world.assign_shard(world.entries[0])
    owner = world.shard_owner
    world.advance_time(RECOVERY_S, finish_share=0.3)
    for job_id, submission in world.oracle.jobs.items():
        if submission.is_durable:
            world.oracle.check_final_state(
                job_id, final_state(owner, submission, job_id)
            )


def final_state(owner, submission, job_id):
    """Return the state of a durable job as its owner shows it."""
    job = owner.owner.shards[0].jobs.get(job_id)
    if job is None:
        return Outcome.GONE
    return {1: Outcome.SUCCEEDED, 2: Outcome.FAILED, 3: Outcome.CANCELLED}.get(
        job.published_state, Outcome.RUNNING
    )
