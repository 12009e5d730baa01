"""Rule: requests beyond a tenant's quota are placed after all other requests.

Inputs are the quotas (requests per second of the whole fleet) and the number of parts they are split into.
Each node has a token bucket per tenant, refilled at the node's part of the quota. Only the surplus requests
are over quota; the other requests of the tenant are not delayed.
"""

from math import inf
from typing import NamedTuple

from grebedyke.units import TICKS_PER_SECOND

# A bucket holds the tokens of a second but at least two, so that a small part of a quota still admits a pair
# of requests.
MIN_BUCKET_SIZE = 2.0


class _Bucket(NamedTuple):
    """State of a tenant's bucket: its tokens at the time of the last update, in ticks."""

    tokens: float
    updated: int


class TenantQuotas:
    """A token bucket for each tenant.

    Attributes:
        quotas: Requests per second that the fleet accepts from a tenant, by its name.
        node_count: Number of parts that a quota is split into by default.
        tenants: Names of the tenants with a quota, in the order used by peer messages.
        buckets: State of the token bucket by tenant; a tenant without an entry has a full bucket.
        request_limiter: Limiter for the fleet's limits, set by the host; None if there are no limits.
    """

    def __init__(self, quotas, node_count):
        self.quotas = quotas
        self.node_count = node_count
        self.tenants = [*quotas]
        self.buckets = {}
        self.request_limiter = None

    def adopt_settings(self, fresh):
        """Adopts the settings of newly built quotas and keeps the buckets of tenants with a quota."""
        self.quotas = fresh.quotas
        self.node_count = fresh.node_count
        self.tenants = fresh.tenants
        self.buckets = {name: bucket for name, bucket in self.buckets.items() if name in self.quotas}

    def count_against_quota(self, now, tenant, parts=None):
        """Takes a token for a request and returns whether the request is over quota, as no token was left.

        Args:
            now: The time in ticks.
            tenant: Name of the tenant; without a quota the result is False.
            parts: Number of parts that the quota is split into, one of them for this node; by default one per
                node.
        """
        if tenant not in self.quotas:
            return False
        rate = self.quotas[tenant] / (parts or self.node_count)
        bucket = self.buckets.get(tenant) or _Bucket(inf, now)
        refilled = bucket.tokens + rate * (now - bucket.updated) / TICKS_PER_SECOND
        tokens = min(refilled, max(rate, MIN_BUCKET_SIZE))
        over = tokens < 1
        self.buckets[tenant] = _Bucket(tokens if over else tokens - 1, now)
        return over
