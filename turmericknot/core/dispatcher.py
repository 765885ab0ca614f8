"""Actor that owns the decision state and executes the commands it returns."""

import math
import threading
import time
from collections import deque

import pykka

from turmericknot.dispatch.events import Tick
from turmericknot.utils.logging import get_logger

from .lifecycle import RoleOutcome

# /v1/healthz reports the actor as hung if it has not handled a tick for this long.
UNRESPONSIVE_AFTER_S = 5.0
# Limits how long status requests wait behind a full inbox.
MAX_BATCH_EVENTS = 1000
MIN_TICK_INTERVAL_S = 0.001

_WAKE_UP = object()
_TICK = Tick()


class DispatcherActor(pykka.ThreadingActor):
    """Actor that handles events in batches and runs functions on the state."""

    use_daemon_thread = True

    def __init__(self, dispatcher):
        super().__init__()
        self._dispatcher = dispatcher

    def on_receive(self, message):
        """Handle a batch of pending events, or call ``message`` as a function."""
        if message is _WAKE_UP:
            _handle_batch(self._dispatcher)
            return None
        return message()

    def on_failure(self, exception_type, exception_value, traceback):
        """Shut down: the state may be inconsistent after an exception."""
        reason = f"{exception_type.__name__}: {exception_value}"
        self._dispatcher._lifecycle.request_shutdown(RoleOutcome.FAILED, reason)


class Dispatcher:
    """Thread-safe service that wraps the actor."""

    __slots__ = (
        "_handle_event",
        "_executors",
        "_flush",
        "_lifecycle",
        "_tick_interval_s",
        "_inbox",
        "_wake_up_pending",
        "_actor",
        "_tick_thread",
        "_stopping",
        "_last_tick_at",
        "_tick_pending",
        "_get_next_tick_at",
        "_requested_tick_at",
        "_tick_rescheduled",
        "_handled_event_count",
    )

    def __init__(
        self,
        handle_event,
        executors,
        flush,
        lifecycle,
        tick_interval_s,
        get_next_tick_at,
    ):
        self._handle_event = handle_event
        self._executors = executors
        self._flush = flush
        self._lifecycle = lifecycle
        self._tick_interval_s = tick_interval_s
        self._inbox = deque()
        self._wake_up_pending = False
        self._actor = None
        self._tick_thread = None
        self._stopping = threading.Event()
        self._last_tick_at = time.monotonic()
        self._tick_pending = False
        self._get_next_tick_at = get_next_tick_at
        self._requested_tick_at = math.inf
        self._tick_rescheduled = threading.Event()
        self._handled_event_count = 0

    @property
    def is_responsive(self):
        """Return whether the actor has handled a tick recently."""
        return time.monotonic() - self._last_tick_at < UNRESPONSIVE_AFTER_S

    @property
    def handled_event_count(self):
        """Return the number of events handled so far."""
        return self._handled_event_count

    def start(self):
        """Start the actor and the tick thread."""
        self._last_tick_at = time.monotonic()
        self._actor = DispatcherActor.start(self)
        self._tick_thread = threading.Thread(
            target=self._send_ticks, name="ticker", daemon=True
        )
        self._tick_thread.start()
        if self._inbox:
            self._wake_actor()

    def stop(self):
        """Stop the tick thread, then the actor once it has handled its messages."""
        self._stopping.set()
        self._tick_rescheduled.set()
        if self._tick_thread is not None:
            self._tick_thread.join()
        if self._actor is not None and self._actor.is_alive():
            self._actor.stop()

    def post(self, event):
        """Add an event to the inbox."""
        self._inbox.append(event)
        self._wake_actor()

    def post_all(self, events):
        """Add several events to the inbox, in order."""
        self._inbox.extend(events)
        self._wake_actor()

    def call_in_actor(self, function, timeout_s=2.0):
        """Return the result of ``function()`` called in the actor's thread."""
        return self._actor.ask(function, timeout=timeout_s)

    def _wake_actor(self):
        actor = self._actor
        if self._wake_up_pending or actor is None:
            return
        self._wake_up_pending = True
        try:
            actor.tell(_WAKE_UP)
        except pykka.ActorDeadError:
            pass  # the process is shutting down

    def _send_ticks(self):
        """Post ticks at the regular interval, or earlier if the state requests one."""
        last_tick_at = time.monotonic()
        while not self._stopping.is_set():
            interval_end = last_tick_at + self._tick_interval_s
            due_at = min(
                interval_end,
                max(self._requested_tick_at, last_tick_at + MIN_TICK_INTERVAL_S),
            )
            delay_s = due_at - time.monotonic()
            if delay_s > 0:
                if self._tick_rescheduled.wait(delay_s):
                    self._tick_rescheduled.clear()
                continue
            last_tick_at = time.monotonic()
            # Avoids a backlog of ticks if the process was paused or is overloaded.
            if not self._tick_pending:
                self._tick_pending = True
                self.post(_TICK)


def create_dispatcher(
    handle_event, executors, flush, lifecycle, tick_interval_s, get_next_tick_at=None
):
    """Return a dispatcher that has not been started.

    ``handle_event(event, now, wall)`` returns commands. ``executors`` maps a command
    type to the function that executes it. ``flush()`` is called after each batch.
    ``get_next_tick_at(now)`` returns the time of the next required tick, or None.
    """
    return Dispatcher(
        handle_event, executors, flush, lifecycle, tick_interval_s, get_next_tick_at
    )


def _handle_batch(dispatcher):
    # Cleared before reading the inbox, so that an event posted meanwhile sends another
    # wake-up.
    dispatcher._wake_up_pending = False
    inbox, handle_event = dispatcher._inbox, dispatcher._handle_event
    count = min(len(inbox), MAX_BATCH_EVENTS)
    for _ in range(count):
        event = inbox.popleft()
        now, wall = time.monotonic(), time.time()
        if event is _TICK:
            dispatcher._last_tick_at = now
            dispatcher._tick_pending = False
        _execute_commands(dispatcher, handle_event(event, now, wall))
    dispatcher._handled_event_count += count
    dispatcher._flush()
    if inbox:
        dispatcher._wake_actor()
    elif dispatcher._get_next_tick_at is not None:
        _schedule_tick(dispatcher)


def _schedule_tick(dispatcher):
    """Wake the tick thread if a tick is required before the next planned one."""
    now = time.monotonic()
    requested_at = dispatcher._get_next_tick_at(now)
    requested_tick_at = math.inf if requested_at is None else requested_at
    previous_tick_at, dispatcher._requested_tick_at = (
        dispatcher._requested_tick_at,
        requested_tick_at,
    )
    next_regular_tick_at = dispatcher._last_tick_at + dispatcher._tick_interval_s
    if requested_tick_at < min(previous_tick_at, next_regular_tick_at):
        dispatcher._tick_rescheduled.set()


def _execute_commands(dispatcher, commands):
    executors = dispatcher._executors
    for command in commands:
        execute = executors.get(type(command))
        if execute is None:
            get_logger().error("command.unknown", type=type(command).__name__)
        else:
            execute(command)
