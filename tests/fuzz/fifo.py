"""A first-in, first-out policy with the interface of ``dispatch.scheduler``."""

from collections import deque
from types import SimpleNamespace

from turmericknot.dispatch.scheduler import Assignment
from turmericknot.wire.messages import TaskSpec


def create_scheduler(settings, rng):
    return SimpleNamespace(queue=deque(), specs={}, streams={}, refusal=None)


def add_job(state, spec, indexes, deadline, claimed, now):
    state.specs[spec.job] = (claimed, {task.index: task for task in spec.tasks})
    state.queue.extend((spec.job, index) for index in indexes)


def remove_job(state, job, now):
    removed = [index for queued, index in state.queue if queued == job]
    state.queue = deque(item for item in state.queue if item[0] != job)
    return removed


def agent_joined(state, stream, hello, now):
    state.streams[stream] = SimpleNamespace(
        window=0, sequence=0, busy=set(), rostered=False, draining=hello.draining
    )


def agent_left(state, stream, now):
    state.streams.pop(stream, None)


def set_window(state, stream, window, now):
    state.streams[stream].window = window.slots
    state.streams[stream].sequence = window.sequence


def set_rostered(state, stream, rostered, now):
    state.streams[stream].rostered = rostered


def agent_draining(state, stream, now):
    state.streams[stream].draining = True


def task_done(state, stream, job, index, status, run_ms, now):
    if stream in state.streams:
        state.streams[stream].busy.discard((job, index))


def tasks_taken_over(state, stream, job, indexes, now):
    for index in indexes:
        state.streams[stream].busy.discard((job, index))


def tasks_returned(state, stream, job, indexes, now):
    for index in indexes:
        task_done(state, stream, job, index, 0, 0.0, now)
    state.queue.extendleft((job, index) for index in indexes)


def next_assignments(state, now):
    assignments, unassigned = [], deque()
    for job, index in state.queue:
        stream = _least_busy_stream(state, state.specs[job][0])
        if stream is None:
            unassigned.append((job, index))
            continue
        state.streams[stream].busy.add((job, index))
        sequence = state.streams[stream].sequence
        assignments.append(Assignment(stream, job, [index], sequence))
    state.queue = unassigned
    return assignments


def _least_busy_stream(state, claimed):
    # Assigns one task more than the window, so that some wait in the agent's queue.
    free = [
        (len(agent.busy), stream)
        for stream, agent in state.streams.items()
        if not agent.draining
        and len(agent.busy) < agent.window + 1
        and (agent.rostered or not claimed)
    ]
    return min(free)[1] if free else None


def spec_for(state, job, index):
    task = state.specs[job][1][index]
    return TaskSpec(index, task.payload)


def assignment_demand(state, stream):
    return len(state.queue), 1.0


def admit(state, spec, now):
    return state.refusal


def _no_operation(state, *arguments):
    return []


def due_digest(state, now):
    return None


def status(state, now):
    return {"queued": len(state.queue)}


config_changed = set_suspect = peer_digest = peer_lost = expire_jobs = due_demands = (
    _no_operation
)
