"""Rule: an endpoint that fails is ejected for a time that doubles with each consecutive failure.

An executor that fails every job immediately always has free slots and would attract more and more work, so
failed jobs count as well. It is tried again at growing but bounded intervals, by a single attempt (credit 1).
An endpoint that rejects an operation gets no attempts of that operation for a second; it loses credit only if
it currently rejects all operations it has been sent.

Inputs are outcomes of attempts and probes; times are ticks.
"""

from grebedyke.model.outcome import Outcome
from grebedyke.units import TICKS_PER_SECOND

# The first consecutive failure ejects for twice this time, the fourth and all later ones for sixteen times.
EJECTION_UNIT = TICKS_PER_SECOND // 4
MAX_DOUBLINGS = 4
PROBATION_CREDIT = 1.0
REJECTION_PAUSE = TICKS_PER_SECOND

# Outcomes that do not indicate the health of the endpoint.
NEUTRAL_OUTCOMES = frozenset((Outcome.CANCELLED, Outcome.NEVER_SENT))


def on_rejection(endpoint, now, operation):
    """Excludes the endpoint for the rejected operation only, since it may still serve the others."""
    endpoint.rejected_until[operation] = now + REJECTION_PAUSE
    if min(endpoint.rejected_until.values()) > now:
        endpoint.credit = max(PROBATION_CREDIT, min(endpoint.credit, endpoint.slots_in_use))


def on_failure(endpoint, now, outcome):
    """Ejects an endpoint, except after a single connection reset, which is attributed to the connection."""
    if outcome in NEUTRAL_OUTCOMES:
        return
    endpoint.consecutive_failures += 1
    tolerated = 1 if outcome == Outcome.CONNECTION_RESET else 0
    if endpoint.consecutive_failures > tolerated:
        doublings = min(endpoint.consecutive_failures, MAX_DOUBLINGS)
        endpoint.ejected_until = now + (EJECTION_UNIT << doublings)
        endpoint.credit = PROBATION_CREDIT
