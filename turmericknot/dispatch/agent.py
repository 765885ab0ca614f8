"""Decision logic of an agent: which assigned task starts when, and who hears of it.

``handle(state, event, now, wall)`` takes monotonic and wall-clock seconds and returns
commands for the shell. It performs no I/O.
"""

from turmericknot.dispatch import commands, events, windows
from turmericknot.dispatch.agent_messages import handle_message, inventory
from turmericknot.dispatch.agent_state import (
    EntryLink,
    Worker,
    create_agent_state,
    heartbeat,
    hello,
    links_of,
    send,
    status,
    update_windows,
    usable_slots,
)
from turmericknot.dispatch.agent_tasks import (
    check_drained,
    finish_task,
    lapse_leases,
    remove_queued,
    return_queued,
    start_queued,
)
from turmericknot.membership import homes
from turmericknot.wire import messages

__all__ = ["create_agent_state", "handle", "hello", "status"]

EXPIRE_INTERVAL_S = 1.0
# An announcement that was under way when the target left must not undo the leaving.
RETURN_AFTER_S = 3.0
TARGET_LEAVING = "target_leaving"

_handlers = {events.TaskFinished: finish_task}


def handle(state, event, now, wall):
    """Apply an event; return the commands that follow from it."""
    return _handlers[type(event)](state, event, now, wall)


def _handles(event_type):
    def register(function):
        _handlers[event_type] = function
        return function

    return register


# The target beside the agent.


@_handles(events.TargetAnnounced)
def _target_announced(state, event, now, wall):
    if state.draining == TARGET_LEAVING and now - state.draining_at < RETURN_AFTER_S:
        return []
    known = state.worker
    state.worker = Worker(
        event.worker,
        event.address,
        event.slots,
        event.processors,
        event.memory_mb,
        event.accelerators,
        now,
    )
    if known is None:
        return [
            commands.DialEntry("", address) for address in state.settings.seed_entries
        ]
    returned = state.draining == TARGET_LEAVING
    if returned:
        state.draining = ""
        state.drained = False
    if returned or _capacity(known) != _capacity(state.worker):
        # Entries learn the capacity from Hello, so every stream starts anew.
        return [
            commands.CloseStream(stream, "worker changed") for stream in state.links
        ]
    return update_windows(state, now)


@_handles(events.TargetLeaving)
def _target_leaving(state, event, now, wall):
    return _drain(state, TARGET_LEAVING, now)


@_handles(events.DrainRequested)
def _drain_requested(state, event, now, wall):
    return _drain(state, "agent_stopping", now)


def _drain(state, reason, now):
    if state.draining:
        return check_drained(state)
    state.draining = reason
    state.draining_at = now
    out = [send(link, messages.Draining(reason), now) for link in links_of(state)]
    out += return_queued(state, lambda queued: True, reason, now)
    out += update_windows(state, now)
    return out + check_drained(state)


# Streams to entries.


@_handles(events.EntryConnected)
def _entry_connected(state, event, now, wall):
    welcome = event.welcome
    out = _supersede_streams(state, welcome.entry_id)
    link = EntryLink(
        event.stream,
        welcome.entry_id,
        welcome.incarnation,
        windows.Holder(event.stream),
        sent_at=now,
    )
    state.links[event.stream] = link
    # Tasks of a broken stream that still run count against the new one.
    for task in state.running.values():
        if task.owner == welcome.incarnation:
            task.stream = event.stream
            link.holder.busy += 1
    out += [
        commands.DialEntry(entry.entry_id, entry.link_address)
        for entry in welcome.entries
        if entry.entry_id != welcome.entry_id
    ]
    out.append(send(link, inventory(state, welcome.incarnation, "", []), now))
    if state.draining:
        out.append(send(link, messages.Draining(state.draining), now))
    return out + update_windows(state, now) + _choose_home(state, now)


def _supersede_streams(state, entry_id):
    """Close older streams of an entry that opened a new one.

    The entry counts tasks of the old stream that are missing from the inventory on
    the new one as not started, so none of them may start any more.
    """
    older = [link.stream for link in links_of(state) if link.entry_id == entry_id]
    for stream in older:
        _forget_stream(state, stream)
    return [commands.CloseStream(stream, "superseded") for stream in older]


def _forget_stream(state, stream):
    remove_queued(state, lambda queued: queued.stream == stream)
    state.links.pop(stream, None)


@_handles(events.EntryDisconnected)
def _entry_disconnected(state, event, now, wall):
    _forget_stream(state, event.stream)
    return update_windows(state, now) + _choose_home(state, now)


@_handles(events.EntryMessage)
def _entry_message(state, event, now, wall):
    link = state.links.get(event.stream)
    if link is None:
        return []
    return handle_message(state, link, event.message, now, wall)


# Time.


@_handles(events.Tick)
def _tick(state, event, now, wall):
    out = lapse_leases(state, now, wall)
    if now - state.expired_at >= EXPIRE_INTERVAL_S:
        state.expired_at = now
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
        out.append(heartbeat(state, home, now))
    return out


def _choose_home(state, now):
    """Send heartbeats to one entry only; tell the former one."""
    names = {link.entry_id: link for link in state.links.values()}
    chosen = homes.choose_home(state.settings.agent_id, names)
    stream = names[chosen].stream if chosen else None
    if stream == state.home_stream:
        return []
    former = state.links.get(state.home_stream)
    state.home_stream = stream
    out = []
    if former is not None:
        out.append(send(former, messages.Heartbeat(homes.RELEASE_SEQUENCE), now))
    if chosen:
        out.append(heartbeat(state, names[chosen], now))
    return out


def _capacity(worker):
    return (worker.slots, worker.processors, worker.memory_mb, worker.accelerators)
