"""Queued and running tasks of an agent."""

from collections import deque

from turmericknot.dispatch import commands, events
from turmericknot.dispatch.agent_state import (
    RunningTask,
    owner_link,
    send,
    update_windows,
    usable_slots,
)
from turmericknot.wire import messages
from turmericknot.wire.messages import TaskStatus


def check_drained(state):
    """Return Drained, once, when no task is running on a draining agent."""
    if not state.draining or state.running or state.drained:
        return []
    state.drained = True
    return [commands.Drained()]


def finish_task(state, event, now, wall):
    """Record the end of a task, report it and start queued tasks."""
    task = state.running.pop((event.job, event.index), None)
    if task is None:
        return []  # the lease had expired; the task was reported as unknown
    link = state.links.get(task.stream)
    if link is not None:
        link.holder.busy -= 1
    if event.started:
        out = _report_result(state, task, event, now)
    else:
        out = _report_not_started(state, task, event, now)
    out += start_queued(state, now, wall)
    return out + update_windows(state, now) + check_drained(state)


def _report_result(state, task, event, now):
    result = messages.TaskResult(
        event.index,
        event.status,
        event.output,
        event.run_ms,
        task.queue_ms,
        event.error,
    )
    record = state.store.record_result(event.job, result, now)
    out = [
        commands.Record("task.run", task.team, task.task_class, event.run_ms),
        commands.Record("task.agent_queue", task.team, task.task_class, task.queue_ms),
    ]
    link = owner_link(state, record.owner) if record else None
    if link is not None:
        out.append(send(link, messages.Results(event.job, [result]), now))
    return out


def _report_not_started(state, task, event, now):
    state.store.discard_start(event.job, event.index)
    link = owner_link(state, task.owner)
    if link is None:
        return []
    returned = messages.Returned(event.job, [event.index], event.error)
    return [send(link, returned, now)]


def start_queued(state, now, wall):
    """Start queued tasks in order while slots and resources are free."""
    out = []
    waiting = deque()
    free = usable_slots(state, now) - len(state.running)
    while state.queue:
        queued = state.queue.popleft()
        if now > queued.deadline or wall > queued.assign.expires_at:
            out += _return_task(state, queued, "deadline", now)
        elif free > 0 and _has_free_resources(state, queued.spec):
            out.append(_start_task(state, queued, now))
            free -= 1
        else:
            waiting.append(queued)
            if free <= 0:
                break
    waiting.extend(state.queue)
    state.queue = waiting
    return out


def _has_free_resources(state, spec):
    """Return whether the resources declared for a task are free."""
    worker = state.worker
    used = [task.spec for task in state.running.values()]
    return (
        _fits_resource(spec.processors, worker.processors, used, "processors")
        and _fits_resource(spec.memory_mb, worker.memory_mb, used, "memory_mb")
        and _fits_resource(spec.accelerators, worker.accelerators, used, "accelerators")
    )


def _fits_resource(needed, capacity, used, name):
    if not needed:
        return True
    return needed + sum(getattr(spec, name) for spec in used) <= capacity


def _start_task(state, queued, now):
    assign, spec = queued.assign, queued.spec
    lease_s = max(0.0, queued.deadline - now) + state.settings.lease_margin_s
    state.store.record_start(assign.job, assign.owner, assign.expires_at, spec.index)
    state.running[(assign.job, spec.index)] = RunningTask(
        queued.stream,
        assign.owner,
        spec,
        now,
        (now - queued.queued_at) * 1000.0,
        now + lease_s,
        assign.team,
        assign.task_class,
    )
    return commands.StartTask(assign.job, assign.team, assign.task_class, spec, lease_s)


def remove_queued(state, matches):
    """Remove the queued tasks that match and return them."""
    dropped = [queued for queued in state.queue if matches(queued)]
    state.queue = deque(queued for queued in state.queue if not matches(queued))
    for queued in dropped:
        link = state.links.get(queued.stream)
        if link is not None:
            link.holder.busy -= 1
    return dropped


def return_queued(state, matches, reason, now):
    """Return matching queued tasks to their entries, unstarted."""
    out = []
    for queued in remove_queued(state, matches):
        out += _returned_commands(state, queued, reason, now)
    return out


def _return_task(state, queued, reason, now):
    link = state.links.get(queued.stream)
    if link is not None:
        link.holder.busy -= 1
    return _returned_commands(state, queued, reason, now)


def _returned_commands(state, queued, reason, now):
    link = state.links.get(queued.stream)
    if link is None:
        return []
    returned = messages.Returned(queued.assign.job, [queued.spec.index], reason)
    return [send(link, returned, now)]


def expire_leases(state, now, wall):
    """Report tasks with an expired lease as unknown; they are never started again."""
    out = []
    for (job, index), task in list(state.running.items()):
        if now > task.lease_until:
            lapsed = events.TaskFinished(
                job, index, TaskStatus.UNKNOWN, b"", 0.0, "lease_lapsed"
            )
            out.append(commands.StopTask(job, index))
            out += finish_task(state, lapsed, now, wall)
    return out
