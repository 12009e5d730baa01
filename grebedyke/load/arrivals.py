"""When requests come and how much work each is: drawn ahead from a library's generators by a seed."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

import numpy

# What a run may not exceed, so that the tool ends by itself.
MOST_SECONDS = 3600.0
MOST_ARRIVALS = 1_000_000

BURST_FACTOR = 3
"""In a burst requests come at so many times the rate."""
BURST_PERIOD = 5
"""Seconds from the start of a burst to the start of the next."""
BURST_LENGTH = 1
"""Seconds that a burst takes."""

LOGNORMAL_VARIATION = 1.5
"""Standard deviation over the mean of lognormal sizes."""
PARETO_SHAPE = 1.5
PARETO_RANGE = 1000.0
"""Largest over smallest of Pareto sizes."""

LEAVING_AFTER = (0.01, 0.5)
"""Between how many seconds after it sent its request a client that does not wait goes away."""


class ArrivalPattern(StrEnum):
    """How requests are spread over time."""

    POISSON = "poisson"
    BURST = "burst"
    """Poisson, at `BURST_FACTOR` times the rate in each burst."""
    TRACE = "trace"
    """At stated times."""


class SizeLaw(StrEnum):
    """By which law the work of requests is drawn."""

    CONSTANT = "constant"
    EXPONENTIAL = "exponential"
    LOGNORMAL = "lognormal"
    PARETO = "pareto"
    """Bounded, see `PARETO_RANGE`."""


class Operation(NamedTuple):
    """An operation as clients use it.

    Attributes:
        name: As the settings have it.
        effect: "safe", "keyed" or "unsafe", as the settings have it.
        timeout: Seconds that clients wait.
        window: Idempotency window in seconds.
        share: Its part of all requests, beside the other operations' shares.
    """

    name: str
    effect: str = "safe"
    timeout: float = 4.0
    window: float = 10.0
    share: float = 1.0


class Arrival(NamedTuple):
    """A request that will be handed in.

    Attributes:
        time: When, in seconds from the start of the run.
        operation: Its `Operation`.
        tenant: Its tenant's name.
        work: Its running time at speed 1, in seconds.
        leaves_after: Seconds after which its client goes away; None: it waits.
    """

    time: float
    operation: Operation
    tenant: str
    work: float
    leaves_after: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadShape:
    """What load is drawn from.

    Attributes:
        operations: Each `Operation`.
        rate: Requests a second; not for a trace.
        seconds: How long requests come.
        pattern: How they are spread over that time.
        size_law: By which law their work is drawn.
        mean_work: The mean of their work at speed 1, in seconds.
        tenants: Names, drawn with equal chance.
        leaving: Share of clients that go away before their answer.
        trace: Times in seconds, for `ArrivalPattern.TRACE`.
    """

    operations: tuple[Operation, ...]
    rate: float
    seconds: float
    pattern: ArrivalPattern = ArrivalPattern.POISSON
    size_law: SizeLaw = SizeLaw.EXPONENTIAL
    mean_work: float
    tenants: tuple[str, ...] = ("t",)
    leaving: float = 0.0
    trace: tuple[float, ...] = ()


def draw_arrivals(seed, shape):
    """Returns each `Arrival` of a run, in order.

    All are drawn before the run: what is answered slowly must not hold back what comes next.

    Args:
        seed: Of all draws.
        shape: The `LoadShape`.

    Raises:
        ValueError: The run would take too long or have too many requests.
    """
    random = numpy.random.default_rng(seed)
    times = draw_times(random, shape)
    count = len(times)
    work = draw_work(random, shape.size_law, shape.mean_work, count)
    shares = numpy.array([operation.share for operation in shape.operations], dtype=float)
    operations = random.choice(len(shape.operations), count, p=shares / shares.sum())
    tenants = random.integers(len(shape.tenants), size=count)
    leaves = random.uniform(size=count) < shape.leaving
    leaving_times = random.uniform(*LEAVING_AFTER, count)
    return [
        Arrival(
            time=times[index],
            operation=shape.operations[operations[index]],
            tenant=shape.tenants[tenants[index]],
            work=float(work[index]),
            leaves_after=float(leaving_times[index]) if leaves[index] else None,
        )
        for index in range(count)
    ]


def draw_times(random, shape):
    """Returns the times of arrivals in seconds from the start, in order.

    Raises:
        ValueError: The run would take too long or have too many requests.

    >>> random = numpy.random.default_rng(1)
    >>> shape = LoadShape(operations=(), rate=50, seconds=20, mean_work=1)
    >>> times = draw_times(random, shape)
    >>> 900 < len(times) < 1100 and list(times) == sorted(times) and times[-1] < 20
    True
    >>> trace = LoadShape(
    ...     operations=(), rate=0, seconds=2, mean_work=1, pattern=ArrivalPattern.TRACE, trace=(0.5, 1.5, 2.5)
    ... )
    >>> draw_times(random, trace)
    [0.5, 1.5]
    """
    if shape.pattern == ArrivalPattern.TRACE:
        return sorted(float(time) for time in shape.trace if 0 <= time < shape.seconds)
    peak_rate = shape.rate * (BURST_FACTOR if shape.pattern == ArrivalPattern.BURST else 1)
    if not 0 < shape.seconds <= MOST_SECONDS or not 0 < peak_rate * shape.seconds <= MOST_ARRIVALS:
        raise ValueError(f"{shape.rate:g} a second for {shape.seconds:g} s is out of bounds")
    count = random.poisson(peak_rate * shape.seconds)
    times = numpy.sort(random.uniform(0, shape.seconds, count))
    if shape.pattern == ArrivalPattern.BURST:
        # Drawn at the burst's rate throughout, then thinned between the bursts.
        is_calm = times % BURST_PERIOD >= BURST_LENGTH
        is_dropped = is_calm & (random.uniform(size=len(times)) >= 1 / BURST_FACTOR)
        times = times[~is_dropped]
    return times.tolist()


def draw_work(random, law, mean, count):
    """Returns the work of `count` requests in seconds, drawn by a `SizeLaw` with the stated mean.

    >>> random = numpy.random.default_rng(2)
    >>> [round(float(draw_work(random, law, 0.1, 50_000).mean()), 2) for law in SizeLaw]
    [0.1, 0.1, 0.1, 0.1]
    """
    if law == SizeLaw.CONSTANT:
        return numpy.full(count, mean)
    if law == SizeLaw.EXPONENTIAL:
        return random.exponential(mean, count)
    if law == SizeLaw.LOGNORMAL:
        variance = numpy.log(1 + LOGNORMAL_VARIATION**2)
        return random.lognormal(numpy.log(mean) - variance / 2, variance**0.5, count)
    return _draw_pareto(random, mean, count)


def _draw_pareto(random, mean, count):
    """Draws by the inverse of the bounded law's distribution, from 1 to its range, and scales to the mean."""
    shape = PARETO_SHAPE
    largest = PARETO_RANGE
    drawn = (1 - random.uniform(size=count) * (1 - largest**-shape)) ** (-1 / shape)
    drawn_mean = shape / (shape - 1) * (1 - largest ** (1 - shape)) / (1 - largest**-shape)
    return drawn * mean / drawn_mean
