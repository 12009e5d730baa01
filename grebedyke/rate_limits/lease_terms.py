"""The terms of leases on shares, and the bounds that follow from them. No I/O.

No two clocks show the same time and their rates differ by up to the drift, so a duration that has passed by
one node's clock may not have passed yet by another's. Each bound here says by whose clock it is measured. Why
the bounds are enough: docs/limits.md, "Bounds".
"""

from typing import NamedTuple

from grebedyke.rate_limits.definitions import LimitKind


def drift_bound(duration, clock_drift):
    """Returns how long to wait by one clock until `duration` has surely passed by another, in ticks.

    `clock_drift` is the fraction by which the rates of the two clocks may differ. The result is rounded up.

    >>> drift_bound(1_000, 0.02)
    1041
    """
    return int(duration * (1 + clock_drift) / (1 - clock_drift)) + 1


class LeaseTerms(NamedTuple):
    """What all nodes must agree on for the bounds to hold.

    Attributes:
        node_count: Nodes of the fleet; each has the floor of every limit.
        lease: How long a share is valid, from when it was requested, and how long a holder keeps its place
            after a majority confirmed it; in ticks by the clock of the node that has the share or the place.
        clock_drift: The fraction by which the rates of two nodes' clocks may differ.
        run_on: How long executors may run on what a node admitted before it died, in ticks.
    """

    node_count: int
    lease: int
    clock_drift: float
    run_on: int

    def grant_bound(self):
        """Returns the ticks by the holder's clock after which a share granted now is in force at no node."""
        return drift_bound(self.lease, self.clock_drift)

    def run_on_bound(self):
        """Returns the ticks by any clock after which what a dead node admitted last has ended."""
        return drift_bound(self.run_on, self.clock_drift)

    def takeover_wait(self, kind):
        """Returns how long a new holder grants nothing of limits of that `kind`, in ticks by its own clock.

        The former holder may keep its place for one lease, and a share that it granted at the end of it is
        valid for another one. For limits on concurrency the requests that such a share admitted have to end
        too.
        """
        wait = drift_bound(2 * self.lease, self.clock_drift)
        if kind is LimitKind.CONCURRENCY:
            wait += self.run_on_bound()
        return wait
