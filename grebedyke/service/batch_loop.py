"""The batches of the event loop: gather events, decide, carry out, write each touched connection once."""

import time
from collections import deque
from functools import partial
from heapq import heappop, heappush

from loguru import logger

from grebedyke.units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND

NANOSECONDS_PER_TICK = 100_000
# Ticks after which an idle node takes the time, so that it knows how long it stood still.
WATCHDOG_INTERVAL = 20 * TICKS_PER_MILLISECOND
# Ticks between passes of the event loop from which on the process counts as having stood still.
STALL_TIME = 80 * TICKS_PER_MILLISECOND
# After a stall: one pass accepts, one or two set up, one reads a request, one that its client has left.
PASSES_AFTER_STALL = 5
# A client that goes on sending behind its request delays the request by so many passes at most.
MAX_READ_PASSES = 40
# Writing is put off at most so many times in a row.
MAX_WRITE_DEFERRALS = 3
# The time before the stall is the oldest of these: a pass of the loop takes the time twice at most.
PASS_TIMES_KEPT = 3


class BatchLoop:
    """Runs batches in an asyncio event loop.

    What a batch itself gives rise to waits for the next. All timers lie in one heap, with one timer of the
    event loop; a timer is never cancelled, its call sees for itself that it no longer matters.

    Attributes:
        loop: The event loop.
        metrics: Counts and histograms of the node.
        next_action: Called with the time until it gives None; set before the first batch.
        carry_out: Called with the time and each action; set before the first batch.
        before_write: Called with the time right before a batch's messages are written; may be None.
        events: Calls and their arguments for the next batch.
        touched: Connections with something to write, as keys.
        timers: Heap of (time, number, call, arguments).
        timer_count: Timers set so far; equal times go in their order.
        is_scheduled: Whether the next batch is already asked for.
        loop_timer: The event loop's timer, None if there is none.
        loop_timer_at: Its time in ticks.
        deferred_passes: For how many passes the present batch has been put off after a stall.
        deferred_since: Time at which it was put off first.
        write_deferrals: How many times in a row writing has been put off.
        pass_times: Times of the last passes in ticks, the oldest first.
    """

    def __init__(self, loop, metrics):
        self.loop = loop
        self.metrics = metrics
        self.next_action = None
        self.carry_out = None
        self.before_write = None
        self.events = []
        self.touched = {}
        self.timers = []
        self.timer_count = 0
        self.is_scheduled = False
        self.loop_timer = None
        self.loop_timer_at = 0
        self.deferred_passes = 0
        self.deferred_since = 0
        self.write_deferrals = 0
        self.pass_times = deque([self.clock()] * PASS_TIMES_KEPT, PASS_TIMES_KEPT)

    # Time.

    @staticmethod
    def clock():
        """Returns the monotonic time in ticks."""
        return time.monotonic_ns() // NANOSECONDS_PER_TICK

    def record_pass(self):
        """Notes the time of a pass of the event loop."""
        self.pass_times.append(self.clock())

    def watchdog_tick(self):
        """Takes the time at regular intervals also when nothing happens, and records how late that was."""
        self.metrics.record_stall(self.clock() - self.pass_times[-1] - WATCHDOG_INTERVAL)
        self.record_pass()
        self.loop.call_later(WATCHDOG_INTERVAL / TICKS_PER_SECOND, self.watchdog_tick)

    def time_unread(self, now):
        """Returns how long what is read now may have lain in the kernel; 0 unless the process stood still.

        A pass of the loop takes the time twice at most, so the oldest time kept is of a pass before the
        stall.
        """
        gap = now - self.pass_times[0]
        return gap if gap > STALL_TIME else 0

    # Events and timers.

    def enqueue(self, call, *args):
        """Adds an event to the next batch: call(now, *args)."""
        self.events.append((call, args))
        self.schedule()

    def enqueue_once_read(self, connection, call, *args):
        """Adds an event once a pass of the loop has read nothing more from its connection.

        Guards against a request whose client has closed right behind it: after a stall the close lies in the
        kernel behind the request, and a batch between the two would send the request to an executor. What a
        pass finds ready is handled after the batch that was asked for in the pass before, so the event waits
        for a pass without new bytes.
        """
        self.loop.call_soon(partial(self._enqueue_when_read, connection, None, MAX_READ_PASSES, call, args))

    def _enqueue_when_read(self, connection, bytes_before, passes_left, call, args):
        bytes_now = connection.unhandled_bytes()
        if passes_left and bytes_now != bytes_before:
            self.loop.call_soon(
                partial(self._enqueue_when_read, connection, bytes_now, passes_left - 1, call, args)
            )
        else:
            self.enqueue(call, *args)

    def touch(self, connection):
        """Has a connection written at the end of the batch."""
        self.touched[connection] = None
        self.schedule()

    def schedule(self):
        """Asks for a batch once everything that this pass of the loop has found ready is read."""
        if not self.is_scheduled:
            self.is_scheduled = True
            self.loop.call_soon(self.run_batch)

    def call_later(self, wait, call, *args):
        """Calls call(now, *args) in a batch after so many ticks."""
        self.call_at(self.clock() + wait, call, *args)

    def call_at(self, when, call, *args):
        """Calls call(now, *args) in a batch at a time in ticks."""
        self.timer_count += 1
        heappush(self.timers, (when, self.timer_count, call, args))
        if not self.is_scheduled and self.timers[0][1] == self.timer_count:
            self._arm_loop_timer()

    def _arm_loop_timer(self):
        if self.timers and (self.loop_timer is None or self.timers[0][0] != self.loop_timer_at):
            if self.loop_timer:
                self.loop_timer.cancel()
            self.loop_timer_at = self.timers[0][0]
            self.loop_timer = self.loop.call_at(self.loop_timer_at / TICKS_PER_SECOND, self._loop_timer_fired)

    def _loop_timer_fired(self):
        self.loop_timer = None
        self.schedule()

    # The batch.

    def run_batch(self):
        """Runs one batch, unless the process has just stood still and there is more to be read."""
        now = self.clock()
        if self.time_unread(now) and self.deferred_passes < PASSES_AFTER_STALL:
            self._defer_batch(now)
            return
        # Up to this time all that had reached the kernel is handled: the oldest pass is two passes back.
        read_until = self.pass_times[0]
        if self.deferred_passes > 1:
            read_until = max(read_until, self.deferred_since)
        self.deferred_passes = 0
        self.record_pass()
        now = self.pass_times[-1]
        try:
            self._gather(now)
            # What was put off is written before anything new is decided, which could take as long again.
            if not self.write_deferrals or self._write(now, read_until):
                self._carry_out_actions(now)
                self._write(now, read_until)
        finally:
            self.is_scheduled = False
            if self.events or self.touched:
                self.schedule()
            self._arm_loop_timer()
        self.metrics.record_batch(self.clock() - now)

    def _defer_batch(self, now):
        """Lets what came in during a stall be read to its end first: a client may be long gone by now."""
        if not self.deferred_passes:
            self.deferred_since = now
        self.deferred_passes += 1
        self.loop.call_soon(self.run_batch)

    def _gather(self, now):
        events = self.events
        self.events = []
        for call, args in events:
            self._run_guarded(call, now, *args)
        while self.timers and self.timers[0][0] <= now:
            when, _, call, args = heappop(self.timers)
            self.metrics.record_lateness(now - when)
            self._run_guarded(call, now, *args)

    def _carry_out_actions(self, now):
        while True:
            action = self._run_guarded(self.next_action, now)
            if action is None:
                return
            self._run_guarded(self.carry_out, now, action)

    def _write(self, now, read_until):
        """Writes the touched connections; returns whether all are written.

        Guards against a request to an executor for a client that left while the process stood still within
        the batch: once a stall has passed since all was read, the rest waits until the next batch has read
        who has left. It is put off a few times only, so that a slow machine still writes.
        """
        if self.before_write:
            self._run_guarded(self.before_write, self.clock())
        for connection in list(self.touched):
            is_stale = self.clock() - read_until > STALL_TIME
            if is_stale and self.write_deferrals < MAX_WRITE_DEFERRALS:
                self.write_deferrals += 1
                return False
            del self.touched[connection]
            self._run_guarded(_flush, now, connection)
        self.write_deferrals = 0
        return True

    def _run_guarded(self, call, now, *args):
        try:
            return call(now, *args)
        except Exception:
            # Keeps the node alive: one faulty event, timer or action must not end it. What it left open is
            # ended by the request's own timers.
            if self.metrics.count_and_may_log("faults"):
                name = getattr(call, "__qualname__", str(call))
                logger.exception("turn: {call} failed", event="turn-fault", call=name)
            return None


def _flush(now, connection):
    connection.flush()
