"""The agent's judgement of its worker: faults and speed, the same for all entries.

Answers a peak at which a few workers fail the runs that they start, hang or turn slow:
a worker that fails at once looks empty to each of ten owners, and every run that one of
them learns from is an attempt of a task that has two to four. The agent sees all runs.

A sound worker fails about 0.2% of its runs; a faulty one fails half of them or all.
Jobs that can never be done are up to 5% of a queue for some seconds, and fail on sound
workers, too. The evidence is the logarithm of the likelihood of a failed share of one
half against one of 5%, with base 10: a failure adds 1, a success takes off 0.28. At
2.9, eight hundred to one, the worker is suspended: after three failures in a row, or
about nine runs of which half fail. At a failed share of 0.2%, that happens once in
about a hundred million runs. Two failures would do for that share alone, but with
hopeless jobs they would suspend a tenth of the sound workers.

Each job counts once. A task that has failed elsewhere before does not count, and for
some seconds after such a task has failed here as well, failures of its queue count
half: they are likelier to be hopeless jobs than faults of the worker.
"""

from collections import OrderedDict
from enum import IntEnum

from turmericknot.wire import shard_messages as wire

from .jobs import RunEnd
from .worker_speed import create_worker_speed
from .worker_types import AgentLogLine

SHARE_OF_SUCCESS = 0.28  # evidence that one success takes off
EVIDENCE_TO_SUSPEND = 2.9
HOPELESS_QUEUE_WEIGHT = 0.5
HOPELESS_QUEUE_MEMORY_S = 3.0
MAX_REMEMBERED_JOBS = 16  # whose failures count no second time

# The back-off doubles with each relapse and halves with each such time without one.
MIN_SUSPENSION_S = 1.0
MAX_SUSPENSION_S = 8.0
GOOD_TIME_TO_HALVE_S = 5.0
# Runs at a time while the worker is probed, and successes until the next step.
PROBE_STEPS = ((1, 1), (4, 4))

SIGNIFICANT_SPEED_RATIO = 1.15  # smaller changes of the slowdown are not reported


class HealthState(IntEnum):
    """State of a worker, as its agent judges it."""

    SOUND = 0
    SLOW = 1
    FAILING = 2  # starts nothing for a time
    PROBING = 3  # starts a few runs at a time


class WorkerHealth:
    """What the runs of one incarnation of the worker have shown."""

    __slots__ = (
        "life",
        "state",
        "reason",
        "has_changed",
        "told",
        "speed",
        "failures",
        "_evidence",
        "_failed_jobs",
        "_hopeless_until",
        "_usable_at",
        "_suspension_s",
        "_sound_since",
        "_probing_since",
        "_probe_step",
        "_probe_successes",
    )

    def __init__(self, life, now):
        self.life = life  # key of the WorkerLife
        self.state = HealthState.SOUND
        self.reason = ""
        self.has_changed = True  # whether all entries are to be told
        self.told = {}  # stream -> (key, slowdown) of the last message
        self.speed = create_worker_speed(now)
        self.failures = 0
        self._evidence = 0.0
        self._failed_jobs = OrderedDict()
        self._hopeless_until = {}  # queue -> time
        self._usable_at = 0.0
        self._suspension_s = 0.0
        self._sound_since = now
        self._probing_since = 0.0
        self._probe_step = 0
        self._probe_successes = 0

    @property
    def is_gated(self):
        """Return whether not all runs may start."""
        return self.state >= HealthState.FAILING

    def word(self, now):
        """Return the WorkerHealth message about the present state."""
        return wire.WorkerHealth(
            self.life,
            round(self.speed.slowdown, 3),
            self.speed.runs,
            int(self.state),
            self.reason,
            round(now - self.speed.observed_at, 3),
            max(0.0, self._usable_at - now),
        )

    def key(self):
        """Return what decides whether the state must be told again."""
        return (self.state, self._usable_at)

    def suspend(self, reason, now):
        """Start nothing for a time that doubles with each relapse."""
        doubled_s = 2 * self._suspension_s
        if self.state < HealthState.FAILING:
            doubled_s *= 0.5 ** ((now - self._sound_since) / GOOD_TIME_TO_HALVE_S)
        self._suspension_s = min(max(doubled_s, MIN_SUSPENSION_S), MAX_SUSPENSION_S)
        self._usable_at = now + self._suspension_s
        self._evidence = 0.0
        self._failed_jobs.clear()
        self._change(HealthState.FAILING, reason)

    def update(self, now):
        """End a suspension and forget an old slowdown when it is time."""
        if self.state is HealthState.FAILING and now >= self._usable_at:
            self._probing_since = now
            self._probe_step = self._probe_successes = 0
            self._change(HealthState.PROBING, self.reason)
        self.speed.forget_old_slowdown(now)
        self._adopt_speed()

    def is_probe(self, run):
        """Return whether the run has come since the worker is being probed."""
        return (
            self.state is HealthState.PROBING and run.queued_at >= self._probing_since
        )

    @property
    def probe_limit(self):
        """Return how many probes may be in progress at a time."""
        return PROBE_STEPS[self._probe_step][0]

    def count_success(self, run, now):
        """Count a run that has ended with a result."""
        self._evidence = max(0.0, self._evidence - SHARE_OF_SUCCESS)
        if not self.is_probe(run):
            return
        self._probe_successes += 1
        if self._probe_successes < PROBE_STEPS[self._probe_step][1]:
            return
        self._probe_successes = 0
        if self._probe_step + 1 < len(PROBE_STEPS):
            self._probe_step += 1
        else:
            self._sound_since = now
            self._evidence = 0.0
            self._change(self._speed_state(), "")

    def count_failure(self, run, reason, now):
        """Count a failed or rejected run; suspend the worker if it is to blame."""
        self.failures += 1
        if self.state is HealthState.FAILING:
            return
        if run.name.job in self._failed_jobs:
            return
        self._failed_jobs[run.name.job] = None
        if len(self._failed_jobs) > MAX_REMEMBERED_JOBS:
            self._failed_jobs.popitem(last=False)
        if run.failures:
            # It fails on other workers as well, or they are faulty, too.
            self._hopeless_until[run.queue] = now + HOPELESS_QUEUE_MEMORY_S
            return
        if self.state is HealthState.PROBING:
            if self.is_probe(run):
                self.suspend(reason, now)
            return
        is_hopeless = now < self._hopeless_until.get(run.queue, 0.0)
        self._evidence += HOPELESS_QUEUE_WEIGHT if is_hopeless else 1.0
        if self._evidence >= EVIDENCE_TO_SUSPEND:
            self.suspend(reason, now)

    def observe_run(self, run, run_s, now):
        """Update the speed with a run that took ``run_s``."""
        ratio = run_s / run.expected
        self.speed.observe_run(run.queue, ratio, run.confirmed_at, now)
        self._adopt_speed()

    def observe_pace(self, pace, now):
        """Update the speed with the median pace of the current runs."""
        self.speed.observe_pace(pace, now)
        self._adopt_speed()

    def _adopt_speed(self):
        if self.state < HealthState.FAILING and self.state != self._speed_state():
            self._change(self._speed_state(), "")

    def _speed_state(self):
        return HealthState.SLOW if self.speed.is_slow else HealthState.SOUND

    def _change(self, state, reason):
        self.state = state
        self.reason = reason
        self.has_changed = True


def enable(state, now):
    """Let the agent judge its worker from now on."""
    state.health = WorkerHealth("", now)


def current_health(state, now):
    """Return the WorkerHealth of the present worker, or None if there is none.

    A new incarnation of the worker starts without a history. So does a new process of
    the agent; the age that it tells shows that it knows little.
    """
    health = state.health
    if health is None or state.life is None:
        return None
    if health.life != state.life.key:
        health = state.health = WorkerHealth(state.life.key, now)
    before = health.state
    health.update(now)
    _log_change(state, health, before)
    return health


def run_ended(state, run, how, run_s, now):
    """Judge the worker by an end that it has listed."""
    health = current_health(state, now)
    if health is None:
        return
    before = health.state
    if how is RunEnd.DONE:
        health.count_success(run, now)
        if run_s > 0 and run.expected > 0:
            health.observe_run(run, run_s, now)
    elif how is RunEnd.FAILED:
        health.count_failure(run, "failed", now)
    _log_change(state, health, before)


def start_rejected(state, name, reason, now):
    """Judge the worker by a start that it has refused as overloaded or unwell.

    Must be called while the run is known. Other reasons say nothing of the worker.
    """
    run = state.runs.get(name)
    health = current_health(state, now)
    if health is None or run is None or reason != "unhealthy":
        return
    before = health.state
    health.count_failure(run, "rejected", now)
    _log_change(state, health, before)


def run_stuck(state, now):
    """Suspend a worker on which a run has made no progress.

    Each run that hangs costs a second, so the first one is enough for all owners.
    """
    health = current_health(state, now)
    if health is None or health.state is HealthState.FAILING:
        return
    before = health.state
    health.failures += 1
    health.suspend("stuck", now)
    _log_change(state, health, before)


def pace_measured(state, pace, now):
    """Judge the speed of the worker by its current runs; ``pace`` is above 0."""
    health = current_health(state, now)
    if health is None or pace <= 0:
        return
    before = health.state
    health.observe_pace(pace, now)
    _log_change(state, health, before)


def is_suspended(state, now):
    """Return whether nothing may start, queued runs included."""
    health = current_health(state, now)
    return health is not None and health.state is HealthState.FAILING


def gate_reason(state, now):
    """Return why no further run may start now, or an empty string.

    Runs that are at work go on. While the worker is probed, a few runs at a time start
    over all owners, queued ones included.
    """
    health = current_health(state, now)
    if health is None or not health.is_gated:
        return ""
    if health.state is HealthState.FAILING:
        return "suspended"
    probes = sum(health.is_probe(run) for run in state.runs.values())
    return "probing" if probes >= health.probe_limit else ""


def probe_order(state, starts):
    """Return the RunStarts of a request in the order in which to admit them.

    A probe should show soon whether the worker is sound, and cost little if not.
    """
    if state.health is None or not state.health.is_gated:
        return starts
    return sorted(starts, key=lambda start: start.expected)


def due_reports(state, streams, now):
    """Return (stream, WorkerHealth message) for the entries that know another state.

    ``streams`` are those of entries that get other messages anyway; after a change of
    state they must be all streams. Entries that know of no worker get nothing.
    """
    health = current_health(state, now)
    if health is None or not state.is_synced:
        return []
    key, slowdown = health.key(), health.speed.slowdown
    due = []
    for stream in streams:
        known_key, known_slowdown = health.told.get(stream, (None, slowdown))
        ratio = max(slowdown / known_slowdown, known_slowdown / slowdown)
        if known_key != key or ratio >= SIGNIFICANT_SPEED_RATIO:
            health.told[stream] = (key, slowdown)
            due.append((stream, health.word(now)))
    return due


def pop_change(state, now):
    """Return whether the state has changed since the last call."""
    health = current_health(state, now)
    if health is None or not state.is_synced or not health.has_changed:
        return False
    health.has_changed = False
    return True


def stream_closed(state, stream):
    """Forget what an entry was told."""
    if state.health is not None:
        state.health.told.pop(stream, None)


def _log_change(state, health, before):
    if health.state is before:
        return
    fields = {
        "life": health.life,
        "state": health.state.name.lower(),
        "reason": health.reason,
        "failures": health.failures,
        "runs": health.speed.runs,
        "slowdown": round(health.speed.slowdown, 2),
    }
    state.commands.append(AgentLogLine("worker.health", fields))
