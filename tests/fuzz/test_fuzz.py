"""Entries and agents under faults in any combination, against the oracle."""

import os
import random

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.fuzz import fifo
from tests.fuzz.actions import ACTIONS
from tests.fuzz.knockouts import KNOCKOUTS
from tests.fuzz.oracle import Violation
from tests.fuzz.walk import finish, walk
from tests.fuzz.world import World

STEPS = 150
WALKS = 150
FIRST_SEED = 0

# Knocked-out mechanism -> seed and weight of long waits of a walk that then fails.
# The minimal policy is used, so that the walks do not change with the product's.
KNOCKOUT_WALKS = {
    "fencing": (21, 1),
    "claim": (1, 1),
    "read_back": (5, 1),
    "expiry": (1, 10),
    "result_retention": (15, 1),
    "roster": (12, 1),
    "refusal_check": (3, 1),
    "recall_confirmation": (84, 1),
    "inventory_check": (89, 1),
    "all_peers": (56, 1),
    "remembered": (58, 10),
}


# Seeds of walks that failed once, with the cause.
FAILED_WALKS = {
    36000185: "a new owner acknowledged a cancel before the agents knew of it",
}


class FaultMachine(RuleBasedStateMachine):
    """Let hypothesis choose the actions and their arguments."""

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed):
        self.world = World(seed)

    @rule(
        action=st.sampled_from(
            [a for a, weight in ACTIONS.items() for _ in range(weight)]
        ),
        numbers=st.lists(st.integers(0, 999), min_size=4, max_size=4),
    )
    def act(self, action, numbers):
        self.world.step += 1
        drawn = iter(numbers)
        action(self.world, lambda n: next(drawn, 1) % n)

    def teardown(self):
        if hasattr(self, "world"):
            finish(self.world)


TestFaults = FaultMachine.TestCase
TestFaults.settings = settings(
    max_examples=60,
    stateful_step_count=60,
    derandomize=True,
    phases=(Phase.explicit, Phase.generate),
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


def test_random_walks():
    """Guards against double starts, partial answers and false not_run."""
    for seed in range(FIRST_SEED, FIRST_SEED + WALKS):
        walk(seed, STEPS)


@pytest.mark.parametrize("name", KNOCKOUT_WALKS)
def test_knockout_is_noticed(name, monkeypatch):
    """Guards against an oracle, or a world, that would not notice a fault."""
    seed, sleep = KNOCKOUT_WALKS[name]
    KNOCKOUTS[name](monkeypatch.setattr)
    with pytest.raises(Violation):
        walk(seed, STEPS, fifo, sleep)


@pytest.mark.parametrize("name", KNOCKOUT_WALKS)
def test_walk_of_knockout_holds(name):
    """Guards against the return of a fault on the walk that shows it."""
    seed, sleep = KNOCKOUT_WALKS[name]
    walk(seed, STEPS, fifo, sleep)


@pytest.mark.parametrize("seed", FAILED_WALKS)
def test_walk_that_failed_holds(seed):
    """Guards against the return of the faults in FAILED_WALKS."""
    walk(seed, 2 * STEPS)


@pytest.mark.skipif("FUZZ_LONG" not in os.environ, reason="run by make fuzz")
def test_long_run():
    """Guards against rare combinations; prints its seed."""
    seed = int(os.environ.get("FUZZ_SEED") or random.SystemRandom().randrange(10**9))
    print(f"\nFUZZ_SEED={seed}")
    for offset in range(int(os.environ["FUZZ_LONG"])):
        walk(seed + offset, 2 * STEPS)
