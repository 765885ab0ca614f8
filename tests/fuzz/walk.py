"""Random walks: sequences of weighted random actions, reproducible by seed."""

import random

from tests.fuzz import actions
from tests.fuzz.actions import ACTIONS
from tests.fuzz.oracle import InvariantViolation
from tests.fuzz.world import World
from turmericknot.dispatch import scheduler

RECOVERY_S = 14.0  # longer than any deadline of a submission

# Walks with an odd seed multiply the weights of these actions, so that jobs get further
# between two faults.
PROGRESS_FACTORS = {
    "process_pending": 6,
    "deliver_some_messages": 3,
    "read_log_everywhere": 3,
    "complete_append": 2,
    "connect_all_pairs": 2,
}

_actions = list(ACTIONS)
_weights = list(ACTIONS.values())
_progress_weights = [
    weight * PROGRESS_FACTORS.get(action.__name__, 1)
    for action, weight in ACTIONS.items()
]


def walk(seed, steps=150, policy=scheduler, expiry_weight=1):
    """Run a walk and return its world, or raise InvariantViolation with seed and step.

    ``expiry_weight`` multiplies the weight of the long waits in which keys expire.
    """
    rng = random.Random(seed)
    world = World(seed, policy)
    weights = list(_progress_weights if seed % 2 else _weights)
    weights[_actions.index(actions.advance_toward_expiry)] *= expiry_weight
    try:
        for action in rng.choices(_actions, weights, k=steps):
            world.step += 1
            action(world, rng.randrange)
        finish_walk(world)
    except InvariantViolation as error:
        text = f"seed {seed} step {world.step}: {error}"
        raise InvariantViolation(text) from None
    return world


def finish_walk(world):
    """Clear all faults, then check that running entries answer every submission."""
    world.step += 1
    world.clear_faults()
    world.run_without_faults(RECOVERY_S)
    if any(attempt.kind == "submit" for attempt in world.unanswered_attempts()):
        raise InvariantViolation("a submission was never answered")
