"""The clock for leases, grants and time-outs."""

import time


def steady_time():
    """Return the seconds of a monotonic clock that runs while the VM is suspended.

    A process that was suspended must find its leases and grants expired afterwards,
    or two owners could decide over the same shard.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
