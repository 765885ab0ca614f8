"""The clock of decisions that guard against two owners."""

import time


def steady_time():
    """Return seconds that also pass while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
