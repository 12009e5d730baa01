"""Tells for how long the load tool's own event loop stood still: what it was late to read was not late."""

import asyncio

INTERVAL = 0.02
"""Seconds between two looks at the clock."""

SHORTEST_STALL = 0.05
"""Seconds between two looks from which on the loop counts as having stood still."""

CATCHING_UP_TIME = 0.05
"""Seconds after it stood still in which the loop reads what came meanwhile."""


class LoopWatch:
    """Looks at the clock at regular intervals for as long as it runs.

    Attributes:
        stalls: (start, end) of each time in which the loop stood still, in seconds of its clock.
    """

    def __init__(self, loop):
        self.stalls = []
        self._loop = loop
        self._last_look = loop.time()

    def look(self):
        """Takes the time; returns it."""
        now = self._loop.time()
        if now - self._last_look >= SHORTEST_STALL:
            self.stalls.append((self._last_look, now))
        self._last_look = now
        return now

    async def run(self):
        """Looks until it is cancelled."""
        while True:
            await asyncio.sleep(INTERVAL)
            self.look()

    def longest_stall(self, since):
        """Returns the longest time for which the loop stood still after a time, in seconds; 0 without one."""
        self.look()
        return max((end - start for start, end in self.stalls if end > since), default=0.0)

    def waking_time(self, time):
        """Returns when the loop was last awake before a time at which it read something.

        What it read may have come at any moment since.
        """
        stalls = reversed(self.stalls)
        return next((start for start, end in stalls if start < time <= end + CATCHING_UP_TIME), time)
