"""Benchmark workloads, at the current size of one customer's service."""

from turmericknot.load.workload import Distribution, Stream, Swing, Workload

WORKERS = 10
SLOTS_PER_WORKER = 8
SLOTS = WORKERS * SLOTS_PER_WORKER
RUN_MS = Distribution("uniform", 50.0, 1000.0)
SHORT_RUN_MS = Distribution("uniform", 50.0, 250.0)
LONG_FACTOR = 20.0
TEAMS = {
    "carts": {"allowance": SLOTS, "weight": 1.0},
    "depot": {"allowance": SLOTS, "weight": 1.0},
}


def steady_workload(seed, duration_s):
    """Return a steady workload of an ordering application at 70% load."""
    tasks_per_job = Distribution("uniform", 1, 8)
    return Workload(
        [
            Stream("carts", "price_check", 6.0, True, tasks_per_job, RUN_MS),
            Stream("carts", "stock_reservation", 2.0, False, tasks_per_job, RUN_MS),
            Stream("depot", "refill_confirmation", 1.0, False, tasks_per_job, RUN_MS),
        ],
        seed=seed,
        duration_s=duration_s,
        slots=SLOTS,
        load=0.7,
    )


def swing_workload(seed, before_s, swing_s, after_s):
    """Return a load swing from 70% of capacity to three times capacity and back."""
    workload = steady_workload(seed, before_s + swing_s + after_s)
    workload.swings = [Swing(before_s, swing_s, 3.0 / 0.7)]
    for stream in workload.streams:
        stream.deadline_s = 3.0
    return workload


def short_workload(seed, duration_s):
    """Return short jobs at 35% load."""
    short_stream = Stream("carts", "availability", 1.0, True, run_ms=SHORT_RUN_MS)
    return Workload(
        [short_stream], seed=seed, duration_s=duration_s, slots=SLOTS, load=0.35
    )


def short_and_long_workload(seed, duration_s, wrong_share=0.0):
    """Return the jobs of ``short_workload`` and 5% of jobs that run 20 times longer.

    The first stream and the seed are those of ``short_workload``, so that the short
    jobs arrive at the same times in both.
    """
    workload = short_workload(seed, duration_s)
    short_jobs_per_s = workload.load * SLOTS / 0.15  # the mean run time is 0.15 s
    long_run_ms = Distribution(
        "uniform", SHORT_RUN_MS.low * LONG_FACTOR, SHORT_RUN_MS.high * LONG_FACTOR
    )
    short_stream = workload.streams[0]
    short_stream.jobs_per_s = short_jobs_per_s
    long_stream = Stream(
        "depot",
        "matching",
        short_jobs_per_s * 0.05 / 0.95,
        True,
        run_ms=long_run_ms,
        deadline_s=30.0,
    )
    for stream in (short_stream, long_stream):
        stream.wrong_share = wrong_share
    workload.streams = [short_stream, long_stream]
    workload.load = 0.0
    return workload


def flood_workload(seed, duration_s):
    """Return a team within its allowance and one with ten times its task rate."""
    run_ms = Distribution("uniform", 50.0, 150.0)
    tasks_per_s = 0.4 * SLOTS / 0.1  # uses 40% of the slots
    return Workload(
        [
            Stream(
                "carts",
                "price_check",
                tasks_per_s / 8,
                True,
                Distribution("constant", 8),
                run_ms,
            ),
            Stream(
                "depot",
                "refill",
                tasks_per_s / 10,
                True,
                Distribution("constant", 100),
                run_ms,
                deadline_s=2.0,
            ),
        ],
        seed=seed,
        duration_s=duration_s,
        slots=SLOTS,
    )


def large_job_workload(seed, duration_s):
    """Return jobs of 100 to 300 short tasks, to measure the CPU cost of a task."""
    stream = Stream(
        "carts",
        "batch",
        1.0,
        True,
        Distribution("uniform", 100, 300),
        Distribution("uniform", 50.0, 100.0),
    )
    return Workload([stream], seed=seed, duration_s=duration_s, slots=SLOTS, load=0.6)
