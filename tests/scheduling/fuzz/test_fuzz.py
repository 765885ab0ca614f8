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
    "give_up_runs_early": 4,
    "lease_without_grants": 14,
    "no_fence_after_a_lost_answer": 0,
    "no_wait_for_former_runs": 85,
    "note_ends_at_once": 9,
    "orders_of_any_epoch": 566,
    "accept_before_it_is_stored": 2,
    "cancel_before_it_is_stored": 59,
    "offer_worker_unseen": 16,
}
# Seeds of long walks that failed once, with the cause.
FAILED_WALKS = {
    3046: "a cancel was acknowledged while a former owner could start tasks",
    3633: "the same, for more than 3 s",
    7484: "an order to start was on its way when a cancel was acknowledged",
    6539: "a refusal of an earlier submission was taken for that of the present run",
    3489: "an end of an earlier submission was taken for that of the present run",
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


@pytest.mark.parametrize("name", KNOCKOUT_WALKS)
def test_walk_of_knockout_holds(name):
    """Guards against a walk that fails without the knock-out, too."""
    walk(KNOCKOUT_WALKS[name], STEPS)


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
