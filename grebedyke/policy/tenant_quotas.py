"""Tenants' shares of this node's traffic."""

from math import inf

from grebedyke.units import TICKS_PER_SECOND


class TenantQuotas:
    """A bucket a tenant, filled by this part of its quota, emptied by what comes: the surplus is over."""

    def __init__(self, quotas, nodes):
        self.quotas, self.nodes, self.levels, self.tenants, self.limits = quotas, nodes, {}, [*quotas], None

    def over(self, now, tenant, parts=None):
        if tenant not in self.quotas:
            return False
        rate = self.quotas[tenant] / (parts or self.nodes)
        level, at = self.levels.get(tenant, (inf, now))
        level = min(level + rate * (now - at) / TICKS_PER_SECOND, max(rate, 2.0))
        self.levels[tenant] = level - (level >= 1), now
        return level < 1
