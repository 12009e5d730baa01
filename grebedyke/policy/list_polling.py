"""Rule: timing of polls of the endpoint list, if the node has to poll it.

A poll follows the start of the node and each failed poll. Its time is drawn at random from a period (ticks)
that grows with the number of nodes and doubles with each consecutive failure; otherwise all nodes would poll
at the same time after a mass restart.
"""

from grebedyke.units import TICKS_PER_SECOND

SPREAD_PER_NODE = 0.05  # seconds
MAX_SPREAD = 2  # seconds, before it is doubled
MAX_DOUBLINGS = 3


class ListPolling:
    """Schedules polls of the endpoint list.

    Attributes:
        poll_at: Time of the next poll, in ticks; 0 if none is scheduled.
        failures: Consecutive failures, up to MAX_DOUBLINGS.
    """

    def __init__(self, context):
        self._context = context
        self.poll_at = 0
        self.failures = 0

    def on_unavailable(self, now, _event=None):
        """Schedules the next poll (`EndpointListUnavailable`)."""
        context = self._context
        if context.settings.capabilities.polls_list:
            seconds = min(SPREAD_PER_NODE * context.endpoints.node_count, MAX_SPREAD) * 2**self.failures
            self.failures = min(self.failures + 1, MAX_DOUBLINGS)
            self.poll_at = now + int(TICKS_PER_SECOND * seconds * context.random.draw()) + 1

    def take_due_poll(self, now):
        """Returns whether a poll is due now; if so, removes it from the schedule."""
        due = 0 < self.poll_at <= now
        if due:
            self.poll_at = 0
        return due
