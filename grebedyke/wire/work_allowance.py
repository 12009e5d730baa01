"""Limits the work that one connection causes, so that others do not wait for it."""

from grebedyke.units import TICKS_PER_MILLISECOND

# Units of work for one connection in an interval: 4,000 parser steps or some 450 refused messages a second,
# which is a few hundredths of a core.
UNITS_PER_INTERVAL = 64
INTERVAL = 16 * TICKS_PER_MILLISECOND
# Units for a message that is answered at once. A parser step costs one unit.
IMMEDIATE_RESPONSE_UNITS = 8
# Units for a call-back about a request of this node: executors may send many on one connection.
CALL_BACK_UNITS = 1


class WorkAllowance:
    """The units of work that a connection may still cause in the current interval.

    >>> allowance = WorkAllowance(lambda: 1_000)
    >>> allowance.charge(UNITS_PER_INTERVAL)
    >>> allowance.wait_time(), allowance.left  # the first interval began long ago
    (0, 64)
    >>> allowance.charge(70)
    >>> allowance.wait_time(), allowance.left
    (160, -6)

    Attributes:
        clock: Returns the time in ticks.
        left: Units left in this interval.
        refilled_at: Start of this interval, in ticks.
    """

    __slots__ = ("clock", "left", "refilled_at")

    def __init__(self, clock):
        self.clock = clock
        self.left = UNITS_PER_INTERVAL
        self.refilled_at = 0

    def charge(self, units):
        """Uses up some units."""
        self.left -= units

    def refund(self, units):
        """Gives back some units."""
        self.left += units

    def refill(self):
        """Gives the connection a full allowance."""
        self.left = UNITS_PER_INTERVAL

    def wait_time(self):
        """Returns for how many ticks the connection has to wait; 0 if units are left."""
        if self.left > 0:
            return 0
        now = self.clock()
        next_refill = self.refilled_at + INTERVAL
        if now < next_refill:
            return next_refill - now
        self.refilled_at = now
        self.refill()
        return 0
