"""Runs batches: handles queued events and timers, carries out actions, flushes each connection once."""

import time
from collections import deque
from functools import partial

from loguru import logger

from grebedyke.service.timer_queue import TimerQueue
from grebedyke.units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND

NANOSECONDS_PER_TICK = 100_000
# Ticks between two runs of the watchdog, by which an idle node measures stalls.
WATCHDOG_INTERVAL = 20 * TICKS_PER_MILLISECOND
# Minimum ticks between passes of the event loop that count as a stall.
STALL_TIME = 80 * TICKS_PER_MILLISECOND
# Passes of the event loop after a stall before the next batch: one accepts a connection, one or two set it
# up, one reads its request, and one reads that the client has left.
PASSES_AFTER_STALL = 5
# Maximum number of passes by which a client that keeps sending data delays its request.
MAX_READ_PASSES = 40
# Maximum number of consecutive batches that defer their writes.
MAX_WRITE_DEFERRALS = 3
# The oldest kept time is from before the stall, as a pass of the loop records at most two times.
PASS_TIMES_KEPT = 3


class BatchLoop:
    """Runs batches in an asyncio event loop.

    Events that are enqueued during a batch are handled in the next one. All timers are in one queue, which
    needs one timer of the event loop. What sets a timer for an object cancels it at the object's end, as a
    peer may cause many short-lived objects; the function that a timer calls also checks whether it applies.

    Attributes:
        loop: The event loop.
        metrics: The node's `Metrics`.
        next_action: Called with the time until it returns None; set before the first batch.
        carry_out: Called with the time and each action; set before the first batch.
        before_write: Called with the time right before connections are flushed; may be None.
        events: Functions and their arguments for the next batch.
        touched: Connections with output to flush, as keys.
        timers: The `TimerQueue`.
        is_scheduled: Whether the next batch is already scheduled.
        loop_timer: The event loop's timer; None if none is set.
        loop_timer_at: When the event loop's timer expires, in ticks.
        deferred_passes: Number of passes by which the next batch has been deferred after a stall.
        deferred_since: Time of the first of these deferrals, in ticks.
        write_deferrals: Number of consecutive batches that have deferred their writes.
        pass_times: Times of the latest passes in ticks, oldest first.
    """

    def __init__(self, loop, metrics):
        self.loop = loop
        self.metrics = metrics
        self.next_action = None
        self.carry_out = None
        self.before_write = None
        self.events = []
        self.touched = {}
        self.timers = TimerQueue()
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
        """Records the time of a pass of the event loop."""
        self.pass_times.append(self.clock())

    def run_watchdog(self):
        """Records the time at regular intervals, even if the node is idle, and how late the watchdog was."""
        self.metrics.record_stall(self.clock() - self.pass_times[-1] - WATCHDOG_INTERVAL)
        self.record_pass()
        self.loop.call_later(WATCHDOG_INTERVAL / TICKS_PER_SECOND, self.run_watchdog)

    def read_delay(self, now):
        """Returns for how many ticks data read now may have waited in the kernel; 0 without a stall.

        A pass of the loop records at most two times, so the oldest kept time is from before the stall.
        """
        gap = now - self.pass_times[0]
        return gap if gap > STALL_TIME else 0

    # Events and timers.

    def enqueue(self, call, *args):
        """Adds an event to the next batch, which calls call(now, *args)."""
        self.events.append((call, args))
        self.schedule()

    def enqueue_once_read(self, connection, call, *args):
        """Adds an event after a pass of the loop that reads no new data from its connection.

        A client may send a request and close right after it. After a stall both are in the kernel's buffer,
        and a batch between the two reads would send the request to an executor. asyncio handles data that a
        pass finds ready after the batch scheduled in the previous pass, so the event waits for a pass without
        new data.
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
        """Marks a connection to be flushed at the end of the batch."""
        self.touched[connection] = None
        self.schedule()

    def schedule(self):
        """Schedules a batch for the next pass, after all data that this pass found ready is read."""
        if not self.is_scheduled:
            self.is_scheduled = True
            self.loop.call_soon(self.run_batch)

    def call_later(self, wait, call, *args):
        """Calls call(now, *args) in a batch after `wait` ticks; returns the `Timer`."""
        return self.call_at(self.clock() + wait, call, *args)

    def call_at(self, when, call, *args):
        """Calls call(now, *args) in a batch at the time `when`, in ticks; returns the `Timer`."""
        timer = self.timers.add(when, call, *args)
        if not self.is_scheduled and (self.loop_timer is None or when < self.loop_timer_at):
            self._arm_loop_timer()
        return timer

    def _arm_loop_timer(self):
        next_time = self.timers.next_time()
        if next_time is not None and (self.loop_timer is None or next_time != self.loop_timer_at):
            if self.loop_timer:
                self.loop_timer.cancel()
            self.loop_timer_at = next_time
            self.loop_timer = self.loop.call_at(self.loop_timer_at / TICKS_PER_SECOND, self._loop_timer_fired)

    def _loop_timer_fired(self):
        self.loop_timer = None
        self.schedule()

    # The batch.

    def run_batch(self):
        """Runs one batch, or defers it if the process was just stalled and may have unread data."""
        now = self.clock()
        if self.read_delay(now) and self.deferred_passes < PASSES_AFTER_STALL:
            self._defer_batch(now)
            return
        # All data that had reached the kernel by this time is handled: the oldest pass is two passes ago.
        read_until = self.pass_times[0]
        if self.deferred_passes > 1:
            read_until = max(read_until, self.deferred_since)
        self.deferred_passes = 0
        self.record_pass()
        now = self.pass_times[-1]
        try:
            self._run_events_and_timers(now)
            # Deferred writes go before new decisions, which could take as long again.
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
        """Defers the batch until all data that arrived during a stall is read: clients may have left."""
        if not self.deferred_passes:
            self.deferred_since = now
        self.deferred_passes += 1
        self.loop.call_soon(self.run_batch)

    def _run_events_and_timers(self, now):
        events = self.events
        self.events = []
        for call, args in events:
            self._call_and_log_errors(call, now, *args)
        while timer := self.timers.pop_due(now):
            self.metrics.record_lateness(now - timer.when)
            call, args = timer.take()
            self._call_and_log_errors(call, now, *args)

    def _carry_out_actions(self, now):
        while True:
            action = self._call_and_log_errors(self.next_action, now)
            if action is None:
                return
            self._call_and_log_errors(self.carry_out, now, action)

    def _write(self, now, read_until):
        """Flushes the touched connections; returns whether all were flushed.

        If the process stalls within a batch, a client may leave unnoticed, and its request would still be
        sent to an executor. So if the last read is longer ago than a stall, the remaining connections wait
        until the next batch has read which clients have left. The number of deferrals is limited, so that a
        slow machine still writes.
        """
        if self.before_write:
            self._call_and_log_errors(self.before_write, self.clock())
        for connection in list(self.touched):
            is_stale = self.clock() - read_until > STALL_TIME
            if is_stale and self.write_deferrals < MAX_WRITE_DEFERRALS:
                self.write_deferrals += 1
                return False
            del self.touched[connection]
            self._call_and_log_errors(_flush, now, connection)
        self.write_deferrals = 0
        return True

    def _call_and_log_errors(self, call, now, *args):
        try:
            return call(now, *args)
        except Exception:
            # A failing event, timer or action must not end the node. Requests that it leaves unfinished are
            # ended by their own timers.
            if self.metrics.count_and_may_log("faults"):
                name = getattr(call, "__qualname__", str(call))
                logger.exception("batch: {call} failed", event="turn-fault", call=name)
            return None


def _flush(now, connection):
    connection.flush()
