"""Owners and agents that exchange messages in memory; the test sets the clock."""

from turmericknot.scheduling import (
    besteffort,
    job_requests,
    leaving,
    owner as decisions,
    ownership,
    reports,
    runs,
    worker_crashes,
    worker_health,
    worker_leases,
    worker_lists,
    worker_runs,
    worker_starts,
)
from turmericknot.scheduling.commands import AnswerRequest, SendMessage, StoreRecord
from turmericknot.scheduling.jobs import JobRecord, JobState, RunEnd, StepSpec
from turmericknot.scheduling.worker_types import (
    LeaseRenewalResult,
    ListedEnd,
    ListedRun,
    SendToEntries,
    SendToOwner,
    StartCall,
    StopCall,
    WorkerLife,
)
from turmericknot.wire import shard_messages as wire

from .delivery import deliver_to_agent, deliver_to_owner

SHARD_COUNT = 1
FULL_RUN_S = 10.0  # time in which a run would reach 100 percent
CRASH_DELAY_S = 0.01  # from the start of a deadly task to the crash of its worker
ALL_STREAMS = None  # in place of the stream of a message to all entries
CRASHED_S = 3.0  # from the crash of a worker to the report of its next process
JOB_ID = "00000000000000a1"


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
    """An owner; collects its answers and the records that it wants to store."""

    def __init__(self, name, number):
        self.name = name
        self.owner = decisions.create_owner()
        self.shard = besteffort.open_best_effort_shard(self.owner, number)
        self.answers = []
        self.pending_records = []

    def submit_best_effort(self, waiter, now, job=JOB_ID, job_record=None, wait=5.0):
        """Submit a best-effort job."""
        job_record = job_record or create_job_record()
        besteffort.run_job(
            self.owner, self.shard, job, job_record, waiter, now + wait, now
        )
        runs.schedule_tasks(self.owner, now)


class Worker:
    """A worker whose runs start, end and stop when the test says so."""

    def __init__(self):
        self.running = {}
        self.ends = []
        self.started = []

    def end_run(self, name, how=RunEnd.DONE):
        """End a run."""
        del self.running[name]
        self.ends.append(ListedEnd(len(self.ends) + 1, name, how))


class Agent:
    """An agent and its worker."""

    def __init__(self, name, cpu=4000, failure_domain="d"):
        self.name = name
        self.cpu = cpu
        self.failure_domain = failure_domain
        self.worker = Worker()
        self.state = None
        self.boot = 0
        self.sequence = 0
        self.start_calls = []
        self.stop_calls = []
        self.has_changed = False  # whether to report the worker to the entries
        self.unsent_messages = []  # (stream, message)
        self.executes_calls = True  # whether calls to the worker take effect at once
        self.deadly_tasks = set()  # (job, step, index) that crash the worker
        self.crashes = []  # (time, names of the runs) of each crash of the worker
        self.crashes_at = None
        self.down_until = None
        self.is_cut_off = False  # nothing passes between the agent and its worker
        self.born = 1
        self.leaves_at = None
        self.judges_worker = False
        self.run_s = None  # after this time a run is done; None: when the test says so
        self.fails = lambda name: False  # whether a run fails as soon as it starts

    def restart(self, now, reports=True):
        """Start a new process of the agent; the worker goes on running."""
        self.boot += 1
        self.state = worker_runs.create_worker_runs(SHARD_COUNT, 1.1, 1.0, now)
        if self.judges_worker:
            worker_health.enable(self.state, now)
        if reports:
            self.report(now)
            self.renew_lease(now)

    def report(self, now, usable=True, born=None):
        """Deliver a report of the worker."""
        return worker_runs.worker_reported(
            self.state, self.life(now, usable, born or self.born), now
        )

    def crash(self, now, down_s=CRASHED_S):
        """End the worker's process, and all of its runs."""
        self.crashes.append((now, list(self.worker.running)))
        self.worker.running.clear()
        self.worker.ends.clear()
        self.crashes_at = None
        self.down_until = now + down_s

    def check_crash(self, now):
        """Crash the worker, or report its next process, when it is time.

        Return whether the agent has something to tell the entries.
        """
        if self.crashes_at is not None and now >= self.crashes_at:
            self.crash(now)
        if self.down_until is None or now < self.down_until:
            return False
        self.down_until = None
        self.born += 1
        return self.report(now)

    def life(self, now, usable=True, born=1):
        """Return the WorkerLife that the worker would report now."""
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
            leaves_at=self.leaves_at,
        )

    def renew_lease(self, now):
        """Make one lease renewal."""
        call = worker_lists.next_lease_renewal(self.state, now)
        self.unsent_messages = self.execute_calls(now)
        if call is None:
            return None
        if self.down_until is not None or self.is_cut_off:
            self.has_changed |= worker_crashes.worker_unreachable(
                self.state, now, is_silent=self.is_cut_off
            )
            worker_lists.lease_renewal_not_sent(self.state, call)
            return call
        self._end_runs(now)
        ends = [end for end in self.worker.ends if end.number > call.last_seen]
        full_run_s = self.run_s or FULL_RUN_S
        running = [
            ListedRun(name, min(99, int((now - started_at) / full_run_s * 100)))
            for name, started_at in self.worker.running.items()
        ]
        was_reachable = self.state.unreachable_since is None
        result = LeaseRenewalResult(int(now * 1000), call.life.born, running, ends)
        worker_lists.lease_renewal_answered(self.state, call, result, now)
        is_reachable = self.state.unreachable_since is None
        self.has_changed = is_reachable != was_reachable
        return call

    def _end_runs(self, now):
        for name, started_at in list(self.worker.running.items()):
            if self.run_s is not None and now - started_at >= self.run_s - 1e-9:
                self.worker.end_run(name)

    def execute_calls(self, now):
        """Execute calls to the worker; return the messages to entries."""
        messages, self.unsent_messages = self.unsent_messages, []
        for command in self.state.pop_commands():
            if isinstance(command, StartCall):
                self.start_calls.append(command)
                if self.down_until is not None:
                    worker_starts.start_refused(self.state, command.name, "unreachable")
                    self.has_changed |= worker_crashes.worker_unreachable(
                        self.state, now
                    )
                elif self.executes_calls:
                    self.worker.running[command.name] = now
                    self.worker.started.append(command.name)
                    worker_crashes.worker_answered(self.state, now)
                    worker_starts.start_confirmed(self.state, command.name, now)
                    name = command.name
                    if (name.job, name.step, name.index) in self.deadly_tasks:
                        self.crashes_at = now + CRASH_DELAY_S
                    elif self.fails(name):
                        self.worker.end_run(name, RunEnd.FAILED)
            elif isinstance(command, StopCall):
                self.stop_calls.append(command)
                if self.executes_calls and command.name in self.worker.running:
                    self.worker.end_run(command.name, RunEnd.STOPPED)
            elif isinstance(command, SendToOwner):
                messages.append((command.stream, command.message))
            elif isinstance(command, SendToEntries):
                messages.append((ALL_STREAMS, command.message))
        return messages


class Site:
    """Entries and agents with links that the test can close."""

    def __init__(self, entries, agents, now=100.0):
        self.now = now
        self.entries = {entry.name: entry for entry in entries}
        self.agents = {agent.name: agent for agent in agents}
        self.links = set()
        self.last_stream = 0
        self.sequence = 0
        self.stream_numbers = {}
        for agent in agents:
            agent.restart(now)
            for entry in entries:
                self.connect(entry, agent)
        self.deliver_all()

    def connect(self, entry, agent):
        """Open a new stream between an entry and an agent."""
        self.last_stream += 1
        self.links.add((entry.name, agent.name))
        self.stream_numbers[entry.name, agent.name] = self.last_stream
        report = worker_runs.worker_report(agent.state)
        domain = agent.failure_domain
        hello = wire.AgentHello(1, agent.name, str(agent.boot), domain, report)
        reports.agent_connected(entry.owner, hello, self.now)
        self.renew_grant(entry, agent)
        for message in worker_crashes.recent_crash_reports(agent.state, self.now):
            deliver_to_owner(entry.owner, agent.name, message, self.now)
        self._report_health(agent, [self.last_stream])

    def send_worker_report(self, agent):
        """Let an agent report its worker to all connected entries."""
        report = worker_runs.worker_report(agent.state)
        for entry_name, agent_name in sorted(self.links):
            if agent_name == agent.name:
                reports.worker_changed(
                    self.entries[entry_name].owner, agent.name, report, self.now
                )

    def announce_leave(self, agent, seconds):
        """Let the worker report that it leaves after this time at the earliest."""
        agent.leaves_at = self.now + seconds
        agent.report(self.now, usable=False)
        self.send_worker_report(agent)
        worker_starts.start_queued_runs(agent.state, self.now)
        leaving.report_runs_at_risk(agent.state, self.now)
        self.deliver_all()

    def end_worker(self, agent):
        """End the process of the worker, which tells its agent."""
        agent.worker.running.clear()
        worker_runs.worker_left(agent.state, agent.state.life.id, self.now)
        self.send_worker_report(agent)
        self.deliver_all()

    def disconnect(self, entry, agent):
        """Close the stream; both sides are notified."""
        stream = self.stream_numbers.pop((entry.name, agent.name))
        self.links.discard((entry.name, agent.name))
        reports.agent_disconnected(entry.owner, agent.name, self.now)
        worker_leases.stream_closed(agent.state, stream)
        worker_health.stream_closed(agent.state, stream)

    def renew_grant(self, entry, agent):
        """Let an agent request a grant from an entry."""
        self.sequence += 1
        reports.grant_request_received(entry.owner, agent.name, self.sequence, self.now)

    def deliver_all(self):
        """Deliver messages until none is left."""
        for _ in range(50):
            if not self._deliver():
                return
        raise AssertionError("messages are still being sent after 50 rounds")

    def _deliver(self):
        has_progressed = False
        for entry in self.entries.values():
            for command in entry.owner.pop_commands():
                has_progressed = self._execute_command(entry, command) or has_progressed
        for agent in self.agents.values():
            addressed = []
            for stream, message in agent.execute_calls(self.now):
                has_progressed = True
                self._deliver_to_entry(agent, stream, message)
                addressed.append(stream)
            if worker_health.pop_change(agent.state, self.now):
                addressed = [
                    stream
                    for (_, name), stream in self.stream_numbers.items()
                    if name == agent.name
                ]
            self._report_health(agent, addressed)
        return has_progressed

    def _report_health(self, agent, streams):
        for stream, message in worker_health.due_reports(
            agent.state, streams, self.now
        ):
            self._deliver_to_entry(agent, stream, message)

    def _execute_command(self, entry, command):
        if isinstance(command, AnswerRequest):
            entry.answers.append((command.waiter, command.outcome))
        elif isinstance(command, StoreRecord):
            entry.pending_records.append(command)
        elif isinstance(command, SendMessage):
            return self._deliver_to_agent(entry, command)
        return False

    def _deliver_to_agent(self, entry, command):
        agent = self.agents.get(command.agent)
        stream = self.stream_numbers.get((entry.name, command.agent))
        if agent is None or stream is None:
            return False
        deliver_to_agent(agent.state, stream, command.message, self.now, self.now)
        return True

    def _deliver_to_entry(self, agent, stream, message):
        for (entry_name, agent_name), known in self.stream_numbers.items():
            if stream in (known, ALL_STREAMS) and agent_name == agent.name:
                owner = self.entries[entry_name].owner
                deliver_to_owner(owner, agent.name, message, self.now)

    def advance(self, seconds, step=0.05, renew_grants=True):
        """Advance the clock in steps.

        In each step, agents renew grants and leases, and entries tick.
        """
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += step
            for entry_name, agent_name in sorted(self.links):
                if renew_grants:
                    self.renew_grant(self.entries[entry_name], self.agents[agent_name])
            self.deliver_all()
            for agent in self.agents.values():
                if agent.check_crash(self.now):
                    self.send_worker_report(agent)
                worker_leases.check_grants(agent.state, self.now)
                agent.renew_lease(self.now)
                if agent.has_changed:
                    agent.has_changed = False
                    self.send_worker_report(agent)
            self.deliver_all()
            for entry in self.entries.values():
                runs.tick(entry.owner, self.now)
            self.deliver_all()

    def store_records(self, entry):
        """Store all records that an entry wants to write."""
        while entry.pending_records:
            commands, entry.pending_records = entry.pending_records, []
            for command in commands:
                epoch = entry.owner.shards[command.shard].epoch
                job_requests.record_stored(entry.owner, command, epoch, self.now)
            runs.schedule_tasks(entry.owner, self.now)
            self.deliver_all()

    def running(self, job=JOB_ID):
        """Return (agent, run name) of each run of a job on a worker."""
        return [
            (agent.name, name)
            for agent in self.agents.values()
            for name in agent.worker.running
            if name.job == job
        ]


def gain_shard(site, entry, shard, epoch, items=()):
    """Make an entry the owner of a shard of durable jobs."""
    ownership.gain_shard(entry.owner, shard, epoch, items, site.now)
    site.deliver_all()
