"""Detects stalls of the load tool's event loop: an answer read after a stall may have been in time."""

CHECK_INTERVAL = 0.02
"""Seconds between two checks of the clock."""

MIN_STALL = 0.05
"""Minimum number of seconds between two checks that counts as a stall."""

PASSES_TO_HANDLE_DATA = 3
"""Passes of the event loop in which data may arrive, is read, and resumes the task that handles it."""

CATCH_UP_TIME = 0.05
"""Seconds after a stall in which the loop reads the data that arrived during the stall."""


class StallDetector:
    """Checks the clock at regular intervals while it runs.

    Only the event loop's own timer makes a check. If other code made some, a pass of the loop that takes
    long for many answers would not be seen as a stall.

    Attributes:
        stalls: (start, end) of each stall that has ended, in seconds of the event loop's clock.
    """

    def __init__(self, loop):
        self.stalls = []
        self._loop = loop
        self._last_check = loop.time()
        self._timer = None

    def start(self):
        """Checks the clock until `stop`."""
        self._last_check = self._loop.time()
        self._timer = self._loop.call_later(CHECK_INTERVAL, self._check)

    def stop(self):
        """Stops checking the clock."""
        if self._timer:
            self._timer.cancel()

    def _check(self):
        self.stalls = self._stalls_until(self._loop.time())
        self.start()

    def _stalls_until(self, now):
        """Returns all stalls, with the one that may not have ended."""
        if now - self._last_check < MIN_STALL:
            return self.stalls
        return [*self.stalls, (self._last_check, now)]

    def longest_stall(self, since):
        """Returns the length in seconds of the longest stall that ended after a time; 0 if there was none."""
        stalls = self._stalls_until(self._loop.time())
        return max((end - start for start, end in stalls if end > since), default=0.0)

    def earliest_arrival(self, now):
        """Returns the earliest time at which data that a task handles now may have arrived.

        If that happens during or shortly after a stall, this is the start of the stall, or of a stall right
        before it, as each pass of a slow event loop counts as one. Otherwise it is the present time.
        """
        earliest = now
        latest_end = now - CATCH_UP_TIME
        for start, end in self._stalls_until(now)[: -PASSES_TO_HANDLE_DATA - 1 : -1]:
            if end < latest_end:
                break
            earliest = start
            latest_end = start
        return earliest
