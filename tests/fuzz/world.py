"""Simulated entries and agents with a network and a log service that can fail."""

import random
from collections import deque
from dataclasses import dataclass, field

from tests.fuzz import fifo
from tests.fuzz.log_model import LogModel
from tests.fuzz.oracle import Attempt, Oracle
from turmericknot.conf.schema import AgentSettings, ClaimSettings, EntrySettings
from turmericknot.core import ids
from turmericknot.dispatch import agent, commands, entry, events
from turmericknot.dispatch.tasks import JobSpec, Task
from turmericknot.wire import messages

ENTRY_COUNT, AGENT_COUNT = 3, 3
WALL_CLOCK_OFFSET_S = 1_000_000.0  # wall clock minus simulated time
EVENT_INTERVAL_S = 1e-6  # keeps the times of events distinct
TICK_INTERVAL_S = 0.05
MAX_CLOCK_SKEW_S = 0.5
CLAIM_SETTINGS = ClaimSettings(
    max_key_lifetime_s=30.0,
    max_clock_skew_s=MAX_CLOCK_SKEW_S,
    roster_refresh_s=4.0,
    roster_ttl_s=12.0,
    presence_refresh_s=5.0,
)
# Lifetime of a key, lifetime of a roster entry, and the skew of two clocks.
LOG_RETENTION_S = 30.0 + 12.0 + 2 * MAX_CLOCK_SKEW_S


@dataclass(slots=True)
class Node:
    """An entry or agent process; ``state`` is None while it is not running."""

    name: str
    kind: str
    state: object = None
    incarnation: str = ""
    clock_skew_s: float = 0.0
    is_paused: bool = False
    can_reach_log: bool = True
    pending_read: object = None  # (start time, end offset) of a read of the log
    # (job, index) of the tasks that run at an agent
    running_tasks: list = field(default_factory=list)
    deferred_events: dict = field(default_factory=dict)


@dataclass(slots=True)
class Link:
    """A stream; each direction is a queue of messages, and None marks its end."""

    stream: int
    dialer: Node
    acceptor: Node
    queues: dict = field(default_factory=dict)  # receiving node name -> deque
    is_broken: bool = False


@dataclass(slots=True)
class PendingAppend:
    """A record that a process has sent to the log service."""

    node: Node
    incarnation: str
    record_id: bytes
    data: bytes
    is_answer_lost: bool = False


class World:
    """All processes, links and the log, in simulated time.

    ``step`` counts the actions of a walk.
    """

    def __init__(self, seed, policy=fifo):
        self.rng = random.Random(seed)
        self.policy = policy
        self.now = 100.0
        self.step = 0
        self.log = LogModel(LOG_RETENTION_S)
        self.oracle = Oracle()
        self.links = {}
        self.pending_appends = []
        self.blocked_pairs = set()
        self.last_id = 0
        self.jobs = []
        self.entries = [Node(f"e{i}", "entry") for i in range(ENTRY_COUNT)]
        self.agents = [Node(f"a{i}", "agent") for i in range(AGENT_COUNT)]
        for node in self.nodes:
            self.start_node(node)
        self.run_without_faults(0.5)

    @property
    def nodes(self):
        return self.entries + self.agents

    def allocate_id(self):
        self.last_id += 1
        return self.last_id

    # Processes.

    def start_node(self, node):
        node.clock_skew_s = self.rng.uniform(-MAX_CLOCK_SKEW_S, MAX_CLOCK_SKEW_S)
        node.incarnation = ids.create_incarnation_id(node.name, self.rng)
        node.is_paused, node.pending_read, node.running_tasks = False, None, []
        rng = random.Random(self.rng.random())
        create = self._create_entry if node.kind == "entry" else self._create_agent
        create(node, rng)

    def _create_entry(self, node, rng):
        settings = EntrySettings(node.name, "fd1", "r1", claims=CLAIM_SETTINGS)
        address = messages.EntryAddress(
            node.name, node.incarnation, node.name, "fd1", "r1"
        )
        node.state = entry.create_entry_state(settings, address, rng, self.policy)
        self.deliver_event(node, events.ConfigChanged(1, {"teams": {"t": {}}}))
        self.deliver_event(node, events.Tick())

    def _create_agent(self, node, rng):
        settings = AgentSettings(node.name, "fd1", "r1", result_retention_s=3.0)
        node.state = agent.create_agent_state(settings, node.incarnation, rng)
        self.announce_target(node)

    def announce_target(self, node):
        self.deliver_event(node, events.TargetAnnounced("w", "w", 2, 1.0, 1, 0))

    def crash_node(self, node):
        if node.state is None:
            return
        for link in list(self.links.values()):
            if node in (link.dialer, link.acceptor):
                self.break_link(link)
                link.queues.pop(node.name, None)
        node.state = None
        node.running_tasks = []

    # Events and commands.

    def deliver_event(self, node, event):
        """Pass an event to a process and execute the commands that it returns."""
        if node.state is None or node.is_paused:
            return
        self.now += EVENT_INTERVAL_S
        module = entry if node.kind == "entry" else agent
        wall = WALL_CLOCK_OFFSET_S + self.now + node.clock_skew_s
        for command in module.handle(node.state, event, self.now, wall):
            handler = self.COMMANDS.get(type(command))
            if handler is not None:
                handler(self, node, command)

    def _send_message(self, node, command):
        if isinstance(command.message, messages.Assign):
            self._record_unclaimed_run(node, command.message.job)
        link = self.links.get(command.stream)
        if link is None or link.is_broken:
            return
        receiver = link.acceptor if link.dialer is node else link.dialer
        if receiver.name in link.queues:
            link.queues[receiver.name].append(command.message)

    def _record_unclaimed_run(self, node, job):
        if not node.state.jobs[job].claimed:
            self.oracle.jobs_run_unclaimed.add(job)

    def _close_stream(self, node, command):
        link = self.links.get(command.stream)
        if link is not None:
            self.break_link(link)

    def _answer_request(self, node, command):
        self.oracle.check_answer(command.request, command.answer, self.step)

    def _append_record(self, node, command):
        self.pending_appends.append(
            PendingAppend(node, node.incarnation, command.record_id, command.data)
        )

    def _read_log(self, node, command):
        self.start_log_read(node)

    def _dial_entry(self, node, command):
        """Report a stopped entry as unreachable; ``connect`` opens the links."""
        for target in self.entries:
            if target.name == command.entry_id and target.state is None:
                self.defer_event(node, events.PeerUnreachable(target.name, True))

    def _start_task(self, node, command):
        owner = node.state.running[(command.job, command.task.index)].owner
        self.oracle.check_start(command.job, command.task.index, owner, self.step)
        node.running_tasks.append((command.job, command.task.index))

    def _stop_task(self, node, command):
        if (command.job, command.index) in node.running_tasks:
            self.finish_task(
                node, node.running_tasks.index((command.job, command.index)), 3
            )

    COMMANDS = {
        commands.Send: _send_message,
        commands.CloseStream: _close_stream,
        commands.Respond: _answer_request,
        commands.AppendRecord: _append_record,
        commands.ReadLog: _read_log,
        commands.DialEntry: _dial_entry,
        commands.StartTask: _start_task,
        commands.StopTask: _stop_task,
    }

    # Network.

    def connect(self, dialer, acceptor):
        """Open a stream, also when a broken one between the two still has messages."""
        pair = frozenset((dialer.name, acceptor.name))
        if None in (dialer.state, acceptor.state) or pair in self.blocked_pairs:
            return
        if dialer is acceptor or dialer.is_paused or self.is_connected(pair):
            return
        link = Link(self.allocate_id(), dialer, acceptor)
        link.queues = {dialer.name: deque(), acceptor.name: deque()}
        self.links[link.stream] = link
        if dialer.kind == "agent":
            link.queues[acceptor.name].append(agent.create_hello(dialer.state))
        else:
            link.queues[acceptor.name].append(self._create_peer_hello(dialer))
            link.queues[dialer.name].append(self._create_peer_hello(acceptor))

    def is_connected(self, pair):
        return any(
            not link.is_broken and {link.dialer.name, link.acceptor.name} == pair
            for link in self.links.values()
        )

    def _create_peer_hello(self, node):
        return messages.PeerHello(1, node.state.address, 1)

    def break_link(self, link):
        """Drop the last messages in flight; the end mark reports the break."""
        if link.is_broken:
            return
        link.is_broken = True
        for queue in link.queues.values():
            for _ in range(self.rng.randint(0, len(queue))):
                queue.pop()
            queue.append(None)

    def block_connection(self, first, second):
        pair = frozenset((first.name, second.name))
        self.blocked_pairs.add(pair)
        for link in list(self.links.values()):
            if {link.dialer.name, link.acceptor.name} == pair:
                self.break_link(link)

    def deliver_message(self, link, node):
        """Deliver the next message of one direction."""
        queue = link.queues.get(node.name)
        if not queue or node.state is None or node.is_paused:
            return
        message = queue.popleft()
        if message is None:
            del link.queues[node.name]
            if not link.queues:
                del self.links[link.stream]
        self.deliver_event(node, self._create_event(link, node, message))

    def _create_event(self, link, node, message):
        stream = link.stream
        if node.kind == "agent":
            kinds = events.EntryConnected, events.EntryMessage, events.EntryDisconnected
        elif link.dialer.kind == "agent":
            kinds = events.AgentConnected, events.AgentMessage, events.AgentDisconnected
        else:
            kinds = events.PeerConnected, events.PeerMessage, events.PeerDisconnected
        if message is None:
            return kinds[2](stream)
        opening_types = messages.Hello, messages.Welcome, messages.PeerHello
        return kinds[0 if isinstance(message, opening_types) else 1](stream, message)

    # Log service.

    def start_log_read(self, node):
        if not self.log.is_up or not node.can_reach_log:
            self.defer_event(node, events.LogReadFailed())
            return
        node.pending_read = (self.now, len(self.log.records))

    def defer_event(self, node, event):
        node.deferred_events.setdefault("events", deque()).append(event)

    def complete_log_read(self, node):
        """Deliver the records that were in the log when the read started."""
        if node.pending_read is None or node.state is None or node.is_paused:
            return
        (started_at, end), node.pending_read = node.pending_read, None
        table = node.state.claim_table
        if table.next_offset < self.log.first_offset:
            self.deliver_event(node, events.LogTrimmed(self.log.first_offset))
        for offset in range(node.state.claim_table.next_offset, end):
            data, time = self.log.records[offset]
            self.deliver_event(node, events.LogRecordRead(offset, data, time))
        self.deliver_event(
            node, events.LogCaughtUp(end, WALL_CLOCK_OFFSET_S + self.now, started_at)
        )

    def complete_append(self, append, outcome="ok"):
        """Finish an append with the given outcome.

        "ok" and "lost" write the record if the log can be reached; with "lost", the
        outcome remains unknown to the process. "lost_first" reports an unknown outcome
        before the write, which may follow later. "dropped" never writes the record.
        """
        is_reachable = self.log.is_up and append.node.can_reach_log
        if outcome == "lost_first" and not append.is_answer_lost:
            append.is_answer_lost = True
            self._answer_append(append, events.AppendFailed(append.record_id, None))
            return
        self.pending_appends.remove(append)
        if outcome == "dropped" or not is_reachable:
            written = None if self.rng.random() < 0.5 else False
            self._answer_append(append, events.AppendFailed(append.record_id, written))
            return
        offset = self.log.append(append.data, WALL_CLOCK_OFFSET_S + self.now)
        event = events.AppendSucceeded(append.record_id, offset)
        if outcome == "lost":
            event = events.AppendFailed(append.record_id, None)
        self._answer_append(append, event)

    def _answer_append(self, append, event):
        if not append.is_answer_lost or isinstance(event, events.AppendFailed):
            if append.node.incarnation == append.incarnation:
                self.deliver_event(append.node, event)

    # Callers and workers.

    def new_job(self, size, idempotent, lifetime_s, deadline_s):
        key = f"k{self.allocate_id()}"
        expires_at = WALL_CLOCK_OFFSET_S + self.now + lifetime_s
        job = ids.compute_job_id("t", key, expires_at)
        tasks = [Task(index, job + bytes([index])) for index in range(size)]
        spec = (job, "t", key, expires_at, deadline_s, "c", idempotent, tasks)
        self.jobs.append(spec)
        self.oracle.task_counts[job] = size
        return spec

    def submit(self, node, spec):
        if node.state is None or node.is_paused:
            return
        request = self._record_attempt(node, spec, "submit")
        job = JobSpec(*spec[:7], list(spec[7]), digest=spec[0])
        self.deliver_event(node, events.JobSubmitted(request, job))

    def cancel(self, node, spec):
        if node.state is None or node.is_paused:
            return
        request = self._record_attempt(node, spec, "cancel")
        self.deliver_event(node, events.JobCancelled(request, spec[0]))

    def _record_attempt(self, node, spec, kind):
        request = self.allocate_id()
        # A cancel is answered when the job has ended. A submission may join an earlier
        # one and is then answered by the earlier deadline.
        deadline = self.now + spec[4] if kind == "submit" else self.now + 40.0
        self.oracle.attempts[request] = Attempt(
            spec[0], kind, self.step, deadline, node.incarnation
        )
        return request

    def finish_task(self, node, position, status=0):
        if node.is_paused or node.state is None or not node.running_tasks:
            return
        job, index = node.running_tasks.pop(position % len(node.running_tasks))
        output = job + bytes([index]) if status == 0 else b""
        self.deliver_event(node, events.TaskFinished(job, index, status, output, 1.0))

    # Time.

    def tick_all(self):
        for node in self.nodes:
            if node.state is None or node.is_paused:
                continue
            self.deliver_event(node, events.Tick())
            if node.kind == "agent":
                self.announce_target(node)
            else:
                self._deliver_deferred_events(node)
                self.oracle.check_deadlines(node.incarnation, self.now)

    def _deliver_deferred_events(self, node):
        deferred = node.deferred_events.pop("events", ())
        for event in deferred:
            self.deliver_event(node, event)

    def advance_time(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += min(TICK_INTERVAL_S, max(EVENT_INTERVAL_S, end - self.now))
            self.tick_all()
        self.log.trim(WALL_CLOCK_OFFSET_S + self.now)

    def resume_node(self, node):
        if node.is_paused:
            node.is_paused = False
            self.deliver_event(node, events.Tick())

    def run_without_faults(self, seconds):
        """Connect all processes and make progress for this time, without new faults."""
        end = self.now + seconds
        while self.now < end:
            for dialer in self.agents:
                for acceptor in self.entries:
                    self.connect(dialer, acceptor)
            for i, dialer in enumerate(self.entries):
                for acceptor in self.entries[i + 1 :]:
                    self.connect(dialer, acceptor)
            self.process_pending()
            self.advance_time(TICK_INTERVAL_S)

    def process_pending(self):
        """Complete appends and log reads, deliver all messages and finish all tasks."""
        for append in list(self.pending_appends):
            self.complete_append(append)
        for node in self.entries:
            if node.state is not None:
                if node.pending_read is None:
                    self.start_log_read(node)
                self.complete_log_read(node)
        for _ in range(4):
            for link in list(self.links.values()):
                for node in (link.dialer, link.acceptor):
                    for _ in range(len(link.queues.get(node.name, ()))):
                        self.deliver_message(link, node)
        for node in self.agents:
            for _ in range(len(node.running_tasks)):
                self.finish_task(node, 0)

    def clear_faults(self):
        self.blocked_pairs.clear()
        self.log.is_up = True
        for node in self.nodes:
            node.can_reach_log = True
            self.resume_node(node)
            if node.state is None:
                self.start_node(node)

    def unanswered_attempts(self):
        """Return the unanswered requests to the incarnations that are running."""
        running = {node.incarnation for node in self.entries if node.state is not None}
        return [
            attempt
            for attempt in self.oracle.attempts.values()
            if attempt.answer is None and attempt.incarnation in running
        ]
