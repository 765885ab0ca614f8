"""Experiment files: sizes, load, troubles and the policies to compare."""

import tomllib

import msgspec

from turmericknot.core.exceptions import ConfigurationError, SettingsError


class Kind(msgspec.Struct, forbid_unknown_fields=True):
    """A kind of job and its mean rate over all entries."""

    name: str
    jobs_per_s: float
    tasks: int
    cpu: int  # thousandths of a core, of each task
    run_s: float  # mean duration of a task
    priority: int = 0  # 0 is served first
    memory_mb: int = 64
    spread: float = 0.4  # sigma of the lognormal durations
    stretch: float = 1.6
    objective_s: float = 0.06
    attempts: int = 4
    wait_s: float = 10.0  # how long its callers wait


class Wave(msgspec.Struct, forbid_unknown_fields=True):
    """Rises and falls of all rates by a sine."""

    swing: float = 0.0  # share of the mean rate
    period_s: float = 15.0


class Burst(msgspec.Struct, forbid_unknown_fields=True):
    """A time in which ``factor`` times as many jobs of a kind come."""

    kind: str
    at_s: float
    for_s: float
    factor: float


class Trouble(msgspec.Struct, forbid_unknown_fields=True):
    """Something that happens to a share of the workers or entries.

    ``slow``: tasks of these workers take ``factor`` times as long. ``failing``: each of
    their runs fails. ``lost_answers``: this share of all start calls gets no answer.
    ``entry_loss``: these entries lose their state and are away. ``deadly``: this share
    of the jobs of ``job_kind`` has a task that crashes each worker that starts it; the
    next process of the worker reports ``down_s`` later.
    """

    kind: str
    at_s: float
    for_s: float
    share: float
    factor: float = 4.0
    job_kind: str = ""  # empty: jobs of every kind
    down_s: float = 3.0


class Variant(msgspec.Struct, forbid_unknown_fields=True):
    """A policy to compare: constants of ``turmericknot.scheduling`` to replace.

    A name has the form ``module.CONSTANT``.
    """

    name: str
    constants: dict[str, float] = {}


class Experiment(msgspec.Struct, forbid_unknown_fields=True):
    """One experiment; every variant is played with every seed."""

    entries: int
    agents: int
    worker_cpu: int  # thousandths of a core
    kinds: list[Kind]
    duration_s: float = 30.0
    worker_speeds: tuple[float, ...] = (1.0,)  # assigned in turn
    link_delay_s: float = 0.001
    call_delay_s: float = 0.001  # of a call to a worker, one way
    wave: Wave = msgspec.field(default_factory=Wave)
    bursts: list[Burst] = []
    troubles: list[Trouble] = []
    variants: list[Variant] = msgspec.field(default_factory=lambda: [Variant("as is")])
    seeds: tuple[int, ...] = (1,)


TROUBLE_KINDS = ("slow", "failing", "lost_answers", "entry_loss", "deadly")


def load_experiment(path):
    """Return the Experiment in a TOML file.

    Raise ConfigurationError when it cannot be read, and SettingsError with the list of
    all values that are not allowed.
    """
    try:
        with open(path, "rb") as file:
            experiment = msgspec.convert(tomllib.load(file), Experiment)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ConfigurationError(f"{path}: {error}") from error
    problems = list(_find_problems(experiment))
    if problems:
        raise SettingsError([f"{path}: {problem}" for problem in problems])
    return experiment


def _find_problems(experiment):
    for name in ("entries", "agents", "worker_cpu", "duration_s"):
        value = getattr(experiment, name)
        if value <= 0:
            yield f"{name}: found {value}; allowed: above 0"
    if not experiment.kinds:
        yield "kinds: found none; allowed: one or more"
    for number, kind in enumerate(experiment.kinds):
        for name in ("jobs_per_s", "tasks", "cpu", "run_s"):
            value = getattr(kind, name)
            if value <= 0:
                yield f"kinds.{number}.{name}: found {value}; allowed: above 0"
        if kind.cpu > experiment.worker_cpu:
            yield f"kinds.{number}.cpu: found {kind.cpu}; allowed: up to worker_cpu"
    if not 0 <= experiment.wave.swing < 1:
        yield f"wave.swing: found {experiment.wave.swing}; allowed: 0 to below 1"
    for number, burst in enumerate(experiment.bursts):
        if burst.kind not in [kind.name for kind in experiment.kinds]:
            yield f"bursts.{number}.kind: found {burst.kind!r}; allowed: a kind"
        if burst.factor < 0:
            yield f"bursts.{number}.factor: found {burst.factor}; allowed: 0 or more"
    for number, trouble in enumerate(experiment.troubles):
        if trouble.kind not in TROUBLE_KINDS:
            allowed = ", ".join(TROUBLE_KINDS)
            yield f"troubles.{number}.kind: found {trouble.kind!r}; allowed: {allowed}"
        names = [kind.name for kind in experiment.kinds]
        if trouble.job_kind and trouble.job_kind not in names:
            yield (
                f"troubles.{number}.job_kind: found {trouble.job_kind!r}; "
                f"allowed: {', '.join(names)}"
            )
        if not 0 <= trouble.share <= 1:
            yield f"troubles.{number}.share: found {trouble.share}; allowed: 0 to 1"
    if not experiment.seeds or not experiment.variants:
        yield "seeds, variants: found none; allowed: one or more"
