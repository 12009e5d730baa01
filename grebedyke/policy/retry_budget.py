"""Rule 5: a retry budget over a sliding window.

In any window a node sends at most `floor + ratio x requests` retries, where `requests` is the number of
requests it accepted in the same window. Inputs are the three settings and the times (ticks) of requests and
retries; the caller checks `available` right before each retry and sends it only if at least one is left, and
not after its `latest_send`.
docs/design.md shows that no sequence of inputs exceeds the budget.

Counts are kept in buckets of a forty-eighth of the window. At the edge of the window both counts err towards
fewer retries: requests are counted in one bucket less than the window has, including the current bucket,
retries in two buckets more. The budget therefore also holds for an observer to whom a retry counts up to a
bucket later, as it waited for its connection, or whose clock differs by a bucket.
"""

from math import inf
from typing import NamedTuple

from grebedyke.model.window_counter import WindowCounter
from grebedyke.units import TICKS_PER_SECOND

# A time in ticks that is never reached.
FOREVER = 2**62

BUCKETS_PER_WINDOW = 48
COUNTED_REQUEST_BUCKETS = BUCKETS_PER_WINDOW - 1
COUNTED_RETRY_BUCKETS = BUCKETS_PER_WINDOW + 2
KEPT_BUCKETS = 64
# Window in ticks for the buckets if no budget is set: a reload may set one, and its window then includes
# earlier requests and retries.
DEFAULT_WINDOW = 10 * TICKS_PER_SECOND


class Allowance(NamedTuple):
    """Retries that the budget allows at a moment; both values are infinite if no budget is set.

    Attributes:
        left: Retries that may be sent now.
        total: Retries that the window allows, including those already sent.
    """

    left: float
    total: float


class RetryBudget:
    """Budget for retries.

    Attributes:
        floor: Retries allowed in every window.
        ratio: Additional retries for each request accepted in the window.
        window: Length of the window in ticks; 0 if no budget is set and all retries are allowed.
        blocked_until: Time in ticks before which no retry is allowed.
        requests: WindowCounter of the accepted requests.
        retries: WindowCounter of the sent retries.
    """

    def __init__(self, floor, ratio, window):
        self.floor = floor
        self.ratio = ratio
        self.window = window
        self.blocked_until = 0
        bucket = max((window or DEFAULT_WINDOW) // BUCKETS_PER_WINDOW, 1)
        self.requests = WindowCounter(bucket, KEPT_BUCKETS)
        self.retries = WindowCounter(bucket, KEPT_BUCKETS)

    def available(self, now):
        """Returns the current Allowance."""
        if not self.window:
            return Allowance(inf, inf)
        total = self.floor + self.ratio * self.requests.total(now, COUNTED_REQUEST_BUCKETS)
        sent = self.retries.total(now, COUNTED_RETRY_BUCKETS)
        return Allowance(total - sent if now >= self.blocked_until else 0, total)

    def latest_send(self, now):
        """Returns the time in ticks by which a retry that is counted now must be sent; None without a budget.

        A retry that is sent later would be in a window for which it is not counted.
        """
        return now + self.retries.bucket_length if self.window else None

    def adopt_settings(self, fresh, now):
        """Adopts the settings of a newly built budget and keeps all counts."""
        if self.window != fresh.window:
            fresh.import_state(now, *self._state())
            self.requests = fresh.requests
            self.retries = fresh.retries
            self.blocked_until = fresh.blocked_until
        self.floor = fresh.floor
        self.ratio = fresh.ratio
        self.window = fresh.window

    def export_state(self):
        """Returns the state for another process of this node and blocks further retries in this one.

        For the rule both processes are one node, so only one of them may spend the budget.

        Returns:
            The arguments of `import_state` after `now`, in plain types.
        """
        state = self._state()
        self.blocked_until = FOREVER
        return state

    def import_state(self, now, requests, retries, bucket, blocked_until):
        """Adds the counts of another process, or of a budget with another window.

        Requests are dated to the beginning of their old bucket and retries to its end, so that both err
        towards fewer retries.

        Args:
            now: The time in ticks.
            requests: (bucket number, count) of the accepted requests, the oldest first.
            retries: (bucket number, count) of the sent retries, the oldest first.
            bucket: Length of these buckets in ticks; 0 from a process that does not export its budget.
            blocked_until: Time in ticks before which the other process or budget allows no retry.
        """
        for number, count in requests:
            self.requests.add(number * bucket, count)
        for number, count in retries:
            self.retries.add(min((number + 1) * bucket - 1, now), count)
        # If the old counts cover less than this window, retries sent before them are unknown.
        reach = (KEPT_BUCKETS - 2) * bucket
        if self.window + 3 * self.requests.bucket_length > reach:
            self.blocked_until = max(blocked_until, now + self._uncounted_period())
        else:
            self.blocked_until = max(blocked_until, 0)

    def on_other_process_gone(self, now):
        """Reclaims the budget from a process that ended.

        The retries that it sent are unknown, so none are allowed for a window.
        """
        self.blocked_until = min(self.blocked_until, now + self._uncounted_period())

    def _uncounted_period(self):
        """Returns the ticks after which unknown retries have left the window."""
        return self.window + 2 * self.requests.bucket_length

    def _state(self):
        """Returns the arguments of `import_state` after `now`."""
        return (
            self.requests.buckets(),
            self.retries.buckets(),
            self.requests.bucket_length,
            self.blocked_until,
        )
