"""What callers and workers must never see, whatever fails."""

from dataclasses import dataclass, field

from turmericknot.scheduling.commands import Outcome
from turmericknot.scheduling.jobs import RunEnd

VISIBLE_S = 3.0  # as the platform bounds it


class Violation(AssertionError):
    """The system broke one of its promises."""


@dataclass(slots=True)
class End:
    """An end that a worker lists."""

    number: int
    name: object
    how: RunEnd
    has_lapsed: bool = False  # the lease lapsed before it was noted
    started_again: bool = False  # the task began again after it


@dataclass(slots=True)
class Submission:
    """A job as its caller knows it."""

    tasks: int
    is_kept: bool
    answers: list = field(default_factory=list)  # to the attempts to hand it in
    attempts: int = 0
    accepted_at: float = 0.0
    cancels: int = 0  # attempts to cancel it
    is_cancelled: bool = False  # a cancel was acknowledged
    done: set = field(default_factory=set)  # (step, index) of ends that were done


@dataclass(slots=True)
class Oracle:
    """Checks each start, end and answer against the promises."""

    jobs: dict = field(default_factory=dict)
    running: dict = field(default_factory=dict)  # task -> set of (worker, run)
    ends: dict = field(default_factory=dict)  # task -> ends that were done
    noted_done: set = field(default_factory=set)

    def started(self, worker, name, is_late):
        """Check a start at a worker."""
        task = (name.job, name.step, name.index)
        others = self.running.setdefault(task, set())
        if others:
            raise Violation(f"{task} runs twice: {others}, then {worker} {name.run}")
        others.add((worker, name.run))
        job = self.jobs[name.job]
        refused = (Outcome.REFUSED, Outcome.NOT_READY)
        if job.attempts and len(job.answers) == job.attempts:
            if job.is_kept and all(answer in refused for answer in job.answers):
                raise Violation(f"{task} started, but its job was refused")
        if not job.is_kept:
            return
        if job.is_cancelled and not is_late:
            raise Violation(f"{task} started after its cancel was acknowledged")
        if task in self.noted_done:
            raise Violation(f"{task} started after its end was noted")
        for end in self.ends.get(task, ()):
            end.started_again = True

    def ended(self, worker, end):
        """Take note of an end at a worker."""
        name = end.name
        task = (name.job, name.step, name.index)
        self.running[task].discard((worker, name.run))
        if end.how is RunEnd.DONE:
            self.ends.setdefault(task, []).append(end)
            self.jobs[name.job].done.add((name.step, name.index))

    def lost(self, worker, name):
        """Take note of a run that a crash of its worker ended."""
        self.running[name.job, name.step, name.index].discard((worker, name.run))

    def noted(self, end):
        """Check an end that the worker may forget from now on."""
        if end.how is not RunEnd.DONE or end.has_lapsed:
            return
        name = end.name
        task = (name.job, name.step, name.index)
        if not self.jobs[name.job].is_kept:
            return
        if end.started_again:
            raise Violation(f"{task} started after an end that was noted later")
        self.noted_done.add(task)

    def answered(self, job_id, outcome, now):
        """Check the answer to an attempt to hand a job in."""
        job = self.jobs[job_id]
        if outcome is Outcome.ACCEPTED and outcome not in job.answers:
            job.accepted_at = now
        job.answers.append(outcome)
        if outcome is Outcome.SUCCEEDED:
            self._check_whole(job_id)

    def shown(self, job_id, outcome, now):
        """Check a state that an entry shows of a job.

        The platform allows 3 s until an accepted job is known everywhere.
        """
        job = self.jobs[job_id]
        if outcome is Outcome.SUCCEEDED:
            self._check_whole(job_id)
        is_visible = now - job.accepted_at > VISIBLE_S
        if outcome is Outcome.GONE and Outcome.ACCEPTED in job.answers and is_visible:
            raise Violation(f"{job_id} was accepted and is not known")
        if outcome is Outcome.CANCELLED and not job.cancels:
            raise Violation(f"{job_id} is shown as cancelled without cause")

    def _check_whole(self, job_id):
        job = self.jobs[job_id]
        if len(job.done) < job.tasks:
            raise Violation(f"{job_id} succeeded with {len(job.done)} of {job.tasks}")

    def check_finished(self, job_id, outcome):
        """Check an accepted job after everything has healed and had its time."""
        job = self.jobs[job_id]
        if Outcome.ACCEPTED not in job.answers:
            return
        if outcome not in (Outcome.SUCCEEDED, Outcome.CANCELLED):
            raise Violation(f"{job_id} was accepted and ends as {outcome}")
