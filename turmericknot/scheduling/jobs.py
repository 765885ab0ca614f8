"""Job records in the store and the in-memory state of jobs and tasks."""

from enum import IntEnum

import msgspec


class JobState(IntEnum):
    """State of a job, as stored in its record."""

    ACTIVE = 0
    SUCCEEDED = 1
    FAILED = 2
    CANCELLED = 3


class RunEnd(IntEnum):
    """How a run of a task ended."""

    DONE = 0
    FAILED = 1
    STOPPED = 2  # on request of the owner or the agent
    LAPSED = 3  # the lease of the worker expired
    LOST = 4  # the worker restarted, or the agent's grants expired
    OTHER = 5  # another member of its gang ended or never started
    STUCK = 6  # stopped by the agent because it made no progress


class StepSpec(msgspec.Struct, array_like=True, frozen=True):
    """One step: ``count`` tasks of the same shape.

    ``cpu`` is in thousandths of a core, ``memory`` in MB, ``accelerators`` counts
    devices, ``estimate`` is the declared run time in seconds. ``after`` holds the
    numbers of the steps that must have ended before this one starts.
    """

    count: int
    cpu: int = 0
    memory: int = 0
    accelerators: int = 0
    estimate: float = 0.0
    after: tuple[int, ...] = ()
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0  # tasks of the step on one worker; 0 means no limit


class FailedRun(msgspec.Struct, array_like=True, frozen=True):
    """A failed run, which counts as an attempt."""

    step: int
    index: int
    run: int


class CrashedRun(msgspec.Struct, array_like=True, frozen=True):
    """A crash of a worker, one incarnation of it, while it had a run of a task."""

    step: int
    index: int
    life: str
    is_suspect: bool  # the task may have crashed the worker
    has_started: bool  # False: the run may have never reached the worker
    is_confirmed: bool  # False: the worker may have been cut off


class JobRecord(msgspec.Struct, array_like=True):
    """The record of a job in the store, under the job's id.

    The record of a finished job has no steps and no spec. Times are Unix seconds.
    """

    queue: str
    service: str
    state: int
    accepted_at: float
    accepted_epoch: int
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    objective: float = 0.0  # seconds on top of stretch times the critical path
    spec: str = ""
    steps: list[StepSpec] = []
    done: list[list[int]] = []  # indices of the finished tasks of each step
    failed_runs: list[FailedRun] = []
    crashed_runs: list[CrashedRun] = []


class TaskStatus(IntEnum):
    """State of a task at the owner of its shard."""

    BLOCKED = 0  # an earlier step has not ended
    WAITING = 1
    RUNNING = 2
    DONE = 3
    UNKNOWN = 4  # a previous owner may have started it


class Task:
    """One task of an active job."""

    __slots__ = (
        "job",
        "step",
        "index",
        "status",
        "run",
        "agent",
        "started_at",
        "failures",
        "avoided_agents",
        "suspect_since",
        "backlog_level",
        "backlog_work",
        "place_wait_since",
    )

    def __init__(self, job, step, index):
        self.job = job
        self.step = step
        self.index = index
        self.status = TaskStatus.BLOCKED
        self.run = 0  # number of the latest run
        self.agent = None  # id of the agent of the current run
        self.started_at = 0.0
        self.failures = 0
        self.avoided_agents = ()  # agents where it failed, hung or ran too slowly
        # When it began to wait as a task that may have crashed a worker; None if not.
        self.suspect_since = None
        self.backlog_level = 0  # where it adds to the backlog
        self.backlog_work = 0.0  # core-seconds that it adds to the backlog
        self.place_wait_since = None  # when it first waited for the rack of its data

    @property
    def spec(self):
        """Return the StepSpec of the task."""
        return self.job.record.steps[self.step]

    @property
    def key(self):
        """Return (job id, step, index)."""
        return (self.job.id, self.step, self.index)


class Job:
    """A job in the memory of its owner."""

    __slots__ = (
        "id",
        "shard",
        "record",
        "tasks",
        "unfinished_tasks",
        "state",
        "published_state",
        "is_stored",
        "is_cancelling",
        "waiters",
        "cancel_waiters",
        "unacknowledged_ends",
        "unacknowledged_since",
        "submitted_at",
        "sent_runs",
        "possible_runs",
        "doubtful_runs",
        "due_at",
        "finished_at",
        "deadline_at",
        "next_submission",
        "logged_place_events",
    )

    def __init__(self, job_id, shard, record, now):
        self.id = job_id
        self.shard = shard
        self.record = record
        self.tasks = []
        self.unfinished_tasks = []  # number of tasks of each step that are not done
        self.state = JobState(record.state)
        self.published_state = None  # shown to callers: the last stored state
        self.is_stored = False
        self.is_cancelling = False
        self.waiters = []
        self.cancel_waiters = []
        self.unacknowledged_ends = []  # acknowledged once the progress is stored
        self.unacknowledged_since = 0.0
        self.submitted_at = now
        self.sent_runs = 0  # runs that an agent was asked to start
        self.possible_runs = 0  # runs that have started, or may have
        self.doubtful_runs = 0  # those of them that have probably not started
        self.due_at = now
        self.finished_at = now
        self.deadline_at = None  # when the caller of a best-effort job gives up
        self.logged_place_events = ()  # each is logged once
        self.next_submission = None  # starts when the runs of this one have ended

    @property
    def may_have_started(self):
        """Return whether a task of the job may have started."""
        return self.possible_runs > 0

    @property
    def is_pending(self):
        """Return whether the job is likely to wait for its first start."""
        return self.possible_runs == self.doubtful_runs

    @property
    def is_active(self):
        """Return whether tasks of the job may start."""
        return (
            self.state is JobState.ACTIVE and self.is_stored and not self.is_cancelling
        )

    def running_tasks(self):
        """Return the tasks that have a run at an agent."""
        return [
            task
            for step in self.tasks
            for task in step
            if task.status is TaskStatus.RUNNING
        ]

    def task(self, step, index):
        """Return a task, or None if the job has no such task."""
        if 0 <= step < len(self.tasks) and 0 <= index < len(self.tasks[step]):
            return self.tasks[step][index]
        return None


def create_job(job_id, shard, record, now):
    """Return a job with the tasks of its record."""
    job = Job(job_id, shard, record, now)
    if record.state != JobState.ACTIVE:
        return job
    for number, step in enumerate(record.steps):
        job.tasks.append([Task(job, number, index) for index in range(step.count)])
        job.unfinished_tasks.append(step.count)
    for number, indices in enumerate(record.done):
        for index in indices:
            job.tasks[number][index].status = TaskStatus.DONE
            job.unfinished_tasks[number] -= 1
    for failed in record.failed_runs:
        job.tasks[failed.step][failed.index].failures += 1
    return job


def critical_path_duration(steps, durations):
    """Return the seconds of the longest path through the steps.

    ``durations`` holds the seconds of each step.
    """
    ends = []
    for step, duration in zip(steps, durations, strict=True):
        ends.append(max((ends[number] for number in step.after), default=0) + duration)
    return max(ends, default=0.0)


# Prefix of the keys of agent records in a shard; all other keys are job ids.
_AGENT_KEY = "agent/"


def agent_key(agent_id):
    """Return the key of the record that names an agent with runs of the shard."""
    return _AGENT_KEY + agent_id


def agent_of_key(key):
    """Return the id of the agent that a record names, or an empty string."""
    return key.removeprefix(_AGENT_KEY) if key.startswith(_AGENT_KEY) else ""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(JobRecord)


def encode_record(record):
    """Return the bytes of a JobRecord."""
    return _encoder.encode(record)


def decode_record(data):
    """Return the JobRecord in the bytes; raise msgspec.DecodeError."""
    return _decoder.decode(data)
