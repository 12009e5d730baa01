"""Checks what a fleet admitted under limits, by the clauses of docs/limits.md.

The checker knows the true time and every request that was admitted. It uses nothing of what it checks.
"""

from collections import Counter
from typing import NamedTuple

from grebedyke.testbed.violations import TimedViolation
from grebedyke.units import TICKS_PER_SECOND

# Rounding of the checker's own arithmetic, in requests.
TOLERANCE = 1e-6


class FleetLimits(NamedTuple):
    """What the whole fleet may admit.

    Attributes:
        rate: Requests a second.
        burst: Requests at once beyond the rate.
        concurrency: Requests in flight at once.
        retry_rate: Retries a second.
        retry_burst: Retries at once beyond that rate.
    """

    rate: float
    burst: float
    concurrency: int
    retry_rate: float = 1
    retry_burst: float = 1


class RateBound:
    """The bound rate * W + burst on what goes through in any window W.

    A token bucket of that rate and burst which is never overdrawn is the same as the bound on every window.

    Attributes:
        rate: Requests a second.
        burst: Requests at once beyond the rate.
        tokens: What is left at `updated_at`; below 0 the bound is exceeded.
        updated_at: Tick up to which the bucket has been filled.
    """

    def __init__(self, rate, burst):
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.updated_at = 0

    def advance(self, now):
        """Fills the bucket up to now."""
        gained = self.rate * (now - self.updated_at) / TICKS_PER_SECOND
        self.tokens = min(self.tokens + gained, self.burst)
        self.updated_at = now

    def spend(self, count):
        """Counts requests that went through; the bucket has been filled up to now."""
        self.tokens -= count

    def is_exceeded(self):
        """Returns whether more went through in some window than the bound allows."""
        return self.tokens < -TOLERANCE


class LimitChecker:
    """Holds what was admitted against the clauses of docs/limits.md.

    In any window W at most rate * W + burst requests are admitted, and no more than the limit are in flight.

    Attributes:
        violations: A `TimedViolation` for each broken clause, its time in ticks.
        admitted: Requests admitted in each second.
        rate_bound: The `RateBound` of requests.
        least_tokens: The least that was ever left in that bound.
        in_flight: Requests in flight.
        peak_in_flight: The most that were ever in flight.
        concurrency: The limit on requests in flight.
    """

    def __init__(self, limits):
        """Begins with these `FleetLimits`."""
        self.violations = []
        self.admitted = Counter()
        self.rate_bound = RateBound(limits.rate, limits.burst)
        self.least_tokens = limits.burst
        self.in_flight = 0
        self.peak_in_flight = 0
        self.concurrency = limits.concurrency
        self._retry_bound = RateBound(limits.retry_rate, limits.retry_burst)
        self._changes = []

    def change_limits(self, now, limits):
        """From the tick `now` on these `FleetLimits` bind."""
        self._changes.append((now, limits))

    def request_admitted(self, now, node, count=1):
        """Checks requests of the limit on a rate."""
        self._advance(now)
        self.rate_bound.spend(count)
        self.least_tokens = min(self.least_tokens, self.rate_bound.tokens)
        self.admitted[now // TICKS_PER_SECOND] += count
        if self.rate_bound.is_exceeded():
            self.violations.append(
                TimedViolation(now, "over the rate", f"by {-self.rate_bound.tokens:.2f}, node {node}")
            )

    def retry_admitted(self, now, node):
        """Checks a retry."""
        self._retry_bound.advance(now)
        self._retry_bound.spend(1)
        if self._retry_bound.is_exceeded():
            detail = f"by {-self._retry_bound.tokens:.2f}, node {node}"
            self.violations.append(TimedViolation(now, "over the further forwards", detail))

    def request_began(self, now, node, count=1):
        """Checks requests of the limit on concurrency."""
        self._advance(now)
        self.in_flight += count
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        if self.in_flight > self.concurrency:
            self.violations.append(
                TimedViolation(now, "too many under way", f"{self.in_flight}, node {node}")
            )

    def request_ended(self, now, count=1):
        """Counts requests of the limit on concurrency that have ended."""
        self.in_flight -= count

    def used_fraction(self, start, end):
        """Returns how much of the rate was used in the whole seconds between two ticks."""
        seconds = range(start // TICKS_PER_SECOND + 1, end // TICKS_PER_SECOND)
        admitted = sum(self.admitted[second] for second in seconds)
        return admitted / max(len(seconds), 1) / self.rate_bound.rate

    def _advance(self, now):
        while self._changes and self._changes[0][0] <= now:
            _, limits = self._changes.pop(0)
            self.rate_bound.rate = limits.rate
            self.rate_bound.burst = limits.burst
            self.concurrency = limits.concurrency
        self.rate_bound.advance(now)
