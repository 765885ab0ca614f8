"""Decision logic of an agent: when tasks start and which entry gets their results.

``handle(state, event, now, wall)`` takes monotonic and wall-clock seconds and returns
commands for the caller to execute. It performs no I/O.
"""

from turmericknot.dispatch import commands, events, windows
from turmericknot.dispatch.agent_messages import build_inventory, handle_message
from turmericknot.dispatch.agent_state import (
    EntryLink,
    Worker,
    create_agent_state,
    create_hello,
    entry_links,
    send,
    send_heartbeat,
    status,
    update_windows,
    usable_slots,
)
from turmericknot.dispatch.agent_tasks import (
    check_drained,
    expire_leases,
    finish_task,
    remove_queued,
    return_queued,
    start_queued,
)
from turmericknot.membership import homes
from turmericknot.wire import messages

__all__ = ["create_agent_state", "create_hello", "handle", "status"]

EXPIRE_INTERVAL_S = 1.0
# An announcement that was under way when the target left must not end the draining,
# so announcements are ignored for this long.
ANNOUNCEMENT_IGNORE_S = 3.0
TARGET_LEAVING = "target_leaving"

_handlers = {events.TaskFinished: finish_task}


def handle(state, event, now, wall):
    """Apply an event; return the commands that follow from it."""
    return _handlers[type(event)](state, event, now, wall)


def _handles_event(event_type):
    def register(function):
        _handlers[event_type] = function
        return function

    return register


# Events of the local target.


@_handles_event(events.TargetAnnounced)
def _target_announced(state, event, now, wall):
    if (
        state.draining == TARGET_LEAVING
        and now - state.draining_at < ANNOUNCEMENT_IGNORE_S
    ):
        return []
    previous = state.worker
    state.worker = Worker(
        event.worker,
        event.address,
        event.slots,
        event.processors,
        event.memory_mb,
        event.accelerators,
        now,
    )
    if previous is None:
        return [
            commands.DialEntry("", address) for address in state.settings.seed_entries
        ]
    returned = state.draining == TARGET_LEAVING
    if returned:
        state.draining = ""
        state.drained = False
    if returned or _worker_capacity(previous) != _worker_capacity(state.worker):
        # Entries learn the capacity from Hello, so every stream is reopened.
        return [
            commands.CloseStream(stream, "worker changed") for stream in state.links
        ]
    return update_windows(state, now)


@_handles_event(events.TargetLeaving)
def _target_leaving(state, event, now, wall):
    return _drain(state, TARGET_LEAVING, now)


@_handles_event(events.DrainRequested)
def _drain_requested(state, event, now, wall):
    return _drain(state, "agent_stopping", now)


def _drain(state, reason, now):
    if state.draining:
        return check_drained(state)
    state.draining = reason
    state.draining_at = now
    out = [send(link, messages.Draining(reason), now) for link in entry_links(state)]
    out += return_queued(state, lambda queued: True, reason, now)
    out += update_windows(state, now)
    return out + check_drained(state)


# Events of the streams to entries.


@_handles_event(events.EntryConnected)
def _entry_connected(state, event, now, wall):
    welcome = event.welcome
    out = _supersede_streams(state, welcome.entry_id)
    link = EntryLink(
        event.stream,
        welcome.entry_id,
        welcome.incarnation,
        windows.WindowHolder(event.stream),
        sent_at=now,
    )
    state.links[event.stream] = link
    # Tasks of a broken stream that are still running count against the new one.
    for task in state.running.values():
        if task.owner == welcome.incarnation:
            task.stream = event.stream
            link.holder.busy += 1
    out += [
        commands.DialEntry(entry.entry_id, entry.link_address)
        for entry in welcome.entries
        if entry.entry_id != welcome.entry_id
    ]
    out.append(send(link, build_inventory(state, welcome.incarnation, "", []), now))
    if state.draining:
        out.append(send(link, messages.Draining(state.draining), now))
    return out + update_windows(state, now) + _update_home(state, now)


def _supersede_streams(state, entry_id):
    """Close older streams of an entry that has a new one.

    If a task of an old stream is missing from the inventory sent on the new stream,
    the entry treats it as not started, so such a task must not start any more.
    """
    older = [link.stream for link in entry_links(state) if link.entry_id == entry_id]
    for stream in older:
        _forget_stream(state, stream)
    return [commands.CloseStream(stream, "superseded") for stream in older]


def _forget_stream(state, stream):
    remove_queued(state, lambda queued: queued.stream == stream)
    state.links.pop(stream, None)


@_handles_event(events.EntryDisconnected)
def _entry_disconnected(state, event, now, wall):
    _forget_stream(state, event.stream)
    return update_windows(state, now) + _update_home(state, now)


@_handles_event(events.EntryMessage)
def _entry_message(state, event, now, wall):
    link = state.links.get(event.stream)
    if link is None:
        return []
    return handle_message(state, link, event.message, now, wall)


# Timers.


@_handles_event(events.Tick)
def _tick(state, event, now, wall):
    out = expire_leases(state, now, wall)
    if now - state.last_expiry_at >= EXPIRE_INTERVAL_S:
        state.last_expiry_at = now
        state.store.expire(now, wall)
        state.fences.expire(now)
        out += update_windows(state, now)
        if usable_slots(state, now) == 0:
            out += return_queued(state, lambda queued: True, "target_lost", now)
    if state.queue:
        out += start_queued(state, now, wall)
    home = state.links.get(state.home_stream)
    interval = state.settings.membership.heartbeat_interval_s
    if home is not None and now - home.sent_at >= interval:
        out.append(send_heartbeat(state, home, now))
    return out


def _update_home(state, now):
    """Choose the home entry, which gets heartbeats, and notify the previous one."""
    names = {link.entry_id: link for link in state.links.values()}
    chosen = homes.choose_home(state.settings.agent_id, names)
    stream = names[chosen].stream if chosen else None
    if stream == state.home_stream:
        return []
    previous = state.links.get(state.home_stream)
    state.home_stream = stream
    out = []
    if previous is not None:
        out.append(send(previous, messages.Heartbeat(homes.RELEASE_SEQUENCE), now))
    if chosen:
        out.append(send_heartbeat(state, names[chosen], now))
    return out


def _worker_capacity(worker):
    return (worker.slots, worker.processors, worker.memory_mb, worker.accelerators)
