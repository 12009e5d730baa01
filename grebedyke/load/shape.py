"""When invocations come and how large they are: laws drawn from a library's generators with a stated seed."""

from typing import NamedTuple

import numpy

# What a run may not exceed: the tool stops by itself.
MOST_SECONDS, MOST_ARRIVALS = 3600.0, 1_000_000


class Operation(NamedTuple):
    """`effect`: safe, keyed or unsafe, as the settings word it; `timeout`, `window`: seconds; `share`: of
    all.
    """

    name: str
    effect: str = "safe"
    timeout: float = 4.0
    window: float = 10.0
    share: float = 1.0


class Arrival(NamedTuple):
    """`at`: seconds from the start; `work`: seconds at speed 1; `leaves`: seconds after which its client
    goes.
    """

    at: float
    operation: Operation
    tenant: str
    work: float
    leaves: float | None


def instants(random, law, rate, seconds, trace=()):
    """Times in [0, seconds): `poisson`, `burst` (each fifth second three times the rate) or those of a trace.

    >>> r = numpy.random.default_rng(1)
    >>> times = instants(r, "poisson", 50, 20)
    >>> 900 < len(times) < 1100 and list(times) == sorted(times) and times[-1] < 20
    True
    >>> list(instants(r, "trace", 0, 2, [0.5, 1.5, 2.5]))
    [0.5, 1.5]
    """
    if law == "trace":
        return sorted(float(t) for t in trace if 0 <= t < seconds)
    high = rate * (3 if law == "burst" else 1)
    if not 0 < seconds <= MOST_SECONDS or not 0 < high * seconds <= MOST_ARRIVALS:
        raise ValueError(f"{rate:g} a second for {seconds:g} s is out of bounds")
    times = numpy.sort(random.uniform(0, seconds, random.poisson(high * seconds)))
    if law == "burst":
        # Thinned outside of the bursts.
        calm = (times % 5 >= 1) & (random.uniform(size=len(times)) >= 1 / 3)
        times = times[~calm]
    return times.tolist()


def sizes(random, law, mean, count):
    """Work of mean `mean` seconds: `constant`, `exponential`, `lognormal` (cv 1.5) or `pareto` (bounded,
    1.5).

    >>> r = numpy.random.default_rng(2)
    >>> [round(float(sizes(r, law, 0.1, 50_000).mean()), 2) for law in LAWS]
    [0.1, 0.1, 0.1, 0.1]
    """
    if law == "constant":
        return numpy.full(count, mean)
    if law == "exponential":
        return random.exponential(mean, count)
    if law == "lognormal":
        spread = numpy.log(1 + 1.5**2)
        return random.lognormal(numpy.log(mean) - spread / 2, spread**0.5, count)
    # By the inverse of the bounded law's distribution, from 1 to 1,000, then scaled to the mean.
    a, top = 1.5, 1000.0
    drawn = (1 - random.uniform(size=count) * (1 - top**-a)) ** (-1 / a)
    usual = a / (a - 1) * (1 - top ** (1 - a)) / (1 - top**-a)
    return drawn * mean / usual


LAWS = "constant", "exponential", "lognormal", "pareto"


def arrivals(seed, law, rate, seconds, size_law, mean, operations, tenants=("t",), leaving=0.0, trace=()):
    """All that a run will hand in, drawn ahead: what is answered slowly must not hold back what comes
    next.
    """
    random = numpy.random.default_rng(seed)
    times = instants(random, law, rate, seconds, trace)
    work = sizes(random, size_law, mean, len(times))
    shares = numpy.array([op.share for op in operations], dtype=float)
    which = random.choice(len(operations), len(times), p=shares / shares.sum())
    whose = random.integers(len(tenants), size=len(times))
    goes = random.uniform(size=len(times)) < leaving
    after = random.uniform(0.01, 0.5, len(times))
    return [
        Arrival(t, operations[i], tenants[j], float(w), float(a) if g else None)
        for t, w, i, j, g, a in zip(times, work, which, whose, goes, after)
    ]
