"""Invariants of every run, checked without access to the decision logic."""

from dataclasses import dataclass, field

from turmericknot.dispatch.tasks import JobStatus, Reason

DEADLINE_MARGIN_S = 1.0


class InvariantViolation(AssertionError):
    """An observed event contradicts a guarantee of the system."""


@dataclass(slots=True)
class Attempt:
    """A request to submit or cancel a job, and its answer."""

    job: bytes
    kind: str  # submit or cancel
    step: int
    deadline: float
    incarnation: str  # of the entry that received the request
    answer: object = None
    answered_step: int = 0


@dataclass(slots=True)
class Oracle:
    """Checks each task start and each answer against the guarantees."""

    task_counts: dict = field(default_factory=dict)  # job -> number of tasks
    attempts: dict = field(default_factory=dict)  # request -> Attempt
    # (job, index) -> owners, one for each start
    starting_owners: dict = field(default_factory=dict)
    first_start_steps: dict = field(default_factory=dict)  # job -> step
    jobs_run_unclaimed: set = field(default_factory=set)  # by at least one entry
    # (incarnation, job) -> first answer with the status COMPLETE
    complete_answers: dict = field(default_factory=dict)

    def check_start(self, job, index, owner, step):
        owners = self.starting_owners.setdefault((job, index), [])
        owners.append(owner)
        # Each task starts at most once, except that an idempotent job that ran
        # unclaimed may start each task once for each entry that accepted it.
        allowed_starts = 1
        if job in self.jobs_run_unclaimed:
            allowed_starts = len(set(owners))
        if len(owners) > allowed_starts:
            raise InvariantViolation(
                f"task {index} started {len(owners)} times: {owners}"
            )
        self.first_start_steps.setdefault(job, step)
        job_attempts = [
            attempt for attempt in self.attempts.values() if attempt.job == job
        ]
        submits = [attempt for attempt in job_attempts if attempt.kind == "submit"]
        if all(_is_not_run(attempt.answer) for attempt in submits):
            raise InvariantViolation(
                "a task started after every attempt was answered not_run"
            )
        for cancel in job_attempts:
            if cancel.kind == "cancel" and _is_cancel_acknowledged(cancel.answer):
                self._check_cancel(cancel, submits, owner)

    def _check_cancel(self, cancel, submits, owner):
        is_resubmitted = any(attempt.step > cancel.answered_step for attempt in submits)
        is_exempt = (
            cancel.job in self.jobs_run_unclaimed and owner != cancel.incarnation
        )
        if not is_resubmitted and not is_exempt:
            raise InvariantViolation("a task started after its cancel was acknowledged")

    def check_answer(self, request, answer, step):
        attempt = self.attempts[request]
        if attempt.answer is not None:
            raise InvariantViolation("a request was answered twice")
        if answer.job != attempt.job:
            raise InvariantViolation("the answer names another job")
        attempt.answer, attempt.answered_step = answer, step
        if _is_not_run(answer) and attempt.kind == "submit":
            if self.first_start_steps.get(attempt.job, step) < attempt.step:
                raise InvariantViolation(
                    f"{answer.reason}: not_run, but a task had started"
                )
        if answer.status is JobStatus.COMPLETE:
            self._check_complete_answer(attempt, answer)

    def _check_complete_answer(self, attempt, answer):
        indexes = [result.index for result in answer.results]
        if indexes != list(range(self.task_counts[attempt.job])):
            raise InvariantViolation(
                f"a complete answer has results with the indexes {indexes}"
            )
        for result in answer.results:
            if result.output != attempt.job + bytes([result.index]):
                raise InvariantViolation("a result holds the output of another task")
        first_answer = self.complete_answers.setdefault(
            (attempt.incarnation, attempt.job), answer
        )
        if first_answer != answer:
            raise InvariantViolation(
                "an entry gave two different complete answers for a job"
            )

    def check_deadlines(self, incarnation, now):
        for attempt in self.attempts.values():
            if attempt.incarnation != incarnation or attempt.answer is not None:
                continue
            if now > attempt.deadline + DEADLINE_MARGIN_S:
                raise InvariantViolation(
                    f"{attempt.kind} request not answered by its deadline"
                )


def _is_not_run(answer):
    return answer is not None and answer.status is JobStatus.NOT_RUN


def _is_cancel_acknowledged(answer):
    if answer is None or answer.reason is not Reason.CANCELLED:
        return False
    return answer.status in (JobStatus.NOT_RUN, JobStatus.FAILED)
