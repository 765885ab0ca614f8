"""The actions of a walk and their weights.

Each action takes the world and ``draw``; ``draw(n)`` returns a random integer below n.
"""

from turmericknot.dispatch import events

MAX_JOBS = 6


def _pick(items, draw):
    items = list(items)
    return items[draw(len(items))] if items else None


def submit_new(world, draw):
    if len(world.jobs) < MAX_JOBS:
        lifetime_s = (4.0, 15.0, 29.0)[draw(3)]
        deadline_s = (0.5, 3.0, 12.0)[draw(3)]
        spec = world.new_job(1 + draw(3), bool(draw(3) == 0), lifetime_s, deadline_s)
        world.submit(_pick(world.entries, draw), spec)


def resubmit(world, draw):
    spec = _pick(world.jobs, draw)
    if spec is not None:
        world.submit(_pick(world.entries, draw), spec)


def cancel(world, draw):
    spec = _pick(world.jobs, draw)
    if spec is not None:
        world.cancel(_pick(world.entries, draw), spec)


def deliver_message(world, draw):
    link = _pick(world.links.values(), draw)
    if link is not None:
        world.deliver_message(link, _pick((link.dialer, link.acceptor), draw))


def deliver_some_messages(world, draw):
    for link in list(world.links.values()):
        for node in (link.dialer, link.acceptor):
            if draw(3):
                for _ in range(1 + draw(3)):
                    world.deliver_message(link, node)


def process_pending(world, draw):
    world.process_pending()
    world.advance_time(0.001)


def complete_append(world, draw):
    append = _pick(world.pending_appends, draw)
    if append is not None:
        world.complete_append(append)


def fail_append(world, draw):
    append = _pick(world.pending_appends, draw)
    if append is not None:
        world.complete_append(append, ("lost", "lost_first", "dropped")[draw(3)])


def start_or_complete_log_read(world, draw):
    node = _pick(world.entries, draw)
    if node.state is None or node.is_paused:
        return
    if node.pending_read is None:
        world.start_log_read(node)
    else:
        world.complete_log_read(node)


def read_log_everywhere(world, draw):
    for node in world.entries:
        if node.state is not None and not node.is_paused and draw(4):
            world.complete_log_read(node)
            world.start_log_read(node)
            world.complete_log_read(node)


def finish_task(world, draw):
    world.finish_task(_pick(world.agents, draw), draw(4))


def fail_task(world, draw):
    world.finish_task(_pick(world.agents, draw), draw(4), 1)


def advance_time(world, draw):
    world.advance_time((0.001, 0.02, 0.11, 0.3, 0.6, 2.2)[draw(6)])


def advance_toward_expiry(world, draw):
    """Advance by a large part of the lifetime of a key."""
    world.advance_time(9.0)


def connect_pair(world, draw):
    nodes = world.nodes
    acceptor = _pick(world.entries, draw)
    dialer = _pick(nodes, draw)
    if dialer.kind == "entry" and dialer.name > acceptor.name:
        dialer, acceptor = acceptor, dialer
    world.connect(dialer, acceptor)


def connect_all_pairs(world, draw):
    for acceptor in world.entries:
        for dialer in world.agents:
            world.connect(dialer, acceptor)
        for dialer in world.entries:
            if dialer.name < acceptor.name:
                world.connect(dialer, acceptor)


def break_link(world, draw):
    link = _pick(world.links.values(), draw)
    if link is not None:
        world.break_link(link)


def block_connection(world, draw):
    world.block_connection(_pick(world.nodes, draw), _pick(world.entries, draw))


def unblock_connections(world, draw):
    world.blocked_pairs.clear()


def crash_node(world, draw):
    world.crash_node(_pick(world.nodes, draw))


def restart_node(world, draw):
    node = _pick([n for n in world.nodes if n.state is None], draw)
    if node is not None:
        world.start_node(node)


def pause_node(world, draw):
    _pick(world.nodes, draw).is_paused = True


def resume_node(world, draw):
    node = _pick([n for n in world.nodes if n.is_paused], draw)
    if node is not None:
        world.resume_node(node)


def start_log_outage(world, draw):
    world.log.is_up = False


def end_log_outage(world, draw):
    world.log.is_up = True
    for node in world.entries:
        node.can_reach_log = True


def disconnect_from_log(world, draw):
    _pick(world.entries, draw).can_reach_log = False


def drain_node(world, draw):
    world.deliver_event(_pick(world.nodes, draw), events.DrainRequested())


ACTIONS = {
    submit_new: 6,
    resubmit: 6,
    cancel: 1,
    deliver_message: 14,
    deliver_some_messages: 8,
    process_pending: 3,
    complete_append: 8,
    fail_append: 3,
    start_or_complete_log_read: 6,
    read_log_everywhere: 6,
    finish_task: 4,
    fail_task: 1,
    advance_time: 8,
    advance_toward_expiry: 1,
    connect_pair: 4,
    connect_all_pairs: 4,
    break_link: 3,
    block_connection: 2,
    unblock_connections: 1,
    crash_node: 2,
    restart_node: 2,
    pause_node: 2,
    resume_node: 3,
    start_log_outage: 1,
    end_log_outage: 3,
    disconnect_from_log: 1,
    drain_node: 1,
}
