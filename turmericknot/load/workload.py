"""Workload files (TOML): which teams submit which jobs, at which rate and size."""

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
    """Jobs of one team and task class with Poisson arrivals."""

    team: str
    task_class: str
    jobs_per_s: float = 1.0  # relative to the other streams when ``load`` is set
    idempotent: bool = True
    job_tasks: Distribution = msgspec.field(default_factory=Distribution)
    run_ms: Distribution = msgspec.field(
        default_factory=lambda: Distribution("uniform", 50.0, 1000.0)
    )
    deadline_s: float = 10.0
    # Share of tasks with a wrong declared size, which is the run time multiplied or
    # divided by ``wrong_factor`` with equal probability.
    wrong_share: float = 0.0
    wrong_factor: float = 10.0
    start_s: float = 0.0
    end_s: float = 1e12


class Swing(msgspec.Struct, forbid_unknown_fields=True):
    """An interval in which the arrival rates of all streams are multiplied."""

    start_s: float
    duration_s: float
    factor: float


class Workload(msgspec.Struct, forbid_unknown_fields=True):
    """A workload: its streams, duration and offered load."""

    streams: list[Stream]
    seed: int = 1
    duration_s: float = 20.0
    slots: int = 80
    # Offered work as a share of the capacity of ``slots``; the rates of all streams
    # are scaled to reach it. Zero keeps the rates as they are.
    load: float = 0.0
    resubmit_share: float = 0.0
    resubmit_after_s: float = 0.1
    swings: list[Swing] = []


def load_workload(path):
    """Return the Workload in a file.

    Raise ConfigurationError with the file and the key when it is invalid.
    """
    try:
        with open(path, "rb") as file:
            return msgspec.convert(tomllib.load(file), Workload)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ConfigurationError(f"{path}: {error}") from error


def distribution_mean(distribution):
    """Return the mean of a distribution; for lognormal, clipping is ignored."""
    if distribution.kind == "uniform":
        return (distribution.low + distribution.high) / 2
    if distribution.kind == "lognormal":
        return distribution.median * 2.718281828459045 ** (distribution.sigma**2 / 2)
    if distribution.kind == "mixture":
        share = distribution.share
        return share * distribution.high + (1 - share) * distribution.low
    return distribution.low


def sample_distribution(distribution, rng):
    """Return one random value of a distribution."""
    if distribution.kind == "uniform":
        return rng.uniform(distribution.low, distribution.high)
    if distribution.kind == "lognormal":
        value = distribution.median * 2.718281828459045 ** (
            distribution.sigma * rng.gauss(0.0, 1.0)
        )
        return min(max(value, distribution.low), distribution.high)
    if distribution.kind == "mixture":
        draws_high = rng.random() < distribution.share
        return distribution.high if draws_high else distribution.low
    return distribution.low
