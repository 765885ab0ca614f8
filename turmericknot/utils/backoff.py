"""Delays between attempts: exponential with full jitter."""


def jittered_delays(rng, first_s, limit_s):
    """Yield delays whose upper bound doubles from ``first_s`` to ``limit_s``.

    A delay is drawn between half of the bound and the bound, so that processes
    which failed together do not try again together.
    """
    bound = first_s
    while True:
        yield rng.uniform(bound / 2, bound)
        bound = min(bound * 2, limit_s)
