"""Limits of the whole fleet as a part: each node's asks for shares, and the one holder that grants them.

Why the sum of all shares and floors never exceeds a limit, and the bounds: docs/limits.md.
"""

from grebedyke.consensus.component import Component
from grebedyke.rate_limits import definitions
from grebedyke.rate_limits.allocation import Books
from grebedyke.rate_limits.definitions import OPEN, RATE, THOUSANDTHS, whole_bound
from grebedyke.rate_limits.limiter import Gate

HOLDER = "holder"


def term_of(value):
    return value["term"] if value else 0


class RateLimits(Component):
    """Times in tenths of a millisecond. `lease`: of a share, and of the holder's own place; `drift`: by how
    much two clocks' rates may differ; `hold`: how long what was let through may run on after its node's
    death; `now`: when this process began.
    """

    call_paths = (b"/v1/limits",)
    record_files = ()
    controls_exclusions = False

    def __init__(self, agreement, me, nodes, process, limits, lease, drift, hold, now):
        super().__init__(me)
        self.agreement, self.nodes, self.process = agreement, nodes, process
        self.lease, self.drift, self.hold, self.limits = lease, drift, hold, list(limits)
        self.mark = definitions.mark(self.limits)
        agreement.keys.append(HOLDER)
        agreement.listeners.append(self.learned)
        self.next, self.begun = 0, None
        # From the first moment on, by its floors: without it all would go through.
        self.gate = Gate(self.limits, nodes, drift, hold, lease, now)
        # This node's asks: when each was sent; the newest answered, and when that was asked.
        self.asks, self.number, self.have, self.answered, self.term = {}, 0, 0, None, 0
        self.share_asked = None
        self.other, self.hurried = False, 0  # whether the holder has other limits
        # As a voter: when a holder that is sure of its place was heard of last.
        self.heard_at, self.proposing = 0, False
        # As the holder.
        self.until, self.lease_asks, self.lease_next, self.open_at = 0, {}, 0, 0
        self.books, self.sizes = {}, {}

    # Bounds.

    def ends(self):
        """By then, by the holder's clock, a share that was granted now is in force at no node."""
        return whole_bound(self.lease, self.drift)

    def wait(self, kind=None):
        """A new holder grants nothing for so long: the old one's place has ended, then its last shares, then
        what went through by them.
        """
        more = whole_bound(self.hold, self.drift) if kind == OPEN else 0
        return whole_bound(2 * self.lease, self.drift) + more

    # The start.

    def restore(self, now, stored_records):
        self.begun = self.next = self.heard_at = now

    def retune(self, now, limits):
        """Limits of a changed configuration; what is out already binds until its lease ends."""
        self.limits, self.mark = list(limits), definitions.mark(limits)
        self.gate.retune(limits, now)
        self.lay_books(now)
        self.next = now

    # The holder's place.

    @property
    def value(self):
        return self.agreement.chosen_value(HOLDER)

    def holds(self):
        return bool(self.value) and self.value["process"] == self.process

    def sure(self, now):
        """No later holder can have been agreed on, but by a majority that has refused this one since."""
        return self.holds() and now < self.until

    def learned(self, now, key, value):
        if key != HOLDER or not value:
            return
        self.heard_at, self.next = now, min(self.next, now)
        if value["process"] != self.process:
            self.until, self.books = 0, {}
        elif not self.books:
            self.lease_asks, self.lease_next, self.until = {}, now, 0
            self.open_at, self.sizes = now, {}
            self.lay_books(now, True)
            self.log("holder", term=value["term"], grants_in_ms=self.wait() // 10)

    def lay_books(self, now, anew=False):
        if not (anew or self.books):
            return
        before, self.books = self.books, {}
        for limit in self.limits:
            old = before.get(limit.id())
            total = self.total(limit)
            if old and old.kind == limit.kind:
                old.total, old.floor, old.laid = total, limit.floor, None
                self.books[limit.id()] = old
            else:
                self.books[limit.id()] = Books(
                    limit.kind,
                    total,
                    limit.floor,
                    self.lease // 8,
                    self.ends(),
                    whole_bound(self.hold, self.drift),
                )

    def total(self, limit):
        """What there is to grant: by the least that any node's file says."""
        told = [sizes[limit.id()] for sizes in self.sizes.values() if limit.id() in sizes]
        size = min([limit.size, *(size for size, _ in told)])
        floor = max([limit.floor, *(floor for _, floor in told)])
        return definitions.pool(size, floor, self.nodes)

    def elect(self, now):
        """Whoever votes and has heard of no holder for long puts itself there; the first one first."""
        if not self.agreement.is_voting() or self.proposing or self.holds():
            return
        turn = self.agreement.members.index(self.node_id)
        if now < self.heard_at + (self.lease * (2 + turn) if self.value else self.lease * (turn + 1) // 4):
            return
        known, self.proposing = term_of(self.value), True
        mine = {"term": known + 1, "node": self.node_id, "process": self.process}

        def done(now, result):
            self.proposing, self.heard_at = False, now

        # Where another one has come first, that one stays.
        self.agreement.propose(
            now,
            HOLDER,
            lambda value: (mine, True) if term_of(value) == known else (value, False),
            done,
            2 * self.lease,
        )

    def keep_place(self, now):
        if not self.holds() or now < self.lease_next:
            return
        self.lease_next = now + self.lease // 4
        self.number += 1
        epoch = self.agreement.epoch
        self.lease_asks[self.number] = now, epoch, set()
        self.lease_asks = {n: ask for n, ask in self.lease_asks.items() if now < ask[0] + self.lease}
        # A holder that can send but hears no majority must not keep others from its place.
        sure = self.sure(now) or now < self.open_at + self.lease
        for v in self.agreement.members:
            self.send(v, ["t", self.number, term_of(self.value), sure, epoch])

    def place_asked(self, now, by, number, term, sure, epoch):
        """By a voter: yes, as long as it has not accepted a later holder."""
        consensus = self.agreement
        if not consensus.is_voting():
            return
        newest = term_of(consensus.accepted_value(HOLDER))
        if newest > term or epoch < consensus.epoch:
            self.agreement.send_chosen_value(now, by, HOLDER)
        elif sure:
            self.heard_at = now
        yes = newest <= term and epoch == consensus.epoch
        self.send(by, ["T", number, yes, consensus.epoch, consensus.members])

    def place_granted(self, now, by, number, yes, epoch, members):
        self.agreement.adopt_members(now, int(epoch), [int(v) for v in members])
        consensus = self.agreement
        sent, its_epoch, by_whom = self.lease_asks.get(number, (0, None, set()))
        if not yes or its_epoch != epoch or epoch != consensus.epoch or not self.holds():
            return
        by_whom.add(by)
        if len(by_whom & {*consensus.members}) >= consensus.quorum_size():
            self.until = max(self.until, sent + self.lease)

    # Shares.

    def ask(self, now):
        if now < self.next:
            return
        self.next = now + self.lease // 3
        self.number += 1
        self.asks = {n: sent for n, sent in self.asks.items() if now < sent + self.lease}
        self.asks[self.number] = now
        wants = [
            [id, want, meter.used]
            for id, meter in self.gate.meters.items()
            if (want := meter.want(now)) or meter.used or meter.share
        ]
        sizes = [[limit.id(), limit.size, limit.floor] for limit in self.limits] if self.other else []
        to = self.whom(now)
        if to is not None:
            have = self.have if self.term == term_of(self.value) else 0
            term = term_of(self.value)
            self.send(to, ["s", self.number, term, self.process, have, self.mark, wants, sizes])

    def whom(self, now):
        """The holder; where nothing comes of it, a voter in turn, who may know of another."""
        heard = max(self.answered or 0, self.begun)
        if self.value and (now < heard + 2 * self.lease or self.number % 2):
            return self.value["node"]
        members = self.agreement.members
        return members[self.number // 2 % len(members)] if members else None

    def asked(self, now, by, number, term, process, have, mark, wants, sizes):
        if term < term_of(self.value):
            self.agreement.send_chosen_value(now, by, HOLDER)
        if not self.sure(now) or term != term_of(self.value):
            return
        key = int(by), int(process)
        told = {int(id): (int(size), int(floor)) for id, size, floor in sizes}
        if told != self.sizes.get(by, {}):
            self.sizes = {**self.sizes, by: told}
            self.lay_books(now)
        given, wanted = [], {int(id): (int(want), int(used)) for id, want, used in wants}
        begun = [kind for kind in (RATE, OPEN) if now >= self.open_at + self.wait(kind)]
        for id, books in self.books.items():
            if books.kind in begun and (id in wanted or key in books.entries):
                books.hear(now, key, int(have), *wanted.get(id, (0, 0)))
                if amount := books.grant(now, key, int(number)):
                    given.append([id, amount])
        self.send(by, ["S", number, term, mark != self.mark, given])

    def granted(self, now, by, number, term, other, given):
        """Reckoned from when it was asked for, as the word may have been under way for any time."""
        sent = self.asks.get(number)
        if sent is None or not self.current(term) or number <= self.have and term == self.term:
            return
        self.have, self.term, self.answered, self.other = number, term, now, bool(other)
        self.share_asked = sent
        until, amounts = sent + self.lease, {int(id): int(amount) for id, amount in given}
        for id, meter in self.gate.meters.items():
            meter.given(now, amounts.get(id, 0), until)

    def current(self, term):
        """Grants of a former holder have run out before the next one's begin; none is taken after."""
        return term == term_of(self.value)

    def receive(self, now, sender, message):
        kind, *rest = message
        if kind not in ("s", "S", "t", "T"):
            return False
        takes = {"s": self.asked, "S": self.granted, "t": self.place_asked, "T": self.place_granted}
        self.handle_fields(takes[kind], now, sender, rest)
        return True

    # Operators.

    def operator_call(self, now, call, method, path, body):
        if method == b"GET" and path.rstrip(b"/") == self.call_paths[0]:
            self.answer_call(call, 200, self.state(now))
        else:
            self.answer_call(call, 404, "no such call")

    def state(self, now):
        value, rows = self.value, []
        for limit in self.limits:
            meter, unit = self.gate.meters[limit.id()], 1 if limit.kind == OPEN else THOUSANDTHS
            rows.append(
                {
                    "name": limit.name,
                    "kind": "under way" if limit.kind == OPEN else "a second",
                    "tenant": limit.tenant,
                    "operation": limit.operation,
                    "soft": limit.soft,
                    "further": limit.further,
                    "limit": limit.size / unit,
                    "burst": limit.burst,
                    "floor": limit.floor / unit,
                    "share": meter.held(now) / unit,
                    "under_way": meter.used,
                    "passed": meter.passed,
                    "denied": meter.denied,
                }
            )
        return {
            "limits": rows,
            "holder": value and value["node"],
            "term": term_of(value),
            "holds": self.sure(now) and now >= self.open_at + self.wait(),
            "asked_ms_ago": None if self.share_asked is None else (now - self.share_asked) // 10,
            # A node that has been cut off goes on by its floor after that.
            "share_ends_ms": self.lease // 10,
            "next_holder_waits_ms": self.wait() // 10,
            "files_differ": self.other,
        }

    # What goes out.

    def next_action(self, now):
        if self.begun is None:
            return None
        if not self.pending_actions:
            if self.gate.hungry and now >= self.hurried + self.lease // 8:
                # Who has none and is asked for some does not wait for its next turn to ask.
                self.hurried, self.next = now, now
            self.gate.hungry = False
            self.elect(now)
            self.keep_place(now)
            self.ask(now)
        if (action := self.next_pending_action(now)) is not None:
            return action
        return self.schedule_wake(now, min(self.next, self.lease_next) if self.holds() else self.next)
