"""One node's side of the limits: what it may let through by its floors and its shares. No I/O.

Times are tenths of a millisecond.
"""

from grebedyke.model.window_counter import WindowCounter
from grebedyke.rate_limits.definitions import OPEN, THOUSANDTHS, pool, whole_bound
from grebedyke.units import TICKS_PER_SECOND


class Meter:
    """`drift`: by how much this node's clock may be fast; `hold`: how long what went through may run on."""

    def __init__(self, limit, nodes, drift, hold, lease, now):
        self.nodes, self.drift, self.hold, self.begun = nodes, drift, whole_bound(hold, drift), now
        self.share, self.until, self.used, self.denied, self.passed = 0, 0, 0, 0, 0
        self.span = max(lease // 8, 1)
        self.tries = WindowCounter(self.span, 18)
        self.retune(limit, now)

    def retune(self, limit, now):
        """What is under way and what has been let through stay counted."""
        self.limit, self.pool = limit, pool(limit.size, limit.floor, self.nodes)
        self.share = min(self.share, self.pool)

    def held(self, now):
        """The share that is in force; by a lease that has ended, none."""
        return self.share if now < self.until else 0

    def given(self, now, share, until):
        self.share, self.until = min(max(share, 0), self.pool), until


class Slots(Meter):
    """Invocations under way at once: each holds its slot until it has ended, whatever becomes of the share.

    >>> from grebedyke.rate_limits.definitions import Limit
    >>> s = Slots(Limit("l", OPEN, 10, 0, 1, None, None, False), 4, 0.0, 98, 800, 0)
    >>> s.room(50), s.room(100)
    (False, True)
    >>> s.take(100); s.room(110), s.given(110, 2, 500), s.room(120), s.room(500)
    (False, None, True, False)
    """

    def room(self, now):
        # What a former life of this node let through may run on: its floor is in use until then.
        own = self.limit.floor if now >= self.begun + self.hold else 0
        return self.used < own + self.held(now)

    def take(self, now):
        self.used += 1
        self.passed += 1

    def want(self, now):
        """As many as are under way and were asked for of late; a part of a quarter second's tries wait."""
        return self.used + -(-self.tries.total(now, 4) // 4)

    def back(self, now):
        return TICKS_PER_SECOND // 4


class Bucket(Meter):
    """Invocations a second: filled by the floor and the share, of what it holds never more than its own part.

    All nodes' parts of the burst are at most the burst: one each, the rest by share. It begins empty, else
    each restart would bring a burst of its own.

    >>> from grebedyke.rate_limits.definitions import RATE, Limit
    >>> b = Bucket(Limit("l", RATE, 8_000, 8, 1_000, None, None, False), 4, 0.0, 0, 800, 0)
    >>> b.room(9_900), b.room(10_010), b.given(10_010, 4_000, 30_000), b.cap(10_010)
    (False, True, None, 5.0)
    >>> [b.room(20_000), b.level, b.room(60_000), b.level]
    [True, 5.0, True, 1.0]
    """

    def __init__(self, limit, nodes, drift, hold, lease, now):
        self.level, self.at = 0.0, now
        super().__init__(limit, nodes, drift, hold, lease, now)

    def retune(self, limit, now):
        if hasattr(self, "limit"):
            self.advance(now)
        super().retune(limit, now)
        self.level = min(self.level, self.cap(now))

    def cap(self, now):
        held = self.held(now)
        return 1.0 + ((self.limit.burst - self.nodes) * held / self.pool if held else 0)

    def rate(self, now):
        """Thousandths a second; a clock that is fast must not make it more."""
        return (self.limit.floor + self.held(now)) / (1 + self.drift)

    def fill(self, by, rate, cap):
        if by > self.at:
            self.level = min(self.level + rate * (by - self.at) / (TICKS_PER_SECOND * THOUSANDTHS), cap)
            self.at = by

    def advance(self, now):
        if self.share and self.at < self.until <= now:
            before = self.until - 1
            self.fill(before, self.rate(before), self.cap(before))
        # What had gathered by a share that has ended is no node's any more, but for the one of its own.
        self.level = min(self.level, self.cap(now))
        self.fill(now, self.rate(now), self.cap(now))

    def given(self, now, share, until):
        self.advance(now)
        super().given(now, share, until)
        self.level = min(self.level, self.cap(now))

    def room(self, now):
        self.advance(now)
        return self.level >= 1

    def take(self, now):
        self.level -= 1
        self.passed += 1

    def want(self, now):
        """By the tries of half a lease, or of up to two where those do not contradict it, and a tenth.

        A share that goes up and down by chance is counted at its highest until it is known to be given back:
        with the half lease alone a fifth of a limit lay idle.
        """
        n = newest = self.tries.total(now, 4)
        for windows in (4, 2):
            longer = self.tries.total(now, 4 * windows) / windows
            if abs(newest - longer) <= 2 * longer**0.5:
                n = longer
                break
        return int(n * THOUSANDTHS * TICKS_PER_SECOND * 11 / (self.span * 40))

    def back(self, now):
        rate = self.rate(now)
        return (
            min(int((1 - self.level) * THOUSANDTHS * TICKS_PER_SECOND / rate) + 1, 60 * TICKS_PER_SECOND)
            if rate
            else TICKS_PER_SECOND
        )


class Gate:
    """Asked once for each invocation of this node: within all limits that are on it?"""

    def __init__(self, limits, nodes, drift, hold, lease, now):
        self.nodes, self.drift, self.hold, self.lease = nodes, drift, hold, lease
        self.meters, self.known, self.open, self.hungry = {}, {}, {}, False
        self.retune(limits, now)

    def retune(self, limits, now):
        before, self.known = self.meters, {}
        self.meters = {limit.id(): before.get(limit.id()) for limit in limits}
        for limit in limits:
            meter = self.meters[limit.id()]
            if meter and meter.limit.kind == limit.kind:
                meter.retune(limit, now)
            else:
                kind = Slots if limit.kind == OPEN else Bucket
                self.meters[limit.id()] = kind(limit, self.nodes, self.drift, self.hold, self.lease, now)

    def on(self, inv, further=False):
        """The meters of all limits that are on such an invocation, or on its further forwards."""
        key = operation, tenant, _ = inv.operation.name, inv.tenant, further
        if key not in self.known:
            if len(self.known) > 4_096:
                self.known.clear()  # tenants are what clients say
            self.known[key] = [
                m
                for m in self.meters.values()
                if m.limit.operation in (None, operation)
                and m.limit.tenant in (None, tenant)
                and m.limit.further == further
            ]
        return self.known[key]

    def take(self, now, inv):
        """0: it may go, and is counted; else how long to wait before the next try. Soft limits mark it."""
        meters, short = self.on(inv), []
        for meter in meters:
            meter.tries.add(now)
            if not meter.room(now):
                meter.denied += 1
                short.append(meter)
        self.hungry = self.hungry or bool(short)
        if hard := [meter for meter in short if not meter.limit.soft]:
            return max(meter.back(now) for meter in hard)
        inv.over_quota = inv.over_quota or bool(short)
        for meter in meters:
            if meter not in short:
                meter.take(now)
        if slots := [meter for meter in meters if meter not in short and meter.limit.kind == OPEN]:
            self.open[inv] = slots
        return 0

    def further(self, now, inv):
        """Whether a further forward of it may go now; another node's invocation is that node's affair."""
        if inv.origin_node is not None:
            return True
        short = [meter for meter in self.on(inv, True) if not meter.room(now)]
        for meter in short:
            meter.tries.add(now)
            meter.denied += 1
        self.hungry = self.hungry or bool(short)
        return not short

    def again(self, now, inv):
        """One went."""
        for meter in self.on(inv, True):
            meter.tries.add(now)
            meter.take(now)

    def give(self, inv):
        """Once nothing of it is under way, not when its client leaves."""
        for meter in self.open.pop(inv, ()):
            meter.used -= 1
