"""Compare the merge with a model that keeps the accepted records in order."""

import random

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from turmericknot.clients.log_client import LogPage, LogRecord
from turmericknot.configtree.follower import (
    apply_page,
    create_follower,
    export_copy,
    import_copy,
    skip_trimmed_records,
    take_configuration,
    take_due_snapshot,
)
from turmericknot.configtree.records import (
    Change,
    InvalidRecord,
    Restore,
    decode_record,
    encode_record,
    touched_subtrees,
)

TEAMS = ("a", "b")
PROCESSES = 4
RETENTION_S = 1000.0

processes = st.integers(0, PROCESSES - 1)
keys = st.sampled_from(["allowance", "weight", "limits.max_running", "deadline_s"])
# 0 is invalid for weight and deadline_s, "x" for all; most changes should be valid.
values = st.sampled_from([1, 2, 3, 4, 5, 6, 7, 0, "x"])
paths = st.builds(lambda t, k: f"teams.{t}.{k}", st.sampled_from(TEAMS), keys)
sets = st.dictionaries(paths, values, min_size=1, max_size=2)
deletes = st.sampled_from([[]] * 5 + [["teams.a"], ["teams.b.weight"], ["defaults"]])


class Model:
    """Expected state: the accepted changes in order and the tree after each."""

    def __init__(self):
        self.accepted = {0: {}}  # version -> {path: value}
        self.newest = {}  # subtree -> version of its last accepted change
        self.version = 0

    def add(self, offset, change):
        if any(
            self.newest.get(name, 0) > change.base for name in touched_subtrees(change)
        ):
            return
        if change.base > self.version or not (change.sets or change.deletes):
            return
        flat = dict(self.accepted[self.version])
        for path in change.deletes:
            flat = {p: v for p, v in flat.items() if not f"{p}.".startswith(f"{path}.")}
        flat |= change.sets
        if not all(self.is_valid(path, value) for path, value in change.sets.items()):
            return
        self.version = offset + 1
        self.accepted[self.version] = flat
        self.newest |= dict.fromkeys(touched_subtrees(change), self.version)

    def restore(self, offset, tree):
        self.version = offset + 1
        self.accepted[self.version] = flatten(tree)
        self.newest = {f"teams.{name}": self.version for name in tree["teams"]}

    @staticmethod
    def is_valid(path, value):
        positive = path.endswith(("weight", "deadline_s"))
        return isinstance(value, int) and value >= (1 if positive else 0)


def flatten(tree, prefix=""):
    """Return the leaves of a tree by path."""
    flat = {}
    for key, value in tree.items():
        if isinstance(value, dict):
            flat |= flatten(value, f"{prefix}{key}.")
        else:
            flat[f"{prefix}{key}"] = value
    return flat


class MergeMachine(RuleBasedStateMachine):
    """Operators, processes and a log that trims records, fails and loses answers."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.rng = random.Random(seed)
        self.log, self.first, self.now = [], 0, 0.0
        self.model = Model()
        self.log_down = False
        self.followers = [create_follower(self.rng) for _ in range(PROCESSES)]
        self.in_force = [(0, {})] * PROCESSES
        self.sent = []
        self.trees_in_force = []  # must never be modified

    def append(self, data):
        self.log.append((self.now, data))
        record = decode_or_none(data)
        if isinstance(record, Change):
            self.model.add(len(self.log) - 1, record)
        elif isinstance(record, Restore):
            self.model.restore(len(self.log) - 1, record.tree)

    def read(self, process, limit=1000):
        follower = self.followers[process]
        if follower.next_offset < self.first:
            skip_trimmed_records(follower, self.first)
        was_behind = not follower.caught_up
        overlap = self.rng.randrange(3)  # a copy from a peer arrived during the read
        start = max(self.first, follower.next_offset - overlap)
        records = [
            LogRecord(offset, *self.log[offset])
            for offset in range(start, min(len(self.log), start + limit))
        ]
        apply_page(follower, LogPage(self.first, len(self.log), self.now, 0.0, records))
        self.put_in_force(process)
        if was_behind and self.in_force[process][0]:
            assert self.in_force[process][0] == self.model.version, "started outdated"

    def put_in_force(self, process):
        taken = take_configuration(self.followers[process])
        if taken is None:
            return
        version, tree = taken
        assert version > self.in_force[process][0], "version in force decreased"
        self.in_force[process] = (version, tree)
        self.trees_in_force.append((version, tree))

    def write_snapshot(self, process):
        follower = self.followers[process]
        data = take_due_snapshot(
            follower, self.now, RETENTION_S, self.rng.randbytes(12)
        )
        if data is not None:
            self.append(data)

    @rule(
        process=processes,
        current=st.booleans(),
        changes=st.lists(st.tuples(sets, deletes), min_size=1, max_size=3),
        copies=st.integers(1, 2),
        ahead=st.sampled_from([0] * 7 + [50]),
    )
    def publish(self, process, current, changes, copies, ahead):
        """Operators publish from the same base; a lost answer causes a second copy."""
        if current and not self.log_down:
            self.read(process)
        base = self.followers[process].merged.version + ahead
        for to_set, to_delete in changes:
            record_id = self.rng.randbytes(12)
            data = encode_record(Change(record_id, base, "operator", to_set, to_delete))
            self.sent.append(data)
            for _ in range(copies):
                self.append(data)

    @precondition(lambda self: self.sent)
    @rule(garbage=st.binary(max_size=5), newest=st.booleans())
    def write_late(self, garbage, newest):
        """An append whose answer was lost is written much later."""
        self.append(garbage)
        self.append(self.sent[-1] if newest else self.rng.choice(self.sent))

    @precondition(lambda self: not any(f.is_complete for f in self.followers))
    @rule(value=st.integers(1, 3))
    def restore(self, value):
        """An operator restores a tree that no process can read from the log."""
        tree = {"teams": {"a": {"allowance": value}}}
        self.append(encode_record(Restore(self.rng.randbytes(12), "operator", tree)))

    @rule(process=processes, limit=st.integers(1, 5))
    def read_some(self, process, limit):
        if not self.log_down:
            self.read(process, limit)

    @rule(down=st.booleans())
    def set_log(self, down):
        self.log_down = down

    @rule(seconds=st.sampled_from([1.0, 100.0, 400.0]))
    def pass_time(self, seconds):
        """Let the running processes renew the snapshot, then trim expired records."""
        self.now += seconds
        if not self.log_down:
            for process in range(0, PROCESSES, 2):  # the other half is paused
                self.read(process)
                self.write_snapshot(process)
        while self.first < len(self.log):
            if self.log[self.first][0] >= self.now - RETENTION_S:
                break
            self.first += 1

    @rule(part=st.integers(1, 8))
    def trim(self, part):
        """Trim any prefix, also between a snapshot and the records that it covers.

        Snapshots are written first, because otherwise most examples would lose their
        configuration. With ``part`` 1 all records are trimmed without a new snapshot.
        """
        if part > 1:
            self.several_snapshots([0, 1])
        self.first += (len(self.log) - self.first) // part

    @rule(writers=st.lists(processes, min_size=2, unique=True))
    def several_snapshots(self, writers):
        """Several processes find at the same time that a snapshot is due."""
        for process in writers:
            follower = self.followers[process]
            follower.snapshot_time, follower.snapshot_requested_at = None, float("-inf")
            self.write_snapshot(process)

    @rule(giver=processes, taker=processes)
    def copy_from_peer(self, giver, taker):
        data = export_copy(self.followers[giver])
        if data is not None:
            import_copy(self.followers[taker], data)
            self.put_in_force(taker)

    @rule(process=processes)
    def start_beside_peers(self, process):
        """A new process installs a peer's copy while it cannot read the log."""
        self.restart(process)
        self.copy_from_peer((process + 1) % PROCESSES, process)

    @rule(process=processes)
    def restart(self, process):
        self.followers[process] = create_follower(self.rng)
        self.in_force[process] = (0, {})

    @invariant()
    def handed_out_trees_are_versions_of_the_model(self):
        for version, tree in getattr(self, "trees_in_force", []):
            assert flatten(tree) == self.model.accepted[version]

    def teardown(self):
        """A process that has read to the end without a gap has the newest version."""
        if not hasattr(self, "log"):
            return
        for process, follower in enumerate(self.followers):
            self.read(process)
            if follower.is_complete:
                assert self.in_force[process][0] == self.model.version
                assert follower.merged.subtree_versions == self.model.newest


def decode_or_none(data):
    try:
        return decode_record(data)
    except InvalidRecord:
        return None


MergeMachine.TestCase.settings = settings(
    max_examples=400,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestMerge = MergeMachine.TestCase
