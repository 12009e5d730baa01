"""The terms of leases on shares, and the time bounds that follow from them. No I/O.

Clocks are not synchronized and their rates differ by up to the drift, so a duration that has passed by one
node's clock may not have passed yet by another's. Each bound states the clock by which it is measured.
docs/limits.md, "Bounds", explains why the bounds are sufficient.
"""

from typing import NamedTuple

from grebedyke.rate_limits.definitions import LimitKind


def drift_bound(duration, clock_drift):
    """Returns the ticks to wait by one clock so that `duration` has passed by any other clock.

    `clock_drift` is the maximum relative difference of the rates of two clocks. The result is rounded up.

    >>> drift_bound(1_000, 0.02)
    1041
    """
    return int(duration * (1 + clock_drift) / (1 - clock_drift)) + 1


class LeaseTerms(NamedTuple):
    """The parameters that must be the same at all nodes for the bounds to hold.

    Attributes:
        node_count: Number of nodes in the fleet; each has the floor of every limit.
        lease: Duration, from the time of the request, for which a share or the confirmation of a holder is
            valid; in ticks by the clock of the node that has the share or is the holder.
        clock_drift: The maximum relative difference between the rates of two nodes' clocks.
        run_on: How long executors may keep running requests admitted by a node that has died, in ticks.
    """

    node_count: int
    lease: int
    clock_drift: float
    run_on: int

    def grant_bound(self):
        """Returns the ticks by the holder's clock after which a share granted now has expired everywhere."""
        return drift_bound(self.lease, self.clock_drift)

    def run_on_bound(self):
        """Returns the ticks by any clock after which the last requests admitted by a dead node have ended."""
        return drift_bound(self.run_on, self.clock_drift)

    def takeover_wait(self, kind):
        """Returns how long a new holder must not grant limits of this `kind`, in ticks by its own clock.

        The former holder may stay confirmed for one lease, and a share that it grants at the end of this time
        is valid for another one. For concurrency limits, requests admitted under this share have to end too.
        """
        wait = drift_bound(2 * self.lease, self.clock_drift)
        if kind is LimitKind.CONCURRENCY:
            wait += self.run_on_bound()
        return wait
