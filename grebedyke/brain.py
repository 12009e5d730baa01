"""All decisions of grebedyke: which worker gets an invocation, what is held, cut, restarted or given up.

A host feeds one Dispatcher with what happens, then pulls decide(now) until it gives None. The calls stand in
grebedyke/ledger/__init__.py; docs/design.md says what follows the TAGS paper and when a departure acts."""

from collections import deque
from heapq import heappop, heappush
from itertools import islice
from math import inf, log
from zlib import crc32

from grebedyke.ledger import CANCELLED, DEDUPLICATED, FULL, IDEMPOTENT, MOOT, NON_IDEMPOTENT, OK, RESET
from grebedyke.ledger import TIMEOUT, UNRUN, Forward, Invocation, Ring, Roster

SECOND = 10_000
# A keeper that says nothing for so long is taken for dead; what it lent and never hears of is its own again.
PATIENCE, LEASE, FOREVER = SECOND // 10, 4 * SECOND, 2**62


class Cutoffs:
    """Fits a Bounded Pareto to sizes and searches the cutoffs with the least modelled mean wait."""

    def __init__(self, chance, nodes, refit=10 * SECOND, generations=24):
        self.chance, self.nodes, self.refit, self.generations = chance, nodes, refit, generations
        self.sizes, self.capped = deque(maxlen=400), deque(maxlen=200)  # finished; at which a job was cut
        self.kept = self.freed = self.trials = 0  # what cancels of running work were seen to do to the slot
        self.arrivals, self.loose = Ring(SECOND, 4), 1.0  # loose: the share that may not be cut
        self.at, self.left, self.why, self.best, self.share = 0, 0, "", None, 0.0

    @staticmethod
    def fit(sizes, capped=()):
        """Most likely (k, p, alpha) of a Bounded Pareto; a cut job only says that it is above its cutoff."""
        # The smallest times say more of the tick than of the jobs; above a higher k the law is the same.
        sizes = sorted(sizes)[len(sizes) // 20 :]
        k, n, a = sizes[0], len(sizes), 1.0
        p = max(max(sizes), max(capped, default=0) * 1.01, k * 1.01)
        logs = sum(log(max(x / k, 1.0)) for x in (*sizes, *capped))
        for _ in range(30):  # slope of the likelihood 0: n / a = logs + n log(p/k) / ((p/k)^a - 1)
            a = (a + min(n / (logs + n * log(p / k) / ((p / k) ** a - 1)), 3.0)) / 2
        return k, p, a

    @staticmethod
    def moment(law, j, low, high):
        """Integral of x^j over the density from low to high; at alpha = j the power form turns into a log."""
        k, p, a = law
        c = a * k**a / (1 - (k / p) ** a)
        return c * (log(high / low) if abs(a - j) < 1e-6 else (low ** (j - a) - high ** (j - a)) / (a - j))

    def score(self, law, cuts, tiers, rate, ignored=0.0, fixed=0.0):
        """Mean wait by Pollaczek-Khinchine over tiers of (workers, slots x speed); inf when overloaded."""
        # ignored: the share of cancels that free nothing; fixed: of jobs that may not be cut.
        edges, p, total, before = [law[0], *cuts, law[1]], law[1], 0.0, 0.0
        for i, (workers, power) in enumerate(tiers):
            low, high = edges[i], edges[i + 1]
            ends, above = self.moment(law, 0, low, high), self.moment(law, 0, high, p)
            visit = [0.0, 0.0]
            for j in (1, 2):
                longer = ignored * self.moment(law, j, high, p) + (1 - ignored) * above * high**j
                visit[j - 1] = (1 - fixed) * (self.moment(law, j, low, high) + longer)
                visit[j - 1] += fixed * self.moment(law, j, edges[0], p) if i == 0 else 0.0
            load = rate * visit[0] / power if power > 0 else inf
            if load >= 1:
                return inf
            before += rate * visit[1] * workers / power**2 / (2 * (1 - load))
            total += before * ((1 - fixed) * ends + (fixed if i == 0 else 0.0))
            before += high * workers / power
        return total

    def step(self, now, fleet):
        """One generation a call, so that the search never takes a burst of the node's CPU. True: settled."""
        self.at = self.at or now + self.refit
        if now >= self.at:
            self.at = now + self.refit
            if len(self.sizes) < 30 or self.loose > 0.99:
                self.best, self.why = None, "random spread: too few running times, or no operation may be cut"
                return True
            self.law = self.fit(self.sizes, self.capped)
            ignored = self.kept / (self.kept + self.freed + 1)
            self.model = self.arrivals.total(now) * self.nodes / (4 * SECOND), ignored, self.loose
            self.share, self.left, self.trials = 0.5, self.generations, 0
            self.pool = [self.mutate([self.law[0]]) for _ in range(10)]
        if not self.left:
            return False
        self.left -= 1
        self.tiers = self.tiers if self.left < self.generations - 1 else fleet.lay(self.share)
        ranked = sorted((self.score(self.law, c, self.tiers, *self.model), c) for c in self.pool)
        if not self.left:
            wait, cuts = ranked[0]
            if wait == inf and self.share > 0.15:
                # No stable cutoffs: a thinner top tier, down to random spread over all workers.
                self.share, self.left = self.share / 2, self.generations
                return False
            plain = self.score(self.law, [], fleet.lay(0), *self.model)
            # The model is rough: cutting must promise clearly less waiting than leaving jobs alone.
            self.best = cuts if wait < 0.8 * plain else None
            self.why = "%s: cut at %d ms, wait %.1f ms, random %.1f ms" % (
                "cutting" if self.best else "random spread",
                cuts[0] / 10,
                wait / 10,
                plain / 10,
            )
            return True
        n, self.pool = len(ranked), [c for _, c in ranked[:2]]  # elitism
        while len(self.pool) < n:  # the paper's odds for the i-th ranked
            self.pool.append(self.mutate(ranked[n - 1 - int((self.chance.draw() * n * n) ** 0.5)][1]))
        return False

    def mutate(self, cuts):
        (k, p, _), i = self.law, int(self.chance.draw() * len(cuts))
        low, high = [k, *cuts][i], [*cuts, p][i + 1]
        return cuts[:i] + [low * (high / low) ** self.chance.draw()] + cuts[i + 1 :]


class Fleet(Roster):
    """What is known of the executors beyond the list: own load, credit, health, cold turns, tiers."""

    def __init__(self, zone, me, nodes, cold_from, ramp, multiple, quick, progress, cross, split=0):
        self.zone, self.me, self.nodes, self.quick, self.progress = zone, me, nodes, quick, progress
        self.cold_from, self.ramp, self.multiple, self.cross = cold_from, ramp, multiple, cross
        super().__init__(split)
        self.missed, self.levels, self.kinds, self.slots = {}, {}, {}, {}
        self.pace, self.mean, self.late, self.bias, self.learnt = 1.0, 0.0, [0.0, 0.0], 0.0, 0
        self.trims, self.widest, self.scale = Ring(SECOND // 10, 5), 1, 1.0
        # How often work began at once where the report had no slot free, and where it had: at first as said.
        self.told, self.queue, self.starts = [0.2, 1.0], 0.0, [3, 3]

    def lay(self, share):
        """Tiers split each kind alike by hashed id; (workers, slots times speed) of each, for all nodes."""
        self.share, seen, rows = share, {}, [[0, 0.0], [0, 0.0]]
        for e in self.listed:
            seen[e.kind] = seen.get(e.kind, 0) + 1
            e.tier = int(share > 0 and seen[e.kind] % round(1 / share) == 0)
            rows[e.tier][0] += 1
            rows[e.tier][1] += max(e.credit, 1.0) * self.nodes * e.speed
        return rows if share else rows[:1]

    def warmth(self, e, now):
        return min(1.0, self.cold_from + (1 - self.cold_from) * max(now - e.born, 0) / self.ramp)

    def spare(self, e, now):
        """Rule 4 counts all nodes: each sends a young one its part of half the multiple, first by turns."""
        rate = max(self.sends.total(now, 4), self.sends.total(now) / 4, 1)  # else it feeds on itself
        part = self.multiple / 2 * self.warmth(e, now) * rate
        # By the list's weights where it is a small one: it falls at less than the mean does.
        gap = max(len(self.listed), self.heft / e.weight) * 4 * SECOND / part
        turn = (self.me + e.rank) % self.nodes / self.nodes
        return now >= (e.sent + gap if e.sent >= e.born else e.told + gap * turn)

    def ready(self, e, now):
        if e.shut > now or e.state != "healthy" or e.used >= max(1.0, e.credit * self.warmth(e, now)):
            return False
        # Who lends by a book sees all that a young one gets: its credit by warmth is enough.
        if not self.split and now - e.born < self.ramp and not self.spare(e, now):
            return False
        # Own work that waits there says that it is full now, whatever credit it had earned before. Begun
        # work of which no note comes: hung, cut off or dead; a slow one still sends its notes.
        gap, start = 1.4 * self.progress or 3 * SECOND, self.quick + max(x for x in (0, *e.floor) if x < inf)
        return all(
            now <= (max(e.heard, f.sent) + gap if f.began else f.sent + start + f.far) for f in e.out.values()
        )

    def keeper(self, group, now, silent=False):
        """The node by whose book a group is lent: by hash; while no word comes of it the next one."""
        missed, until = self.missed.get(group, (0, 0))
        missed = (missed if now < until else 0) + silent
        if silent:
            self.missed[group] = missed, now + 4 * SECOND
        return (crc32(repr(group).encode()) + missed) % self.nodes

    def began(self, e, now, f, took):
        """A start note is the freshest answer: work begun at once earns credit, work that waits loses it."""
        # What opening a connection takes is no wait there: it would cost far executors all their credit.
        floor = e.floor[f.opened] = min(e.floor[f.opened] + 1, took)
        wait = took - floor
        e.wait += 0.3 * (wait - e.wait)
        if f.told is not None:
            self.starts[f.told] += 1
            self.told[f.told] += ((wait <= self.quick) - self.told[f.told]) / min(self.starts[f.told], 10)
            if not f.told:
                self.queue += 0.1 * (f.ahead - self.queue) if self.queue else f.ahead
            if f.guess > 0:
                # What reported queues come to, over what they were reckoned at: slots and sizes are rough.
                self.scale = min(max(self.scale * (1 + 0.1 * (wait - f.guess) / (wait + f.guess)), 0.1), 10.0)
        # Work that came since the report makes waits longer than it said: under overload, always.
        self.bias, self.learnt = 0.75 * self.lag(now) + min(max(wait - f.guess, 0), 40 * self.quick) / 4, now
        # How late work starts at home and abroad, as a share of the objective: what crossing would save.
        side = e.zone != self.zone
        self.late[side] += 0.1 * (min(wait / (10 * self.quick), 1) - self.late[side])
        if self.split:
            # So many as the book had there mostly begin at once, or wait. Late starts of other causes
            # would keep slots empty. One more is tried now and then.
            level, n = self.levels, 1
            level[e.kind, f.load] = level.get((e.kind, f.load), 0.8) * 0.9 + 0.1 * (wait <= self.quick)
            level[e.kind, f.load + 1] = min(level.get((e.kind, f.load + 1), 0.8) + 0.002, 1.0)
            while level.get((e.kind, n + 1), 0) > 0.6:
                n += 1
            e.credit = float(n)
        elif wait <= self.quick and e.used >= e.credit - 1:
            e.credit = min(e.credit + min(1 / e.credit, e.credit / 2), 64.0)
        elif wait > 2 * self.quick and now > e.trimmed and self.trims.total(now) * 2 <= len(self.listed):
            # When all are slow at once the cause is not this executor: then most keep their credit.
            runs = sum(g.began > 0 for g in e.out.values())  # so many slots are this node's just now
            e.trimmed = now + SECOND // 2
            e.credit = max(0.1, runs, e.credit * max(0.4, 2 * self.quick / wait))
            self.trims.add(now)
        # Many nodes at few slots: one forward each would be too much; credit under one rests in between. The
        # bound grows with the nodes: a start 3 s late, at a hang's end, cost one of three half a minute.
        e.shut = max(e.shut, now + min(int(took * max(1 / e.credit - 1, 0)), self.nodes * SECOND // 8))

    def lag(self, now):
        # Only starts change it, and over an invocation's slack it lets none begin: so it fades without them.
        return self.bias * min(1.0, 2.0 ** (1 - (now - self.learnt) / SECOND))

    def probed(self, now, id, outcome, free, held):
        """What other nodes send is seen here alone: the report gives the work there by its slots."""
        e = self.all[id]
        e.asked = 0
        if outcome != OK or free is None or held is None:
            return outcome not in (OK, FULL) and self.failed(e, now, outcome)
        # All slots show when the widest job finds room: none waits. The most of noisy reports is too much.
        slots = self.slots.get(e.kind, 1)
        if free >= self.widest:
            slots += (0.1 if slots > 1 else 1) * (free + held - slots)
            self.slots[e.kind] = slots = max(slots, 1)
        e.ahead = (max(held - slots, 0) + 0.5) / slots * self.mean / e.speed if free < 0.5 else 0
        # What is worked off while a report ages shows in the share of such queues that are gone by then.
        gone = -log(1 - min(self.told[0] / (self.told[1] + 0.01), 0.9)) * self.queue
        e.wait = max((e.ahead - gone) * self.scale, 0)

    def ran(self, e, size, time, mean):
        """Speed by the hints against the time taken: else a slow worker's jobs would pass for long ones."""
        k = self.kinds.setdefault(e.kind, [0.0, 0.0])
        k[0], k[1] = k[0] * 0.99 + size, k[1] * 0.99 + time
        e.work, e.busy = e.work * 0.9 + size, e.busy * 0.9 + time
        w = 2 * mean + 1
        e.speed = max(0.05, (e.work + w * (k[0] + w) / (k[1] + w)) / (e.busy + w))
        self.pace += 0.02 * (e.speed - self.pace)

    def failed(self, e, now, outcome, op=None):
        if outcome == FULL:
            # Some turn away one operation only. Where all workers do, its work waits here: the design's hold.
            e.full[op] = now + SECOND
            self.sends.add(now, -1)  # sent on and on under overload, it would make all parts grow
            e.credit = max(1.0, min(e.credit, e.used)) if min(e.full.values()) > now else e.credit
        elif outcome not in (CANCELLED, MOOT):
            # Written off, but tried again at a bounded, growing distance with a single forward. Errors too:
            # one that fails at once is always free. A reset between answers is its connection's.
            e.fails += 1
            if e.fails > (outcome == RESET):
                e.shut, e.credit = now + (SECOND // 4 << min(e.fails, 4)), 1.0


class Shares:
    """A bucket a tenant, filled by this part of its quota, emptied by what comes: the surplus is over."""

    def __init__(self, quotas, nodes):
        self.quotas, self.nodes, self.levels, self.tenants, self.limits = quotas, nodes, {}, [*quotas], None

    def over(self, now, tenant, parts=None):
        if tenant not in self.quotas:
            return False
        rate = self.quotas[tenant] / (parts or self.nodes)
        level, at = self.levels.get(tenant, (inf, now))
        level = min(level + rate * (now - at) / SECOND, max(rate, 2.0))
        self.levels[tenant] = level - (level >= 1), now
        return level < 1


class Budget:
    """Rule 5: forwards beyond each invocation's first, in any window, out of what this node took in it."""

    def __init__(self, free, share, window):
        self.free, self.share, self.window, self.shut = free, share, window, 0
        # Counted also where no rule is set: a reload may bring one, and what went before is in its window.
        span = max((window or 10 * SECOND) // 48, 1)
        self.took, self.again = Ring(span, 64), Ring(span, 64)

    def left(self, now):
        """How many may go now, and the window's allowance; its edge counts where that allows less."""
        if not self.window:
            return inf, inf
        allowance = self.free + self.share * self.took.total(now, 47)
        return (allowance - self.again.total(now, 50) if now >= self.shut else 0), allowance

    def books(self):
        """For the process that goes on with this node's work; to the rule both are one, so this one stops."""
        shut, self.shut = self.shut, FOREVER
        return self.took.buckets(), self.again.buckets(), self.took.span, shut

    def alone(self, now):
        """The process that had it has gone, and what it sent is unknown: none for a window."""
        self.shut = min(self.shut, now + self.window + 2 * self.took.span)

    def recall(self, now, took, again, span, shut):
        """Goes on with the counts of another process, or of other settings, whose rings may have had less."""
        for mark, n in took:
            self.took.add(mark * span, n)
        for mark, n in again:
            self.again.add(min((mark + 1) * span - 1, now), n)
        short = self.window + 3 * self.took.span > 62 * span
        self.shut = max(shut, now + self.window + 2 * self.took.span if short else 0)


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
            spread = SECOND * min(0.05 * self.fleet.nodes, 2) * 2**self.ask_fails
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
            if self.shares.limits and (back := self.shares.limits.take(now, inv)):
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
                self.shares.limits.give(inv)

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
                max(min(inv.latest, now + SECOND // 10 if inv.group else inv.ask_at), now + self.tick)
                if self.tells
                else soon
                for inv in self.held
                if inv.held
            ]
            wake = min(now + SECOND, self.ask_at or inf, soon if self.cuts or self.cutoffs.left else inf, *at)
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
        paid = paid and (not limits or limits.further(now, f.inv))
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
        thin = self.means.probes and work < SECOND * len(fleet.listed)
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
                        self.shares.limits.again(now, inv)
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
        inv.rounds, inv.ask_at = inv.rounds + 1, now + SECOND // 20
        left = [e for e in fleet.listed if not e.asked and e not in some]
        side = [e for e in left if (e.zone != fleet.zone) == inv.abroad] or left
        # First those where own work started at once and ended lately; short jobs have turned that over.
        keep, young = self.chance.draw() * SECOND < 2 * fleet.mean, now - fleet.ramp
        known = [
            e
            for e in side
            if keep and not e.out and now < e.heard + 4 * SECOND and e.born < young and e.wait <= fleet.quick
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
        fleets = not self.shares.limits or self.shares.limits.further(now, inv)
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
        free, again = free or all(f.unrun for f in inv.forwards), inv.back or SECOND // 2
        self.finish(inv)
        return ("throttle", inv.id, min(self.bounds.back, again)) if free else ("error", inv.id)
