"""What can happen: each action takes the world and ``draw(n)``, a number below n."""

from turmericknot.dispatch import events

JOB_LIMIT = 6


def _pick(items, draw):
    items = list(items)
    return items[draw(len(items))] if items else None


def submit_new(world, draw):
    if len(world.jobs) < JOB_LIMIT:
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


def deliver(world, draw):
    link = _pick(world.links.values(), draw)
    if link is not None:
        world.deliver(link, _pick((link.dialler, link.acceptor), draw))


def deliver_some(world, draw):
    for link in list(world.links.values()):
        for node in (link.dialler, link.acceptor):
            if draw(3):
                for _ in range(1 + draw(3)):
                    world.deliver(link, node)


def flow(world, draw):
    world.flow()
    world.advance(0.001)


def land(world, draw):
    pending = _pick(world.appends, draw)
    if pending is not None:
        world.land_append(pending)


def land_badly(world, draw):
    pending = _pick(world.appends, draw)
    if pending is not None:
        world.land_append(pending, ("lost", "lost_first", "dropped")[draw(3)])


def read_log(world, draw):
    node = _pick(world.entries, draw)
    if node.state is None or node.paused:
        return
    if node.read is None:
        world.ask_log(node)
    else:
        world.answer_read(node)


def read_all(world, draw):
    for node in world.entries:
        if node.state is not None and not node.paused and draw(4):
            world.answer_read(node)
            world.ask_log(node)
            world.answer_read(node)


def finish(world, draw):
    world.finish(_pick(world.agents, draw), draw(4))


def fail_task(world, draw):
    world.finish(_pick(world.agents, draw), draw(4), 1)


def advance(world, draw):
    world.advance((0.001, 0.02, 0.11, 0.3, 0.6, 2.2)[draw(6)])


def sleep(world, draw):
    """Let a good part of a key's lifetime pass."""
    world.advance(9.0)


def connect(world, draw):
    nodes = world.nodes
    acceptor = _pick(world.entries, draw)
    dialler = _pick(nodes, draw)
    if dialler.kind == "entry" and dialler.name > acceptor.name:
        dialler, acceptor = acceptor, dialler
    world.connect(dialler, acceptor)


def connect_all(world, draw):
    for acceptor in world.entries:
        for dialler in world.agents:
            world.connect(dialler, acceptor)
        for dialler in world.entries:
            if dialler.name < acceptor.name:
                world.connect(dialler, acceptor)


def break_link(world, draw):
    link = _pick(world.links.values(), draw)
    if link is not None:
        world.break_link(link)


def block(world, draw):
    world.block(_pick(world.nodes, draw), _pick(world.entries, draw))


def unblock(world, draw):
    world.blocked.clear()


def crash(world, draw):
    world.crash(_pick(world.nodes, draw))


def restart(world, draw):
    node = _pick([n for n in world.nodes if n.state is None], draw)
    if node is not None:
        world.start(node)


def pause(world, draw):
    _pick(world.nodes, draw).paused = True


def resume(world, draw):
    node = _pick([n for n in world.nodes if n.paused], draw)
    if node is not None:
        world.resume(node)


def log_outage(world, draw):
    world.log.up = False


def log_back(world, draw):
    world.log.up = True
    for node in world.entries:
        node.log_reachable = True


def cut_from_log(world, draw):
    _pick(world.entries, draw).log_reachable = False


def drain(world, draw):
    world.feed(_pick(world.nodes, draw), events.DrainRequested())


ACTIONS = {
    submit_new: 6,
    resubmit: 6,
    cancel: 1,
    deliver: 14,
    deliver_some: 8,
    flow: 3,
    land: 8,
    land_badly: 3,
    read_log: 6,
    read_all: 6,
    finish: 4,
    fail_task: 1,
    advance: 8,
    sleep: 1,
    connect: 4,
    connect_all: 4,
    break_link: 3,
    block: 2,
    unblock: 1,
    crash: 2,
    restart: 2,
    pause: 2,
    resume: 3,
    log_outage: 1,
    log_back: 3,
    cut_from_log: 1,
    drain: 1,
}
