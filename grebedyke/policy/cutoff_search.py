"""Search for the running times at which jobs are cut and restarted one tier up (TAGS)."""

from collections import deque
from math import inf, log

from grebedyke.model.window_counter import WindowCounter
from grebedyke.units import TICKS_PER_SECOND


class CutoffSearch:
    """Fits a Bounded Pareto to sizes and searches the cutoffs with the least modelled mean wait."""

    def __init__(self, chance, nodes, refit=10 * TICKS_PER_SECOND, generations=24):
        self.chance, self.nodes, self.refit, self.generations = chance, nodes, refit, generations
        self.sizes, self.capped = deque(maxlen=400), deque(maxlen=200)  # finished; at which a job was cut
        self.kept = self.freed = self.trials = 0  # what cancels of running work were seen to do to the slot
        self.arrivals, self.loose = (
            WindowCounter(TICKS_PER_SECOND, 4),
            1.0,
        )  # loose: the share that may not be cut
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

    def step(self, now, endpoints):
        """One generation a call, so that the search never takes a burst of the node's CPU. True: settled."""
        self.at = self.at or now + self.refit
        if now >= self.at:
            self.at = now + self.refit
            if len(self.sizes) < 30 or self.loose > 0.99:
                self.best, self.why = None, "random spread: too few running times, or no operation may be cut"
                return True
            self.law = self.fit(self.sizes, self.capped)
            ignored = self.kept / (self.kept + self.freed + 1)
            self.model = self.arrivals.total(now) * self.nodes / (4 * TICKS_PER_SECOND), ignored, self.loose
            self.share, self.left, self.trials = 0.5, self.generations, 0
            self.pool = [self.mutate([self.law[0]]) for _ in range(10)]
        if not self.left:
            return False
        self.left -= 1
        self.tiers = self.tiers if self.left < self.generations - 1 else endpoints.assign_tiers(self.share)
        ranked = sorted((self.score(self.law, c, self.tiers, *self.model), c) for c in self.pool)
        if not self.left:
            wait, cuts = ranked[0]
            if wait == inf and self.share > 0.15:
                # No stable cutoffs: a thinner top tier, down to random spread over all workers.
                self.share, self.left = self.share / 2, self.generations
                return False
            plain = self.score(self.law, [], endpoints.assign_tiers(0), *self.model)
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
