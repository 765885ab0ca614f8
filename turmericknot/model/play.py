"""Plays the variants and seeds of an experiment, in parallel processes."""

import contextlib
import importlib
from concurrent.futures import ProcessPoolExecutor

from turmericknot.core.exceptions import ConfigurationError

from .site import create_site
from .summary import summarize

SCHEDULING_PACKAGE = "turmericknot.scheduling"


@contextlib.contextmanager
def replaced_constants(constants):
    """Replace constants of the decisions while the context is active.

    Raise ConfigurationError for a name that does not exist.
    """
    previous = []
    try:
        for name, value in constants.items():
            module_name, _, constant = name.rpartition(".")
            try:
                module = importlib.import_module(f"{SCHEDULING_PACKAGE}.{module_name}")
                former = getattr(module, constant)
            except (ImportError, AttributeError) as error:
                raise ConfigurationError(f"variants: no constant {name}") from error
            previous.append((module, constant, former))
            setattr(module, constant, type(former)(value))
        yield
    finally:
        for module, constant, former in reversed(previous):
            setattr(module, constant, former)


def play_run(experiment, variant, seed):
    """Play one variant with one seed; return the figures as a dict."""
    with replaced_constants(variant.constants):
        site = create_site(experiment, seed, variant.worker_health)
        results = site.play()
    return (
        {"variant": variant.name, "seed": seed}
        | summarize(results, site.messages, experiment)
        | {"runs_by_distance": site.runs_by_distance}
    )


def play_experiment(experiment, jobs=1):
    """Yield the figures of every variant with every seed, as they are ready."""
    runs = [
        (experiment, variant, seed)
        for variant in experiment.variants
        for seed in experiment.seeds
    ]
    if jobs == 1:
        yield from (play_run(*run) for run in runs)
        return
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(play_run, *zip(*runs, strict=True))
