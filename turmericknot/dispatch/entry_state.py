"""State of an entry and of the jobs it knows, and the helpers every part uses."""

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
    """What a job at this entry waits for."""

    CLAIMING = auto()  # its claim has not been read back
    REFUSING = auto()  # proof that no other entry runs it
    LOCATING = auto()  # peers' answers before an unclaimed run
    FOLLOWING = auto()  # the answer of the entry that owns it
    FENCING = auto()  # the fence of the former owner has not been read back
    INVENTORY = auto()  # inventories of the agents after a takeover
    RUNNING = auto()  # results of its tasks
    CANCELLING = auto()  # agents' confirmations that nothing more starts
    ENDED = auto()


@dataclass(slots=True)
class Job:
    """A job that was submitted to, or asked for at, this entry."""

    id: bytes
    arrived_at: float
    deadline: float  # monotonic
    expires_at: float  # wall clock
    spec: JobSpec | None = None
    phase: Phase = Phase.CLAIMING
    phase_entered_at: float = 0.0  # when the phase began
    requests: list[int] = field(default_factory=list)
    peer_requests: list[tuple[int, int]] = field(default_factory=list)
    claimed: bool = True
    claim_record_id: bytes = b""  # the append that carries the claim
    refusal: Refusal | None = None
    cancelled: bool = False
    # Tasks: an index is queued unless it has an outcome or a location.
    outcomes: dict[int, TaskResult] = field(default_factory=dict)
    task_agents: dict[int, str] = field(default_factory=dict)  # agent incarnation
    may_have_started: bool = False
    reported_by: set[str] = field(default_factory=set)  # agents that hold results
    # The entry that owns the job, when it is another one.
    owner: str = ""
    follow_stream: int | None = None
    # Peers that have not answered LocateJob.
    pending_locates: set[int] = field(default_factory=set)
    all_peers_queried: bool = True
    # Takeover.
    former_owners: list[str] = field(default_factory=list)
    missing_inventories: set[tuple[str, str]] = field(
        default_factory=set
    )  # agent, former owner
    can_prove_unstarted: bool = True  # the roster of the old owner's agents is known
    last_inventory_at: float = 0.0  # when the last inventory came
    pending_recalls: set[str] = field(default_factory=set)
    answer: Answer | None = None
    keep_answer: bool = True  # a refusal that is not final is forgotten


@dataclass(slots=True)
class Agent:
    """One incarnation of an agent as this entry sees it."""

    incarnation: str
    hello: Hello
    stream: int | None = None
    disconnected_at: float = 0.0
    rostered: bool = False
    draining: bool = False
    config_version: int = 0
    # Tasks sent on the open stream and tasks sent on streams that broke.
    sent_tasks: dict[bytes, set[int]] = field(default_factory=dict)
    unconfirmed_tasks: dict[bytes, set[int]] = field(default_factory=dict)
    # Jobs of each fence sent on the open stream, by former owner, until answered.
    pending_fences: dict[str, deque[list[bytes]]] = field(default_factory=dict)


@dataclass(slots=True)
class Peer:
    """One incarnation of another entry."""

    address: EntryAddress
    stream: int | None = None
    terminated: bool = False  # its address refused a connection
    terminated_at: float = float("inf")  # when that, or a newer incarnation, was seen
    last_seen_at: float = 0.0  # wall clock of its newest presence


@dataclass(slots=True)
class PendingAppend:
    """A record whose place in the log is not known yet."""

    record_id: bytes
    kind: str
    data: bytes
    jobs: list[bytes]
    uncertain_since: float | None = None


@dataclass(slots=True)
class IssuedFence:
    """A fence that this entry won and keeps telling to agents."""

    owner: str
    jobs: list[bytes]
    expires_at: float  # wall clock


@dataclass(slots=True)
class EntryState:
    """Everything an entry knows; changed only by ``entry.handle``."""

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
    last_append_flush: float = float("-inf")
    presence_due: float = 0.0
    roster_due: float = 0.0
    # The log.
    log_readable: bool = True
    claims_current_as_of: float = float(
        "-inf"
    )  # the table holds all claims before this
    read_requested_at: float = float("-inf")
    clock_error_s: float = 0.0
    # Takeover, cancellation, answers.
    fences: list[IssuedFence] = field(default_factory=list)
    new_fences: list[IssuedFence] = field(default_factory=list)
    # Tasks that did not start, until the table proves that the job is still owned:
    # (time from which the table must be current, job, indexes).
    pending_requeues: list[tuple[float, bytes, list[int]]] = field(default_factory=list)
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
    housekeeping_due: float = 0.0
    acknowledge_due: float = 0.0
    counters: dict[str, int] = field(default_factory=dict)

    @property
    def incarnation(self):
        """Return the incarnation id of this entry."""
        return self.address.incarnation


def emit(state, command):
    """Add a command to those that the current event returns."""
    state.commands.append(command)


def send(state, stream, message):
    """Send a message on a stream."""
    state.commands.append(Send(stream, message))


def count(state, name, amount=1):
    """Increase a counter that the status shows."""
    state.counters[name] = state.counters.get(name, 0) + amount


def new_request_id(state):
    """Return a number that names a request to a peer or an agent."""
    state.last_request_id += 1
    return state.last_request_id


def new_record_id(state):
    """Return a record id."""
    return ids.record_id(state.rng)


def schedule_check(state, at, job):
    """Have the job looked at when ``at`` (monotonic) has come."""
    heapq.heappush(state.job_timers, (at, job.id))


def enter_phase(state, job, phase, timeout_s=None):
    """Move a job to a phase and look at it again after the timeout."""
    job.phase = phase
    job.phase_entered_at = state.now
    if timeout_s is not None:
        schedule_check(state, state.now + timeout_s, job)
