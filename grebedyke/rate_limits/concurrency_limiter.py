"""A node's limiter for a limit on concurrent requests. No I/O."""

from grebedyke.rate_limits.limit_meter import INTERVALS_PER_HALF_LEASE, LimitMeter
from grebedyke.units import TICKS_PER_SECOND

_RETRY_DELAY = TICKS_PER_SECOND // 4


class ConcurrencyLimiter(LimitMeter):
    """Counts slots: a request holds a slot until all its attempts have ended, even if the share ends earlier.

    >>> from grebedyke.rate_limits.definitions import Limit, LimitKind
    >>> from grebedyke.rate_limits.lease_terms import LeaseTerms
    >>> limit = Limit("l", LimitKind.CONCURRENCY, size=10, floor=1)
    >>> terms = LeaseTerms(node_count=4, lease=800, clock_drift=0.0, run_on=98)
    >>> limiter = ConcurrencyLimiter(limit, terms, now=0)
    >>> limiter.has_capacity(50), limiter.has_capacity(100)
    (False, True)
    >>> limiter.acquire(100)
    >>> limiter.has_capacity(110)
    False
    >>> limiter.receive_share(110, 2, 500)
    >>> limiter.has_capacity(120), limiter.has_capacity(500)
    (True, False)
    """

    def __init__(self, limit, terms, now):
        """Starts without slots in use; `terms` are the `LeaseTerms` of the fleet."""
        super().__init__(limit, terms, now)
        # Prevents too many requests in flight after a restart: requests that the former process admitted
        # under the floor may still run on executors, unknown to this process. By this time they have ended.
        self._floor_usable_at = now + terms.run_on_bound()

    def has_capacity(self, now):
        """Returns whether a slot is free now."""
        floor = self.limit.floor if now >= self._floor_usable_at else 0
        return self.in_flight < floor + self.active_share(now)

    def acquire(self, now):
        """Occupies a slot."""
        self.in_flight += 1
        self.admitted += 1

    def release(self):
        """Releases a slot."""
        self.in_flight -= 1

    def demand(self, now):
        """Returns the slots in use plus a quarter, rounded up, of the arrivals in the last half lease."""
        arrivals = self.arrivals.total(now, INTERVALS_PER_HALF_LEASE)
        return self.in_flight + -(-arrivals // 4)

    def retry_delay(self, now):
        """Returns the number of ticks after which a denied request should be retried."""
        return _RETRY_DELAY
