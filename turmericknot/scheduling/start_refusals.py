"""What the refusal of a start tells about the run.

A caller may only be told that its job was not run if no task of it ever began. Not
every refusal proves that: an agent also reports a start as refused that got no answer,
and a worker refuses a run number that it already knows.
"""

_NEVER_SENT = frozenset(
    {
        "evacuated",
        "fenced",
        "no_grant",
        "no_lease",
        "no_worker",
        "probing",
        "suspended",
        "unreachable",
    }
)
_REJECTED_BY_WORKER = frozenset(
    {"fence", "late", "malformed", "restarted", "room", "ticket", "unhealthy"}
)


def proves_no_start(reason):
    """Return whether a run refused for this reason never began, and never will."""
    return reason in _NEVER_SENT or reason in _REJECTED_BY_WORKER
