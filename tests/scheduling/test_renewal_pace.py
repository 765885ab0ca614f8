"""How long lease renewals wait while a worker leaves calls unanswered."""

from random import Random

import pytest

from turmericknot.scheduling import renewal_pace

ENDS_PER_S = 26.0
LOST_SHARE = 0.035
BEARABLE_DELAY_S = 0.1  # of an urgent job's run


def share_of_ends_seen_in_time(pace, seconds=60.0):
    """Play renewals against a worker; return the share of ends that it shows in time.

    An end shows when an answered renewal is under way or begins after it.
    """
    rng = Random(1)
    ends, now = [], 0.0
    while now < seconds:
        now += rng.expovariate(ENDS_PER_S)
        ends.append(now)
    now, in_time, count = 0.0, 0, len(ends)
    while ends and now < seconds:
        wait_s, answer_time_s = pace.wait_s(now), pace.answer_time_s(now)
        if rng.random() < LOST_SHARE:
            now += wait_s + answer_time_s
            pace.record_lost_renewal(now)
            continue
        now = min(max(now, ends[0]), now + wait_s) + 0.001
        pace.record_answer()
        while ends and ends[0] <= now:
            in_time += now - ends.pop(0) <= BEARABLE_DELAY_S
    return in_time / count


def test_ends_are_seen_in_time_while_answers_are_lost(monkeypatch):
    """One lost answer in thirty must not hide a third of the ends for too long."""
    assert share_of_ends_seen_in_time(renewal_pace.create_renewal_pace()) >= 0.97
    monkeypatch.setattr(renewal_pace, "WATCHFUL_S", 0.0)
    assert share_of_ends_seen_in_time(renewal_pace.create_renewal_pace()) < 0.9


def test_renewals_wait_long_while_all_are_answered():
    pace = renewal_pace.create_renewal_pace()
    assert (pace.wait_s(1.0), pace.answer_time_s(1.0)) == (0.25, 0.15)
    pace.record_lost_call(1.0)
    assert (pace.wait_s(2.0), pace.answer_time_s(2.0)) == (0.04, 0.05)
    assert pace.wait_s(4.1) == 0.25


@pytest.mark.parametrize(("lost", "answer_time_s"), [(1, 0.1), (2, 0.15), (5, 0.15)])
def test_slow_worker_gets_more_time_to_answer(lost, answer_time_s):
    """Guards against a worker that is slow and never answers in time again."""
    pace = renewal_pace.create_renewal_pace()
    for _ in range(lost):
        pace.record_lost_renewal(1.0)
    assert pace.wait_s(1.1) == 0.0
    assert pace.answer_time_s(1.1) == answer_time_s
    pace.record_answer()
    assert pace.answer_time_s(1.2) == 0.05
