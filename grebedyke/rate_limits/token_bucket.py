"""The node's side of a limit on requests a second. No I/O."""

from grebedyke.rate_limits.definitions import MILLIREQUESTS_PER_REQUEST
from grebedyke.rate_limits.limit_meter import HALF_LEASE, LimitMeter
from grebedyke.units import TICKS_PER_SECOND

_LONGEST_RETRY_DELAY = 60 * TICKS_PER_SECOND


class TokenBucket(LimitMeter):
    """A token for each request, filled at the rate of floor and share, never beyond its part of the burst.

    All nodes' parts of the burst add up to the burst: one token each, the rest by share. The bucket begins
    empty, else each restart would bring a burst of its own.

    Attributes:
        tokens: Requests that may be admitted at `updated_at`.
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
        """Begins empty; `terms` are the `LeaseTerms` of the fleet."""
        super().__init__(limit, terms, now)
        self.tokens = 0.0
        self.updated_at = now
        self._clock_drift = terms.clock_drift

    def change_limit(self, now, limit):
        """Puts a changed limit in force; what has gathered beyond the new burst is dropped."""
        self._refill(now)
        super().change_limit(now, limit)
        self.tokens = min(self.tokens, self.max_tokens(now))

    def receive_share(self, now, share, expires_at):
        """Replaces the share by one that the lease holder granted."""
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
        """Returns millirequests a second, so few that a clock that is fast by the drift admits no more."""
        return (self.limit.floor + self.active_share(now)) / (1 + self._clock_drift)

    def has_capacity(self, now):
        """Returns whether there is a token now."""
        self._refill(now)
        return self.tokens >= 1

    def acquire(self, now):
        """Takes a token."""
        self.tokens -= 1
        self.admitted += 1

    def demand(self, now):
        """Returns the rate of arrivals in millirequests a second, and a tenth.

        Taken from half a lease, or from up to two leases where these do not contradict it. A share that goes
        up and down by chance is charged at its highest until the holder knows that the node received a lower
        one, so that with the half lease alone much of a limit would lie idle.
        """
        newest = self.arrivals.total(now, HALF_LEASE)
        arrivals = newest
        for factor in (4, 2):
            average = self.arrivals.total(now, HALF_LEASE * factor) / factor
            if abs(newest - average) <= 2 * average**0.5:
                arrivals = average
                break
        return int(
            arrivals * MILLIREQUESTS_PER_REQUEST * TICKS_PER_SECOND * 11 / (self._interval * HALF_LEASE * 10)
        )

    def retry_delay(self, now):
        """Returns the ticks until there is a token again, by the rate that is in force now."""
        rate = self.fill_rate(now)
        if not rate:
            return TICKS_PER_SECOND
        wait = int((1 - self.tokens) * MILLIREQUESTS_PER_REQUEST * TICKS_PER_SECOND / rate) + 1
        return min(wait, _LONGEST_RETRY_DELAY)

    def _refill(self, now):
        if self.share and self.updated_at < self.share_expires_at <= now:
            last_tick = self.share_expires_at - 1
            self._fill_until(last_tick, self.fill_rate(last_tick), self.max_tokens(last_tick))
        # Guards the burst: tokens gathered by a share that has ended belong to whoever has that share now.
        self.tokens = min(self.tokens, self.max_tokens(now))
        self._fill_until(now, self.fill_rate(now), self.max_tokens(now))

    def _fill_until(self, until, rate, max_tokens):
        if until > self.updated_at:
            gained = rate * (until - self.updated_at) / (TICKS_PER_SECOND * MILLIREQUESTS_PER_REQUEST)
            self.tokens = min(self.tokens + gained, max_tokens)
            self.updated_at = until
