"""Process statistics for status pages."""

import resource
import threading
import time


def process_stats(dispatcher):
    """Return CPU time, peak memory, thread count and handled event count."""
    return {
        "cpu_s": time.process_time(),
        "rss_mb_max": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "threads": threading.active_count(),
        "events": dispatcher.handled_event_count,
    }
