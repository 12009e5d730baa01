"""The simulated fleet under limits: more is asked for than they let through, while all else fails.

The judge knows true time and every invocation that went through; it uses no helper of what it judges.
"""

from collections import Counter
from types import SimpleNamespace

from grebedyke.rate_limits.component import RateLimits
from grebedyke.rate_limits.definitions import OPEN, RATE, THOUSANDTHS, Limit
from grebedyke.rig.world import FAULTS, LEASE, World
from grebedyke.units import TICKS_PER_SECOND

# What runs on after its node's death runs no longer than that.
HOLD = TICKS_PER_SECOND
PER_SECOND, BURST, AT_ONCE = 60, 60, 20
# Of further forwards, and how many of what goes through would go again.
AGAIN, AGAIN_BURST, GOES_AGAIN = 5, 10, 0.3
# Of each limit, offered; demand moves from node to node so often.
PRESSURE, MOVES = 2.5, 4 * TICKS_PER_SECOND
STEP = TICKS_PER_SECOND // 50
CALM = 20 * TICKS_PER_SECOND
LIMIT_FAULTS = [kind for kind in FAULTS if kind != "executor lost"]


class Over:
    """Clauses of docs/limits.md: in any window W at most size * W + burst go through; and never more than
    the limit under way.
    """

    def __init__(self, size, burst, at_once, more):
        self.more, self.second = more, (0, more[1])  # of further forwards: (a second, burst)
        self.size, self.burst, self.at_once, self.later = size, burst, at_once, []
        self.broken, self.level, self.at, self.under_way = [], burst, 0, 0
        self.passed, self.taken, self.most, self.least = Counter(), 0, 0, burst

    def resize(self, at, size, burst, at_once):
        """From `at` on these are the limits."""
        self.later.append((at, size, burst, at_once))

    def advance(self, now):
        while self.later and self.later[0][0] <= now:
            at, self.size, self.burst, self.at_once = self.later.pop(0)
        # A bucket that is never overdrawn is the same as the bound on every window.
        self.level = min(self.level + self.size * (now - self.at) / TICKS_PER_SECOND, self.burst)
        self.at = now

    def went(self, now, node, count=1):
        self.advance(now)
        self.level -= count
        self.least = min(self.least, self.level)
        self.passed[now // TICKS_PER_SECOND] += count
        if self.level < -1e-6:
            self.broken.append((now, "over the rate", f"by {-self.level:.2f}, node {node}"))

    def again(self, now, node):
        (at, level), (size, burst) = self.second, self.more
        level = min(level + size * (now - at) / TICKS_PER_SECOND, burst) - 1
        self.second = now, level
        if level < -1e-6:
            self.broken.append((now, "over the further forwards", f"by {-level:.2f}, node {node}"))

    def began(self, now, node, count=1):
        self.advance(now)
        self.under_way += count
        self.most = max(self.most, self.under_way)
        if self.under_way > self.at_once:
            self.broken.append((now, "too many under way", f"{self.under_way}, node {node}"))

    def ended(self, now, count=1):
        self.under_way -= count

    def use(self, now, start, end):
        """Of the limit, in whole seconds from start to end."""
        seconds = range(start // TICKS_PER_SECOND + 1, end // TICKS_PER_SECOND)
        return sum(self.passed[s] for s in seconds) / max(len(seconds), 1) / self.size


class LimitedWorld(World):
    """`way`: "shares", or beside it "equal" (an equal part each, no words) or "none" (no coordination: each
    node goes by the whole limit).
    """

    def __init__(self, seed, way="shares", scale=1, **shape):
        super().__init__(seed, executors=0, **{"kinds": LIMIT_FAULTS, **shape})
        self.way, self.scale = way, scale
        self.limits = self.laid(1)
        more = AGAIN * scale, max(AGAIN_BURST * scale, self.count)
        self.over = Over(PER_SECOND * scale, BURST * scale, AT_ONCE * scale, more)
        self.weights, self.still = [1] * self.count, False

    def laid(self, part):
        n, rate = self.count, int(PER_SECOND * self.scale * part * THOUSANDTHS)
        burst, at_once = max(int(BURST * self.scale * part), n), int(AT_ONCE * self.scale * part)
        # Of each limit a tenth is the nodes' own, or all of it.
        equal = self.way == "equal"
        floors = (rate // n, at_once // n) if equal else (rate // 10 // n, 1)
        return [
            Limit("rate", RATE, rate, burst, floors[0], "t", None, False),
            Limit("slots", OPEN, at_once, 0, floors[1], None, "pay", False),
            Limit(
                "again",
                RATE,
                AGAIN * self.scale * THOUSANDTHS,
                max(AGAIN_BURST * self.scale, n),
                AGAIN * self.scale * THOUSANDTHS // n if equal else 0,
                "t",
                None,
                False,
                True,
            ),
        ]

    def parts_for(self, host):
        agreement, count = self.agreement_for(host), 1 if self.way == "none" else self.count
        now, wordless = host.clock(), self.way != "shares"
        sharing = RateLimits(agreement, host.me, count, host.life, self.limits, LEASE, self.drift, HOLD, now)
        if self.way == "none":
            for meter in sharing.gate.meters.values():
                meter.share, meter.until = meter.pool, 2**62
        return [agreement, sharing] if not wordless else [Alone(sharing)]

    def told(self, part, spread=TICKS_PER_SECOND):
        """The limits become `part` of what they were: each node's file is read again at its own time."""
        self.limits, last = self.laid(part), 0
        for host in self.hosts:
            wait = self.random.randrange(1, spread)
            last = max(last, wait)
            self.later(wait, self.retune, host, self.limits)
        # What is out already binds until its lease has ended, and what went through by it.
        ends = int(LEASE * (1 + self.drift) / (1 - self.drift) ** 2) + 2
        hold = int(HOLD * (1 + self.drift) / (1 - self.drift)) + 1
        rate, slots, _ = self.limits
        self.over.resize(self.now + last + ends + hold, rate.size / THOUSANDTHS, rate.burst, slots.size)

    def retune(self, host, limits):
        if host.alive:
            host.parts[-1].retune(host.clock(), limits)
            host.pull()

    # What is asked for.

    def move(self):
        if self.still:
            return
        self.later(MOVES, self.move)
        how, n = self.random.randrange(3), self.count
        if how == 0:
            self.weights = [1] * n
        elif how == 1:
            one = self.random.randrange(n)
            self.weights = [int(i == one) for i in range(n)]
        else:
            self.weights = [self.random.random() ** 2 for _ in range(n)]

    def work(self):
        self.later(STEP, self.work)
        total = sum(self.weights)
        for host in self.hosts:
            if not host.alive or host.stopped:
                continue
            share = PRESSURE * STEP / TICKS_PER_SECOND * self.weights[host.me] / total
            for _ in range(self.some(share * PER_SECOND * self.scale)):
                gate, inv = host.parts[-1].gate, Asked("view", "t")
                if not gate.take(host.clock(), inv):
                    self.over.went(self.now, host.me)
                    self.done["went through"] += 1
                    if self.random.random() < GOES_AGAIN and gate.further(host.clock(), inv):
                        gate.again(host.clock(), inv)
                        self.over.again(self.now, host.me)
                        self.done["went again"] += 1
            for _ in range(self.some(share * AT_ONCE * self.scale / 0.6)):
                inv = Asked("pay", None)
                if not host.parts[-1].gate.take(host.clock(), inv):
                    self.over.began(self.now, host.me)
                    self.done["under way"] += 1
                    self.later(
                        self.random.randrange(HOLD // 5, HOLD * 98 // 100), self.end_of, host, host.life, inv
                    )
            host.pull()

    def some(self, mean):
        whole = int(mean)
        return whole + (self.random.random() < mean - whole)

    def end_of(self, host, life, inv):
        self.over.ended(self.now)
        if host.life == life:
            host.parts[-1].gate.give(inv)

    def learned(self, node, key, value):
        """No board here."""

    def voted(self, host):
        """Nor votes for one."""


class Alone:
    """Limits without a fleet: the gate alone."""

    watching, files, out = (), (), ()
    # Nothing here forgets.
    voter, writing, dirty = SimpleNamespace(phase="voting"), None, False

    def __init__(self, sharing):
        self.gate, self.sharing = sharing.gate, sharing

    def retune(self, now, limits):
        self.gate.retune(limits, now)

    def nothing(self, *args):
        """A part that has nothing to do."""

    recalled = listed = heard = decide = busy = kept = look = nothing


class Asked:
    """As much of an invocation as limits look at."""

    def __init__(self, operation, tenant):
        self.operation, self.tenant, self.over_quota = SimpleNamespace(name=operation), tenant, False
        self.origin_node = None


def play(seed, seconds=30, **shape):
    """One round: (broken invariants, its world). The limits are halved and given back in the midst of it."""
    w = LimitedWorld(seed, **shape)
    w.open()
    w.later(1, w.move)
    w.run(20 * TICKS_PER_SECOND)
    w.moved = w.over.use(w.now, 8 * TICKS_PER_SECOND, w.now)
    w.trouble(w.now + seconds * TICKS_PER_SECOND)
    w.run(w.now + seconds * TICKS_PER_SECOND // 2)
    w.faulty = w.over.use(w.now, 20 * TICKS_PER_SECOND, w.now)
    w.told(0.5)
    w.run(w.now + seconds * TICKS_PER_SECOND // 2)
    w.heal()
    # Where demand stays as it was last, the limit is used up; w.moved: where it moves, before the faults;
    # w.faulty: amid them.
    w.still, calm = True, w.now + 8 * TICKS_PER_SECOND
    w.run(calm + CALM)
    w.used = w.over.use(w.now, calm, w.now)
    # Floors of nodes without demand are lost, here up to four of five, each a fiftieth of the limit; and a
    # clock may be as fast as the stated rate.
    if w.way == "shares" and w.used < 0.84 / (1 + w.drift):
        w.over.broken.append((w.now, "the limit is used", f"{w.used:.3f} of it in calm"))
    return w.over.broken, w
