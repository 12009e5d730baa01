"""The base class of all limiters: the share, the counters and the recent arrivals. No I/O."""

from grebedyke.model.window_counter import WindowCounter
from grebedyke.rate_limits import definitions

# Arrivals are counted in intervals of an eighth of a lease; demand covers from half a lease to two leases.
INTERVALS_PER_LEASE = 8
INTERVALS_PER_HALF_LEASE = INTERVALS_PER_LEASE // 2
_INTERVALS_KEPT = 2 * INTERVALS_PER_LEASE + 2


class LimitMeter:
    """A node's limiter for one limit; base class of the limiters for each kind.

    Attributes:
        limit: The `Limit` in force.
        grantable: The amount that the lease holder may grant to all nodes together, in units of the limit.
        share: The most recently granted share, in units of the limit.
        share_expires_at: Tick at which this share expires.
        in_flight: Number of requests that hold a slot; always 0 for a rate limit.
        admitted: Number of admitted requests.
        denied: Number of requests for which there was no capacity.
        arrivals: Number of all arriving requests, by interval.
    """

    def __init__(self, limit, terms, now):
        """Starts with the floor alone; `terms` are the `LeaseTerms` of the fleet."""
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
        """Applies a changed limit; the counts of requests in flight and admitted requests are kept."""
        self._set_limit(limit)
        self.share = min(self.share, self.grantable)

    def active_share(self, now):
        """Returns the share in force; 0 once its lease has expired."""
        return self.share if now < self.share_expires_at else 0

    def receive_share(self, now, share, expires_at):
        """Replaces the share with a newly granted one."""
        self.share = min(max(share, 0), self.grantable)
        self.share_expires_at = expires_at

    def has_capacity(self, now):
        """Returns whether one more request may be admitted now."""
        raise NotImplementedError

    def acquire(self, now):
        """Counts a request as admitted; call it only if `has_capacity` returned true at this tick."""
        raise NotImplementedError

    def demand(self, now):
        """Returns this node's demand, including its floor, in units of the limit."""
        raise NotImplementedError

    def retry_delay(self, now):
        """Returns the number of ticks after which a denied request should be retried."""
        raise NotImplementedError

    def _set_limit(self, limit):
        self.limit = limit
        self.grantable = definitions.grantable_amount(limit.size, limit.floor, self._node_count)
