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
    arrived: float
    deadline: float  # monotonic
    expires_at: float  # wall clock
    spec: JobSpec | None = None
    phase: Phase = Phase.CLAIMING
    since: float = 0.0  # when the phase began
    requests: list[int] = field(default_factory=list)
    peer_requests: list[tuple[int, int]] = field(default_factory=list)
    claimed: bool = True
    claim_record: bytes = b""  # the append that carries the claim
    refusal: Refusal | None = None
    cancelled: bool = False
    # Tasks: an index is queued unless it has an outcome or a location.
    outcomes: dict[int, TaskResult] = field(default_factory=dict)
    located: dict[int, str] = field(default_factory=dict)  # agent incarnation
    may_have_started: bool = False
    reported_by: set[str] = field(default_factory=set)  # agents that hold results
    # The entry that owns the job, when it is another one.
    owner: str = ""
    follow_stream: int | None = None
    # Peers that have not answered LocateJob.
    unanswered: set[int] = field(default_factory=set)
    peers_complete: bool = True
    # Takeover.
    formers: list[str] = field(default_factory=list)
    missing: set[tuple[str, str]] = field(default_factory=set)  # agent, former owner
    provable: bool = True  # the roster of the old owner's agents is known
    inventoried_at: float = 0.0  # when the last inventory came
    recalling: set[str] = field(default_factory=set)
    answer: Answer | None = None
    final: bool = True  # a refusal that is not final is forgotten


@dataclass(slots=True)
class Agent:
    """One incarnation of an agent as this entry sees it."""

    incarnation: str
    hello: Hello
    stream: int | None = None
    lost_at: float = 0.0
    rostered: bool = False
    draining: bool = False
    config_version: int = 0
    # Tasks sent on the open stream and tasks sent on streams that broke.
    sent: dict[bytes, set[int]] = field(default_factory=dict)
    doubtful: dict[bytes, set[int]] = field(default_factory=dict)
    # Jobs of each fence sent on the open stream, by former owner, until answered.
    fence_replies: dict[str, deque[list[bytes]]] = field(default_factory=dict)


@dataclass(slots=True)
class Peer:
    """One incarnation of another entry."""

    address: EntryAddress
    stream: int | None = None
    refused: bool = False  # its address refused a connection
    gone_at: float = float("inf")  # when that, or a newer incarnation, was seen
    seen: float = 0.0  # wall clock of its newest presence


@dataclass(slots=True)
class PendingAppend:
    """A record whose place in the log is not known yet."""

    record: bytes
    kind: str
    data: bytes
    jobs: list[bytes]
    uncertain_since: float | None = None


@dataclass(slots=True)
class IssuedFence:
    """A fence that this entry won and keeps telling to agents."""

    owner: str
    jobs: list[bytes]
    until: float  # wall clock


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
    table: ClaimTable
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
    appends: dict[bytes, PendingAppend] = field(default_factory=dict)
    claim_queue: list[bytes] = field(default_factory=list)
    fence_queue: dict[str, list[bytes]] = field(default_factory=dict)
    cancel_queue: list[bytes] = field(default_factory=list)
    roster_queue: set[str] = field(default_factory=set)
    tokens: float = 0.0
    tokens_at: float = 0.0
    last_flush: float = float("-inf")
    presence_due: float = 0.0
    roster_due: float = 0.0
    # The log.
    log_readable: bool = True
    current_as_of: float = float("-inf")  # the table holds all claims before this
    read_asked_at: float = float("-inf")
    clock_error_s: float = 0.0
    # Takeover, cancellation, answers.
    fences: list[IssuedFence] = field(default_factory=list)
    new_fences: list[IssuedFence] = field(default_factory=list)
    # Tasks that did not start, until the table proves that the job is still owned:
    # (time from which the table must be current, job, indexes).
    unproven: list[tuple[float, bytes, list[int]]] = field(default_factory=list)
    recalls: dict[int, tuple[str, list[bytes]]] = field(default_factory=dict)
    locates: dict[int, bytes] = field(default_factory=dict)
    awaits: dict[int, bytes] = field(default_factory=dict)
    acknowledgements: dict[str, list[bytes]] = field(default_factory=dict)
    kept: deque[bytes] = field(default_factory=deque)
    kept_bytes: int = 0
    active: int = 0  # jobs that have not ended
    timers: list[tuple[float, bytes]] = field(default_factory=list)
    next_request: int = 0
    configured: bool = False
    config_version: int = 0
    drain_until: float | None = None
    drained: bool = False
    retired: bool = False
    housekeeping_due: float = 0.0
    acknowledge_due: float = 0.0
    counters: dict[str, int] = field(default_factory=dict)

    @property
    def me(self):
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


def new_request(state):
    """Return a number that names a request to a peer or an agent."""
    state.next_request += 1
    return state.next_request


def new_record(state):
    """Return a record id."""
    return ids.create_record_id(state.rng)


def wake(state, at, job):
    """Have the job looked at when ``at`` (monotonic) has come."""
    heapq.heappush(state.timers, (at, job.id))


def enter(state, job, phase, timeout_s=None):
    """Move a job to a phase and look at it again after the timeout."""
    job.phase = phase
    job.since = state.now
    if timeout_s is not None:
        wake(state, state.now + timeout_s, job)
