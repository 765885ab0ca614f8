"""Random walks: actions drawn by weight, then everything heals."""

import random

from tests.scheduling.fuzz.oracle import Violation
from tests.scheduling.fuzz.world import World
from turmericknot.scheduling.commands import Outcome

SETTLE_S = 14.0  # longer than a recovery after the longest grant
MAX_JOBS = 40


def _hand_in(world, rng):
    if len(world.oracle.jobs) < MAX_JOBS:
        world.hand_in(
            rng.choice(world.entries), world.new_job(False, rng.randint(1, 3))
        )


def _submit(world, rng):
    entry = world.shard_owner
    if entry is not None and len(world.oracle.jobs) < MAX_JOBS:
        world.submit(entry, world.new_job(True, rng.randint(1, 3)))


def _submit_again(world, rng):
    kept = [job for job, known in world.oracle.jobs.items() if known.is_kept]
    entry = world.shard_owner
    if kept and entry is not None:
        world.submit(entry, rng.choice(kept))


def _cancel(world, rng):
    kept = [job for job, known in world.oracle.jobs.items() if known.is_kept]
    entry = world.shard_owner
    if kept and entry is not None:
        world.cancel(entry, rng.choice(kept))


def _ask(world, rng):
    kept = [job for job, known in world.oracle.jobs.items() if known.is_kept]
    if kept:
        world.ask(rng.choice(world.entries), rng.choice(kept))


def _leave(world, rng):
    if world.callers:
        world.leave(rng.choice(world.callers))


def _finish(world, rng):
    world.finish_runs(rng.choice(world.agents), 0.5)


def _short(world, rng):
    world.advance(0.05 * rng.randint(1, 3), finishing=0.05)


def _long(world, rng):
    world.advance(rng.uniform(0.3, 2.5), finishing=0.02)


def _assign(world, rng):
    world.assign(rng.choice(world.entries))


def _kill_entry(world, rng):
    world.kill_entry(rng.choice(world.entries))


def _start_entries(world, rng):
    for entry in world.entries:
        if entry.owner is None:
            world.start_entry(entry)


def _kill_agent(world, rng):
    world.kill_agent(rng.choice(world.agents))


def _start_agents(world, rng):
    for agent in world.agents:
        if agent.state is None:
            agent.start(world.now)


def _crash_worker(world, rng):
    agent = rng.choice(world.agents)
    agent.late.clear()  # orders that the worker has left aside are lost with it
    agent.worker.crash(world.now)


def _pause(world, rng):
    rng.choice([*world.entries, *world.agents]).is_paused = True


def _resume(world, rng):
    for process in (*world.entries, *world.agents):
        process.is_paused = False


def _silence(world, rng):
    if world.links:
        rng.choice(list(world.links.values())).is_silent = True


def _unsilence(world, rng):
    for link in world.links.values():
        link.is_silent = False


def _cut(world, rng):
    if world.links:
        world.cut(rng.choice(list(world.links.values())))


def _connect(world, rng):
    world.connect_all()


def _late(world, rng):
    rng.choice(world.agents).late_share = rng.choice((0.0, 0.5))


def _store_down(world, rng):
    world.store.is_up = rng.random() < 0.7


def _store_cut(world, rng):
    entry = rng.choice(world.entries)
    entry.reaches_store = not entry.reaches_store


def _everything_dies(world, rng):
    for entry in world.entries:
        world.kill_entry(entry)
    for agent in world.agents:
        world.kill_agent(agent)


ACTIONS = {
    _hand_in: 10,
    _submit: 8,
    _submit_again: 2,
    _cancel: 2,
    _ask: 3,
    _leave: 2,
    _finish: 8,
    _short: 14,
    _long: 4,
    _assign: 3,
    _kill_entry: 2,
    _start_entries: 3,
    _kill_agent: 2,
    _start_agents: 3,
    _crash_worker: 1,
    _pause: 2,
    _resume: 3,
    _silence: 2,
    _unsilence: 2,
    _cut: 2,
    _connect: 5,
    _late: 2,
    _store_down: 2,
    _store_cut: 2,
    _everything_dies: 0.3,
}


def walk(seed, steps):
    """Walk and heal; raise Violation with the seed and the step."""
    rng = random.Random(seed)
    step = 0
    world = World(seed)
    try:
        for action in rng.choices(list(ACTIONS), list(ACTIONS.values()), k=steps):
            step += 1
            action(world, rng)
            world.flow()
        finish(world)
    except Violation as violation:
        raise Violation(f"seed {seed} step {step}: {violation}") from None
    return world


def finish(world):
    """Heal, let all runs end, and check every accepted job."""
    world.heal()
    world.resubmissions.clear()
    world.advance(1.0, finishing=0.3)  # former owners learn that they are fenced off
    if world.shard_owner is None:
        world.assign(world.entries[0])
    owner = world.shard_owner
    world.advance(SETTLE_S, finishing=0.3)
    for job_id, known in world.oracle.jobs.items():
        if known.is_kept:
            world.oracle.check_finished(job_id, final_state(owner, known, job_id))


def final_state(owner, known, job_id):
    """Return the state that the owner shows of a stored job."""
    job = owner.owner.shards[0].jobs.get(job_id)
    if job is None:
        return Outcome.GONE
    return {1: Outcome.SUCCEEDED, 2: Outcome.FAILED, 3: Outcome.CANCELLED}.get(
        job.published_state, Outcome.RUNNING
    )
