"""Excludes more endpoints if the other process of this node, which runs the components, stands still."""

from grebedyke.consensus.actions import ExcludeEndpoints
from grebedyke.service.endpoint_exclusions import OTHER_PROCESS

NO_EXCLUSION = ExcludeEndpoints(frozenset(), all_others=False)


class InheritedExclusions:
    """Goes by the exclusions that the other process has passed on as long as its `ExclusionLease` allows.

    Attributes:
        exclusions: The `EndpointExclusions`.
        batch: The node's `BatchLoop`.
        lease: The last `ExclusionLease` of the other process; None without one.
    """

    def __init__(self, exclusions, batch):
        self.exclusions = exclusions
        self.batch = batch
        self.lease = None
        self._timer = None

    def renew(self, now, lease):
        """Adopts a newer lease."""
        self.lease = lease
        if self._timer:
            self._timer.cancel()
        if now < lease.until:
            self._timer = self.batch.call_at(lease.until, self.expire)
            self._request(now, NO_EXCLUSION)
        self.expire(now)

    def expire(self, now):
        """Excludes the endpoints of a lease that has ended."""
        if self.lease and now >= self.lease.until:
            self._request(now, ExcludeEndpoints(frozenset(self.lease.names), self.lease.all_others))

    def end(self):
        """Leaves the exclusions to this process's own components, whose first request ends these."""
        self.lease = None
        self.exclusions.requested.pop(OTHER_PROCESS, None)

    def _request(self, now, exclusion):
        if self.exclusions.requested.get(OTHER_PROCESS, NO_EXCLUSION) != exclusion:
            self.exclusions.request(now, OTHER_PROCESS, exclusion)
