"""Owners and agents under faults in any combination, against the oracle."""

import os
import random

import pytest

from tests.scheduling.fuzz.knockouts import KNOCKOUTS
from tests.scheduling.fuzz.oracle import Violation
from tests.scheduling.fuzz.walk import walk

STEPS = 120
WALKS = 100
# Knocked-out mechanism -> seed of a walk that then fails.
KNOCKOUT_WALKS = {
    "give_up_runs_early": 0,
    "lease_without_grants": 43,
    "no_fence_after_a_lost_answer": 34,
    "no_wait_for_former_runs": 4,
    "note_ends_at_once": 0,
    "orders_of_any_epoch": 81,
    "accept_before_it_is_stored": 2,
    "cancel_before_it_is_stored": 12,
    "offer_worker_unseen": 10,
}


def test_random_walks():
    """Guards against double runs, lost jobs, false success and false refusals."""
    for seed in range(WALKS):
        walk(seed, STEPS)


def test_every_knockout_has_a_walk():
    """Guards against a mechanism whose absence nobody would notice."""
    assert set(KNOCKOUT_WALKS) == set(KNOCKOUTS)


@pytest.mark.parametrize("name", KNOCKOUT_WALKS)
def test_knockout_is_noticed(name, monkeypatch):
    """Guards against an oracle, or a world, that would not notice a fault."""
    KNOCKOUTS[name](monkeypatch.setattr)
    with pytest.raises(Violation):
        walk(KNOCKOUT_WALKS[name], STEPS)


@pytest.mark.skipif("FUZZ_LONG" not in os.environ, reason="run by make fuzz")
def test_long_run():
    """Guards against rare combinations; prints its seed."""
    seed = int(os.environ.get("FUZZ_SEED") or random.SystemRandom().randrange(10**9))
    print(f"\nFUZZ_SEED={seed}")
    for offset in range(int(os.environ["FUZZ_LONG"])):
        walk(seed + offset, 2 * STEPS)
