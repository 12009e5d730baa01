"""What limiters of all kinds have in common: the share, the counts and what was wanted of late. No I/O."""

from grebedyke.model.window_counter import WindowCounter
from grebedyke.rate_limits import definitions

# Arrivals are counted by intervals of an eighth of a lease; demand is taken from half a lease up to two.
INTERVALS_PER_LEASE = 8
HALF_LEASE = INTERVALS_PER_LEASE // 2
_INTERVALS_KEPT = 2 * INTERVALS_PER_LEASE + 2


class LimitMeter:
    """What this node may admit under one limit; base class of the limiters of each kind.

    Attributes:
        limit: The `Limit` in force.
        grantable: What the lease holder may grant of it to all nodes, in units of the limit.
        share: The share that was granted last, in units of the limit.
        share_expires_at: Tick at which that share ends.
        in_flight: Requests that hold a slot; always 0 for a limit on a rate.
        admitted: How many requests it let through.
        denied: How many requests found no capacity.
        arrivals: All that asked, counted by intervals.
    """

    def __init__(self, limit, terms, now):
        """Begins with the floor alone; `terms` are the `LeaseTerms` of the fleet."""
        self.share = 0
        self.share_expires_at = 0
        self.in_flight = 0
        self.admitted = 0
        self.denied = 0
        self._node_count = terms.node_count
        self._interval = max(terms.lease // INTERVALS_PER_LEASE, 1)
        self.arrivals = WindowCounter(self._interval, _INTERVALS_KEPT)
        self._set_limit(limit)

    def change_limit(self, now, limit):
        """Puts a changed limit in force; requests in flight and admitted so far stay counted."""
        self._set_limit(limit)
        self.share = min(self.share, self.grantable)

    def active_share(self, now):
        """Returns the share that is in force; 0 once its lease has ended."""
        return self.share if now < self.share_expires_at else 0

    def receive_share(self, now, share, expires_at):
        """Replaces the share by one that the lease holder granted."""
        self.share = min(max(share, 0), self.grantable)
        self.share_expires_at = expires_at

    def has_capacity(self, now):
        """Returns whether one more request may be admitted now."""
        raise NotImplementedError

    def acquire(self, now):
        """Counts a request as admitted; `has_capacity` was true at this tick."""
        raise NotImplementedError

    def demand(self, now):
        """Returns what this node wants of the limit, its floor included, in units of the limit."""
        raise NotImplementedError

    def retry_delay(self, now):
        """Returns after how many ticks a denied request should come back."""
        raise NotImplementedError

    def _set_limit(self, limit):
        self.limit = limit
        self.grantable = definitions.grantable_amount(limit.size, limit.floor, self._node_count)
