"""What an agent tells each entry about the capacity that other entries use.

In a lunch wave, runs start and end on a worker dozens of times a second. Reporting each
change to each entry costs changes x entries at the agent and changes x agents at the
entry. A report therefore accompanies the messages that an entry gets anyway, and beyond
those only changes that matter for the choice of a worker are reported, to a few entries
at a time: an entry whose report is oldest comes first. Capacity that has become free is
thus offered to one or two entries at a time, which do not compete for it.
"""

# Entries told of changes in one round, besides those that get a message anyway.
MAX_REPORTS_PER_ROUND = 2
# With less than this share of a resource free, a worker counts as nearly full.
NEARLY_FULL_SHARE = 0.25
# Changes of the used share of a resource that matter for the choice of a worker.
SIGNIFICANT_SHARE_NEARLY_FULL = 1 / 16
SIGNIFICANT_SHARE = 1 / 4


class EntryUsage:
    """What one entry was last told about the use of the worker by others."""

    __slots__ = ("_usage", "_reported_at")

    def __init__(self):
        self._usage = None  # (cpu, memory, accelerators); None: unknown to the entry
        self._reported_at = 0.0

    @property
    def usage(self):
        """Return the usage last reported, or None if it must be reported again."""
        return self._usage

    @property
    def reported_at(self):
        """Return the time of the last report."""
        return self._reported_at

    def record_report(self, usage, now):
        """Record that this usage is being reported."""
        self._usage = usage
        self._reported_at = now

    def forget(self):
        """Have the usage reported again, because the entry's figures are outdated."""
        self._usage = None


class WorkerUsage:
    """Resources that the runs on a worker use, in all and by the owner's stream."""

    __slots__ = ("_total", "_by_stream")

    def __init__(self, total, by_stream):
        self._total = total
        self._by_stream = by_stream

    def foreign_to(self, stream):
        """Return (cpu, memory, accelerators) used by the runs of other owners."""
        own = self._by_stream.get(stream, (0, 0, 0))
        return tuple(
            used - own_part for used, own_part in zip(self._total, own, strict=True)
        )


def measure_usage(state):
    """Return the WorkerUsage of all runs, those that are still queued included."""
    total, by_stream = [0, 0, 0], {}
    for run in state.runs.values():
        shard_grant = state.shards.get(run.shard)
        sums = [total]
        if shard_grant is not None and shard_grant.stream is not None:
            sums.append(by_stream.setdefault(shard_grant.stream, [0, 0, 0]))
        for part in sums:
            part[0] += run.cpu
            part[1] += run.memory
            part[2] += run.accelerators
    return WorkerUsage(total, by_stream)


def is_significant(reported, usage, capacity):
    """Return whether the change matters to an entry that gets no other message.

    All arguments are (cpu, memory, accelerators); ``reported`` may be None.
    """
    if reported is None:
        return True
    for before, after, available in zip(reported, usage, capacity, strict=True):
        lowest_free = available - max(before, after)
        threshold = (
            SIGNIFICANT_SHARE_NEARLY_FULL
            if lowest_free < NEARLY_FULL_SHARE * available
            else SIGNIFICANT_SHARE
        )
        if before != after and abs(after - before) >= threshold * available:
            return True
    return False


def choose_reports(known_by_stream, usage, capacity):
    """Return (stream, foreign usage) of the entries to tell of changes now.

    ``known_by_stream`` maps the stream to each entry to its EntryUsage.
    """
    due = []
    for stream, known in known_by_stream.items():
        foreign_usage = usage.foreign_to(stream)
        if is_significant(known.usage, foreign_usage, capacity):
            due.append((known.reported_at, stream, foreign_usage))
    due.sort()
    return [(stream, foreign) for _, stream, foreign in due[:MAX_REPORTS_PER_ROUND]]
