"""Checks the admissions of a fleet against the clauses of docs/limits.md.

The checker knows the true time and every admitted request. It uses none of the checked code.
"""

from collections import Counter
from typing import NamedTuple

from grebedyke.testbed.violations import TimedViolation
from grebedyke.units import TICKS_PER_SECOND

# Tolerance for rounding errors of the checker's own arithmetic, in requests.
TOLERANCE = 1e-6


class FleetLimits(NamedTuple):
    """The limits on the admissions of the whole fleet.

    Attributes:
        rate: Requests per second.
        burst: Requests that may exceed the rate in a burst.
        concurrency: Requests that may be in flight at the same time.
        retry_rate: Retries per second.
        retry_burst: Retries that may exceed that rate in a burst.
    """

    rate: float
    burst: float
    concurrency: int
    retry_rate: float = 1
    retry_burst: float = 1


class RateBound:
    """The bound rate * W + burst on the number of requests in any window of length W.

    The bound holds for every window exactly if a token bucket of that rate and burst is never overdrawn.

    Attributes:
        rate: Requests per second.
        burst: The capacity of the bucket, in requests.
        tokens: The tokens in the bucket at `updated_at`; a negative number means that the bound is exceeded.
        updated_at: Tick up to which the bucket has been refilled.
    """

    def __init__(self, rate, burst):
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.updated_at = 0

    def advance(self, now):
        """Refills the bucket up to now."""
        gained = self.rate * (now - self.updated_at) / TICKS_PER_SECOND
        self.tokens = min(self.tokens + gained, self.burst)
        self.updated_at = now

    def spend(self, count):
        """Takes a token for each request; the bucket must have been refilled up to now."""
        self.tokens -= count

    def is_exceeded(self):
        """Returns whether the requests of some window exceed the bound."""
        return self.tokens < -TOLERANCE


class LimitChecker:
    """Checks admissions against the clauses of docs/limits.md.

    In any window of length W at most rate * W + burst requests may be admitted, and the number of requests in
    flight must not exceed its limit.

    Attributes:
        violations: The `TimedViolation`s; their times are in ticks.
        admitted: Number of admitted requests by second.
        rate_bound: The `RateBound` of requests.
        min_tokens: The minimum number of tokens so far in that bound's bucket.
        in_flight: Number of requests in flight.
        peak_in_flight: The maximum number of requests in flight so far.
        concurrency: The limit on requests in flight.
    """

    def __init__(self, limits):
        """Starts with these `FleetLimits`."""
        self.violations = []
        self.admitted = Counter()
        self.rate_bound = RateBound(limits.rate, limits.burst)
        self.min_tokens = limits.burst
        self.in_flight = 0
        self.peak_in_flight = 0
        self.concurrency = limits.concurrency
        self._retry_bound = RateBound(limits.retry_rate, limits.retry_burst)
        self._changes = []

    def change_limits(self, now, limits):
        """Applies these `FleetLimits` from the tick `now` on."""
        self._changes.append((now, limits))

    def request_admitted(self, now, node, count=1):
        """Checks admitted requests against the rate limit."""
        self._advance(now)
        self.rate_bound.spend(count)
        self.min_tokens = min(self.min_tokens, self.rate_bound.tokens)
        self.admitted[now // TICKS_PER_SECOND] += count
        if self.rate_bound.is_exceeded():
            self.violations.append(
                TimedViolation(now, "over the rate", f"by {-self.rate_bound.tokens:.2f}, node {node}")
            )

    def retry_admitted(self, now, node):
        """Checks an admitted retry against the limit on retries."""
        self._retry_bound.advance(now)
        self._retry_bound.spend(1)
        if self._retry_bound.is_exceeded():
            detail = f"by {-self._retry_bound.tokens:.2f}, node {node}"
            self.violations.append(TimedViolation(now, "over the further forwards", detail))

    def request_began(self, now, node, count=1):
        """Checks started requests against the concurrency limit."""
        self._advance(now)
        self.in_flight += count
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        if self.in_flight > self.concurrency:
            self.violations.append(
                TimedViolation(now, "too many under way", f"{self.in_flight}, node {node}")
            )

    def request_ended(self, now, count=1):
        """Records the end of requests under the concurrency limit."""
        self.in_flight -= count

    def used_fraction(self, start, end):
        """Returns the used fraction of the rate, over the whole seconds between two ticks."""
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
