"""State of an entry and its jobs, with helpers that the handler modules share."""

import heapq
from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto
from random import Random
from types import ModuleType
from typing import Any

from turmericknot.conf.schema import EntrySettings
from turmericknot.core import ids
from turmericknot.dispatch.claims import ClaimTable
from turmericknot.dispatch.commands import Send
from turmericknot.dispatch.scheduler import Refusal
from turmericknot.dispatch.tasks import Answer, JobSpec
from turmericknot.membership.state import MembershipState
from turmericknot.wire.messages import EntryAddress, Hello, TaskResult


class Phase(Enum):
    """Phase of a job at this entry; the comments say what the job is waiting for."""

    CLAIMING = auto()  # its claim to be read back from the log
    REFUSING = auto()  # proof that no other entry runs it
    LOCATING = auto()  # answers of the peers before it is run unclaimed
    FOLLOWING = auto()  # the answer of the entry that owns it
    FENCING = auto()  # the fence of the former owner to be read back
    INVENTORY = auto()  # inventories of the agents after a takeover
    RUNNING = auto()  # results of its tasks
    CANCELLING = auto()  # agents' confirmations that nothing more starts
    ENDED = auto()


@dataclass(slots=True)
class Job:
    """A job that a caller submitted to this entry or asked it about."""

    id: bytes
    arrived_at: float  # monotonic
    deadline: float  # monotonic
    expires_at: float  # wall clock
    spec: JobSpec | None = None
    phase: Phase = Phase.CLAIMING
    phase_entered_at: float = 0.0  # monotonic
    requests: list[int] = field(default_factory=list)
    peer_requests: list[tuple[int, int]] = field(default_factory=list)  # stream, id
    claimed: bool = True
    claim_record_id: bytes = b""  # record that carries the claim
    refusal: Refusal | None = None
    cancelled: bool = False
    # By task index. A task with neither an outcome nor an agent is queued.
    outcomes: dict[int, TaskResult] = field(default_factory=dict)
    task_agents: dict[int, str] = field(default_factory=dict)  # incarnations
    may_have_started: bool = False
    # Agents that reported results and need an acknowledgement.
    reported_by: set[str] = field(default_factory=set)
    # The owner of the job where that is another entry.
    owner: str = ""
    follow_stream: int | None = None
    # LocateJob requests without an answer.
    pending_locates: set[int] = field(default_factory=set)
    all_peers_queried: bool = True
    # Takeover.
    former_owners: list[str] = field(default_factory=list)
    # (agent, former owner) of each inventory that has not arrived.
    missing_inventories: set[tuple[str, str]] = field(default_factory=set)
    # A task that no inventory lists did not start: every agent that may have started
    # one is known, and this entry has not owned the job before.
    can_prove_unstarted: bool = True
    last_inventory_at: float = 0.0  # monotonic
    # Agents that have not confirmed a recall.
    pending_recalls: set[str] = field(default_factory=set)
    answer: Answer | None = None
    keep_answer: bool = True  # False: the job is forgotten once it is answered


@dataclass(slots=True)
class Agent:
    """State that an entry keeps of one incarnation of an agent."""

    incarnation: str
    hello: Hello
    stream: int | None = None
    disconnected_at: float = 0.0  # monotonic
    rostered: bool = False
    draining: bool = False
    config_version: int = 0
    # Tasks by job: sent on the open stream, and sent on earlier streams without
    # an inventory since that shows whether they started.
    sent_tasks: dict[bytes, set[int]] = field(default_factory=dict)
    unconfirmed_tasks: dict[bytes, set[int]] = field(default_factory=dict)
    # Fences sent on the open stream that the agent has not answered: the jobs of
    # each, by former owner.
    pending_fences: dict[str, deque[list[bytes]]] = field(default_factory=dict)


@dataclass(slots=True)
class Peer:
    """One incarnation of another entry."""

    address: EntryAddress
    stream: int | None = None
    # The process has ended: its address refused a connection, or a newer
    # incarnation of the entry was seen.
    terminated: bool = False
    terminated_at: float = float("inf")  # monotonic time of the first such evidence
    last_seen_at: float = 0.0  # wall clock; presence record or open link


@dataclass(slots=True)
class PendingAppend:
    """A record whose append has not been confirmed."""

    record_id: bytes
    kind: str
    data: bytes
    jobs: list[bytes]
    failed_at: float | None = None  # monotonic; None while in flight


@dataclass(slots=True)
class IssuedFence:
    """A fence of this entry that is in the log and is sent to agents."""

    owner: str
    jobs: list[bytes]
    expires_at: float  # wall clock


@dataclass(slots=True)
class EntryState:
    """State of an entry; changed only by ``entry.handle``."""

    settings: EntrySettings
    address: EntryAddress
    rng: Random
    policy: ModuleType | Any  # the functions listed in scheduler.py
    scheduler: Any
    is_home: Any  # is_home(state, incarnation) -> bool
    membership: MembershipState
    claim_table: ClaimTable
    now: float = 0.0
    wall: float = 0.0
    commands: list = field(default_factory=list)
    jobs: dict[bytes, Job] = field(default_factory=dict)
    agents: dict[str, Agent] = field(default_factory=dict)
    agent_streams: dict[int, Agent] = field(default_factory=dict)
    peers: dict[str, Peer] = field(default_factory=dict)  # by incarnation
    newest_presence: dict[str, str] = field(default_factory=dict)  # id -> incarnation
    peer_streams: dict[int, Peer] = field(default_factory=dict)
    # Appends.
    pending_appends: dict[bytes, PendingAppend] = field(default_factory=dict)
    claim_queue: list[bytes] = field(default_factory=list)
    fence_queue: dict[str, list[bytes]] = field(default_factory=dict)
    cancel_queue: list[bytes] = field(default_factory=list)
    roster_queue: set[str] = field(default_factory=set)
    append_tokens: float = 0.0
    append_tokens_at: float = 0.0
    last_append_flush_at: float = float("-inf")
    presence_due_at: float = 0.0
    roster_due_at: float = 0.0
    # The log.
    log_readable: bool = True
    # The claim table holds every claim that was in the log at this time.
    claims_current_as_of: float = float("-inf")
    read_requested_at: float = float("-inf")
    clock_error_s: float = 0.0
    # Takeover, cancellation and answers.
    fences: list[IssuedFence] = field(default_factory=list)
    new_fences: list[IssuedFence] = field(default_factory=list)
    # Tasks that did not start, held until the claim table shows that this entry
    # still owns the job: (time as of which the table must be current, job, indexes).
    pending_requeues: list[tuple[float, bytes, list[int]]] = field(default_factory=list)
    # Requests without an answer, by request id.
    recall_requests: dict[int, tuple[str, list[bytes]]] = field(default_factory=dict)
    locate_requests: dict[int, bytes] = field(default_factory=dict)
    answer_requests: dict[int, bytes] = field(default_factory=dict)
    acknowledgements: dict[str, list[bytes]] = field(default_factory=dict)
    kept_answers: deque[bytes] = field(default_factory=deque)
    kept_bytes: int = 0
    active_jobs: int = 0  # jobs that have not ended
    job_timers: list[tuple[float, bytes]] = field(default_factory=list)
    last_request_id: int = 0
    configured: bool = False
    config_version: int = 0
    drain_deadline: float | None = None
    drained: bool = False
    retired: bool = False
    housekeeping_due_at: float = 0.0
    acknowledge_due_at: float = 0.0
    counters: dict[str, int] = field(default_factory=dict)

    @property
    def incarnation(self):
        """Return the incarnation id of this entry."""
        return self.address.incarnation


def emit(state, command):
    """Add a command to those that the current event leads to."""
    state.commands.append(command)


def send(state, stream, message):
    """Send a message on a stream."""
    state.commands.append(Send(stream, message))


def count(state, name, amount=1):
    """Increase a counter that the status page shows."""
    state.counters[name] = state.counters.get(name, 0) + amount


def new_request_id(state):
    """Return an id for a request to a peer or an agent."""
    state.last_request_id += 1
    return state.last_request_id


def new_record_id(state):
    """Return an id for a record of the log."""
    return ids.create_record_id(state.rng)


def schedule_check(state, at, job):
    """Schedule a check of the job's timeouts at the monotonic time ``at``."""
    heapq.heappush(state.job_timers, (at, job.id))


def enter_phase(state, job, phase, timeout_s=None):
    """Move a job to a phase; schedule a check after ``timeout_s`` if given."""
    job.phase = phase
    job.phase_entered_at = state.now
    if timeout_s is not None:
        schedule_check(state, state.now + timeout_s, job)
