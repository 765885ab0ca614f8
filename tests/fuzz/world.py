"""Several entries and agents on a network and a log that lose and delay."""

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

ENTRIES, AGENTS = 3, 3
WALL_CLOCK_OFFSET_S = 1_000_000.0
EVENT_S = 1e-6  # time between two events, so that no two have the same time
TICK_S = 0.05
MAX_SKEW_S = 0.5
CLAIM_SETTINGS = ClaimSettings(
    max_key_lifetime_s=30.0,
    max_clock_skew_s=MAX_SKEW_S,
    roster_refresh_s=4.0,
    roster_ttl_s=12.0,
    presence_refresh_s=5.0,
)
RETENTION_S = 30.0 + 12.0 + 2 * MAX_SKEW_S


@dataclass(slots=True)
class Node:
    """A process; ``state`` is None while it is down."""

    name: str
    kind: str
    state: object = None
    incarnation: str = ""
    skew: float = 0.0
    paused: bool = False
    log_reachable: bool = True
    read: object = None  # (asked at, end) of a read of the log under way
    running: list = field(default_factory=list)  # tasks on an agent's worker
    requests: dict = field(default_factory=dict)


@dataclass(slots=True)
class Link:
    """A stream; each direction is a queue of messages ended by None."""

    stream: int
    dialler: Node
    acceptor: Node
    queues: dict = field(default_factory=dict)  # receiving node name -> deque
    broken: bool = False


@dataclass(slots=True)
class Append:
    node: Node
    incarnation: str
    record: bytes
    data: bytes
    lost: bool = False  # its answer was lost


class World:
    def __init__(self, seed, policy=fifo):
        self.rng = random.Random(seed)
        self.policy = policy
        self.now = 100.0
        self.step = 0
        self.log = LogModel(RETENTION_S)
        self.oracle = Oracle()
        self.links = {}
        self.appends = []
        self.blocked = set()
        self.next_id = 0
        self.jobs = []
        self.entries = [Node(f"e{i}", "entry") for i in range(ENTRIES)]
        self.agents = [Node(f"a{i}", "agent") for i in range(AGENTS)]
        for node in self.nodes:
            self.start(node)
        self.run_without_faults(0.5)

    @property
    def nodes(self):
        return self.entries + self.agents

    def number(self):
        self.next_id += 1
        return self.next_id

    # Processes.

    def start(self, node):
        node.skew = self.rng.uniform(-MAX_SKEW_S, MAX_SKEW_S)
        node.incarnation = ids.incarnation(node.name, self.rng)
        node.paused, node.read, node.running = False, None, []
        rng = random.Random(self.rng.random())
        create = self._create_entry if node.kind == "entry" else self._create_agent
        create(node, rng)

    def _create_entry(self, node, rng):
        settings = EntrySettings(node.name, "fd1", "r1", claims=CLAIM_SETTINGS)
        address = messages.EntryAddress(
            node.name, node.incarnation, node.name, "fd1", "r1"
        )
        node.state = entry.create_entry_state(settings, address, rng, self.policy)
        self.feed(node, events.ConfigChanged(1, {"teams": {"t": {}}}))
        self.feed(node, events.Tick())

    def _create_agent(self, node, rng):
        settings = AgentSettings(node.name, "fd1", "r1", result_retention_s=3.0)
        node.state = agent.create_agent_state(settings, node.incarnation, rng)
        self.announce(node)

    def announce(self, node):
        self.feed(node, events.TargetAnnounced("w", "w", 2, 1.0, 1, 0))

    def crash(self, node):
        if node.state is None:
            return
        for link in list(self.links.values()):
            if node in (link.dialler, link.acceptor):
                self.break_link(link)
                link.queues.pop(node.name, None)
        node.state = None
        node.running = []

    # Events and commands.

    def feed(self, node, event):
        """Hand an event to a process and carry out its commands."""
        if node.state is None or node.paused:
            return
        self.now += EVENT_S
        module = entry if node.kind == "entry" else agent
        wall = WALL_CLOCK_OFFSET_S + self.now + node.skew
        for command in module.handle(node.state, event, self.now, wall):
            handler = self.COMMANDS.get(type(command))
            if handler is not None:
                handler(self, node, command)

    def _send(self, node, command):
        if isinstance(command.message, messages.Assign):
            self._note_unclaimed(node, command.message.job)
        link = self.links.get(command.stream)
        if link is None or link.broken:
            return
        receiver = link.acceptor if link.dialler is node else link.dialler
        if receiver.name in link.queues:
            link.queues[receiver.name].append(command.message)

    def _note_unclaimed(self, node, job):
        if not node.state.jobs[job].claimed:
            self.oracle.unclaimed.add(job)

    def _close(self, node, command):
        link = self.links.get(command.stream)
        if link is not None:
            self.break_link(link)

    def _respond(self, node, command):
        self.oracle.answered(command.request, command.answer, self.step)

    def _append(self, node, command):
        self.appends.append(
            Append(node, node.incarnation, command.record_id, command.data)
        )

    def _read(self, node, command):
        self.ask_log(node)

    def _dial(self, node, command):
        """Tell an entry that an address refuses connections; links open elsewhere."""
        for target in self.entries:
            if target.name == command.entry_id and target.state is None:
                self.feed_later(node, events.PeerUnreachable(target.name, True))

    def _start_task(self, node, command):
        owner = node.state.running[(command.job, command.task.index)].owner
        self.oracle.started(command.job, command.task.index, owner, self.step)
        node.running.append((command.job, command.task.index))

    def _stop_task(self, node, command):
        if (command.job, command.index) in node.running:
            self.finish(node, node.running.index((command.job, command.index)), 3)

    COMMANDS = {
        commands.Send: _send,
        commands.CloseStream: _close,
        commands.Respond: _respond,
        commands.AppendRecord: _append,
        commands.ReadLog: _read,
        commands.DialEntry: _dial,
        commands.StartTask: _start_task,
        commands.StopTask: _stop_task,
    }

    # Network.

    def connect(self, dialler, acceptor):
        """Open a stream, beside an older one that is still draining."""
        pair = frozenset((dialler.name, acceptor.name))
        if None in (dialler.state, acceptor.state) or pair in self.blocked:
            return
        if dialler is acceptor or dialler.paused or self.connected(pair):
            return
        link = Link(self.number(), dialler, acceptor)
        link.queues = {dialler.name: deque(), acceptor.name: deque()}
        self.links[link.stream] = link
        if dialler.kind == "agent":
            link.queues[acceptor.name].append(agent.hello(dialler.state))
        else:
            link.queues[acceptor.name].append(self._peer_hello(dialler))
            link.queues[dialler.name].append(self._peer_hello(acceptor))

    def connected(self, pair):
        return any(
            not link.broken and {link.dialler.name, link.acceptor.name} == pair
            for link in self.links.values()
        )

    def _peer_hello(self, node):
        return messages.PeerHello(1, node.state.address, 1)

    def break_link(self, link):
        """Lose the tail of what is under way; each end notices in its own time."""
        if link.broken:
            return
        link.broken = True
        for queue in link.queues.values():
            for _ in range(self.rng.randint(0, len(queue))):
                queue.pop()
            queue.append(None)

    def block(self, first, second):
        pair = frozenset((first.name, second.name))
        self.blocked.add(pair)
        for link in list(self.links.values()):
            if {link.dialler.name, link.acceptor.name} == pair:
                self.break_link(link)

    def deliver(self, link, node):
        """Deliver the next message of one direction."""
        queue = link.queues.get(node.name)
        if not queue or node.state is None or node.paused:
            return
        message = queue.popleft()
        if message is None:
            del link.queues[node.name]
            if not link.queues:
                del self.links[link.stream]
        self.feed(node, self._event(link, node, message))

    def _event(self, link, node, message):
        stream = link.stream
        if node.kind == "agent":
            kinds = events.EntryConnected, events.EntryMessage, events.EntryDisconnected
        elif link.dialler.kind == "agent":
            kinds = events.AgentConnected, events.AgentMessage, events.AgentDisconnected
        else:
            kinds = events.PeerConnected, events.PeerMessage, events.PeerDisconnected
        if message is None:
            return kinds[2](stream)
        opening = messages.Hello, messages.Welcome, messages.PeerHello
        return kinds[0 if isinstance(message, opening) else 1](stream, message)

    # Log service.

    def ask_log(self, node):
        if not self.log.up or not node.log_reachable:
            self.feed_later(node, events.LogReadFailed())
            return
        node.read = (self.now, len(self.log.records))

    def feed_later(self, node, event):
        node.requests.setdefault("events", deque()).append(event)

    def answer_read(self, node):
        """Hand over the records that lay in the log when the read was asked for."""
        if node.read is None or node.state is None or node.paused:
            return
        (asked_at, end), node.read = node.read, None
        table = node.state.claim_table
        if table.next_offset < self.log.first:
            self.feed(node, events.LogTrimmed(self.log.first))
        for offset in range(node.state.claim_table.next_offset, end):
            data, time = self.log.records[offset]
            self.feed(node, events.LogRecordRead(offset, data, time))
        self.feed(
            node, events.LogCaughtUp(end, WALL_CLOCK_OFFSET_S + self.now, asked_at)
        )

    def land_append(self, pending, answer="ok"):
        """Write a record, or not, and answer, or lose the answer."""
        usable = self.log.up and pending.node.log_reachable
        if answer == "lost_first" and not pending.lost:
            pending.lost = True
            self._append_answer(pending, events.AppendFailed(pending.record, None))
            return
        self.appends.remove(pending)
        if answer == "dropped" or not usable:
            written = None if self.rng.random() < 0.5 else False
            self._append_answer(pending, events.AppendFailed(pending.record, written))
            return
        offset = self.log.append(pending.data, WALL_CLOCK_OFFSET_S + self.now)
        event = events.AppendSucceeded(pending.record, offset)
        if answer == "lost":
            event = events.AppendFailed(pending.record, None)
        self._append_answer(pending, event)

    def _append_answer(self, pending, event):
        if not pending.lost or isinstance(event, events.AppendFailed):
            if pending.node.incarnation == pending.incarnation:
                self.feed(pending.node, event)

    # Callers and workers.

    def new_job(self, size, idempotent, lifetime_s, deadline_s):
        key = f"k{self.number()}"
        expires_at = WALL_CLOCK_OFFSET_S + self.now + lifetime_s
        job = ids.job_id("t", key, expires_at)
        tasks = [Task(index, job + bytes([index])) for index in range(size)]
        spec = (job, "t", key, expires_at, deadline_s, "c", idempotent, tasks)
        self.jobs.append(spec)
        self.oracle.sizes[job] = size
        return spec

    def submit(self, node, spec):
        if node.state is None or node.paused:
            return
        request = self._attempt(node, spec, "submit")
        job = JobSpec(*spec[:7], list(spec[7]), digest=spec[0])
        self.feed(node, events.JobSubmitted(request, job))

    def cancel(self, node, spec):
        if node.state is None or node.paused:
            return
        request = self._attempt(node, spec, "cancel")
        self.feed(node, events.JobCancelled(request, spec[0]))

    def _attempt(self, node, spec, kind):
        request = self.number()
        # A cancel waits for the job's end; a submission joins an earlier deadline.
        deadline = self.now + spec[4] if kind == "submit" else self.now + 40.0
        self.oracle.attempts[request] = Attempt(
            spec[0], kind, self.step, deadline, node.incarnation
        )
        return request

    def finish(self, node, position, status=0):
        if node.paused or node.state is None or not node.running:
            return
        job, index = node.running.pop(position % len(node.running))
        output = job + bytes([index]) if status == 0 else b""
        self.feed(node, events.TaskFinished(job, index, status, output, 1.0))

    # Time.

    def tick(self):
        for node in self.nodes:
            if node.state is None or node.paused:
                continue
            self.feed(node, events.Tick())
            if node.kind == "agent":
                self.announce(node)
            else:
                self._drain_events(node)
                self.oracle.check_deadlines(node.incarnation, self.now)

    def _drain_events(self, node):
        waiting = node.requests.pop("events", ())
        for event in waiting:
            self.feed(node, event)

    def advance(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += min(TICK_S, max(EVENT_S, end - self.now))
            self.tick()
        self.log.trim(WALL_CLOCK_OFFSET_S + self.now)

    def resume(self, node):
        if node.paused:
            node.paused = False
            self.feed(node, events.Tick())

    def run_without_faults(self, seconds):
        """Let everything that can happen happen, without faults, for a while."""
        end = self.now + seconds
        while self.now < end:
            for dialler in self.agents:
                for acceptor in self.entries:
                    self.connect(dialler, acceptor)
            for i, dialler in enumerate(self.entries):
                for acceptor in self.entries[i + 1 :]:
                    self.connect(dialler, acceptor)
            self.flow()
            self.advance(TICK_S)

    def flow(self):
        """Deliver what is under way, answer the log, finish tasks."""
        for pending in list(self.appends):
            self.land_append(pending)
        for node in self.entries:
            if node.state is not None:
                if node.read is None:
                    self.ask_log(node)
                self.answer_read(node)
        for _ in range(4):
            for link in list(self.links.values()):
                for node in (link.dialler, link.acceptor):
                    for _ in range(len(link.queues.get(node.name, ()))):
                        self.deliver(link, node)
        for node in self.agents:
            for _ in range(len(node.running)):
                self.finish(node, 0)

    def heal(self):
        self.blocked.clear()
        self.log.up = True
        for node in self.nodes:
            node.log_reachable = True
            self.resume(node)
            if node.state is None:
                self.start(node)

    def unanswered(self):
        """Return requests of living incarnations that have no answer."""
        alive = {node.incarnation for node in self.entries if node.state is not None}
        return [
            attempt
            for attempt in self.oracle.attempts.values()
            if attempt.answer is None and attempt.entry in alive
        ]
