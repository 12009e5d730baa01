"""Draws the arrival times and the work of requests before a run, from a seeded generator."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

import numpy

# Limits of a run, so that the tool ends without being stopped.
MAX_DURATION = 3600.0  # seconds
MAX_ARRIVALS = 1_000_000

BURST_FACTOR = 3
"""The request rate in a burst, as a multiple of the configured rate."""
BURST_PERIOD = 5
"""Seconds from the start of one burst to the start of the next."""
BURST_LENGTH = 1
"""The duration of a burst in seconds."""

LOGNORMAL_VARIATION = 1.5
"""Coefficient of variation of lognormal sizes: their standard deviation divided by their mean."""
PARETO_SHAPE = 1.5
PARETO_RANGE = 1000.0
"""Ratio of the largest to the smallest Pareto size."""

LEAVE_DELAYS = (0.01, 0.5)
"""Minimum and maximum seconds after sending a request at which a client that does not wait disconnects."""


class ArrivalPattern(StrEnum):
    """The distribution of arrivals over time."""

    POISSON = "poisson"
    BURST = "burst"
    """Poisson arrivals, with `BURST_FACTOR` times the rate in each burst."""
    TRACE = "trace"
    """Arrivals at given times."""


class SizeLaw(StrEnum):
    """The distribution of the work of requests."""

    CONSTANT = "constant"
    EXPONENTIAL = "exponential"
    LOGNORMAL = "lognormal"
    PARETO = "pareto"
    """A bounded Pareto distribution, see `PARETO_RANGE`."""


class Operation(NamedTuple):
    """An operation that clients request.

    Attributes:
        name: The operation's name in the settings.
        idempotency: "safe" (idempotent), "keyed" (deduplicated) or "unsafe" (non-idempotent).
        timeout: The client timeout in seconds.
        window: The idempotency window in seconds.
        share: The operation's weight among all requests, relative to the other operations' shares.
    """

    name: str
    idempotency: str = "safe"
    timeout: float = 4.0
    window: float = 10.0
    share: float = 1.0


class Arrival(NamedTuple):
    """A request that will be sent.

    Attributes:
        time: Intended time of sending, in seconds from the start of the run.
        operation: The request's `Operation`.
        tenant: The tenant's name.
        work: The job's running time at speed 1, in seconds.
        leaves_after: Seconds after which the client disconnects; None if it waits for the answer.
    """

    time: float
    operation: Operation
    tenant: str
    work: float
    leaves_after: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadShape:
    """The parameters of the load.

    Attributes:
        operations: The `Operation` entries to draw from.
        rate: Requests per second; unused for a trace.
        seconds: The period in which requests arrive, in seconds.
        pattern: The `ArrivalPattern`.
        size_law: The `SizeLaw` of the work.
        mean_work: The mean work at speed 1, in seconds.
        tenants: Names of tenants, drawn with equal probability.
        leaving: Share of clients that disconnect before their answer.
        trace: Arrival times in seconds, for `ArrivalPattern.TRACE`.
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
    """Returns all `Arrival` entries of a run, in order.

    All are drawn before the run, so that slow answers do not delay later requests.

    Args:
        seed: The seed of the generator.
        shape: The `LoadShape`.

    Raises:
        ValueError: The rate or the duration is 0, or the run would take too long or have too many requests.
    """
    random = numpy.random.default_rng(seed)
    times = draw_times(random, shape)
    count = len(times)
    work = draw_work(random, shape.size_law, shape.mean_work, count)
    shares = numpy.array([operation.share for operation in shape.operations], dtype=float)
    operations = random.choice(len(shape.operations), count, p=shares / shares.sum())
    tenants = random.integers(len(shape.tenants), size=count)
    leaves = random.uniform(size=count) < shape.leaving
    leave_delays = random.uniform(*LEAVE_DELAYS, count)
    return [
        Arrival(
            time=times[index],
            operation=shape.operations[operations[index]],
            tenant=shape.tenants[tenants[index]],
            work=float(work[index]),
            leaves_after=float(leave_delays[index]) if leaves[index] else None,
        )
        for index in range(count)
    ]


def draw_times(random, shape):
    """Returns the arrival times in seconds from the start, in order.

    Raises:
        ValueError: The rate or the duration is 0, or the run would take too long or have too many requests.

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
    if not 0 < shape.seconds <= MAX_DURATION or not 0 < peak_rate * shape.seconds <= MAX_ARRIVALS:
        raise ValueError(
            f"{shape.rate:g} requests per second for {shape.seconds:g} s are out of bounds: "
            f"at most {MAX_DURATION:g} s and {MAX_ARRIVALS} requests at the peak rate"
        )
    count = random.poisson(peak_rate * shape.seconds)
    times = numpy.sort(random.uniform(0, shape.seconds, count))
    if shape.pattern == ArrivalPattern.BURST:
        # All times are drawn at the burst rate and then thinned out between the bursts.
        is_between_bursts = times % BURST_PERIOD >= BURST_LENGTH
        is_dropped = is_between_bursts & (random.uniform(size=len(times)) >= 1 / BURST_FACTOR)
        times = times[~is_dropped]
    return times.tolist()


def draw_work(random, size_law, mean, count):
    """Returns the work of `count` requests in seconds, drawn from the distribution with the given mean.

    >>> random = numpy.random.default_rng(2)
    >>> [round(float(draw_work(random, law, 0.1, 50_000).mean()), 2) for law in SizeLaw]
    [0.1, 0.1, 0.1, 0.1]
    """
    if size_law == SizeLaw.CONSTANT:
        return numpy.full(count, mean)
    if size_law == SizeLaw.EXPONENTIAL:
        return random.exponential(mean, count)
    if size_law == SizeLaw.LOGNORMAL:
        variance = numpy.log(1 + LOGNORMAL_VARIATION**2)
        return random.lognormal(numpy.log(mean) - variance / 2, variance**0.5, count)
    return _draw_pareto(random, mean, count)


def _draw_pareto(random, mean, count):
    """Draws from a bounded Pareto distribution with the given mean, by inverse transform sampling."""
    shape = PARETO_SHAPE
    maximum = PARETO_RANGE  # the minimum is 1 before scaling
    drawn = (1 - random.uniform(size=count) * (1 - maximum**-shape)) ** (-1 / shape)
    drawn_mean = shape / (shape - 1) * (1 - maximum ** (1 - shape)) / (1 - maximum**-shape)
    return drawn * mean / drawn_mean
