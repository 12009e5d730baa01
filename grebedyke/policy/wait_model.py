"""Rule: cutoffs are scored by the modelled mean wait of a job over all tiers.

Each tier is modelled as M/G/1 queues with random assignment; its wait follows from the Pollaczek-Khinchine
formula, as in section III.A of "Parameter setting and exploration of TAGS using a genetic algorithm". Inputs
are the distribution of sizes (ticks), the cutoffs (ticks), each tier's capacity and the workload; the result
is in ticks. Differences from the paper's formulas (see docs/design.md):

- the load of a tier includes every job that reaches it, since a cancelled job loads the tier too;
- the wasted running time of a cancelled job counts as wait, since its client waits through it;
- jobs that may not be restarted stay in the first tier with their full sizes;
- if a cancellation frees no slot, the rest of the cancelled job remains in the load of its tier.
"""

from math import inf
from typing import NamedTuple


class Tier(NamedTuple):
    """Capacity of a tier.

    Attributes:
        endpoints: Number of executors.
        capacity: Sum over the executors of slots times speed.
    """

    endpoints: int
    capacity: float


class Workload(NamedTuple):
    """Workload of all tiers.

    Attributes:
        arrival_rate: Requests per tick, of all nodes.
        ineffective_cancels: Share of cancellations that free no slot, 0 to 1.
        non_restartable_share: Share of requests that may not be cancelled and restarted, 0 to 1.
    """

    arrival_rate: float
    ineffective_cancels: float = 0.0
    non_restartable_share: float = 0.0


def mean_wait(distribution, cutoffs, tiers, workload):
    """Returns the modelled mean wait of a request in ticks; infinite if a tier is overloaded.

    Args:
        distribution: The BoundedPareto of job sizes.
        cutoffs: Cutoff in ticks of each tier but the last, in ascending order.
        tiers: A Tier for each tier, one more than there are cutoffs.
        workload: The Workload.
    """
    edges = [distribution.smallest, *cutoffs, distribution.largest]
    total = 0.0
    wait = 0.0  # cumulative wait of a request that reaches this tier
    for number, tier in enumerate(tiers):
        low = edges[number]
        high = edges[number + 1]
        is_first = number == 0
        work = _tier_moment(1, distribution, workload, low, high, is_first)
        work_squared = _tier_moment(2, distribution, workload, low, high, is_first)
        load = workload.arrival_rate * work / tier.capacity if tier.capacity > 0 else inf
        if load >= 1:
            return inf
        # Arrivals and capacity are divided equally among the endpoints of the tier.
        wait += workload.arrival_rate * work_squared * tier.endpoints / tier.capacity**2 / (2 * (1 - load))
        ending_here = (1 - workload.non_restartable_share) * distribution.partial_moment(0, low, high)
        total += wait * (ending_here + (workload.non_restartable_share if is_first else 0.0))
        # A job that goes on to the next tier has run here up to the cutoff.
        wait += high * tier.endpoints / tier.capacity
    return total


def _tier_moment(order, distribution, workload, low, high, is_first):
    """Returns the moment of the time that a request occupies a slot of the tier, averaged over all arrivals.

    Args:
        order: Order of the moment, 1 or 2.
        distribution: The BoundedPareto of job sizes.
        workload: The Workload.
        low: Cutoff of the tier below, in ticks; for the first tier the smallest size.
        high: Cutoff of this tier, in ticks; for the last tier the largest size.
        is_first: Whether all requests start in this tier.
    """
    moment = distribution.partial_moment
    largest = distribution.largest
    ineffective = workload.ineffective_cancels
    cancelled_share = moment(0, high, largest)
    beyond = ineffective * moment(order, high, largest) + (1 - ineffective) * cancelled_share * high**order
    total = (1 - workload.non_restartable_share) * (moment(order, low, high) + beyond)
    if is_first:
        total += workload.non_restartable_share * moment(order, low, largest)
    return total
