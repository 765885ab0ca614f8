"""When an agent asks an entry for a grant.

Of 35 entries, a worker runs tasks of a few at any moment. An agent therefore renews the
grants of entries that have runs here, or had some a moment ago, and asks all others
only to show that it is alive. A run that arrives without a valid grant waits for the
answer to a request that is sent at once.
"""

RENEWAL_INTERVAL_S = 0.25
IDLE_REQUEST_INTERVAL_S = 2.0
# Grants are renewed for this long after the last run, for the next job of the entry.
LINGER_S = 0.5
# The link to an entry that has not answered a request for this long is reconnected.
ANSWER_TIMEOUT_S = 1.3


class GrantRequests:
    """The grant requests sent to one entry on its present stream."""

    __slots__ = (
        "_sent_at",
        "_last_sequence",
        "_last_sent_at",
        "_used_at",
        "_on_demand",
    )

    def __init__(self):
        self._sent_at = {}  # sequence number of an unanswered request -> time
        self._last_sequence = 0
        self._last_sent_at = 0.0
        self._used_at = 0.0  # when the entry last had runs here
        self._on_demand = False  # whether the entry expects no requests while idle

    def stream_opened(self, on_demand, now):
        """Start again on a new stream to the entry."""
        self._sent_at.clear()
        self._on_demand = on_demand
        self._used_at = now

    def entry_uses_worker(self, now):
        """Record that the entry has runs here, or has asked for one."""
        self._used_at = now

    def is_due(self, now):
        """Return whether to send a request now."""
        is_idle = self._on_demand and now - self._used_at > LINGER_S
        interval_s = IDLE_REQUEST_INTERVAL_S if is_idle else RENEWAL_INTERVAL_S
        return now - self._last_sent_at >= interval_s

    def record_request(self, now):
        """Return the sequence number of the request that is being sent."""
        self._last_sequence += 1
        self._sent_at[self._last_sequence] = now
        self._last_sent_at = now
        return self._last_sequence

    def pop_sent_at(self, sequence):
        """Return when the request was sent, or None if it is not of this stream."""
        return self._sent_at.pop(sequence, None)

    def is_unanswered(self, now):
        """Return whether the entry has not answered a request in time."""
        return any(now - at > ANSWER_TIMEOUT_S for at in self._sent_at.values())


def create_grant_requests():
    """Return the requests to an entry to which no stream is open yet."""
    return GrantRequests()
