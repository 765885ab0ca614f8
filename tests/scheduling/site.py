"""Owners and agents that exchange messages in memory, with a clock set by the test."""

from turmericknot.scheduling import (
    besteffort,
    job_requests,
    owner as decisions,
    ownership,
    reports,
    runs,
    worker_leases,
    worker_lists,
    worker_runs,
    worker_starts,
)
from turmericknot.scheduling.commands import AnswerRequest, SendMessage, StoreRecord
from turmericknot.scheduling.jobs import JobRecord, JobState, RunEnd, StepSpec
from turmericknot.scheduling.worker_types import (
    HoldResult,
    ListedEnd,
    ListedRun,
    SendToOwner,
    StartCall,
    StopCall,
    WorkerLife,
)
from turmericknot.wire import shard_messages as wire

from .delivery import deliver_to_agent, deliver_to_owner

SHARD_COUNT = 1
RUN_S = 10.0  # in which a run would come to 100 percent
JOB = "00000000000000a1"


def create_job_record(tasks=2, cpu=1000, estimate=0.2, **fields):
    """Return the record of a job with one step."""
    fields.setdefault("attempts", 3)
    fields.setdefault("stretch", 1.6)
    fields.setdefault("objective", 0.06)
    step = StepSpec(count=tasks, cpu=cpu, memory=64, estimate=estimate)
    return JobRecord(
        queue="q",
        service="s",
        state=int(JobState.ACTIVE),
        accepted_at=0.0,
        accepted_epoch=0,
        spec="x",
        steps=fields.pop("steps", [step]),
        **fields,
    )


class Entry:
    """One owner; keeps the answers and the records that it wants to store."""

    def __init__(self, name, number):
        self.name = name
        self.owner = decisions.create_owner()
        self.shard = besteffort.open_best_effort_shard(self.owner, number)
        self.answers = []
        self.to_store = []

    def hand_in(self, waiter, now, job=JOB, job_record=None, wait=5.0):
        """Run a job that is not kept."""
        job_record = job_record or create_job_record()
        besteffort.run_job(
            self.owner, self.shard, job, job_record, waiter, now + wait, now
        )
        runs.schedule_tasks(self.owner, now)


class Worker:
    """A worker that starts, ends and stops runs when the test says so."""

    def __init__(self):
        self.running = {}
        self.ends = []
        self.started = []

    def end(self, name, how=RunEnd.DONE):
        """End a run."""
        del self.running[name]
        self.ends.append(ListedEnd(len(self.ends) + 1, name, how))


class Agent:
    """One agent and its worker."""

    def __init__(self, name, cpu=4000):
        self.name = name
        self.cpu = cpu
        self.worker = Worker()
        self.state = None
        self.boot = 0
        self.sequence = 0
        self.start_calls = []
        self.stop_calls = []
        self.auto = True  # carry out calls to the worker at once

    def restart(self, now, reports=True):
        """Start a new process of the agent beside the worker."""
        self.boot += 1
        self.state = worker_runs.create_worker_runs(SHARD_COUNT, 1.1, 1.0, now)
        if reports:
            self.report(now)
            self.hold(now)

    def report(self, now, usable=True, born=1):
        """Let the worker report itself."""
        return worker_runs.worker_reported(
            self.state, self.life(now, usable, born), now
        )

    def life(self, now, usable=True, born=1):
        """Return the worker's life as it would report it now."""
        self.sequence += 1
        return WorkerLife(
            id=f"i-{self.name}",
            born=born,
            service="s",
            usable=usable,
            cpu=self.cpu,
            memory=32768,
            accelerators=0,
            labels=["a", "r1-1"],
            clock=now,
            clock_at=now,
            sequence=self.sequence,
        )

    def hold(self, now):
        """Look at the worker once."""
        call = worker_lists.next_hold_call(self.state, now)
        self.carry_out(now)
        if call is None:
            return None
        ends = [end for end in self.worker.ends if end.number > call.last_seen]
        running = [
            ListedRun(name, min(99, int((now - begun) / RUN_S * 100)))
            for name, begun in self.worker.running.items()
        ]
        result = HoldResult(int(now * 1000), call.life.born, running, ends)
        worker_lists.hold_answered(self.state, call, result, now)
        return call

    def carry_out(self, now):
        """Carry out calls to the worker; return the messages to entries."""
        messages = []
        for command in self.state.take_commands():
            if isinstance(command, StartCall):
                self.start_calls.append(command)
                if self.auto:
                    self.worker.running[command.name] = now
                    self.worker.started.append(command.name)
                    worker_starts.start_confirmed(self.state, command.name, now)
            elif isinstance(command, StopCall):
                self.stop_calls.append(command)
                if self.auto and command.name in self.worker.running:
                    self.worker.end(command.name, RunEnd.STOPPED)
            elif isinstance(command, SendToOwner):
                messages.append((command.stream, command.message))
        return messages


class Site:
    """Entries and agents with links that the test can cut."""

    def __init__(self, entries, agents, now=100.0):
        self.now = now
        self.entries = {entry.name: entry for entry in entries}
        self.agents = {agent.name: agent for agent in agents}
        self.links = set()
        self.streams = 0
        self.sequence = 0
        self.stream_of = {}
        for agent in agents:
            agent.restart(now)
            for entry in entries:
                self.connect(entry, agent)
        self.settle()

    def connect(self, entry, agent):
        """Open a new stream between an entry and an agent."""
        self.streams += 1
        self.links.add((entry.name, agent.name))
        self.stream_of[entry.name, agent.name] = self.streams
        report = worker_runs.worker_report(agent.state)
        hello = wire.AgentHello(1, agent.name, str(agent.boot), "d", report)
        reports.agent_connected(entry.owner, hello, self.now)
        self.renew(entry, agent)

    def cut(self, entry, agent):
        """Close the stream; both sides notice."""
        stream = self.stream_of.pop((entry.name, agent.name))
        self.links.discard((entry.name, agent.name))
        reports.agent_disconnected(entry.owner, agent.name, self.now)
        worker_leases.stream_closed(agent.state, stream)

    def renew(self, entry, agent):
        """Let an agent ask an entry for a grant."""
        self.sequence += 1
        reports.grant_request_received(entry.owner, agent.name, self.sequence, self.now)

    def settle(self):
        """Deliver messages until none is left."""
        for _ in range(50):
            if not self._deliver():
                return
        raise AssertionError("messages do not come to an end")

    def _deliver(self):
        moved = False
        for entry in self.entries.values():
            for command in entry.owner.take_commands():
                moved = self._carry_out(entry, command) or moved
        for agent in self.agents.values():
            for stream, message in agent.carry_out(self.now):
                moved = True
                self._to_entry(agent, stream, message)
        return moved

    def _carry_out(self, entry, command):
        if isinstance(command, AnswerRequest):
            entry.answers.append((command.waiter, command.outcome))
        elif isinstance(command, StoreRecord):
            entry.to_store.append(command)
        elif isinstance(command, SendMessage):
            return self._to_agent(entry, command)
        return False

    def _to_agent(self, entry, command):
        agent = self.agents.get(command.agent)
        stream = self.stream_of.get((entry.name, command.agent))
        if agent is None or stream is None:
            return False
        deliver_to_agent(agent.state, stream, command.message, self.now, self.now)
        return True

    def _to_entry(self, agent, stream, message):
        for (entry_name, agent_name), known in self.stream_of.items():
            if known == stream and agent_name == agent.name:
                owner = self.entries[entry_name].owner
                deliver_to_owner(owner, agent.name, message, self.now)

    def advance(self, seconds, step=0.05, renew=True):
        """Let time pass; agents renew and look, entries decide."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += step
            for entry_name, agent_name in sorted(self.links):
                if renew:
                    self.renew(self.entries[entry_name], self.agents[agent_name])
            self.settle()
            for agent in self.agents.values():
                worker_leases.check_grants(agent.state, self.now)
                agent.hold(self.now)
            self.settle()
            for entry in self.entries.values():
                runs.tick(entry.owner, self.now)
            self.settle()

    def store(self, entry):
        """Let the store take everything that an entry wants to write."""
        while entry.to_store:
            commands, entry.to_store = entry.to_store, []
            for command in commands:
                job_requests.record_stored(entry.owner, command.token, self.now)
            runs.schedule_tasks(entry.owner, self.now)
            self.settle()

    def running(self, job=JOB):
        """Return (agent, run name) of each run of a job at a worker."""
        return [
            (agent.name, name)
            for agent in self.agents.values()
            for name in agent.worker.running
            if name.job == job
        ]


def gain(site, entry, shard, epoch, items=()):
    """Make an entry the owner of a stored shard."""
    ownership.gain_shard(entry.owner, shard, epoch, items, site.now)
    site.settle()
