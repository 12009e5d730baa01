"""The holder's side of one limit: who has been granted what, and who gets how much next. No I/O.

The sum of what is granted and not known to have ended never exceeds what there is to grant.
"""

from collections import deque

from grebedyke.rate_limits.definitions import OPEN


class Entry:
    """One process of a node. `grants`: (number, amount, until) of those that it may hold."""

    __slots__ = ("grants", "want", "used", "heard", "held", "target")

    def __init__(self):
        self.grants, self.want, self.used, self.heard, self.held, self.target = deque(), 0, 0, 0, 0, 0

    def reckon(self):
        """The most that this process may hold: of its grants the largest, as it may have got any of them."""
        held = self.used
        for _, amount, _ in self.grants:
            if amount > held:
                held = amount
        self.held = held
        return held


class Books:
    """`often`: how often the parts are laid out anew; `ends`: how long a grant may be in force, by the
    holder's clock; `hold`: how much longer what was let through by it may run.
    """

    def __init__(self, kind, total, floor, often, ends, hold):
        self.kind, self.total, self.floor, self.often = kind, total, floor, often
        self.ends, self.hold = ends, hold if kind == OPEN else 0
        self.entries, self.granted, self.laid, self.turn = {}, 0, None, 0

    def hear(self, now, key, have, want, used):
        """That process holds the grant of ask `have`, or a later one."""
        entry = self.entries.get(key)
        if entry is None:
            entry = self.entries[key] = Entry()
        while entry.grants and entry.grants[0][0] < have:
            entry.grants.popleft()
        entry.want, entry.heard = max(want - self.floor, 0), now
        entry.used = max(used - self.floor, 0) if self.kind == OPEN else 0
        before = entry.held
        self.granted += entry.reckon() - before
        return entry

    def grant(self, now, key, number):
        entry = self.entries[key]
        if self.laid is None or now >= self.laid + self.often:
            self.lay(now)
        amount = min(entry.target, max(self.total - (self.granted - entry.held), 0))
        entry.grants.append((number, amount, now + self.ends + self.hold))
        before = entry.held
        self.granted += entry.reckon() - before
        return amount

    def lay(self, now):
        """Water-filling: all get what they want up to one level; what is left over is all nodes' alike."""
        self.laid, self.turn = now, self.turn + 1
        for key, entry in [*self.entries.items()]:
            while entry.grants and entry.grants[0][2] <= now:
                entry.grants.popleft()
            if now >= entry.heard + self.ends + self.hold:
                entry.used = entry.want = 0
                if not entry.grants:
                    self.granted -= entry.held
                    del self.entries[key]
                    continue
            before = entry.held
            self.granted += entry.reckon() - before
        live = [e for e in self.entries.values() if now < e.heard + self.ends]
        for entry, amount in zip(live, filled([e.want for e in live], self.total, self.turn), strict=True):
            entry.target = amount


def filled(wants, total, turn=0):
    """Whole parts of `total`; who is given one of the last few goes round by `turn`, so that none starves.

    >>> filled([10, 1, 10], 9), filled([1, 1], 10), filled([5, 5, 5], 2, 0), filled([5, 5, 5], 2, 1)
    ([4, 1, 4], [5, 5], [1, 1, 0], [0, 1, 1])
    >>> filled([], 5), filled([0, 0, 0], 2, 1), filled([7], 0)
    ([], [0, 1, 1], [0])
    """
    if not wants:
        return []
    left, n = total, len(wants)
    level = 0
    for done, want in enumerate(sorted(wants)):
        level = left // (n - done)
        if want > level:
            break
        left -= want
        level = want
    parts = [min(want, level) for want in wants]
    left = total - sum(parts)
    # What nobody asked for is shared alike, so that whoever wants more at once finds some.
    spare = left // n if sum(wants) <= total else 0
    parts, left = [part + spare for part in parts], left - n * spare
    for k in range(n):
        i = (turn + k) % n
        if left and (parts[i] < wants[i] or sum(wants) <= total):
            parts[i], left = parts[i] + 1, left - 1
    return parts
