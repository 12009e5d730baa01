"""A clock for a node without sockets, which the test moves."""

from socketless_node import NOW


class ManualClock:
    """A clock that the test moves.

    Attributes:
        now: The time in ticks.
    """

    def __init__(self, node):
        self.now = NOW
        node.batch.clock = lambda: self.now

    def advance(self, node, ticks):
        """Moves the clock, and runs what is due."""
        self.now += ticks
        node.batch.pass_times.extend([self.now] * 3)
        node.batch.schedule()
        node.run()
