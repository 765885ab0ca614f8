"""Guarantees to callers and workers that hold under all faults."""

from dataclasses import dataclass, field

from turmericknot.platform.jobs import submission_response
from turmericknot.scheduling.commands import Outcome
from turmericknot.scheduling.jobs import RunEnd

MAX_VISIBILITY_DELAY_S = 3.0  # the platform's limit
REJECTION_STATUSES = (429, 503)  # the job was not accepted and never runs


class InvariantViolation(AssertionError):
    """An observed event contradicts a guarantee of the system."""


@dataclass(slots=True)
class ListedRunEnd:
    """A row in the worker's list of ended runs."""

    number: int
    name: object
    how: RunEnd
    has_lease_lapsed: bool = False  # before the end was acknowledged
    is_task_restarted: bool = False  # after this end


@dataclass(slots=True)
class Submission:
    """A job with the requests of its caller and their outcomes."""

    task_count: int
    is_durable: bool
    wait_s: float = 3.0  # how long the caller of a best-effort job waits
    record_fields: dict = field(default_factory=dict)  # of create_job_record
    answers: list = field(default_factory=list)  # outcomes of the submit attempts
    attempt_count: int = 0
    has_begun: bool = False  # a worker has started a task of the job
    accepted_at: float = 0.0
    cancel_count: int = 0  # requests to cancel the job
    is_cancel_acknowledged: bool = False
    completed_tasks: set = field(default_factory=set)  # (step, index)

    @property
    def is_rejected(self):
        """Return whether all attempts were answered, and all answers are rejections.

        An attempt without an answer, as after a disconnect, is not rejected.
        """
        return 0 < self.attempt_count == len(self.answers) and all(
            submission_response(answer).status in REJECTION_STATUSES
            for answer in self.answers
        )


@dataclass(slots=True)
class Oracle:
    """Checks each start, end and answer against the guarantees."""

    jobs: dict = field(default_factory=dict)
    runs_by_task: dict = field(default_factory=dict)  # task -> set of (worker, run)
    completed_ends: dict = field(default_factory=dict)  # task -> ends with RunEnd.DONE
    acknowledged_tasks: set = field(default_factory=set)
    crashes_by_task: dict = field(default_factory=dict)  # task -> number of crashes

    def check_start(self, worker, name, is_delayed):
        """Check the start of a run at a worker."""
        task = (name.job, name.step, name.index)
        active_runs = self.runs_by_task.setdefault(task, set())
        if active_runs:
            raise InvariantViolation(
                f"{task} runs as {active_runs}, but {worker} started run {name.run}"
            )
        active_runs.add((worker, name.run))
        job = self.jobs[name.job]
        job.has_begun = True
        self._check_rejection(name.job)
        if not job.is_durable:
            return
        if job.is_cancel_acknowledged and not is_delayed:
            raise InvariantViolation(
                f"{task} started after its cancel was acknowledged"
            )
        if task in self.acknowledged_tasks:
            raise InvariantViolation(f"{task} started after its end was acknowledged")
        for end in self.completed_ends.get(task, ()):
            end.is_task_restarted = True

    def record_end(self, worker, end):
        """Record the end of a run at a worker."""
        name = end.name
        task = (name.job, name.step, name.index)
        self.runs_by_task[task].discard((worker, name.run))
        if end.how is RunEnd.DONE:
            self.completed_ends.setdefault(task, []).append(end)
            self.jobs[name.job].completed_tasks.add((name.step, name.index))

    def record_lost_run(self, worker, name):
        """Record that a crash of its worker ended a run."""
        task = (name.job, name.step, name.index)
        self.crashes_by_task[task] = self.crashes_by_task.get(task, 0) + 1
        self.runs_by_task[name.job, name.step, name.index].discard((worker, name.run))

    def check_acknowledged_end(self, end):
        """Check an end that the agent has acknowledged, so that the worker drops it."""
        if end.how is not RunEnd.DONE or end.has_lease_lapsed:
            return
        name = end.name
        task = (name.job, name.step, name.index)
        if not self.jobs[name.job].is_durable:
            return
        if end.is_task_restarted:
            raise InvariantViolation(
                f"{task} started after an end that was acknowledged later"
            )
        self.acknowledged_tasks.add(task)

    def check_submit_answer(self, job_id, outcome, now):
        """Check the outcome of an attempt to submit a job."""
        job = self.jobs[job_id]
        if outcome is Outcome.ACCEPTED and outcome not in job.answers:
            job.accepted_at = now
        job.answers.append(outcome)
        self._check_rejection(job_id)
        if outcome is Outcome.SUCCEEDED:
            self._check_all_tasks_done(job_id)

    def _check_rejection(self, job_id):
        """Check that no task of a job starts, before or after it is rejected."""
        job = self.jobs[job_id]
        if job.has_begun and job.is_rejected:
            raise InvariantViolation(f"a task of {job_id} started, but it was rejected")

    def check_shown_state(self, job_id, outcome, now):
        """Check the state of a job as shown by an entry.

        The platform allows 3 s until every entry shows an accepted job.
        """
        job = self.jobs[job_id]
        if outcome is Outcome.SUCCEEDED:
            self._check_all_tasks_done(job_id)
        is_visible = now - job.accepted_at > MAX_VISIBILITY_DELAY_S
        if outcome is Outcome.GONE and Outcome.ACCEPTED in job.answers and is_visible:
            raise InvariantViolation(f"{job_id} was accepted, but is shown as unknown")
        if outcome is Outcome.CANCELLED and not job.cancel_count:
            raise InvariantViolation(
                f"{job_id} is shown as cancelled, but no cancel was requested"
            )

    def _check_all_tasks_done(self, job_id):
        job = self.jobs[job_id]
        if len(job.completed_tasks) < job.task_count:
            raise InvariantViolation(
                f"{job_id} succeeded with "
                f"{len(job.completed_tasks)} of {job.task_count} tasks"
            )

    def check_final_state(self, job_id, outcome):
        """Check the final state of an accepted job after recovery from all faults."""
        job = self.jobs[job_id]
        if Outcome.ACCEPTED not in job.answers:
            return
        if outcome is Outcome.FAILED and self._may_be_given_up(job_id):
            return
        if outcome not in (Outcome.SUCCEEDED, Outcome.CANCELLED):
            raise InvariantViolation(
                f"{job_id} was accepted, but its final state is {outcome}"
            )

    def _may_be_given_up(self, job_id):
        """Return whether two workers have crashed under a task of the job.

        The platform allows to give up such a job.
        """
        return any(
            crashes >= 2
            for (job, _, _), crashes in self.crashes_by_task.items()
            if job == job_id
        )
