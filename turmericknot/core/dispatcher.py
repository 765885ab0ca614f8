"""The actor that owns a decision state and executes the commands it returns."""

import math
import threading
import time
from collections import deque

import pykka

from turmericknot.dispatch.events import Tick
from turmericknot.utils.logging import get_logger

from .lifecycle import RoleOutcome

# An actor without a fresh tick for this long is taken as hung by /v1/healthz.
HUNG_AFTER_S = 5.0
# The inbox is handled in parts, so that questions of status pages get a turn.
BATCH_EVENTS = 1000

# Shortest time between two ticks.
MIN_TICK_S = 0.001

_WAKE = object()
_TICK = Tick()


class DispatcherActor(pykka.ThreadingActor):
    """Take events in batches; answer questions about the state."""

    use_daemon_thread = True

    def __init__(self, dispatcher):
        super().__init__()
        self._dispatcher = dispatcher

    def on_receive(self, message):
        """Handle waiting events, or call a function in the actor's thread."""
        if message is _WAKE:
            _handle_waiting(self._dispatcher)
            return None
        return message()

    def on_failure(self, exception_type, exception_value, traceback):
        """End the process: a state after an exception cannot be trusted."""
        reason = f"{exception_type.__name__}: {exception_value}"
        self._dispatcher._lifecycle.request_shutdown(RoleOutcome.FAILED, reason)


class Dispatcher:
    """Service around the actor; every method may be called from any thread."""

    __slots__ = (
        "_handle",
        "_executors",
        "_flush",
        "_lifecycle",
        "_tick_interval_s",
        "_inbox",
        "_scheduled",
        "_actor",
        "_ticker",
        "_stopping",
        "_ticked_at",
        "_tick_pending",
        "_next_wake",
        "_wake_at",
        "_rearm",
        "_events",
    )

    def __init__(self, handle, executors, flush, lifecycle, tick_interval_s, next_wake):
        self._handle = handle
        self._executors = executors
        self._flush = flush
        self._lifecycle = lifecycle
        self._tick_interval_s = tick_interval_s
        self._inbox = deque()
        self._scheduled = False
        self._actor = None
        self._ticker = None
        self._stopping = threading.Event()
        self._ticked_at = time.monotonic()
        self._tick_pending = False
        self._next_wake = next_wake
        self._wake_at = math.inf
        self._rearm = threading.Event()
        self._events = 0

    @property
    def is_responsive(self):
        """Return whether the actor handled a tick lately."""
        return time.monotonic() - self._ticked_at < HUNG_AFTER_S

    @property
    def handled_events(self):
        """Return the number of events handled so far."""
        return self._events

    def start(self):
        """Start the actor and the thread that sends ticks."""
        self._ticked_at = time.monotonic()
        self._actor = DispatcherActor.start(self)
        self._ticker = threading.Thread(target=self._tick, name="ticker", daemon=True)
        self._ticker.start()
        if self._inbox:
            self._wake()

    def stop(self):
        """Handle what is waiting, then stop the actor."""
        self._stopping.set()
        self._rearm.set()
        if self._ticker is not None:
            self._ticker.join()
        if self._actor is not None and self._actor.is_alive():
            self._actor.stop()

    def post(self, event):
        """Put an event into the inbox."""
        self._inbox.append(event)
        self._wake()

    def post_all(self, events):
        """Put several events into the inbox, in order."""
        self._inbox.extend(events)
        self._wake()

    def ask(self, function, timeout_s=2.0):
        """Return the result of ``function()`` called in the actor's thread."""
        return self._actor.ask(function, timeout=timeout_s)

    def _wake(self):
        actor = self._actor
        if self._scheduled or actor is None:
            return
        self._scheduled = True
        try:
            actor.tell(_WAKE)
        except pykka.ActorDeadError:
            pass  # the process is stopping

    def _tick(self):
        """Send ticks at the interval, and earlier when the state asks for it."""
        ticked_at = time.monotonic()
        while not self._stopping.is_set():
            interval_end = ticked_at + self._tick_interval_s
            due = min(interval_end, max(self._wake_at, ticked_at + MIN_TICK_S))
            wait_s = due - time.monotonic()
            if wait_s > 0:
                if self._rearm.wait(wait_s):
                    self._rearm.clear()
                continue
            ticked_at = time.monotonic()
            # A paused or overloaded process must not pile up ticks.
            if not self._tick_pending:
                self._tick_pending = True
                self.post(_TICK)


def create_dispatcher(
    handle, executors, flush, lifecycle, tick_interval_s, next_wake=None
):
    """Return a dispatcher that is not started.

    ``handle(event, now, wall)`` returns commands, ``executors`` maps a command type
    to the function that executes it, ``flush()`` follows each batch.
    ``next_wake(now)`` returns the time by which a tick is wanted, or None.
    """
    return Dispatcher(handle, executors, flush, lifecycle, tick_interval_s, next_wake)


def _handle_waiting(dispatcher):
    # Cleared first: an event posted from here on sends another wake-up.
    dispatcher._scheduled = False
    inbox, handle = dispatcher._inbox, dispatcher._handle
    count = min(len(inbox), BATCH_EVENTS)
    for _ in range(count):
        event = inbox.popleft()
        now, wall = time.monotonic(), time.time()
        if event is _TICK:
            dispatcher._ticked_at = now
            dispatcher._tick_pending = False
        _execute(dispatcher, handle(event, now, wall))
    dispatcher._events += count
    dispatcher._flush()
    if inbox:
        dispatcher._wake()
    elif dispatcher._next_wake is not None:
        _plan_tick(dispatcher)


def _plan_tick(dispatcher):
    """Wake the ticker when a tick is wanted earlier than it would send one."""
    now = time.monotonic()
    wanted = dispatcher._next_wake(now)
    wake_at = math.inf if wanted is None else wanted
    before, dispatcher._wake_at = dispatcher._wake_at, wake_at
    next_regular = dispatcher._ticked_at + dispatcher._tick_interval_s
    if wake_at < min(before, next_regular):
        dispatcher._rearm.set()


def _execute(dispatcher, commands):
    executors = dispatcher._executors
    for command in commands:
        execute = executors.get(type(command))
        if execute is None:
            get_logger().error("command.unknown", type=type(command).__name__)
        else:
            execute(command)
