"""A node's limiter for a limit on requests per second. No I/O."""

from grebedyke.rate_limits.definitions import MILLIREQUESTS_PER_REQUEST
from grebedyke.rate_limits.limit_meter import INTERVALS_PER_HALF_LEASE, LimitMeter
from grebedyke.units import TICKS_PER_SECOND

_MAX_RETRY_DELAY = 60 * TICKS_PER_SECOND


class TokenBucket(LimitMeter):
    """A token bucket that is filled at the rate of floor plus share, up to the node's part of the burst.

    The nodes' parts add up to the burst: each node has one token, and the rest is divided in proportion to
    the shares. The bucket starts empty; otherwise each restart would allow another burst.

    Attributes:
        tokens: Number of requests that could be admitted at `updated_at`.
        updated_at: Tick up to which the bucket has been filled.

    >>> from grebedyke.rate_limits.definitions import Limit, LimitKind
    >>> from grebedyke.rate_limits.lease_terms import LeaseTerms
    >>> limit = Limit("l", LimitKind.RATE, size=8_000, burst=8, floor=1_000)
    >>> terms = LeaseTerms(node_count=4, lease=800, clock_drift=0.0, run_on=0)
    >>> bucket = TokenBucket(limit, terms, now=0)
    >>> bucket.has_capacity(9_900), bucket.has_capacity(10_010)
    (False, True)
    >>> bucket.receive_share(10_010, 4_000, 30_000)
    >>> bucket.max_tokens(10_010)
    5.0
    >>> [bucket.has_capacity(20_000), bucket.tokens, bucket.has_capacity(60_000), bucket.tokens]
    [True, 5.0, True, 1.0]
    """

    def __init__(self, limit, terms, now):
        """Starts empty; `terms` are the `LeaseTerms` of the fleet."""
        super().__init__(limit, terms, now)
        self.tokens = 0.0
        self.updated_at = now
        self._clock_drift = terms.clock_drift

    def change_limit(self, now, limit):
        """Applies a changed limit; tokens beyond the new burst are dropped."""
        self._refill(now)
        super().change_limit(now, limit)
        self.tokens = min(self.tokens, self.max_tokens(now))

    def receive_share(self, now, share, expires_at):
        """Replaces the share with a newly granted one."""
        self._refill(now)
        super().receive_share(now, share, expires_at)
        self.tokens = min(self.tokens, self.max_tokens(now))

    def max_tokens(self, now):
        """Returns this node's part of the burst, in tokens."""
        share = self.active_share(now)
        if not share:
            return 1.0
        return 1.0 + (self.limit.burst - self._node_count) * share / self.grantable

    def fill_rate(self, now):
        """Returns the fill rate in millirequests per second, reduced to allow for a fast clock."""
        return (self.limit.floor + self.active_share(now)) / (1 + self._clock_drift)

    def has_capacity(self, now):
        """Returns whether a token is available now."""
        self._refill(now)
        return self.tokens >= 1

    def acquire(self, now):
        """Takes a token."""
        self.tokens -= 1
        self.admitted += 1

    def demand(self, now):
        """Returns the rate of arrivals in millirequests per second, plus a tenth.

        The rate is averaged over two leases or one lease if that average does not differ significantly from
        the last half lease, else over this half lease alone. A fluctuating share is charged at its maximum
        until the node has reported the receipt of a lower one, so with the half lease alone much of a limit
        would stay unused.
        """
        newest = self.arrivals.total(now, INTERVALS_PER_HALF_LEASE)
        arrivals = newest
        for factor in (4, 2):
            average = self.arrivals.total(now, INTERVALS_PER_HALF_LEASE * factor) / factor
            if abs(newest - average) <= 2 * average**0.5:
                arrivals = average
                break
        return int(
            arrivals
            * MILLIREQUESTS_PER_REQUEST
            * TICKS_PER_SECOND
            * 11
            / (self._interval * INTERVALS_PER_HALF_LEASE * 10)
        )

    def retry_delay(self, now):
        """Returns the ticks until the next token at the current fill rate."""
        rate = self.fill_rate(now)
        if not rate:
            return TICKS_PER_SECOND
        wait = int((1 - self.tokens) * MILLIREQUESTS_PER_REQUEST * TICKS_PER_SECOND / rate) + 1
        return min(wait, _MAX_RETRY_DELAY)

    def _refill(self, now):
        if self.share and self.updated_at < self.share_expires_at <= now:
            last_tick = self.share_expires_at - 1
            self._fill_until(last_tick, self.fill_rate(last_tick), self.max_tokens(last_tick))
        # Enforces the burst: the tokens of an expired share belong to the node that has this share now.
        self.tokens = min(self.tokens, self.max_tokens(now))
        self._fill_until(now, self.fill_rate(now), self.max_tokens(now))

    def _fill_until(self, until, rate, max_tokens):
        if until > self.updated_at:
            gained = rate * (until - self.updated_at) / (TICKS_PER_SECOND * MILLIREQUESTS_PER_REQUEST)
            self.tokens = min(self.tokens + gained, max_tokens)
            self.updated_at = until
