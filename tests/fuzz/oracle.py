"""What must hold in every run, checked from outside the decision logic."""

from dataclasses import dataclass, field

from turmericknot.dispatch.tasks import JobStatus, Reason

DEADLINE_MARGIN_S = 1.0


class Violation(AssertionError):
    """The system broke one of its promises."""


@dataclass(slots=True)
class Attempt:
    job: bytes
    kind: str  # submit or cancel
    step: int
    deadline: float
    entry: str  # incarnation
    answer: object = None
    answered_step: int = 0


@dataclass(slots=True)
class Oracle:
    sizes: dict = field(default_factory=dict)  # job -> number of tasks
    attempts: dict = field(default_factory=dict)  # request -> Attempt
    starts: dict = field(default_factory=dict)  # (job, index) -> owners
    first_start: dict = field(default_factory=dict)  # job -> step
    unclaimed: set = field(default_factory=set)  # jobs that ran unclaimed somewhere
    ended: dict = field(default_factory=dict)  # (entry, job) -> complete answer

    def started(self, job, index, owner, step):
        owners = self.starts.setdefault((job, index), [])
        owners.append(owner)
        # The one exception: an idempotent job that ran unclaimed may start each
        # task once for each entry that accepted it.
        allowed = 1
        if job in self.unclaimed:
            allowed = len(set(owners))
        if len(owners) > allowed:
            raise Violation(f"task {index} started {len(owners)} times: {owners}")
        self.first_start.setdefault(job, step)
        mine = [a for a in self.attempts.values() if a.job == job]
        submits = [a for a in mine if a.kind == "submit"]
        if all(_is_not_run(a.answer) for a in submits):
            raise Violation("a task started after not_run to every attempt")
        for cancel in mine:
            if cancel.kind == "cancel" and _acknowledged(cancel.answer):
                self._check_cancel(cancel, submits, owner)

    def _check_cancel(self, cancel, submits, owner):
        asked_again = any(a.step > cancel.answered_step for a in submits)
        exempt = cancel.job in self.unclaimed and owner != cancel.entry
        if not asked_again and not exempt:
            raise Violation("a task started after its cancel was acknowledged")

    def answered(self, request, answer, step):
        attempt = self.attempts[request]
        if attempt.answer is not None:
            raise Violation("a request was answered twice")
        if answer.job != attempt.job:
            raise Violation("an answer of another job")
        attempt.answer, attempt.answered_step = answer, step
        if _is_not_run(answer) and attempt.kind == "submit":
            if self.first_start.get(attempt.job, step) < attempt.step:
                raise Violation(f"{answer.reason}: not_run, but a task had started")
        if answer.status is JobStatus.COMPLETE:
            self._check_whole(attempt, answer)

    def _check_whole(self, attempt, answer):
        indexes = [result.index for result in answer.results]
        if indexes != list(range(self.sizes[attempt.job])):
            raise Violation(f"a partial answer: {indexes}")
        for result in answer.results:
            if result.output != attempt.job + bytes([result.index]):
                raise Violation("an output of another task")
        known = self.ended.setdefault((attempt.entry, attempt.job), answer)
        if known != answer:
            raise Violation("a job ended twice at an entry")

    def check_deadlines(self, entry, now):
        for attempt in self.attempts.values():
            if attempt.entry != entry or attempt.answer is not None:
                continue
            if now > attempt.deadline + DEADLINE_MARGIN_S:
                raise Violation(f"{attempt.kind} not answered by its deadline")


def _is_not_run(answer):
    return answer is not None and answer.status is JobStatus.NOT_RUN


def _acknowledged(answer):
    if answer is None or answer.reason is not Reason.CANCELLED:
        return False
    return answer.status in (JobStatus.NOT_RUN, JobStatus.FAILED)
