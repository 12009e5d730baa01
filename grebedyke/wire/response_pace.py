"""Bounds the work of all messages that are answered at once and are no requests: it is done at a steady pace.

An unsound message, a health check or a call-back about a job that this node does not have costs the node
something and its sender nothing. Connections have an allowance of their own (`work_allowance`); the pace
bounds their sum, whoever they are and however often they connect. A sender that waits for the answer before
it sends the next message is slowed down by it; one that does not is dropped early (`connection_acceptor`) or
waits in the kernel. Requests do not come here: a sound one never waits for unsound ones.
"""

from collections.abc import Callable
from typing import NamedTuple

from grebedyke.wire.work_allowance import INTERVAL

# Units of work in an interval for all connections together, those of four single ones.
UNITS_PER_INTERVAL = 256
# The same for call-backs about jobs of this node, 4,000 of them a second. They have a pace of their own
# and count at once; only their acknowledgements wait.
CALL_BACK_UNITS_PER_INTERVAL = 64
# Units for the set-up and the end of a connection, charged with its first message.
CONNECTION_UNITS = 32


class _DelayedCall(NamedTuple):
    """A call that waits.

    Attributes:
        units: Units of work.
        call: Called without arguments.
        since: Time in ticks at which it began to wait.
    """

    units: int
    call: Callable[[], None]
    since: int


class ResponsePace:
    """Calls functions at once while there are units of work left, and later in the order of their arrival.

    Attributes:
        batch: The node's `BatchLoop`.
        units_per_interval: Units of work in an interval.
        left: Units left in this interval; negative if the last call took more than were left.
        refilled_at: Start of this interval, in ticks.
        waiting: The `_DelayedCall` of each waiting connection, in the order of their arrival.
        delayed: Number of calls that had to wait, since the last `clear_record`.
        longest_wait: The longest of these waits in ticks.
    """

    def __init__(self, batch, units_per_interval=UNITS_PER_INTERVAL):
        self.batch = batch
        self.units_per_interval = units_per_interval
        self.left = units_per_interval
        self.refilled_at = 0
        self.waiting = {}
        self.delayed = 0
        self.longest_wait = 0
        self._timer = None

    def call(self, connection, units, call):
        """Calls `call()` as soon as the pace allows it.

        Args:
            connection: The connection; it waits for one call at a time, and handles its input afterwards.
            units: Units of work of the message.
            call: Called without arguments, unless the connection ends before.
        """
        self._refill()
        if self.left > 0 and not self.waiting:
            self.left -= units
            call()
            return
        self.waiting[connection] = _DelayedCall(units, call, self.batch.clock())
        self.delayed += 1
        self._set_timer()

    def forget(self, connection):
        """Drops the call of a connection that has ended."""
        self.waiting.pop(connection, None)

    def clear_record(self):
        """Begins a new record of delays."""
        self.delayed = 0
        self.longest_wait = 0

    def _refill(self):
        now = self.batch.clock()
        intervals = (now - self.refilled_at) // INTERVAL
        if intervals > 0:
            self.refilled_at = now
            self.left = min(self.left + intervals * self.units_per_interval, self.units_per_interval)

    def _set_timer(self):
        if self._timer is None:
            self._timer = self.batch.call_at(self.refilled_at + INTERVAL, self._continue)

    def _continue(self, now):
        self._timer = None
        self._refill()
        while self.waiting and self.left > 0:
            connection = next(iter(self.waiting))
            delayed = self.waiting.pop(connection)
            self.left -= delayed.units
            self.longest_wait = max(self.longest_wait, now - delayed.since)
            delayed.call()
            connection.continue_input()
        if self.waiting:
            self._set_timer()
