"""The agent: controls the worker on its VM for the entries that own shards."""

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
    WorkerSilent,
    WorkerUnavailable,
)
from turmericknot.core.ids import create_incarnation_id
from turmericknot.platform.store import JOBS_TOPIC, create_store
from turmericknot.platform.workers import (
    WorkerClient,
    decode_worker_report,
    worker_id_from_path,
)
from turmericknot.scheduling import (
    evacuation,
    leaving,
    worker_crashes,
    worker_health,
    worker_leases,
    worker_lists,
    worker_pace,
    worker_runs,
    worker_starts,
)
from turmericknot.scheduling.jobs import agent_key
from turmericknot.scheduling.renewal_pace import create_renewal_pace
from turmericknot.scheduling.worker_runs import create_worker_runs
from turmericknot.scheduling.worker_types import (
    AgentLogLine,
    SendToEntries,
    SendToOwner,
    StartCall,
)
from turmericknot.utils.logging import get_logger
from turmericknot.wire import shard_messages as wire

from . import health_reports
from .clock import steady_time
from .constants import SHARD_COUNT
from .entry_links import create_entry_links
from .metrics import start_metrics_server
from .tasks import start_background_task, start_periodic_task, wait_for_event
from .traffic_log import log_traffic
from .worker_state import create_worker_state_store

GRANT_CHECK_INTERVAL_S = 0.25
QUEUE_CHECK_INTERVAL_S = 0.03
RENEWAL_RETRY_DELAY_S = 0.1
# A worker may reset each connection at once; renewals are at least this far apart then.
LOST_RENEWAL_INTERVAL_S = 0.05
# Every concurrent start needs a connection of its own, with a handshake; a start takes
# about a millisecond.
MAX_CONCURRENT_STARTS = 8
# Longest pause between renewals while ends of durable jobs wait for their owners.
ACKNOWLEDGEMENT_WAIT_S = 0.05
RETRY_DELAY_S = 0.3
# Each attempt reads all records of all shards. Often the end of the worker's lease,
# after 1 s, makes it unnecessary.
INHERITED_SHARDS_RETRY_DELAY_S = 1.0
SIGKILL_MARGIN_S = 1.2  # the process exits this long before the platform's SIGKILL


class AgentNode:
    """One agent; it runs in one event loop."""

    __slots__ = (
        "_settings",
        "_log",
        "_boot_id",
        "_runs",
        "_entries",
        "_links",
        "_store",
        "_worker_client",
        "_shutdown",
        "_failed_task",
        "_worker_calls",
        "_renew_now",
        "_renewal_pace",
        "_ends_acknowledged",
        "_start_slots",
        "_inherited_shards_task",
        "_worker_state",
    )

    def __init__(self, settings):
        self._settings = settings
        self._log = get_logger()
        self._boot_id = create_incarnation_id("", random.SystemRandom()).strip("#")
        self._runs = create_worker_runs(
            SHARD_COUNT,
            worker_runs.GRANT_S,
            settings.bounds.lease_ms / 1000,
            steady_time(),
        )
        if settings.options.worker_health:
            worker_health.enable(self._runs, steady_time())
        self._store = create_store(settings.store.address, settings.store.partitions)
        self._entries = create_entry_links(
            settings,
            self._boot_id,
            self._runs,
            self._store,
            self._handle_entry_messages,
        )
        self._links = self._entries.links
        self._worker_client = WorkerClient(create_http_client(settings.worker_address))
        self._shutdown = asyncio.Event()
        self._failed_task = ""
        self._worker_calls = set()  # start and stop calls in flight
        self._renew_now = asyncio.Event()
        self._renewal_pace = create_renewal_pace()
        self._ends_acknowledged = asyncio.Event()
        self._start_slots = asyncio.Semaphore(MAX_CONCURRENT_STARTS)
        self._inherited_shards_task = None
        self._worker_state = create_worker_state_store(self._store, settings.node)

    def on_task_failure(self, name):
        """Shut down because a background task has failed."""
        self._failed_task = name
        self._shutdown.set()

    async def run(self):
        """Serve until SIGTERM; return the exit code."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._shutdown.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: None)
        await self._links.attach()
        server = create_http_server(self._handle_worker_report)
        await server.start(self._settings.reports_address)
        await start_metrics_server(
            self._settings.metrics_address,
            self._read_metric_values,
            self._links.traffic,
        )
        self._log.info("agent.started", boot=self._boot_id)
        start_background_task(self._restore_worker(), "recall", self.on_task_failure)
        start_background_task(self._worker_state.run(), "memory", self.on_task_failure)
        for create_coroutine, name in (
            (self._renew_lease, "hold"),
            (self._entries.run, "entries"),
            (self._check_grants, "grants"),
            (self._start_queued_runs, "queue"),
            (lambda: log_traffic(self._links.traffic, "agent"), "traffic"),
        ):
            start_periodic_task(create_coroutine, name, self.on_task_failure)
        await self._shutdown.wait()
        if self._failed_task:
            return 1
        await self._drain()
        return 0

    def _read_metric_values(self):
        runs = self._runs
        gauges = {
            "runs": len(runs.runs),
            "ends_not_noted": len(runs.ends),
            "entries_connected": self._entries.connected_count,
            "worker_present": int(runs.life is not None),
            "runs_known": int(runs.is_synced),
            "evacuated": int(runs.evacuation.is_evacuated),
        }
        counters = {
            "runs_ended": runs.last_listed_end,
            "starts_refused_evacuated": runs.evacuation.refused_starts,
            "refusals_contradicted": runs.contradicted_refusals,
        }
        health_counters, health_gauges = health_reports.metric_values(runs)
        return counters | health_counters, gauges | health_gauges

    async def _drain(self):
        """Refuse new runs and wait until the present ones have ended."""
        self._log.info("agent.stopping", runs=len(self._runs.runs))
        self._runs.is_shutting_down = True
        self._entries.send_worker_report()
        deadline = steady_time() + self._settings.bounds.stop_grace_s - SIGKILL_MARGIN_S
        while self._runs.runs and steady_time() < deadline:
            await asyncio.sleep(0.05)
        self._log.info("agent.stopped", runs=len(self._runs.runs))

    async def _handle_worker_report(self, request):
        """Handle a report of the worker (PUT) or its departure (DELETE)."""
        worker_id = worker_id_from_path(request.path)
        if not worker_id:
            return Response(404)
        now = steady_time()
        if request.method == "DELETE":
            if worker_runs.worker_left(self._runs, worker_id, now):
                self._worker_state.save(None)
                self._entries.send_worker_report()
                self._execute_commands()
            return Response(200)
        if request.method != "PUT":
            return Response(405)
        try:
            life = decode_worker_report(worker_id, request.body, now)
            if life.service != self._settings.service:
                raise MessageError(f"report of {worker_id}: belongs to another service")
        except MessageError as error:
            self._log.warning("report.refused", reason=str(error))
            return Response(400)
        if worker_runs.worker_reported(self._runs, life, now):
            self._renew_now.set()
            self._entries.send_worker_report()
            worker_starts.start_queued_runs(self._runs, now)
        leaving.report_runs_at_risk(self._runs, now)
        self._worker_state.save(self._runs.life)
        self._execute_commands()
        return Response(200, b"{}")

    def _execute_commands(self):
        runs = self._runs
        addressed_streams = set()
        while runs.commands:
            for command in runs.pop_commands():
                if isinstance(command, SendToOwner):
                    self._links.send(command.stream, command.message)
                    addressed_streams.add(command.stream)
                elif isinstance(command, SendToEntries):
                    self._entries.send_crash(command.message)
                elif isinstance(command, AgentLogLine):
                    self._log.info(command.event, **command.fields)
                else:
                    self._call_worker(command)
        if addressed_streams:
            self._entries.attach_usage_reports(addressed_streams)
        self._entries.report_health_changes()
        self._links.flush()

    def _call_worker(self, call):
        method = self._start_run if isinstance(call, StartCall) else self._stop_run
        task = start_background_task(method(call), "order", self.on_task_failure)
        self._worker_calls.add(task)
        task.add_done_callback(self._worker_calls.discard)

    async def _start_run(self, call):
        try:
            async with self._start_slots:
                await self._worker_client.start(call, lambda: self._may_send(call))
        except WorkerRefused as error:
            self._log.info("start.refused", job=call.name.job, reason=error.reason)
            if error.reason == "fence" and call.fence >= self._runs.fence:
                worker_runs.fence_refused(self._runs, steady_time())
            worker_health.start_rejected(
                self._runs, call.name, error.reason, steady_time()
            )
            # Removes the run, which has no part in a crash that the refusal shows.
            worker_starts.start_refused(self._runs, call.name, error.reason)
            self._record_refusal(error)
        except WorkerUnavailable as error:
            self._log.warning("start.unanswered", job=call.name.job, reason=str(error))
            self._renewal_pace.record_lost_call(steady_time())
            worker_starts.start_unanswered(self._runs, call.name, steady_time())
            self._renew_now.set()
        except Exception:
            # The start may have been sent, so it is settled like one without an answer.
            self._log.exception("start.failed", job=call.name.job)
            worker_starts.start_unanswered(self._runs, call.name, steady_time())
            self._renew_now.set()
        else:
            self._record_answer()
            worker_starts.start_confirmed(self._runs, call.name, steady_time())
        self._execute_commands()

    def _may_send(self, call):
        return worker_starts.may_send_start(self._runs, call, steady_time())

    async def _stop_run(self, call):
        try:
            await self._worker_client.stop(call)
        except (WorkerRefused, WorkerUnavailable) as error:
            # The owner repeats the stop until the end of the run is reported.
            self._log.warning("stop.failed", job=call.name.job, reason=str(error))
        except Exception:
            self._log.exception("stop.failed", job=call.name.job)

    async def _restore_worker(self):
        """Use the worker that the previous process stored, until its next report."""
        while not self._runs.has_report:
            try:
                life = await self._worker_state.load()
                break
            except StoreError as error:
                self._log.warning("worker.recall_failed", reason=str(error))
                await asyncio.sleep(RETRY_DELAY_S)
            except MessageError as error:
                self._log.warning("worker.recall_failed", reason=str(error))
                return
        else:
            return
        if life is None or life.service != self._settings.service:
            return
        if not life.born:
            return  # without a start time, a restart under the same id goes unnoticed
        try:
            life.clock = await self._worker_client.read_clock(life)
        except (WorkerRefused, WorkerUnavailable) as error:
            # The worker has restarted or does not answer: wait for its next report.
            self._log.info("worker.recall_failed", reason=str(error))
            return
        life.clock_at = steady_time()
        if worker_runs.worker_recalled(self._runs, life, life.clock_at):
            self._renew_now.set()
        self._execute_commands()

    async def _renew_lease(self):
        """Renew the worker's lease and collect the ends of runs."""
        while True:
            runs = self._runs
            is_urgent = self._renew_now.is_set() or runs.has_unanswered_starts
            # Renewals after a lost answer do not wait either, so the lease survives
            # three lost answers in a row.
            wait_s = self._renewal_pace.wait_s(steady_time())
            if is_urgent or not runs.is_synced:
                wait_s = 0.0
            self._renew_now.clear()
            delay_s = await self._renew_lease_once(wait_s)
            if delay_s:
                await wait_for_event(self._renew_now, delay_s)
            elif self._runs.first_durable_end is not None:
                await self._wait_until_ends_acknowledged()

    async def _renew_lease_once(self, wait_s):
        """Make one renewal; return the delay until the next one in seconds.

        A renewal that waits for the end of a run is joined by a second one, which does
        not wait, when the answer to a start is lost meanwhile.
        """
        renewal = asyncio.ensure_future(self._send_renewal(wait_s))
        requested = asyncio.ensure_future(self._renew_now.wait())
        try:
            await asyncio.wait(
                (renewal, requested), return_when=asyncio.FIRST_COMPLETED
            )
            if not renewal.done():
                self._renew_now.clear()
                await self._send_renewal(0.0)
            return await renewal
        finally:
            requested.cancel()
            renewal.cancel()

    async def _send_renewal(self, wait_s):
        now = steady_time()
        call = worker_lists.next_lease_renewal(self._runs, now)
        self._execute_commands()
        if call is None:
            return RENEWAL_RETRY_DELAY_S
        try:
            answer_time_s = self._renewal_pace.answer_time_s(now)
            result = await self._worker_client.renew_lease(call, wait_s, answer_time_s)
        except WorkerRefused as error:
            self._log.warning("hold.refused", reason=error.reason)
            self._record_refusal(error)
            if error.reason == "unreachable":
                worker_lists.lease_renewal_not_sent(self._runs, call)
                self._execute_commands()
            if error.reason == "fence":
                worker_runs.fence_refused(self._runs, steady_time())
            return RENEWAL_RETRY_DELAY_S
        except WorkerUnavailable as error:
            # Until the next answer, no end of a run is seen and the lease runs out: the
            # next renewal does not wait.
            self._log.warning("hold.unanswered", reason=str(error))
            self._renewal_pace.record_lost_renewal(steady_time())
            elapsed_s = steady_time() - now
            await asyncio.sleep(max(0.0, LOST_RENEWAL_INTERVAL_S - elapsed_s))
            return 0.0
        self._renewal_pace.record_answer()
        flags_before = self._worker_flags()
        worker_lists.lease_renewal_answered(self._runs, call, result, steady_time())
        if self._runs.needs_inherited_shards and self._inherited_shards_task is None:
            self._inherited_shards_task = start_background_task(
                self._load_inherited_shards(), "former shards", self.on_task_failure
            )
        if flags_before != self._worker_flags():
            self._entries.send_worker_report()
        self._execute_commands()
        return 0.0

    def _worker_flags(self):
        """Return what decides, besides the worker's report, whether it is offered."""
        runs = self._runs
        return runs.is_synced, runs.is_outdated, runs.unreachable_since is None

    def _record_refusal(self, error):
        """Record whether the worker itself has refused a call or could not get it.

        A later incarnation refuses calls that are meant for the one that is gone.
        """
        if error.reason in ("unreachable", "restarted"):
            is_silent = isinstance(error, WorkerSilent)
            if worker_crashes.worker_unreachable(self._runs, steady_time(), is_silent):
                self._entries.send_worker_report()
                worker_starts.start_queued_runs(self._runs, steady_time())
        elif error.reason != "no_grant":
            self._record_answer()

    def _record_answer(self):
        if worker_crashes.worker_answered(self._runs, steady_time()):
            self._entries.send_worker_report()

    async def _load_inherited_shards(self):
        """Load the shards with runs that earlier processes of this agent started."""
        inherited_shards = None
        while inherited_shards is None:
            try:
                inherited_shards = await self._read_inherited_shards()
            except StoreError as error:
                # New owners or the end of the lease may make the answer unnecessary.
                self._log.warning("agent.former_shards_unknown", reason=str(error))
                await asyncio.sleep(INHERITED_SHARDS_RETRY_DELAY_S)
        self._log.info("agent.former_shards", shards=sorted(inherited_shards))
        worker_leases.inherited_shards_loaded(self._runs, inherited_shards)
        self._execute_commands()

    async def _read_inherited_shards(self):
        key = agent_key(self._settings.node)
        inherited_shards = set()
        for shard in range(SHARD_COUNT):
            partition = self._store.shard_partition(shard, SHARD_COUNT)
            _, records = await self._store.read_newest(JOBS_TOPIC, partition)
            if any(record.key == key and record.value for record in records):
                inherited_shards.add(shard)
        return inherited_shards

    async def _wait_until_ends_acknowledged(self):
        """Wait for the owners to acknowledge the ends.

        Until they do, the worker answers each renewal at once.
        """
        self._ends_acknowledged.clear()
        await wait_for_event(self._ends_acknowledged, ACKNOWLEDGEMENT_WAIT_S)

    def _handle_entry_messages(self, link, messages):
        now = steady_time()
        for message in messages:
            self._handle_entry_message(link, message, now)
        self._execute_commands()

    def _handle_entry_message(self, link, message, now):
        runs, stream = self._runs, link.stream
        match message:
            case wire.Grant():
                self._handle_grant(link, message, now)
            case wire.StartRuns():
                link.grant_requests.entry_uses_worker(now)
                if worker_starts.start_runs(runs, stream, message, now):
                    # A run was refused: the entry's figures are outdated. Report again.
                    link.known_usage.forget()
                if worker_starts.needs_grant(runs, stream, now):
                    self._entries.request_grant(link, now)
            case wire.StopRuns():
                worker_starts.stop_runs(runs, stream, message, now)
            case wire.EvacuationUpdate():
                if evacuation.update_received(runs, message, link.name):
                    worker_starts.start_queued_runs(runs, now)
            case wire.NoteEnds():
                worker_leases.ends_acknowledged(runs, message.life, message.numbers)
                if runs.first_durable_end is None:
                    self._ends_acknowledged.set()

    def _handle_grant(self, link, grant, now):
        sent_at = link.grant_requests.pop_sent_at(grant.sequence)
        worker_leases.grant_received(self._runs, link.stream, grant, sent_at, now)
        worker_starts.start_queued_runs(self._runs, now)
        if sent_at is not None:
            link.answered_at = now
        elif grant.shards:
            self._execute_commands()  # the inventory precedes the request
            self._entries.request_grant(link, now)

    async def _check_grants(self):
        next_progress_at = 0.0
        while True:
            await asyncio.sleep(GRANT_CHECK_INTERVAL_S)
            now = steady_time()
            self._entries.renew_grants(now)
            worker_leases.check_grants(self._runs, now)
            if worker_runs.expire_recalled_worker(self._runs, now):
                self._entries.send_worker_report()
            self._entries.update(now)
            if now >= next_progress_at:
                worker_pace.report_progress(self._runs, now)
                next_progress_at = now + worker_pace.PROGRESS_INTERVAL_S
            self._execute_commands()

    async def _start_queued_runs(self):
        """Start queued runs and report significant changes of the used capacity."""
        while True:
            await asyncio.sleep(QUEUE_CHECK_INTERVAL_S)
            if self._runs.life is None:
                continue
            worker_starts.start_queued_runs(self._runs, steady_time())
            self._execute_commands()
            self._entries.report_usage()


def run_agent(settings):
    """Run an agent until it is stopped; return its exit code."""

    async def main():
        return await AgentNode(settings).run()

    with contextlib.suppress(KeyboardInterrupt):
        return asyncio.run(main())
    return 0
