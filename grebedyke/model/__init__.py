"""What the dispatcher keeps books on. Plain types and the calls around them; nothing here decides.

Times are whole tenths of a millisecond. Objects point to each other; ids serve only at the door.

The calls a host makes on a Dispatcher (any protocol's adapter is such a host):

    listed(now, whole, rows)   the executor list; a row is (id, zone, kind, cell, state, born, weight),
                               state one of "healthy", "draining", "gone"; whole: rows replace the list
    by_hand(now, id, out)      an operator bans an executor, or takes that back, beside whatever the
                               list says; gives whether the list ever had it
    unlisted(now)              the node begins, or an ask for the list or the subscription failed
    taken(now, id, operation, tenant, due, hint, slots)   an invocation; due: the client gives up then
    started(now, id, n, opened) / progressed(now, id, n)   notes on forward n of an invocation; opened: a
                               connection was opened for it
    ended(now, id, n, outcome, closed, free)          how a forward ended; see OUTCOMES; free: slots that the
                               executor reported free with it, None without a report
    bid(now, (by, number), ...) / lent(now, by, number, rank) / refused(now, number, over)
                               words of other nodes; wire/words.py delivers them, and what they say of
                               forwards
                               as the calls above
    probed(now, id, outcome, free, held)              a probe's answer: free slots and work held there by the
                               executor's report, None for what it lacks
    left(now, id)                                    the client left; a wake that is due needs no call

After any inputs of one instant the host takes decide(now) until it gives None:

    ("forward", inv id, executor id, time allowed)    ("cancel", inv id, n)
    ("throttle", inv id, come back after)              ("error", inv id)
    ("probe", executor id)   ("wake", at)   ("follow",)   ("note", text)   ("tell", node, kind, number, ...)
"""

from math import inf
from typing import NamedTuple
from zlib import crc32

IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT = "idempotent", "deduplicated", "non-idempotent"
# Outcomes of a forward; those in UNRUN prove that it never ran.
OK, FAULT, FULL, TIMEOUT, NO_CONNECTION, RESET, CANCELLED, MOOT = OUTCOMES = (
    "ok",
    "fault",
    "full",
    "timeout",
    "no connection",
    "reset",
    "cancelled",
    "moot",
)
UNRUN = frozenset((FULL, NO_CONNECTION, MOOT))


class Parts(NamedTuple):
    """What a dispatcher is put together of (brain.py)."""

    cutoffs: object
    fleet: object
    shares: object
    budget: object


class Means(NamedTuple):
    """What there is to do with at a site: cancels, notes of starts, probes, and asking for the list."""

    cancels: bool
    starts: bool
    probes: bool
    asks: bool


class Bounds(NamedTuple):
    """forwards: of one invocation; back: the latest time to come back that is told; most: open at once."""

    forwards: int
    back: int
    most: int


class Operation:
    __slots__ = (
        "name",
        "effect",
        "group",
        "window",
        "objective",
        "stretch",
        "value",
        "late_value",
        "kind",
        "mean",
        "span",
        "timeout",
    )

    def __init__(
        self,
        name,
        effect,
        group,
        window,
        objective,
        stretch,
        value,
        late_value=0.0,
        kind=None,
        timeout=50_000,
    ):
        self.name, self.effect, self.group, self.window = name, effect, group, window
        self.objective, self.stretch, self.value, self.late_value = objective, stretch, value, late_value
        self.kind, self.mean, self.span, self.timeout = kind, 0.0, 0, timeout


class Executor:
    __slots__ = (
        "id",
        "rank",
        "zone",
        "kind",
        "cell",
        "born",
        "said",
        "state",
        "tier",
        "out",
        "credit",
        "work",
        "busy",
        "speed",
        "wait",
        "floor",
        "heard",
        "shut",
        "fails",
        "full",
        "cut",
        "trimmed",
        "used",
        "asked",
        "weight",
        "sent",
        "told",
        "group",
        "ahead",
    )

    def __init__(self, id, rank):
        self.id, self.rank, self.heard, self.sent, self.tier, self.out = id, rank, -inf, -inf, 0, {}
        self.credit, self.speed, self.floor, self.born = 2.0, 1.0, [inf, inf], None
        self.work = self.busy = self.wait = self.ahead = 0.0
        self.full = {}  # by operation: until when it is not asked, having turned that away
        self.shut = self.fails = self.cut = self.trimmed = self.used = self.asked = self.told = 0
        self.group = None

    def list(self, zone, kind, cell, state, born, weight):
        if self.born is not None and born and born > self.born:
            # Restarted: what was known of its health is of its former life.
            self.shut, self.fails, self.full, self.credit = 0, 0, {}, min(self.credit, 2.0)
        self.zone, self.kind, self.cell, self.said, self.weight = zone, kind, cell, state, max(weight, 0.01)
        self.born = born or -inf  # 0: long past


class Invocation:
    __slots__ = (
        "id",
        "op",
        "arrived",
        "due",
        "size",
        "slots",
        "over",
        "latest",
        "first",
        "forwards",
        "out",
        "tier",
        "done",
        "held",
        "key",
        "hint",
        "rounds",
        "ask_at",
        "asked",
        "abroad",
        "asker",
        "number",
        "tried",
        "asking",
        "group",
        "lent",
        "tenant",
        "back",
    )

    def __init__(self, id, op, arrived, due, size, hint, slots, over, tenant=None, asker=None):
        self.id, self.op, self.arrived, self.due = id, op, arrived, due
        self.size, self.hint, self.slots = size, hint, slots
        self.over, self.latest, self.first = over, due, arrived
        self.forwards, self.out, self.tier, self.key = [], 0, 0, None
        self.done = self.held = False
        self.rounds, self.ask_at, self.asked, self.abroad = 0, 0, [], False
        # asker: the node whose invocation it is, None: this one's; group: of executors kept here, to place
        # it.
        self.asker, self.tenant = asker, tenant
        self.number = self.asking = self.group = self.lent = None
        self.tried, self.back = (), 0  # back: when to come back, where a limit says so

    def ask_anew(self, number):
        self.number, self.tried, self.ask_at = number, set(), 0
        self.asking = self.group = self.lent = None
        return self


class Forward:
    __slots__ = (
        "inv",
        "n",
        "tgt",
        "sent",
        "began",
        "cancelled",
        "done",
        "cut",
        "unrun",
        "guess",
        "opened",
        "lender",
        "number",
        "far",
        "news",
        "load",
        "told",
        "ahead",
    )

    def __init__(self, inv, tgt, sent, lender=None):
        self.inv, self.n, self.tgt = inv, len(inv.forwards), tgt
        self.sent, self.began, self.guess = sent, 0, tgt.wait
        self.cancelled = self.done = self.cut = self.unrun = self.opened = False
        # Whether the report that it went by had a slot free, None: it went by none; the wait reckoned by it.
        self.told, self.ahead = None, tgt.ahead
        # lender: the node by whose book it went, None: this one's; number: under which it was asked for.
        self.lender, self.number, self.far, self.news = lender, inv.number, 0, sent
        inv.lent, tgt.sent = None, sent
        inv.forwards.append(self)
        inv.held, inv.out, inv.asked = False, inv.out + 1, []
        tgt.out[inv.id, self.n], tgt.used = self, tgt.used + inv.slots
        self.load = tgt.used

    def end(self, unrun):
        self.done, self.unrun = True, unrun
        del self.tgt.out[self.inv.id, self.n]
        self.inv.out, self.tgt.used = self.inv.out - 1, self.tgt.used - self.inv.slots


class Ring:
    """Counts over the last `spans` fixed spans of time, each bucket used again when its time is past.

    >>> r = Ring(10, 3)
    >>> r.add(5, 2); r.add(12, 1); r.total(19), r.total(19, 1), r.total(30), r.total(99)
    (3, 1, 1, 0)
    """

    __slots__ = ("span", "spans", "marks", "sums")

    def __init__(self, span, spans):
        self.span, self.spans = span, spans
        self.marks, self.sums = [-1] * spans, [0] * spans

    def add(self, now, amount=1):
        mark = now // self.span
        i = mark % self.spans
        if self.marks[i] != mark:
            self.marks[i], self.sums[i] = mark, 0
        self.sums[i] += amount

    def buckets(self):
        """(mark, count) of each bucket in use, the oldest first; a mark times the span is when it began."""
        return sorted((m, s) for m, s in zip(self.marks, self.sums) if s)

    def total(self, now, spans=None):
        """Of the last `spans`, all without it."""
        first = now // self.span - (spans or self.spans) + 1
        return sum(s for m, s in zip(self.marks, self.sums) if m >= first)


class SeededRandom:
    """Same seed, same draws, whatever the process or the hash seed: crc32 over the seed and a counter."""

    def __init__(self, seed):
        self.seed, self.count = crc32(str(seed).encode()), 0

    def draw(self):
        # A plain counter's digits leave crc32 lumpy; an odd multiple of it spreads over all its bits.
        self.count = (self.count + 0x9E3779B97F4A7C15) % 2**64
        return crc32(self.count.to_bytes(8, "little"), self.seed) / 2**32

    def pick(self, things):
        return things[int(self.draw() * len(things))]


class Roster:
    """The executors as the list, its changes and operators' hands have them; groups: by zone and hashed
    id, if split.

    >>> r, row = Roster(0), ("e", "a", "m", 0, "healthy", 0, 1)
    >>> r.assign_tiers = lambda share: None
    >>> r.update(10, True, [row]); r.by_hand(20, "e", True), r.by_hand(20, "x", True), r.all["e"].state
    (True, False, 'banned')
    >>> r.update(30, True, [row]); r.all["e"].state, r.by_hand(40, "e", False)
    ('banned', True)
    >>> r.all["e"].state, r.all["e"].born
    ('healthy', 40)
    """

    def __init__(self, split):
        self.split, self.all, self.listed, self.groups, self.ranks, self.floors = split, {}, [], {}, {}, {}
        self.top, self.heft, self.share, self.sends = 1, 0, 0.0, Ring(10_000, 16)
        # By name, since the list may lose an executor that is out and have it again: out since when; who came
        # back, out from when until when; every name that the list had of late.
        self.banned, self.returned, self.names = {}, {}, {}

    def by_hand(self, now, id, out):
        """An operator's word, beside whatever the list says; False: the list never had it."""
        e = self.all.get(id)
        if out and id in self.names:
            self.banned.setdefault(id, now)
        elif id in self.banned:
            # It was restarted meanwhile and is cold, though the list may not have told so yet.
            self.returned[id] = self.banned.pop(id), now
        self.update(now, False, [(id, e.zone, e.kind, e.cell, e.said, e.born, e.weight)] if e else [])
        return id in self.names

    def books(self):
        """What a process that goes on with this node's work has to know, in plain types; see `recall`."""
        return {
            "rows": [
                (e.id, e.zone, e.kind, e.cell, e.said, max(e.born, 0), e.weight) for e in self.all.values()
            ],
            "banned": self.banned,
            "returned": self.returned,
            "names": [*self.names],
            "sends": (self.sends.marks, self.sends.sums),
        }

    def recall(self, now, books):
        self.banned, self.returned = books["banned"], books["returned"]
        self.names = dict.fromkeys(books["names"])
        # One clock and one budget for young executors: what the other process sent counts.
        self.sends.marks, self.sends.sums = books["sends"]
        self.update(now, True, books["rows"])

    def update(self, now, whole, rows):
        for e in self.all.values() if whole else ():
            e.said = "gone"
        for id, zone, kind, cell, state, born, weight in rows:
            e = self.all.get(id) or self.all.setdefault(id, Executor(id, crc32(str(id).encode())))
            self.names.pop(id, None)
            self.names[id], life = None, e.born
            away, back = self.returned.get(id, (-inf, 0))
            e.list(zone, kind, cell, state, born if born > away else back or born, weight)
            e.told = e.told if e.born == life else now
            # The least that a start takes is the way's: of a large fleet's single executors a node sees so
            # few starts that each one's own least would be a wait itself, and overload would not show.
            e.floor = self.floors.setdefault(e.zone, [inf, inf])
        while len(self.names) > 4 * len(self.all) + 1_000:
            del self.names[next(iter(self.names))]
        for e in self.all.values():
            e.state = "banned" if e.id in self.banned and e.said == "healthy" else e.said
        self.all = {id: e for id, e in self.all.items() if e.state != "gone" or e.out or e.asked}
        self.listed = sorted((e for e in self.all.values() if e.state == "healthy"), key=lambda e: e.rank)
        self.top = max((e.weight for e in self.listed), default=1)
        self.heft = sum(e.weight for e in self.listed)
        self.groups, self.ranks = {}, {e.rank: e for e in self.all.values()}
        for e in self.listed:
            e.group = (e.zone, e.rank % self.split) if self.split else None
            self.groups.setdefault(e.group, []).append(e)
        self.assign_tiers(self.share)
