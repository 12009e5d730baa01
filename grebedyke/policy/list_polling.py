"""Rule: when a node that has to ask for the endpoint list does so.

At a start, and after a failed poll. Polls are spread at random over a time (ticks) that grows with the number
of nodes, and doubles with each failure in a row: else all nodes would ask at once after a mass restart.
"""

from grebedyke.units import TICKS_PER_SECOND

SPREAD_PER_NODE = 0.05  # seconds
MAX_SPREAD = 2  # seconds, before it is doubled
MAX_DOUBLINGS = 3


class ListPolling:
    """Times of the polls of the endpoint list.

    Attributes:
        poll_at: When to poll; 0 without a poll to come.
        failures: Failures in a row, as far as they count.
    """

    def __init__(self, context):
        self._context = context
        self.poll_at = 0
        self.failures = 0

    def on_unavailable(self, now, _event=None):
        """Plans the next poll (`EndpointListUnavailable`)."""
        context = self._context
        if context.settings.capabilities.polls_list:
            seconds = min(SPREAD_PER_NODE * context.endpoints.node_count, MAX_SPREAD) * 2**self.failures
            self.failures = min(self.failures + 1, MAX_DOUBLINGS)
            self.poll_at = now + int(TICKS_PER_SECOND * seconds * context.random.draw()) + 1

    def is_due(self, now):
        """Whether to poll now; if so, the poll counts as made."""
        due = 0 < self.poll_at <= now
        if due:
            self.poll_at = 0
        return due
