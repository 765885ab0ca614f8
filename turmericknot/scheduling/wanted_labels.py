"""Labels that best-effort jobs require and that no agent of the entry has.

An agent serves a part of the entries of a large site, so an entry may have no agent of
a rack or kind with few workers. It says so in its registration, and the agents that
have the label connect. The owner of durable jobs need not ask: all agents serve it.
"""

from dataclasses import dataclass

# Agents that learn of a label connect within this time.
CONNECT_S = 3.0
# Agents may leave again when no job has required the label for this long.
FORGET_LABEL_AFTER_S = 60.0
MAX_WANTED_LABELS = 32


@dataclass(slots=True)
class WantedLabel:
    """Steady times at which a label was first and last required, in seconds."""

    first_required_at: float
    last_required_at: float


class WantedLabels:
    """The labels to ask agents for, by service and label."""

    __slots__ = ("_wanted",)

    def __init__(self):
        self._wanted = {}  # (service, label) -> WantedLabel

    def require(self, service, label, is_known, now):
        """Record that a job requires a label; return whether to wait for its agents.

        ``is_known`` says whether an agent that has it is connected.
        """
        wanted = self._wanted.get((service, label))
        if wanted is None:
            if is_known or len(self._wanted) >= MAX_WANTED_LABELS:
                return False
            wanted = self._wanted[service, label] = WantedLabel(now, now)
        wanted.last_required_at = now
        return now - wanted.first_required_at < CONNECT_S

    def current(self, now):
        """Return the (service, label) pairs to ask for.

        Those that no job has required for some time are forgotten.
        """
        forget_before = now - FORGET_LABEL_AFTER_S
        for key, wanted in list(self._wanted.items()):
            if wanted.last_required_at < forget_before:
                del self._wanted[key]
        return list(self._wanted)


def create_wanted_labels():
    """Return the wanted labels of an entry that has had no jobs yet."""
    return WantedLabels()
