"""Measure the merge of the configuration tree and print ``key=value`` lines.

Run ``python -m tools.measure_configtree [--teams 250] [--records 20000]``.
"""

import argparse
import random
import time
import tracemalloc

from turmericknot.clients.log_client import LogPage, LogRecord
from turmericknot.configtree.follower import apply_page, create_follower, export_copy
from turmericknot.configtree.records import Change, encode_record
from turmericknot.configtree.tree import MergeState, apply_record, state_to_snapshot


def create_team_settings(rng):
    """Return the settings of a team with all keys set and five task classes."""
    names = ["price-check", "reserve", "refill", "grain", "colour"]
    return {
        "allowance": rng.randint(1, 690),
        "weight": rng.choice([1.0, 2.0, 4.0]),
        "priorities": {name: rng.randint(0, 9) for name in names},
        "limits": {
            "max_running": 500,
            "max_queued": 20_000,
            "max_tasks_per_job": 1500,
            "max_processors": 512.0,
            "max_memory_mb": 1_000_000,
            "max_accelerators": 16,
        },
        "classes": {
            name: {"deadline_s": 5.0, "estimate_ms": 250.0, "idempotent": True}
            for name in names
        },
        "retry": {"budget_share": 0.1},
        "deadline_s": 30.0,
    }


def create_records(teams, count, rng):
    """Return encoded changes that first add all teams and then set single values."""
    records = []
    for offset in range(count):
        name = f"teams.team-{offset % teams:03d}"
        if offset < teams:
            values = {name: create_team_settings(rng)}
        else:
            values = {f"{name}.allowance": rng.randint(1, 690)}
        records.append(
            encode_record(Change(rng.randbytes(12), offset, "operator", values))
        )
    return records


def time_call(call):
    """Return the CPU seconds and the result of a call."""
    start = time.process_time()
    result = call()
    return time.process_time() - start, result


def merge_records(records):
    """Return the merge state after applying all records."""
    state = MergeState()
    for offset, data in enumerate(records):
        apply_record(state, offset, 0.0, data)
    return state


def create_follower_from_snapshot(state):
    """Return a follower that starts from a snapshot, as after a trimmed log."""
    follower = create_follower(random.Random(1))
    data = encode_record(state_to_snapshot(state, b"s" * 12))
    offset = state.next_offset
    record = LogRecord(offset, 0.0, data)
    apply_page(follower, LogPage(offset, offset + 1, 0.0, 0.0, [record]))
    return follower


def measure_configtree(teams, count):
    """Return the figures of merging ``count`` records of ``teams`` teams as a dict."""
    records = create_records(teams, count, random.Random(7))
    merge_s, state = time_call(lambda: merge_records(records))
    if state.version != count:
        raise SystemExit("the merge did not apply all records")
    snapshot = encode_record(state_to_snapshot(state, b"s" * 12))
    start_s, follower = time_call(lambda: create_follower_from_snapshot(state))
    tracemalloc.start()
    merged = merge_records(records)
    tree_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "teams": len(merged.tree["teams"]),
        "records": count,
        "records_per_s": count / merge_s,
        "bytes_per_change": sum(map(len, records[teams:])) / max(1, count - teams),
        "bytes_per_team": sum(map(len, records[:teams])) / teams,
        "snapshot_bytes": len(snapshot),
        "peer_copy_bytes": len(export_copy(follower)),
        "start_from_snapshot_ms": start_s * 1000,
        "tree_memory_kb": tree_bytes / 1024,
    }


def main():
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--teams", type=int, default=250)
    parser.add_argument("--records", type=int, default=20_000)
    arguments = parser.parse_args()
    for key, value in measure_configtree(arguments.teams, arguments.records).items():
        print(f"{key}={value:.1f}" if isinstance(value, float) else f"{key}={value}")


if __name__ == "__main__":
    main()
