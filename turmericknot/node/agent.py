"""The agent: reports and orders of the worker beside it, and links to entries."""

import asyncio
import contextlib
import random
import signal

from turmericknot.aio.client import create_http_client
from turmericknot.aio.server import Response, create_http_server
from turmericknot.core.exceptions import (
    MessageError,
    StoreError,
    WorkerRefused,
    WorkerUnavailable,
)
from turmericknot.core.ids import create_incarnation_id
from turmericknot.platform.store import ENTRIES_TOPIC, JOBS_TOPIC, create_store
from turmericknot.platform.workers import (
    WorkerCalls,
    decode_report,
    reporting_worker,
)
from turmericknot.scheduling import (
    worker_leases,
    worker_lists,
    worker_pace,
    worker_runs,
    worker_starts,
)
from turmericknot.scheduling.jobs import agent_key
from turmericknot.scheduling.worker_runs import create_worker_runs
from turmericknot.scheduling.worker_types import LogRun, SendToOwner, StartCall
from turmericknot.utils.logging import get_logger
from turmericknot.wire import shard_messages as wire
from turmericknot.wire.links import LinkCallbacks, create_links
from turmericknot.wire.messages import PROTOCOL_VERSION

from .clock import steady_time
from .constants import REDIAL_LIMIT_S, SHARD_COUNT
from .metrics import start_metrics
from .registration import FORGET_AFTER_S, STALE_AFTER_S, decode_registration
from .tasks import start_task
from .worker_memory import create_worker_memory

GRANT_INTERVAL_S = 0.25
ROOM_REPORT_INTERVAL_S = 0.03
# An entry that has not answered a grant request for this long is dialled anew.
SILENT_S = 1.3
HOLD_WAIT_S = 0.25  # a lease of 1 s survives two lost renewals
HOLD_RETRY_S = 0.1
# Connections to the worker cost a handshake each; a start takes about a millisecond.
MAX_STARTS_AT_ONCE = 8
NOTE_WAIT_S = 0.05  # longest pause of looks for ends that wait for their owner
RETRY_S = 0.3
WATCH_S = 8.0
# A read of all records of the shards; the end of a lease, 1 s, often settles it first.
FORMER_SHARDS_RETRY_S = 1.0
EXIT_MARGIN_S = 1.2  # before the platform would kill the process


class EntryLink:
    """The stream to one entry and its grant requests."""

    __slots__ = ("name", "stream", "sent", "answered_at", "sequence", "room")

    def __init__(self, name, now):
        self.name = name
        self.stream = None
        self.sent = {}  # sequence -> time
        self.answered_at = now
        self.sequence = 0
        self.room = None  # what was last reported of the use by others


class AgentNode:
    """One agent; all of it runs in one event loop."""

    __slots__ = (
        "_settings",
        "_log",
        "_boot",
        "_runs",
        "_links",
        "_entries",
        "_by_stream",
        "_store",
        "_worker",
        "_ended",
        "_failed",
        "_orders",
        "_look",
        "_noted",
        "_starting",
        "_learning",
        "_memory",
    )

    def __init__(self, settings):
        self._settings = settings
        self._log = get_logger()
        self._boot = create_incarnation_id("", random.SystemRandom()).strip("#")
        self._runs = create_worker_runs(
            SHARD_COUNT,
            worker_runs.GRANT_S,
            settings.bounds.lease_ms / 1000,
            steady_time(),
        )
        callbacks = LinkCallbacks(
            self._opened, self._received, self._closed, lambda key, refused: None
        )
        self._links = create_links(callbacks, redial_limit_s=REDIAL_LIMIT_S)
        self._entries = {}  # address -> EntryLink
        self._by_stream = {}  # stream -> address
        self._store = create_store(settings.store.address, settings.store.partitions)
        self._worker = WorkerCalls(create_http_client(settings.worker_address))
        self._ended = asyncio.Event()
        self._failed = ""
        self._orders = set()  # calls to the worker under way
        self._look = asyncio.Event()
        self._noted = asyncio.Event()
        self._starting = asyncio.Semaphore(MAX_STARTS_AT_ONCE)
        self._learning = None  # the task that asks for the former shards
        self._memory = create_worker_memory(self._store, settings.node)

    def failed(self, name):
        """End the process: one of its tasks has failed."""
        self._failed = name
        self._ended.set()

    async def run(self):
        """Serve until SIGTERM; return the exit code."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._ended.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: None)
        await self._links.attach()
        server = create_http_server(self._handle_report)
        await server.start(self._settings.reports_address)
        await start_metrics(self._settings.metrics_address, self._read_metrics)
        self._log.info("agent.started", boot=self._boot)
        start_task(self._recall_worker(), "recall", self.failed)
        start_task(self._memory.run(), "memory", self.failed)
        start_task(self._hold(), "hold", self.failed)
        start_task(self._find_entries(), "entries", self.failed)
        start_task(self._request_grants(), "grants", self.failed)
        start_task(self._report_room(), "room", self.failed)
        await self._ended.wait()
        if self._failed:
            return 1
        await self._drain()
        return 0

    def _read_metrics(self):
        runs = self._runs
        connected = [link for link in self._entries.values() if link.stream]
        gauges = {
            "runs": len(runs.runs),
            "ends_not_noted": len(runs.ends),
            "entries_connected": len(connected),
            "worker_present": int(runs.life is not None),
            "runs_known": int(runs.is_synced),
        }
        return {"runs_ended": runs.highest_end}, gauges

    async def _drain(self):
        """Start nothing new and leave when the runs have ended."""
        self._log.info("agent.stopping", runs=len(self._runs.runs))
        self._runs.is_leaving = True
        self._tell_worker()
        end = steady_time() + self._settings.bounds.stop_grace_s - EXIT_MARGIN_S
        while self._runs.runs and steady_time() < end:
            await asyncio.sleep(0.05)
        self._log.info("agent.stopped", runs=len(self._runs.runs))

    async def _handle_report(self, request):
        """Take a report of the worker, or its leave."""
        worker_id = reporting_worker(request.path)
        if not worker_id:
            return Response(404)
        now = steady_time()
        if request.method == "DELETE":
            if worker_runs.worker_left(self._runs, worker_id, now):
                self._memory.remember(None)
                self._tell_worker()
                self._carry_out()
            return Response(200)
        if request.method != "PUT":
            return Response(405)
        try:
            life = decode_report(worker_id, request.body, now)
            if life.service != self._settings.service:
                raise MessageError(f"report of {worker_id}: other service")
        except MessageError as error:
            self._log.warning("report.refused", reason=str(error))
            return Response(400)
        if worker_runs.worker_reported(self._runs, life, now):
            self._look.set()
            self._tell_worker()
        self._memory.remember(self._runs.life)
        self._carry_out()
        return Response(200, b"{}")

    def _tell_worker(self):
        message = wire.WorkerChanged(worker_runs.worker_report(self._runs))
        for link in self._entries.values():
            if link.stream is not None:
                self._links.send(link.stream, message)
        self._links.flush()

    def _carry_out(self):
        runs = self._runs
        while runs.commands:
            for command in runs.take_commands():
                if isinstance(command, SendToOwner):
                    self._links.send(command.stream, command.message)
                elif isinstance(command, LogRun):
                    self._log.info(command.event, **command.fields)
                else:
                    self._order(command)
        self._links.flush()

    def _order(self, call):
        perform = self._start if isinstance(call, StartCall) else self._stop
        task = start_task(perform(call), "order", self.failed)
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)

    async def _start(self, call):
        try:
            async with self._starting:
                await self._worker.start(call)
        except WorkerRefused as error:
            self._log.info("start.refused", job=call.name.job, reason=error.reason)
            if error.reason == "fence" and call.fence >= self._runs.fence:
                worker_runs.fence_refused(self._runs, steady_time())
            worker_starts.start_refused(self._runs, call.name, error.reason)
        except WorkerUnavailable as error:
            self._log.warning("start.unanswered", job=call.name.job, reason=str(error))
            worker_starts.start_unanswered(self._runs, call.name, steady_time())
            self._look.set()
        else:
            worker_starts.start_confirmed(self._runs, call.name, steady_time())
        self._carry_out()

    async def _stop(self, call):
        try:
            await self._worker.stop(call)
        except (WorkerRefused, WorkerUnavailable) as error:
            # The owner repeats the order until the end is reported.
            self._log.warning("stop.failed", job=call.name.job, reason=str(error))

    async def _recall_worker(self):
        """Go on with the worker of a former process before it reports itself."""
        while not self._runs.has_heard:
            try:
                life = await self._memory.recall()
                break
            except StoreError as error:
                self._log.warning("worker.recall_failed", reason=str(error))
                await asyncio.sleep(RETRY_S)
            except MessageError as error:
                self._log.warning("worker.recall_failed", reason=str(error))
                return
        else:
            return
        if life is None or life.service != self._settings.service:
            return
        if not life.born:
            return  # its lists would not tell a later life under the same id
        try:
            life.clock = await self._worker.ask_clock(life)
        except (WorkerRefused, WorkerUnavailable) as error:
            # Another life, or none: the worker's report tells more.
            self._log.info("worker.recall_failed", reason=str(error))
            return
        life.clock_at = steady_time()
        if worker_runs.worker_recalled(self._runs, life, life.clock_at):
            self._look.set()
        self._carry_out()

    async def _hold(self):
        """Keep the lease and learn of ends, as long as there is a worker."""
        while True:
            now = steady_time()
            call = worker_lists.next_hold(self._runs, now)
            self._carry_out()
            if call is None:
                await _wait_for(self._look, HOLD_RETRY_S)
                self._look.clear()
                continue
            wait_s = 0.0 if self._look.is_set() else HOLD_WAIT_S
            if not self._runs.is_synced:
                wait_s = 0.0
            self._look.clear()
            try:
                result = await self._worker.hold(call, wait_s)
            except WorkerRefused as error:
                self._log.warning("hold.refused", reason=error.reason)
                if error.reason == "fence":
                    worker_runs.fence_refused(self._runs, steady_time())
                await asyncio.sleep(HOLD_RETRY_S)
                continue
            except WorkerUnavailable as error:
                self._log.warning("hold.unanswered", reason=str(error))
                await asyncio.sleep(HOLD_RETRY_S)
                continue
            before = self._runs.is_synced, self._runs.is_outdated
            worker_lists.held(self._runs, call, result, steady_time())
            if self._runs.asks_for_former_shards and self._learning is None:
                learning = self._learn_former_shards()
                self._learning = start_task(learning, "former shards", self.failed)
            if before != (self._runs.is_synced, self._runs.is_outdated):
                self._tell_worker()
            self._carry_out()
            if self._runs.ends:
                await self._wait_for_notes()

    async def _learn_former_shards(self):
        """Read in the store which shards had runs at former processes of the agent."""
        former = None
        while former is None:
            try:
                former = await self._read_former_shards()
            except StoreError as error:
                # Meanwhile new owners, or the end of the lease, may settle it.
                self._log.warning("agent.former_shards_unknown", reason=str(error))
                await asyncio.sleep(FORMER_SHARDS_RETRY_S)
        self._log.info("agent.former_shards", shards=sorted(former))
        worker_leases.former_shards_learned(self._runs, former)
        self._carry_out()

    async def _read_former_shards(self):
        key = agent_key(self._settings.node)
        former = set()
        for shard in range(SHARD_COUNT):
            partition = self._store.shard_partition(shard, SHARD_COUNT)
            _, records = await self._store.newest(JOBS_TOPIC, partition)
            if any(record.key == key and record.value for record in records):
                former.add(shard)
        return former

    async def _wait_for_notes(self):
        """Pause while ends are not noted: each look would return at once."""
        self._noted.clear()
        await _wait_for(self._noted, NOTE_WAIT_S)

    async def _find_entries(self):
        """Follow in the store where entries listen."""
        newest = 0.0
        records = self._store.follow(ENTRIES_TOPIC, WATCH_S, RETRY_S, "entries")
        async for record in records:
            try:
                registration = decode_registration(record.value)
            except MessageError as error:
                self._log.warning("registration.unreadable", reason=str(error))
                continue
            newest = max(newest, registration.time)
            if registration.time > newest - STALE_AFTER_S:
                self._follow(record.key, registration.address)

    def _follow(self, name, address):
        """Dial an entry; a name that has moved leaves its former address."""
        for known, link in list(self._entries.items()):
            if link.name == name and known != address:
                self._links.hang_up(known)
                del self._entries[known]
        if address not in self._entries:
            self._entries[address] = EntryLink(name, steady_time())
            self._links.dial(address, address, self._hello)

    def _forget_unreachable(self, now):
        """Stop dialling entries that are gone; a new registration brings one back."""
        for address, link in list(self._entries.items()):
            if link.stream is None and now - link.answered_at > FORGET_AFTER_S:
                self._log.info("entry.forgotten", entry=address)
                self._links.hang_up(address)
                del self._entries[address]

    def _hello(self):
        return wire.AgentHello(
            PROTOCOL_VERSION,
            self._settings.node,
            self._boot,
            self._settings.failure_domain,
            worker_runs.worker_report(self._runs),
        )

    def _opened(self, stream, first, key):
        link = self._entries.get(key)
        if link is None:
            self._links.drop(stream, "not followed")
            return
        link.stream = stream
        link.room = None
        link.sent.clear()
        link.answered_at = steady_time()
        self._by_stream[stream] = key
        self._log.info("entry.connected", entry=key)
        self._received(stream, [first])
        # The worker may have changed while the greeting was under way.
        report = worker_runs.worker_report(self._runs)
        self._links.send(stream, wire.WorkerChanged(report))
        self._request_grant(link, steady_time())
        self._links.flush()

    def _closed(self, stream, reason):
        link = self._entries.get(self._by_stream.pop(stream, None))
        if link is not None and link.stream == stream:
            link.stream = None
        worker_leases.stream_closed(self._runs, stream)
        self._log.info("entry.disconnected", reason=reason)

    def _received(self, stream, messages):
        link = self._entries.get(self._by_stream.get(stream))
        if link is None or link.stream != stream:
            return
        now = steady_time()
        for message in messages:
            self._from_entry(stream, link, message, now)
        self._carry_out()

    def _from_entry(self, stream, link, message, now):
        runs = self._runs
        match message:
            case wire.Grant():
                sent_at = link.sent.pop(message.sequence, None)
                if sent_at is not None:
                    link.answered_at = now
                elif message.shards:
                    self._request_grant(link, now)
                worker_leases.granted(runs, stream, message, sent_at, now)
            case wire.StartRuns():
                if worker_starts.start_runs(runs, stream, message, now):
                    link.room = None  # report it at once
            case wire.StopRuns():
                worker_starts.stop_runs(runs, stream, message, now)
            case wire.NoteEnds():
                worker_leases.note_ends(runs, message.life, message.numbers)
                if not runs.ends:
                    self._noted.set()

    def _request_grant(self, link, now):
        link.sequence += 1
        link.sent[link.sequence] = now
        self._links.send(link.stream, wire.GrantRequest(link.sequence))

    async def _request_grants(self):
        progress_at = 0.0
        while True:
            await asyncio.sleep(GRANT_INTERVAL_S)
            now = steady_time()
            for address, link in self._entries.items():
                if link.stream is None:
                    continue
                if now - link.answered_at > SILENT_S:
                    self._log.warning("entry.silent", entry=address)
                    stream, link.stream = link.stream, None
                    worker_leases.stream_closed(self._runs, stream)
                    self._links.drop(stream, "silent")
                    continue
                self._request_grant(link, now)
            worker_leases.check_grants(self._runs, now)
            if worker_runs.recall_ended(self._runs, now):
                self._tell_worker()
            self._forget_unreachable(now)
            if now >= progress_at:
                worker_pace.report_progress(self._runs, now)
                progress_at = now + worker_pace.PROGRESS_INTERVAL_S
            self._carry_out()

    async def _report_room(self):
        """Tell each entry what the runs of the others use, when that changes."""
        while True:
            await asyncio.sleep(ROOM_REPORT_INTERVAL_S)
            if self._runs.life is not None:
                worker_starts.start_queued(self._runs, steady_time())
                self._carry_out()
            for link in self._entries.values():
                if link.stream is None:
                    continue
                room = worker_starts.foreign_use(self._runs, link.stream)
                if room != link.room:
                    link.room = room
                    self._links.send(link.stream, wire.RoomReport(*room))
            self._links.flush()


async def _wait_for(event, seconds):
    """Wait for the event, for ``seconds`` at most."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        pass


def run_agent(settings):
    """Run an agent until it is stopped; return its exit code."""

    async def main():
        return await AgentNode(settings).run()

    with contextlib.suppress(KeyboardInterrupt):
        return asyncio.run(main())
    return 0
