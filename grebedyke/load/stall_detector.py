"""Detects stalls of an event loop: data that is read after a stall may have arrived before it."""

import time

CHECK_INTERVAL = 0.02
"""Seconds between two checks of the clock, if its owner does not ask for others."""

MIN_STALL_INTERVALS = 2.5
"""Minimum time between two checks that counts as a stall, in check intervals."""

PASSES_TO_HANDLE_DATA = 3
"""Passes of the event loop in which data may arrive, is read, and resumes the task that handles it."""

CATCH_UP_TIME = 0.05
"""Seconds after a stall in which the loop reads the data that arrived during the stall."""


class StallDetector:
    """Checks the clock at regular intervals while it runs.

    Only the event loop's own timer makes a check. If other code made some, a pass of the loop that takes
    long for many answers would not be seen as a stall.

    Attributes:
        stalls: (start, end) of each stall that has ended, in seconds of the clock.
        check_interval: Seconds between two checks.
        clock: Returns the time in seconds.
        on_stall: Called with the start and the end of each stall that has ended; may be None.
    """

    def __init__(self, loop, check_interval=CHECK_INTERVAL, clock=time.monotonic, on_stall=None):
        self.stalls = []
        self.check_interval = check_interval
        self.clock = clock
        self.on_stall = on_stall
        self._loop = loop
        self._min_stall = check_interval * MIN_STALL_INTERVALS
        self._last_check = clock()
        self._timer = None

    def start(self):
        """Checks the clock until `stop`."""
        self._last_check = self.clock()
        self._set_timer()

    def stop(self):
        """Stops checking the clock."""
        if self._timer:
            self._timer.cancel()

    def check(self):
        """Records a stall if the last check was too long ago."""
        now = self.clock()
        stall = self._open_stall(now)
        self._last_check = now
        if stall:
            self.stalls.append(stall)
            if self.on_stall:
                self.on_stall(*stall)

    def _set_timer(self):
        self._timer = self._loop.call_later(self.check_interval, self._timer_expired)

    def _timer_expired(self):
        self.check()
        self._set_timer()

    def _open_stall(self, now):
        """Returns the stall since the last check, None if it was not long ago."""
        is_stall = now - self._last_check >= self._min_stall
        return (self._last_check, now) if is_stall else None

    def _stalls_until(self, now):
        """Returns all stalls, with the one that may not have ended."""
        open_stall = self._open_stall(now)
        return [*self.stalls, open_stall] if open_stall else self.stalls

    def longest_stall(self, since):
        """Returns the length in seconds of the longest stall that ended after a time; 0 if there was none."""
        stalls = self._stalls_until(self.clock())
        return max((end - start for start, end in stalls if end > since), default=0.0)

    def earliest_arrival(self, now):
        """Returns the earliest time at which data that a task handles now may have arrived.

        If that happens during or shortly after a stall, this is the start of the stall, or of a stall shortly
        before it, as each pass of a slow event loop counts as one. Otherwise it is the present time.
        """
        earliest = now
        latest_end = now - CATCH_UP_TIME
        for start, end in self._stalls_until(now)[: -PASSES_TO_HANDLE_DATA - 1 : -1]:
            if end < latest_end:
                break
            earliest = start
            latest_end = start - self._min_stall
        return earliest
