"""The loop's turn: what is ready is gathered, handed to the module in one go, its decisions are done."""

import time
from collections import deque
from functools import partial
from heapq import heappop, heappush

from loguru import logger

BEAT = 200  # a node that is idle looks up this often, to know when it stood still
STALL = 800
# After a stall: one pass accepts, one or two set up, one reads an invocation, one that its client has left.
PASSES = 5
# A flood behind an invocation holds it back for so many passes; so often messages are put off.
FLOOD, AGAIN = 40, 3


class Turn:
    """`decide(now)` gives decisions until None, `carry(now, decision)` does one.

    Whatever a turn gives rise to (`put` while it runs) waits for the next. Time limits lie in one heap,
    with one timer of the loop's; limits that no longer matter are told apart by whom they call.
    """

    def __init__(self, loop, gauges):
        self.loop, self.gauges, self.decide, self.carry = loop, gauges, None, None
        self.inbox, self.touched, self.limits, self.count = [], {}, [], 0
        self.soon, self.timer, self.armed = False, None, 0
        self.last_look = None  # called right before a turn's messages are written
        self.put_off, self.looked, self.late = 0, 0, 0
        self.marks = deque([self.clock()] * 3, 3)

    @staticmethod
    def clock():
        return time.monotonic_ns() // 100_000

    def mark(self):
        self.marks.append(self.clock())

    def beat(self):
        self.gauges.stall(self.clock() - self.marks[-1] - BEAT)
        self.mark()
        self.loop.call_later(BEAT / 10_000, self.beat)

    def unread(self, now):
        """How long what is read now may have lain with the kernel: more than a little only after a stall.

        A pass of the loop marks twice at most, so the third last mark is of a pass before the stall.
        """
        gap = now - self.marks[0]
        return gap if gap > STALL else 0

    def put(self, call, *args):
        """An input for the next turn: call(now, *args)."""
        self.inbox.append((call, args))
        self.hurry()

    def put_once_read(self, connection, call, *args):
        """An input whose connection may hold more, such as its close: put once a pass reads no more.

        What a pass finds ready is handled behind the turn that was asked for in the pass before.
        """
        self.loop.call_soon(partial(self.reads_on, connection, None, FLOOD, call, args))

    def reads_on(self, connection, before, left, call, args):
        come = connection.unhandled_bytes()
        if left and come != before:
            self.loop.call_soon(partial(self.reads_on, connection, come, left - 1, call, args))
        else:
            self.put(call, *args)

    def touch(self, connection):
        self.touched[connection] = None
        self.hurry()

    def hurry(self):
        if not self.soon:
            self.soon = True
            # Everything that this pass of the loop has found ready is read before the turn begins.
            self.loop.call_soon(self.run)

    def after(self, wait, call, *args):
        self.at(self.clock() + wait, call, *args)

    def at(self, when, call, *args):
        self.count += 1
        heappush(self.limits, (when, self.count, call, args))
        if not self.soon and self.limits[0][1] == self.count:
            self.arm()

    def arm(self):
        if self.limits and (self.timer is None or self.limits[0][0] != self.armed):
            if self.timer:
                self.timer.cancel()
            self.armed = self.limits[0][0]
            self.timer = self.loop.call_at(self.armed / 10_000, self.ring)

    def ring(self):
        self.timer = None
        self.hurry()

    def run(self):
        now = self.clock()
        if self.unread(now) and self.put_off < PASSES:
            # What came in meanwhile is read first, to its end: a client may be long gone by now.
            self.looked = self.looked if self.put_off else now
            self.put_off += 1
            return self.loop.call_soon(self.run)
        # Up to then all that had reached the kernel has been handled: the third last mark is two passes back.
        read = max(self.marks[0], self.looked if self.put_off > 1 else 0)
        self.put_off = 0
        self.mark()
        now = self.marks[-1]
        try:
            self.gather(now)
            # What was put off goes before anything new is decided, which could take as long again.
            if not self.late or self.write(now, read):
                while (decision := self.guard(self.decide, now)) is not None:
                    self.guard(self.carry, now, decision)
                self.write(now, read)
        finally:
            self.soon = False
            if self.inbox or self.touched:
                self.hurry()
            self.arm()
        self.gauges.turn(self.clock() - now)

    def write(self, now, read):
        """Whether all is written.

        Past a stall's length since `read`, who left meanwhile is read before the rest goes.
        """
        if self.last_look:
            self.guard(self.last_look, self.clock())
        for connection in list(self.touched):
            if self.late < AGAIN and self.clock() - read > STALL:
                self.late += 1
                return False
            del self.touched[connection]
            self.guard(self.flush, now, connection)
        self.late = 0
        return True

    def gather(self, now):
        inputs, self.inbox = self.inbox, []
        for call, args in inputs:
            self.guard(call, now, *args)
        while self.limits and self.limits[0][0] <= now:
            when, _, call, args = heappop(self.limits)
            self.gauges.late(now - when)
            self.guard(call, now, *args)

    @staticmethod
    def flush(now, connection):
        connection.flush()

    def guard(self, call, now, *args):
        """One faulty input, limit or decision must not end the node; time limits see to what it left open."""
        try:
            return call(now, *args)
        except Exception:
            if self.gauges.few("faults"):
                logger.exception(
                    "turn: {call} failed", event="turn-fault", call=getattr(call, "__qualname__", str(call))
                )
