"""Rule: what a tenant hands in beyond its quota waits behind all other requests.

Inputs are the quotas (requests a second, of the whole fleet) and the number of parts they are split into.
Each node has a token bucket for each tenant, filled by the node's part of the quota. Only the surplus is over
quota, from the moment it comes: a tenant's other requests are not held back for it.
"""

from math import inf
from typing import NamedTuple

from grebedyke.units import TICKS_PER_SECOND

# A bucket holds a second's worth of tokens, and two at least: a small part of a quota lets a pair of requests
# by.
MIN_BUCKET_SIZE = 2.0


class _Bucket(NamedTuple):
    """State of a tenant's bucket: its tokens at a time in ticks."""

    tokens: float
    updated: int


class TenantQuotas:
    """A token bucket for each tenant.

    Attributes:
        quotas: Requests a second that the fleet takes from a tenant, by its name.
        node_count: Parts that a quota is split into where the caller names no other number.
        tenants: Names of the tenants with a quota, in the order by which nodes number them to each other.
        buckets: State of the token bucket, by tenant; a tenant without one has a full bucket.
        request_limiter: Limiter for the fleet's limits, or None where the fleet has none; set by the host.
    """

    def __init__(self, quotas, node_count):
        self.quotas = quotas
        self.node_count = node_count
        self.tenants = [*quotas]
        self.buckets = {}
        self.request_limiter = None

    def adopt_settings(self, fresh):
        """Takes over the settings of newly built quotas; buckets of tenants that still have a quota stay."""
        self.quotas = fresh.quotas
        self.node_count = fresh.node_count
        self.tenants = fresh.tenants
        self.buckets = {name: bucket for name, bucket in self.buckets.items() if name in self.quotas}

    def is_over_quota(self, now, tenant, parts=None):
        """Takes a token for a request and returns whether there was none.

        Args:
            now: The time in ticks.
            tenant: The tenant's name; one without a quota is never over it.
            parts: Parts that the quota is split into, this node counting one of them; by default one a node.
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
