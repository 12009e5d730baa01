"""What is known of the endpoints beyond the list: own load, credit, health, warm-up, tiers."""

from math import inf, log
from zlib import crc32

from grebedyke.model import CANCELLED, FULL, MOOT, OK, RESET, Ring, Roster
from grebedyke.policy.wait_model import Tier
from grebedyke.units import TICKS_PER_SECOND


class EndpointTable(Roster):
    """What is known of the executors beyond the list: own load, credit, health, cold turns, tiers."""

    def __init__(self, zone, me, nodes, cold_from, ramp, multiple, quick, progress, cross, split=0):
        self.zone, self.me, self.nodes, self.quick, self.progress = zone, me, nodes, quick, progress
        self.cold_from, self.ramp, self.multiple, self.cross = cold_from, ramp, multiple, cross
        super().__init__(split)
        self.missed, self.levels, self.kinds, self.slots = {}, {}, {}, {}
        self.pace, self.mean, self.late, self.bias, self.learnt = 1.0, 0.0, [0.0, 0.0], 0.0, 0
        self.trims, self.widest, self.scale = Ring(TICKS_PER_SECOND // 10, 5), 1, 1.0
        # How often work began at once where the report had no slot free, and where it had: at first as said.
        self.told, self.queue, self.starts = [0.2, 1.0], 0.0, [3, 3]

    def assign_tiers(self, share):
        """Tiers split each kind alike by hashed id; (workers, slots times speed) of each, for all nodes."""
        self.share, seen, rows = share, {}, [[0, 0.0], [0, 0.0]]
        for e in self.listed:
            seen[e.kind] = seen.get(e.kind, 0) + 1
            e.tier = int(share > 0 and seen[e.kind] % round(1 / share) == 0)
            rows[e.tier][0] += 1
            rows[e.tier][1] += max(e.credit, 1.0) * self.nodes * e.speed
        tiers = [Tier(*row) for row in rows]
        return tiers if share else tiers[:1]

    def warmth(self, e, now):
        return min(1.0, self.cold_from + (1 - self.cold_from) * max(now - e.born, 0) / self.ramp)

    def spare(self, e, now):
        """Rule 4 counts all nodes: each sends a young one its part of half the multiple, first by turns."""
        rate = max(self.sends.total(now, 4), self.sends.total(now) / 4, 1)  # else it feeds on itself
        part = self.multiple / 2 * self.warmth(e, now) * rate
        # By the list's weights where it is a small one: it falls at less than the mean does.
        gap = max(len(self.listed), self.heft / e.weight) * 4 * TICKS_PER_SECOND / part
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
        gap, start = (
            1.4 * self.progress or 3 * TICKS_PER_SECOND,
            self.quick + max(x for x in (0, *e.floor) if x < inf),
        )
        return all(
            now <= (max(e.heard, f.sent) + gap if f.began else f.sent + start + f.far) for f in e.out.values()
        )

    def keeper(self, group, now, silent=False):
        """The node by whose book a group is lent: by hash; while no word comes of it the next one."""
        missed, until = self.missed.get(group, (0, 0))
        missed = (missed if now < until else 0) + silent
        if silent:
            self.missed[group] = missed, now + 4 * TICKS_PER_SECOND
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
            e.trimmed = now + TICKS_PER_SECOND // 2
            e.credit = max(0.1, runs, e.credit * max(0.4, 2 * self.quick / wait))
            self.trims.add(now)
        # Many nodes at few slots: one forward each would be too much; credit under one rests in between. The
        # bound grows with the nodes: a start 3 s late, at a hang's end, cost one of three half a minute.
        e.shut = max(
            e.shut, now + min(int(took * max(1 / e.credit - 1, 0)), self.nodes * TICKS_PER_SECOND // 8)
        )

    def lag(self, now):
        # Only starts change it, and over an invocation's slack it lets none begin: so it fades without them.
        return self.bias * min(1.0, 2.0 ** (1 - (now - self.learnt) / TICKS_PER_SECOND))

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
            e.full[op] = now + TICKS_PER_SECOND
            self.sends.add(now, -1)  # sent on and on under overload, it would make all parts grow
            e.credit = max(1.0, min(e.credit, e.used)) if min(e.full.values()) > now else e.credit
        elif outcome not in (CANCELLED, MOOT):
            # Written off, but tried again at a bounded, growing distance with a single forward. Errors too:
            # one that fails at once is always free. A reset between answers is its connection's.
            e.fails += 1
            if e.fails > (outcome == RESET):
                e.shut, e.credit = now + (TICKS_PER_SECOND // 4 << min(e.fails, 4)), 1.0
