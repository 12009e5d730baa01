"""Timers in the order of their times; a cancelled timer holds nothing of what it was set for."""

from heapq import heapify, heappop, heappush

# Cancelled timers are removed from the heap when they are more than half of it, but not below this number.
MIN_REMOVED = 64


class Timer:
    """A call at a time.

    Attributes:
        when: The time in ticks.
        call: Called with the time and the arguments; None once the timer has fired or was cancelled.
        arguments: The arguments.
    """

    __slots__ = ("when", "call", "arguments", "_queue")

    def __init__(self, queue, when, call, arguments):
        self.when = when
        self.call = call
        self.arguments = arguments
        self._queue = queue

    def cancel(self):
        """Cancels the call, unless it was made or cancelled before."""
        if self.call is not None:
            self._clear()
            self._queue.on_cancel()

    def take(self):
        """Returns the call and its arguments, and forgets both."""
        call, arguments = self.call, self.arguments
        self._clear()
        return call, arguments

    def _clear(self):
        self.call = None
        self.arguments = ()


class TimerQueue:
    """A heap of timers.

    A cancelled timer stays in the heap, without its call, until its time or until such timers are more than
    half of the heap. So the heap is at most twice as long as there are timers set, plus a constant.

    >>> timers = TimerQueue()
    >>> late, early = timers.add(20, print), timers.add(10, print)
    >>> timers.next_time(), len(timers)
    (10, 2)
    >>> early.cancel()
    >>> timers.next_time(), len(timers), timers.pop_due(19), timers.pop_due(20) is late
    (20, 1, None, True)
    """

    def __init__(self):
        self._heap = []  # (time, number, timer); the number orders timers with equal times
        self._count = 0
        self._cancelled = 0

    def __len__(self):
        """Returns the number of timers that are set."""
        return len(self._heap) - self._cancelled

    def __iter__(self):
        """Iterates over the timers that are set, in no particular order."""
        return (timer for _, _, timer in self._heap if timer.call is not None)

    def add(self, when, call, *arguments):
        """Sets and returns a `Timer`."""
        self._count += 1
        timer = Timer(self, when, call, arguments)
        heappush(self._heap, (when, self._count, timer))
        return timer

    def next_time(self):
        """Returns the time of the first timer, None if none is set."""
        self._remove_cancelled_first()
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now):
        """Removes and returns the first timer if its time has come, else None."""
        self._remove_cancelled_first()
        if self._heap and self._heap[0][0] <= now:
            return heappop(self._heap)[2]
        return None

    def on_cancel(self):
        """Called by a timer that was cancelled."""
        self._cancelled += 1
        if self._cancelled > MIN_REMOVED and 2 * self._cancelled > len(self._heap):
            # In place, as the loop that calls the timers may be running.
            self._heap[:] = [entry for entry in self._heap if entry[2].call is not None]
            heapify(self._heap)
            self._cancelled = 0

    def clear(self):
        """Cancels all timers."""
        for timer in self:
            timer.take()
        self._heap.clear()
        self._cancelled = 0

    def _remove_cancelled_first(self):
        heap = self._heap
        while heap and heap[0][2].call is None:
            heappop(heap)
            self._cancelled -= 1
