"""Description of a load: who submits what, how often and how large (TOML)."""

import tomllib
from typing import Literal

import msgspec

from turmericknot.core.exceptions import ConfigurationError


class Distribution(msgspec.Struct, forbid_unknown_fields=True):
    """A distribution of positive numbers.

    ``constant`` uses ``low``; ``uniform`` uses ``low`` and ``high``; ``lognormal`` uses
    ``median`` and ``sigma`` and is clipped to ``low`` and ``high``; ``mixture`` draws
    ``high`` with probability ``share`` and ``low`` otherwise.
    """

    kind: Literal["constant", "uniform", "lognormal", "mixture"] = "constant"
    low: float = 1.0
    high: float = 1e12
    median: float = 1.0
    sigma: float = 0.0
    share: float = 0.0


class Stream(msgspec.Struct, forbid_unknown_fields=True):
    """Jobs of one team and class with Poisson arrivals."""

    team: str
    task_class: str
    jobs_per_s: float = 1.0  # relative to the other streams when ``load`` is set
    idempotent: bool = True
    job_tasks: Distribution = msgspec.field(default_factory=Distribution)
    run_ms: Distribution = msgspec.field(
        default_factory=lambda: Distribution("uniform", 50.0, 1000.0)
    )
    deadline_s: float = 10.0
    # Share of tasks whose declared size is wrong, and by which factor (up or down).
    wrong_share: float = 0.0
    wrong_factor: float = 10.0
    start_s: float = 0.0
    end_s: float = 1e12


class Swing(msgspec.Struct, forbid_unknown_fields=True):
    """A span of time in which every rate is multiplied."""

    start_s: float
    duration_s: float
    factor: float


class Workload(msgspec.Struct, forbid_unknown_fields=True):
    """A whole load."""

    streams: list[Stream]
    seed: int = 1
    duration_s: float = 20.0
    slots: int = 80
    # Offered work over ``slots``; scales the streams' rates. Zero keeps the rates.
    load: float = 0.0
    resubmit_share: float = 0.0
    resubmit_after_s: float = 0.1
    swings: list[Swing] = []


def load_workload(path):
    """Read a workload file; raise ConfigurationError with file and key."""
    try:
        with open(path, "rb") as file:
            return msgspec.convert(tomllib.load(file), Workload)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ConfigurationError(f"{path}: {error}") from error


def mean(distribution):
    """Return the mean of a distribution, for lognormal without its clipping."""
    if distribution.kind == "uniform":
        return (distribution.low + distribution.high) / 2
    if distribution.kind == "lognormal":
        return distribution.median * 2.718281828459045 ** (distribution.sigma**2 / 2)
    if distribution.kind == "mixture":
        share = distribution.share
        return share * distribution.high + (1 - share) * distribution.low
    return distribution.low


def draw(distribution, rng):
    """Return one value."""
    if distribution.kind == "uniform":
        return rng.uniform(distribution.low, distribution.high)
    if distribution.kind == "lognormal":
        value = distribution.median * 2.718281828459045 ** (
            distribution.sigma * rng.gauss(0.0, 1.0)
        )
        return min(max(value, distribution.low), distribution.high)
    if distribution.kind == "mixture":
        is_high = rng.random() < distribution.share
        return distribution.high if is_high else distribution.low
    return distribution.low
