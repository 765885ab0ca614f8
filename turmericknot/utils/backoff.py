"""Retry delays: exponential backoff with jitter."""


def jittered_delays(rng, initial_delay_s, max_delay_s):
    """Yield delays whose bound doubles from ``initial_delay_s`` to ``max_delay_s``.

    Each delay is drawn between half of the bound and the bound, so that processes
    that failed at the same time do not retry at the same time.
    """
    bound_s = initial_delay_s
    while True:
        yield rng.uniform(bound_s / 2, bound_s)
        bound_s = min(bound_s * 2, max_delay_s)
