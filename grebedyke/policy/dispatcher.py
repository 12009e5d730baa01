"""Routes events to the decisions and their actions to the host."""

from collections import deque
from heapq import heappop, heappush
from itertools import islice
from math import inf

from grebedyke.model import (
    CANCELLED,
    DEDUPLICATED,
    IDEMPOTENT,
    MOOT,
    NON_IDEMPOTENT,
    OK,
    TIMEOUT,
    UNRUN,
    Forward,
    Invocation,
)
from grebedyke.units import TICKS_PER_SECOND

# A keeper that says nothing for so long is taken for dead; what it lent and never hears of is its own again.
PATIENCE, LEASE = TICKS_PER_SECOND // 10, 4 * TICKS_PER_SECOND


class Dispatcher:
    def __init__(self, chance, parts, operations, tick, by_work, means, bounds):
        self.chance, (self.cutoffs, self.fleet, self.shares, self.budget) = chance, parts
        self.operations, self.ops, self.tick, self.by_work = operations, [*operations.values()], tick, by_work
        self.means, self.bounds, self.tells = means, bounds, self.fleet.split > 0
        self.invs, self.held, self.cuts, self.probed = {}, {}, [], self.fleet.probed
        self.alarm, self.flow, self.count, self.seen, self.ask_at, self.ask_fails = 0, None, 0, 0, 0, 0
        self.words, self.asked, self.leases, self.number = deque(), {}, deque(), int(chance.draw() * 2**31)

    def listed(self, now, whole, rows):
        self.fleet.update(now, whole, rows)
        self.ask_fails, self.count = 0, self.count + 1

    def by_hand(self, now, id, out):
        self.count += 1
        return self.fleet.by_hand(now, id, out)

    def unlisted(self, now):
        """At start or after a failed ask: spread by the number of nodes; widely only after a failure."""
        if self.means.asks:
            spread = TICKS_PER_SECOND * min(0.05 * self.fleet.nodes, 2) * 2**self.ask_fails
            self.ask_fails = min(self.ask_fails + 1, 3)
            self.ask_at = now + int(spread * self.chance.draw()) + 1

    def taken(self, now, id, operation, tenant, due, hint, slots, asker=None):
        op, fleet = self.operations[operation], self.fleet
        size = hint or op.mean or fleet.quick
        over = not self.tells and self.shares.over(now, tenant)  # else its keeper tells
        inv = self.invs[id] = Invocation(id, op, now, due, size, hint, slots, over, tenant, asker)
        fleet.widest = max(fleet.widest, slots)
        spare = max(0.0, op.stretch - 1 / fleet.pace) * size * 0.7
        # A client's repeat keeps its first try's client timeout: what is left of it tells when that came.
        # Of clients in a hurry too: sent while their size fits, they pushed others into lateness (200 nodes).
        op.span = max(op.span, due - now)
        inv.first = due - op.span
        inv.latest = min(inv.first + int(op.objective * 0.6 + spare), due - 4 * self.tick)
        if asker is None:
            self.cutoffs.arrivals.add(now)
            self.budget.took.add(now)
            fleet.mean += 0.1 * (size - fleet.mean) if fleet.mean else size
            # Without start notes nothing tells what a cut gives back.
            fixed = op.effect != IDEMPOTENT or not (self.means.cancels and self.means.starts)
            self.cutoffs.loose += 0.05 * (fixed - self.cutoffs.loose)
            self.hold(inv)
            if self.shares.limits and (back := self.shares.limits.try_acquire(now, inv)):
                inv.latest, inv.back = now, back  # over one of the whole fleet's: answered at once
        return inv

    def hold(self, inv):
        self.count += 1
        inv.key, inv.held = -self.count, True
        self.held[inv] = None
        if self.tells and inv.asker is None:
            self.number = (self.number + 1) % 2**32
            self.asked[self.number] = inv.ask_anew(self.number)

    def bid(self, now, id, rank, left, size, tenant, slots, tier, op, again, over):
        """Another node's invocation is held here like an own one, until an executor is lent to it."""
        e, known = self.fleet.ranks.get(rank), id in self.invs or len(self.invs) >= self.bounds.most
        if self.tells and e and op < len(self.ops) and not known:
            tenant = self.shares.tenants[tenant] if tenant < len(self.shares.tenants) else None
            left, slots = min(left, self.ops[op].timeout), min(max(slots, 1), 64)  # whatever a node says
            inv = self.taken(now, id, self.ops[op].name, tenant, now + left, min(size, left), slots, id[0])
            inv.tier, inv.group = min(tier, 1), e.group
            # Whose traffic is beyond its share shows here, where a zone's work comes together.
            inv.over = bool(over) if again else self.shares.over(now, tenant, len(self.fleet.groups))
            self.hold(inv)

    def lent(self, now, by, number, rank):
        """By a keeper's book; what this node's own list says of the executor goes before it (rule 3)."""
        inv, e = self.asked.get(number), self.fleet.ranks.get(rank)
        if inv and e and not inv.lent and e.state == "healthy" and self.allowed(inv, e, now):
            inv.lent, self.count = (e, by), self.count + 1
        else:
            self.words.append(("tell", by, "end", number, MOOT, None))

    def refused(self, now, number, over):
        if (inv := self.asked.get(number)) and inv.asking:
            inv.asking, inv.ask_at, inv.over, self.count = None, now, over, self.count + 1

    def started(self, now, id, n, opened=False, took=None):
        if (f := self.forward(id, n)) and not f.cancelled:
            e, f.opened = f.tgt, opened
            e.heard, e.full[f.inv.op] = now, 0
            took = now - f.sent if took is None else min(took, now - f.sent)
            if f.lender is not None:
                self.words.append(("tell", f.lender, "began", f.number, took, opened))
            self.fleet.began(e, now, f, took)
            self.clock(f, now)
            if e.cut and f.sent < e.cut:
                # Work that waited behind a cut job starts right after it: the cancel gave the slot back.
                freed, c = now - e.cut <= e.floor[opened] + 2 * self.tick, self.cutoffs
                c.freed, c.kept, e.cut = c.freed + freed, c.kept + (not freed), 0
                # Four are enough to score by: not a whole refit's cuts in vain.
                c.at = now if c.freed + c.kept == 4 else c.at

    def clock(self, f, began):
        f.began, e, best = began, f.tgt, self.cutoffs.best
        if best and e.tier < len(best) and f.inv.op.effect == IDEMPOTENT and self.means.cancels and not f.far:
            self.count += 1
            heappush(self.cuts, (began + int(best[e.tier] / e.speed), self.count, f))

    def progressed(self, now, id, n):
        if f := self.forward(id, n):
            f.tgt.heard, f.news, f.began = now, now, f.began or now
            if f.lender is not None:
                self.words.append(("tell", f.lender, "news", f.number))

    def forward(self, id, n):
        inv = self.invs.get(id)
        return inv.forwards[n] if inv and n < len(inv.forwards) and not inv.forwards[n].done else None

    def ended(self, now, id, n, outcome, closed, free=None):
        if not (f := self.forward(id, n)):
            return
        inv, e, fleet, self.count = f.inv, f.tgt, self.fleet, self.count + 1
        f.end(outcome in UNRUN)
        if free is not None and not self.means.starts and f.lender is None:
            # Credit is then the most slots seen free at once; more while some are though the book is full.
            slots = max(fleet.slots.get(e.kind, 1.0), round(free))
            slots += 0.05 * (free - 0.3) if self.held and e.used + inv.slots >= int(slots) else 0
            slots = fleet.slots[e.kind] = min(max(slots, 1.0), 64.0)
            e.credit = float(int(slots))
        if f.lender is not None:
            self.words.append(("tell", f.lender, "end", f.number, outcome, free))
        if outcome == OK:
            e.heard, e.fails, e.full[inv.op] = now, 0, 0
            run = max(now - (f.began or f.sent), 1)
            fleet.ran(e, inv.size, run, inv.op.mean)
            # Without hints a size is the running time at the fleet's mean speed: else both drift together.
            size = run * e.speed / (1.0 if inv.hint else fleet.pace)
            inv.op.mean += 0.05 * (size - inv.op.mean) if inv.op.mean else size
            self.cutoffs.sizes.append(size)
        else:
            fleet.failed(e, now, outcome, inv.op)
            if f.cut and outcome == CANCELLED:
                self.cutoffs.capped.append(max(now - f.began, 1) * e.speed)
                inv.tier = e.tier + 1
        if closed:
            self.finish(inv)
        elif not (inv.held or inv.out or inv.done):
            inv.latest = inv.due - 4 * self.tick - int(inv.size / fleet.pace) if f.cut else inv.latest
            self.hold(inv)

    def left(self, now, id):
        if inv := self.invs.get(id):
            self.finish(inv)

    def finish(self, inv):
        inv.held, inv.done = False, True
        self.asked.pop(inv.number, None)
        if inv.lent:
            self.words.append(("tell", inv.lent[1], "end", inv.number, MOOT, None))
        if not inv.out:
            self.invs.pop(inv.id, None)
            if self.shares.limits:
                self.shares.limits.release(inv)

    def decide(self, now):
        self.flow = self.flow or self.work(now)
        decision = next(self.flow, None)
        self.flow = self.flow if decision else None
        return decision

    def work(self, now):
        if 0 < self.ask_at <= now:
            self.ask_at = 0
            yield ("follow",)
        if self.cutoffs.step(now, self.fleet):
            self.fleet.lay(self.cutoffs.share if self.cutoffs.best else 0.0)
            yield ("note", self.cutoffs.why)
        while self.cuts and self.cuts[0][0] <= now:
            f = heappop(self.cuts)[2]
            if self.pays(f, now):
                f.cut = f.cancelled = True
                yield ("cancel", f.inv.id, f.n)
        while self.leases and self.leases[0][0] <= now:
            # Lent, and no word comes of it: the word is lost, its node dead, or the executor hangs.
            f = self.leases.popleft()[1]
            if not f.done and now < f.news + LEASE:
                self.leases.append((now + LEASE, f))
            elif not f.done:
                self.ended(now, f.inv.id, f.n, TIMEOUT, True)
        # What changes nothing for those that wait (starts, progress) must not cost a look at all of them.
        if not self.tells or self.count != self.seen or self.alarm <= now:
            self.seen = self.count
            yield from self.place(now)
            # Each wake costs CPU: what waits for a word wakes at its own time, what is kept by what ends.
            soon = now + 4 * self.tick
            at = [
                max(
                    min(inv.latest, now + TICKS_PER_SECOND // 10 if inv.group else inv.ask_at),
                    now + self.tick,
                )
                if self.tells
                else soon
                for inv in self.held
                if inv.held
            ]
            wake = min(
                now + TICKS_PER_SECOND,
                self.ask_at or inf,
                soon if self.cuts or self.cutoffs.left else inf,
                *at,
            )
            if self.alarm <= now or wake < self.alarm - self.tick:
                self.alarm = wake
                yield ("wake", wake)
        while self.words:
            yield self.words.popleft()

    def pays(self, f, now):
        """Until cancels are known to free slots, cut only where own waiting work will tell if they do."""
        c, waits = self.cutoffs, any(not g.began for g in f.tgt.out.values())
        known, over = c.freed + c.kept >= 4, f.done or f.cancelled or f.inv.done or not c.best
        trial = c.trials < 4 and waits and not f.tgt.cut
        # Cut only what may go again: a cut job that has to be given up has run for nothing.
        left, allowance = self.budget.left(now)
        paid, limits = left >= max(1, allowance / 2), self.shares.limits
        paid = paid and (not limits or limits.may_retry(now, f.inv))
        if over or len(f.inv.forwards) >= self.bounds.forwards or not (known or trial) or not paid:
            return False
        c.trials, f.tgt.cut = c.trials + (not known), now if waits else f.tgt.cut
        return True

    def place(self, now):
        fleet, free = self.fleet, {}
        # Within share first, then the newest: under overload the oldest first makes every answer late.
        order = sorted((inv for inv in self.held if inv.held), key=lambda inv: (inv.over, inv.key))
        self.held = dict.fromkeys(order)
        # Own answers tell little of executors at which under a quarter of a forward of this node is out.
        work = self.cutoffs.arrivals.total(now) * fleet.mean
        thin = self.means.probes and work < TICKS_PER_SECOND * len(fleet.listed)
        for inv in order:
            if now >= inv.latest or inv.forwards and not self.again(inv, now):
                if inv.asker is None:
                    yield self.give_up(inv, now)
                else:
                    self.finish(inv)  # its own node answers it
                continue
            if self.tells and inv.asker is None and not inv.lent and now >= inv.ask_at:
                yield from self.borrow(inv, now)
            if thin:
                some = [e for e in inv.asked if not e.asked and fleet.ready(e, now)]
            elif (some := free.get(inv.group)) is None:
                # From a random place in the hashed list on, and not all: CPU must not grow with the fleet.
                some = fleet.groups.get(inv.group, [])
                at = int(self.chance.draw() * len(some))
                ring = some[at:] + some[:at]
                some = free[inv.group] = list(islice((e for e in ring if fleet.ready(e, now)), 24))
            waits = thin and now < inv.ask_at and any(e.asked for e in inv.asked)
            e, lender = inv.lent or (self.choose(inv, some, now, thin) if some and not waits else None, None)
            # Another report is worth its probe as far as reports were seen to tell where work begins at once.
            gain = fleet.told[1] - fleet.told[0] if thin and e and e.wait > 0 and inv.rounds < 3 else 0
            if gain > 0 and self.chance.draw() < gain and (yield from self.ask(inv, now, some)):
                continue
            if e:
                if inv.forwards and inv.asker is None:
                    self.budget.again.add(now)
                    if self.shares.limits:
                        self.shares.limits.retry_started(now, inv)
                f = Forward(inv, e, now, lender)
                fleet.sends.add(now)
                self.asked.pop(inv.number, None)
                if not self.means.starts:  # the design's second clock: the send plus the modelled wait
                    self.clock(f, now + int(e.wait))
                if e in some and not thin and not fleet.ready(e, now):
                    some.remove(e)
                f.told = not e.ahead if thin else None
                if inv.asker is None:
                    yield ("forward", inv.id, e.id, inv.due - now - 3 * self.tick)
                else:
                    f.far = 2 * PATIENCE
                    self.leases.append((now + LEASE, f))
                    yield ("tell", inv.asker, "lend", inv.id[1], e.rank)
            elif inv.asker is not None and not inv.rounds:
                inv.rounds = 1
                yield ("tell", inv.asker, "none", inv.id[1], inv.over)
            elif thin and not waits:
                # All nodes read the same late reports: asking until one has room makes all meet there.
                again = inv.rounds < (1 + (self.chance.draw() > fleet.late[0]) if some and fleet.slots else 4)
                yield from self.ask(inv, now) if again else (self.give_up(inv, now),)

    def borrow(self, inv, now):
        """Asks the keeper of a randomly drawn executor; another when it has none free or does not answer."""
        fleet = self.fleet
        if inv.asking:
            fleet.keeper(inv.asking, now, silent=True)
            inv.tried.discard(inv.asking)
            inv.asking = None
        leave = self.leave(inv)
        left = [g for g, some in fleet.groups.items() if g not in inv.tried for _ in some]
        pool = [g for g in left if g[0] == fleet.zone] or [g for g in left if now >= leave]
        inv.ask_at = int(leave) + 1 if left and not pool else inv.latest
        if pool:
            group = self.chance.pick(pool)
            inv.tried.add(group)
            to = fleet.keeper(group, now)
            if to == fleet.me:
                inv.group, inv.ask_at = group, now + 1
                inv.over = inv.over if inv.rounds else self.shares.over(now, inv.tenant, len(fleet.groups))
            else:
                inv.asking, inv.ask_at = group, now + PATIENCE
                tenant = [*self.shares.tenants, inv.tenant].index(inv.tenant)
                yield (
                    "tell",
                    to,
                    "ask",
                    inv.number,
                    fleet.groups[group][0].rank,
                    inv.due - now,
                    inv.size,
                    tenant,
                    inv.slots,
                    inv.tier,
                    self.ops.index(inv.op),
                    inv.rounds > 0,
                    inv.over,
                )
            inv.rounds += 1

    def leave(self, inv):
        """Crossing costs by the forward: home is waited for the longer the less there is to gain."""
        part = self.fleet.cross * ((inv.op.mean or inv.size) / inv.size if self.by_work else 1)
        return inv.arrived + part * (inv.latest - inv.arrived)

    def ask(self, inv, now, some=()):
        """One random executor, by size, of home or of the other zones, in turn; some: those asked before."""
        fleet, inv.asked = self.fleet, [*some]
        away = max(4 * (fleet.late[0] - fleet.late[1] - fleet.cross), 0.02)
        inv.abroad = not inv.abroad if inv.rounds else self.chance.draw() < away
        inv.rounds, inv.ask_at = inv.rounds + 1, now + TICKS_PER_SECOND // 20
        left = [e for e in fleet.listed if not e.asked and e not in some]
        side = [e for e in left if (e.zone != fleet.zone) == inv.abroad] or left
        # First those where own work started at once and ended lately; short jobs have turned that over.
        keep, young = self.chance.draw() * TICKS_PER_SECOND < 2 * fleet.mean, now - fleet.ramp
        known = [
            e
            for e in side
            if keep
            and not e.out
            and now < e.heard + 4 * TICKS_PER_SECOND
            and e.born < young
            and e.wait <= fleet.quick
        ]
        # Young ones whose budget has come go before all: with many, the few old would else carry everything.
        turn = [e for e in side if e.born >= young and self.suits(inv, e, now) and fleet.ready(e, now)]
        for _ in range(32 if side else 0):
            e = self.chance.pick(turn or known or side)
            fits = turn or known or self.chance.draw() * fleet.top < e.weight and e.born < young
            if fits and self.suits(inv, e, now) and fleet.ready(e, now):
                inv.asked, e.asked = [*some, e], now
                yield ("probe", e.id)
                return True
        return False

    def again(self, inv, now):
        """Whether a further forward may still come of it; the budget is this node's, not its keeper's."""
        fleets = not self.shares.limits or self.shares.limits.may_retry(now, inv)
        return (inv.asker is not None or self.budget.left(now)[0] >= 1 and fleets) and any(
            self.allowed(inv, e, now) for e in self.fleet.listed
        )

    def allowed(self, inv, e, now):
        """Rule 2: what may have run goes again only where a repeat is dropped, within the window."""
        if len(inv.forwards) >= self.bounds.forwards:
            return False
        first = next((f for f in inv.forwards if not f.unrun), None)
        if first is None or inv.op.effect == IDEMPOTENT:
            return True
        if inv.op.effect == NON_IDEMPOTENT or now + 10 * self.tick > first.sent + inv.op.window:
            return False
        return inv.op.group == "all" or getattr(e, inv.op.group) == getattr(first.tgt, inv.op.group)

    def suits(self, inv, e, now):
        return (
            (not self.cutoffs.best or e.tier == inv.tier)
            and e.full.get(inv.op, 0) <= now
            and inv.op.kind in (None, e.kind)
            and (not inv.forwards or self.allowed(inv, e, now))
        )

    def choose(self, inv, free, now, thin):
        fleet = self.fleet
        pool = [e for e in free if self.suits(inv, e, now)]
        if inv.slots > 1 and 2 * now < inv.arrived + inv.latest:  # a queue's head blocks it
            pool = [e for e in pool if e.used + inv.slots <= max(e.credit * fleet.warmth(e, now), inv.slots)]
        if not thin and not self.tells:
            near = [e for e in pool if e.zone == fleet.zone]
            pool = near if near or now < self.leave(inv) else pool
        end, lag = inv.first + inv.op.objective + inv.op.stretch * inv.size - now, fleet.lag(now)
        if thin:
            pool = [e for e in pool if e.wait + lag <= max(end - inv.size / e.speed, fleet.quick)]
        pool = [e for e in pool if e.wait + inv.size / (e.speed * fleet.warmth(e, now)) <= end] or pool
        if thin and len(pool) > 1:
            return min(pool, key=lambda e: e.wait + inv.size / e.speed)
        far = sum(e.used / e.credit for e in pool) / max(len(pool), 1) + 0.2
        return self.chance.pick([e for e in pool if e.used / e.credit <= far]) if pool else None

    def give_up(self, inv, now):
        """Final at once. A throttling reply says that trying again is harmless (rule 2), an error nothing."""
        free = inv.op.effect == IDEMPOTENT or (inv.op.effect == DEDUPLICATED and inv.op.group == "all")
        free, again = free or all(f.unrun for f in inv.forwards), inv.back or TICKS_PER_SECOND // 2
        self.finish(inv)
        return ("throttle", inv.id, min(self.bounds.back, again)) if free else ("error", inv.id)
