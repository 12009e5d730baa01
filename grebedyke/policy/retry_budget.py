"""Budget for retries in any window (rule 5)."""

from math import inf

from grebedyke.model.window_counter import WindowCounter
from grebedyke.units import TICKS_PER_SECOND

FOREVER = 2**62


class RetryBudget:
    """Rule 5: forwards beyond each invocation's first, in any window, out of what this node took in it."""

    def __init__(self, free, share, window):
        self.free, self.share, self.window, self.shut = free, share, window, 0
        # Counted also where no rule is set: a reload may bring one, and what went before is in its window.
        span = max((window or 10 * TICKS_PER_SECOND) // 48, 1)
        self.took, self.again = WindowCounter(span, 64), WindowCounter(span, 64)

    def left(self, now):
        """How many may go now, and the window's allowance; its edge counts where that allows less."""
        if not self.window:
            return inf, inf
        allowance = self.free + self.share * self.took.total(now, 47)
        return (allowance - self.again.total(now, 50) if now >= self.shut else 0), allowance

    def books(self):
        """For the process that goes on with this node's work; to the rule both are one, so this one stops."""
        shut, self.shut = self.shut, FOREVER
        return self.took.buckets(), self.again.buckets(), self.took.span, shut

    def alone(self, now):
        """The process that had it has gone, and what it sent is unknown: none for a window."""
        self.shut = min(self.shut, now + self.window + 2 * self.took.span)

    def recall(self, now, took, again, span, shut):
        """Goes on with the counts of another process, or of other settings, whose rings may have had less."""
        for mark, n in took:
            self.took.add(mark * span, n)
        for mark, n in again:
            self.again.add(min((mark + 1) * span - 1, now), n)
        short = self.window + 3 * self.took.span > 62 * span
        self.shut = max(shut, now + self.window + 2 * self.took.span if short else 0)
