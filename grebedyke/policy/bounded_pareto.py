"""Rule: job sizes are modelled by a Bounded Pareto distribution fitted to observed running times.

Inputs are running times in ticks at the fleet's mean speed: those of finished jobs, and those at which other
jobs were cancelled (censored observations). The distribution and its moments follow section II.B of
"Parameter setting and exploration of TAGS using a genetic algorithm" (Sarfati, Bachmat, Kedem-Yemini);
docs/design.md lists the deviations from the paper.
"""

from math import log
from typing import NamedTuple

# The smallest twentieth of the finished sizes is excluded from a fit: these times reflect the host's
# scheduling interval more than the job, and a higher lower bound does not change the distribution above it.
TRIM_DIVISOR = 20
# The upper bound exceeds every censored size and the lower bound by at least this factor.
UPPER_BOUND_MARGIN = 1.01
FIT_STEPS = 30
MAX_SHAPE = 3.0
# Closer to a pole of the power form than this, a moment is computed by its logarithmic limit.
POLE_DISTANCE = 1e-6


class BoundedPareto(NamedTuple):
    """Distribution with the density `alpha k^alpha x^(-alpha - 1) / (1 - (k / p)^alpha)` from k to p.

    Attributes:
        smallest: Lower bound of sizes, the paper's k, in ticks.
        largest: Upper bound of sizes, the paper's p, in ticks.
        shape: The paper's alpha; the smaller, the heavier the tail.
    """

    smallest: float
    largest: float
    shape: float

    def partial_moment(self, order, low, high):
        """Returns the integral of `x^order` over the density from `low` to `high`, in ticks^order.

        For an `order` equal to the shape the power form divides by zero, so its logarithmic limit is used.

        >>> round(BoundedPareto(1, 100, 1.0).partial_moment(0, 1, 100), 6)
        1.0
        """
        shape = self.shape
        scale = shape * self.smallest**shape / (1 - (self.smallest / self.largest) ** shape)
        if abs(shape - order) < POLE_DISTANCE:
            return scale * log(high / low)
        return scale * ((low ** (order - shape) - high ** (order - shape)) / (shape - order))


def fit(finished, censored=()):
    """Returns the maximum-likelihood distribution for the observed sizes.

    A job cancelled at its cutoff is a right-censored observation; ignoring it would hide the tail.

    Args:
        finished: Sizes of finished jobs, in ticks; at least one.
        censored: Sizes that other jobs had reached when they were cancelled, in ticks.
    """
    ordered = sorted(finished)[len(finished) // TRIM_DIVISOR :]
    count = len(ordered)
    smallest = ordered[0]
    largest = max(ordered[-1], max(censored, default=0) * UPPER_BOUND_MARGIN, smallest * UPPER_BOUND_MARGIN)
    log_sum = sum(log(max(size / smallest, 1.0)) for size in (*ordered, *censored))
    ratio = largest / smallest
    shape = 1.0
    for _ in range(FIT_STEPS):
        # The derivative of the likelihood is zero where
        # count / shape = log_sum + count log(ratio) / (ratio^shape - 1); damped fixed-point iteration.
        next_shape = count / (log_sum + count * log(ratio) / (ratio**shape - 1))
        shape = (shape + min(next_shape, MAX_SHAPE)) / 2
    return BoundedPareto(smallest, largest, shape)
