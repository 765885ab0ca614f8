"""Entries and agents under random combinations of faults, checked by the oracle."""

import os
import random

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.fuzz import fifo
from tests.fuzz.actions import ACTIONS
from tests.fuzz.knockouts import KNOCKOUTS
from tests.fuzz.oracle import InvariantViolation
from tests.fuzz.walk import finish_walk, walk
from tests.fuzz.world import World

STEPS = 150
WALKS = 150
FIRST_SEED = 0

# Knockout -> (seed, expiry_weight) of a walk that fails with it. These walks use the
# policy in fifo.py, so that a change of the scheduler does not change them.
KNOCKOUT_WALKS = {
    "skip_fencing": (21, 1),
    "skip_claim": (1, 1),
    "trust_unknown_append": (5, 1),
    "ignore_expiry": (1, 10),
    "forget_results": (15, 1),
    "ignore_roster": (12, 1),
    "refuse_without_check": (3, 1),
    "skip_recall_confirmation": (84, 1),
    "ignore_inventory": (89, 1),
    "ignore_unreachable_peers": (56, 1),
    "trust_forgotten_keys": (58, 10),
}


# Seeds of walks that failed before a fault was fixed, and that fault.
FAILED_WALKS = {
    36000185: "a new owner acknowledged a cancel before the agents had received it",
}


class FaultMachine(RuleBasedStateMachine):
    """Lets Hypothesis choose the actions and their random numbers."""

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
            finish_walk(self.world)


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
def test_knockout_is_detected(name, monkeypatch):
    """Guards against an oracle or a world that does not reveal a fault."""
    seed, expiry_weight = KNOCKOUT_WALKS[name]
    KNOCKOUTS[name](monkeypatch.setattr)
    with pytest.raises(InvariantViolation):
        walk(seed, STEPS, fifo, expiry_weight)


@pytest.mark.parametrize("name", KNOCKOUT_WALKS)
def test_walk_passes_without_knockout(name):
    """Guards against a walk that fails for another reason than its knockout."""
    seed, expiry_weight = KNOCKOUT_WALKS[name]
    walk(seed, STEPS, fifo, expiry_weight)


@pytest.mark.parametrize("seed", FAILED_WALKS)
def test_previously_failed_walk_passes(seed):
    """Guards against the return of the faults in FAILED_WALKS."""
    walk(seed, 2 * STEPS)


@pytest.mark.skipif("FUZZ_LONG" not in os.environ, reason="run by make fuzz")
def test_long_run():
    """Guards against faults in rare combinations of actions; prints its seed."""
    seed = int(os.environ.get("FUZZ_SEED") or random.SystemRandom().randrange(10**9))
    print(f"\nFUZZ_SEED={seed}")
    for offset in range(int(os.environ["FUZZ_LONG"])):
        walk(seed + offset, 2 * STEPS)
