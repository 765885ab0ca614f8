"""Print the figures of the policy's discrete-event driver, mean over seeds.

Usage: python -m tools.drive_policy [--policies=a,b] [--workloads=a,b] [--seeds=1,2,3]

The workload full_size takes a minute per seed and is played when it is named.
"""

import json
from statistics import mean

import fire

from tests.dispatch.workloads import WORKLOADS

POLICIES = ("windows", "random", "least_outstanding")
DEFAULT = tuple(name for name in WORKLOADS if name != "full_size")


def main(policies=POLICIES, workloads=DEFAULT, seeds=(1, 2, 3)):
    """Play each workload under each policy on the same seeds."""
    for policy in _names(policies):
        figures = {}
        for name in _names(workloads):
            rows = [WORKLOADS[name](policy, seed) for seed in _names(seeds)]
            figures |= {
                key: round(mean(row[key] for row in rows), 4) for key in rows[0]
            }
        print(json.dumps({policy: figures}), flush=True)


def _names(value):
    return (value,) if isinstance(value, (str, int)) else tuple(value)


if __name__ == "__main__":
    fire.Fire(main)
