"""Random walks through the actions, for long runs and for fixed seeds."""

import random

from tests.fuzz import actions
from tests.fuzz.actions import ACTIONS
from tests.fuzz.oracle import Violation
from tests.fuzz.world import World
from turmericknot.dispatch import scheduler

SETTLE_S = 14.0  # longer than any deadline

# Every other walk is calm: work gets further before the next fault.
CALM = {"flow": 6, "deliver_some": 3, "read_all": 3, "land": 2, "connect_all": 2}

_actions = list(ACTIONS)
_weights = list(ACTIONS.values())
_calm = [weight * CALM.get(a.__name__, 1) for a, weight in ACTIONS.items()]


def walk(seed, steps=150, policy=scheduler, sleep=1):
    """Walk; return the world. Raise Violation with the seed and the step.

    ``sleep`` multiplies the weight of the long waits in which keys expire.
    """
    rng = random.Random(seed)
    world = World(seed, policy)
    weights = list(_calm if seed % 2 else _weights)
    weights[_actions.index(actions.sleep)] *= sleep
    try:
        for action in rng.choices(_actions, weights, k=steps):
            world.step += 1
            action(world, rng.randrange)
        finish(world)
    except Violation as violation:
        text = f"seed {seed} step {world.step}: {violation}"
        raise Violation(text) from None
    return world


def finish(world):
    """Heal everything; every request at a living entry must then be answered."""
    world.step += 1
    world.heal()
    world.run_without_faults(SETTLE_S)
    if any(attempt.kind == "submit" for attempt in world.unanswered()):
        raise Violation("a request was never answered")
