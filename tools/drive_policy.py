"""Simulate workloads under each placement policy and print the means over the seeds.

Usage: python -m tools.drive_policy [--policies=a,b] [--workloads=a,b] [--seeds=1,2,3]

The workload full_size takes a minute per seed and only runs if it is named.
"""

import json
from statistics import mean

import fire

from tests.dispatch.workloads import WORKLOADS

POLICIES = ("windows", "random", "least_outstanding")
DEFAULT_WORKLOADS = tuple(name for name in WORKLOADS if name != "full_size")


def main(policies=POLICIES, workloads=DEFAULT_WORKLOADS, seeds=(1, 2, 3)):
    """Run each workload under each policy with the same seeds."""
    for policy in _as_tuple(policies):
        figures = {}
        for name in _as_tuple(workloads):
            seed_figures = [WORKLOADS[name](policy, seed) for seed in _as_tuple(seeds)]
            figures |= {
                key: round(mean(one_seed[key] for one_seed in seed_figures), 4)
                for key in seed_figures[0]
            }
        print(json.dumps({policy: figures}), flush=True)


def _as_tuple(value):
    return (value,) if isinstance(value, (str, int)) else tuple(value)


if __name__ == "__main__":
    fire.Fire(main)
