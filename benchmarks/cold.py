"""What cold executors get from all nodes together, beside the bound at which they fall.

    python -m benchmarks.cold [--seed 1] [--rounds 10] [--nodes 1,5,30] [--seconds 30]

Simulated, without sockets: dispatchers as `run` builds them from settings, executors of the stand-in. A round
draws its settings, executors and traffic by its seed: some nodes have several times the mean and some nearly
none, half of the executors are replaced at once, the lists tell of it seconds apart, a burst comes, and a
fifth of the nodes restart again and again.

A call counts by its work over the mean work, also where it is turned away. The bound of any window that the
settings name is N + 2 root N + 2, N being what they allow the executor at the window's end.
"""

import random
from collections import deque
from concurrent.futures import ProcessPoolExecutor
from heapq import heappop, heappush
from itertools import count
from math import inf
from typing import NamedTuple

import click

from grebedyke.model.outcome import Outcome
from grebedyke.service.configuration import open_dispatcher, terms
from grebedyke.standin.model import Worker
from grebedyke.units import TICKS_PER_SECOND

SIZES = 1, 5, 30
TICK, WAY = 50, 10  # between two turns of a node; on the way to an executor
WARM_UP = 6 * TICKS_PER_SECOND  # before the first replacement: the nodes have learnt their rates


class Worst(NamedTuple):
    """The window that came nearest to its bound; calls of mean work, `raw` by their number alone."""

    share: float
    calls: float
    bound: float
    allowed: float
    raw: int
    told: float
    age: float


class Host:
    """An executor's place: who works there now, and what reached it while it was cold."""

    def __init__(self, id, worker, born, weight):
        self.id, self.worker, self.born, self.weight, self.up = id, worker, born, weight, True
        self.power, self.window, self.report = worker.slots * worker.speed, deque(), (0, 0)


class Round:
    """One drawn round; `run` plays it and gives the worst window of any cold executor."""

    def __init__(self, seed, nodes, seconds=30):
        self.seed, self.n = seed, nodes
        self.random = random.Random(f"{seed} {nodes}")
        self.now, self.end, self.events, self.ids = 0, seconds * TICKS_PER_SECOND, [], count(1)
        self.worst, self.windows, self.over, self.sent, self.cold, self.done = None, 0, [], 0, 0, 0
        self.settings()
        self.dispatchers, self.heard = [None] * nodes, [{} for _ in range(nodes)]
        self.due, self.invs, self.hosts = {}, {}, {}
        for _ in range(self.machines):
            self.machine(-inf)
        # Lognormal: of thirty the busiest has some five times the mean, the idlest a thirtieth of it.
        self.weights = [self.random.lognormvariate(0, 1.1) for _ in range(nodes)]
        self.delays = [self.random.uniform(0.05, 3) * TICKS_PER_SECOND for _ in range(nodes)]

    def settings(self):
        draw, pick = self.random.uniform, self.random.choice
        self.cold_from, self.ramp = draw(0.15, 0.5), int(draw(5, 20) * TICKS_PER_SECOND)
        self.multiple, self.tip = draw(2, 4), int(draw(0.5, 2) * TICKS_PER_SECOND)
        self.probes, self.starts, self.hints = pick((False, True)), pick((False, True)), pick((False, True))
        self.machines = self.random.randint(*((6, 12) if self.n < 9 else (10, 24)))
        # Of several sizes, told roughly as the list's weights; else all alike.
        self.unlike, self.slots = pick((False, True)), pick((1, 2, 4, 8))
        works = [draw(0.05, 0.5), draw(0.3, 1.8)]  # two operations' mean work, in seconds
        self.works, self.part = works, draw(0.6, 0.95)
        self.mean = works[0] * self.part + works[1] * (1 - self.part)
        self.calm, self.burst = draw(0.1, 0.9), draw(1.0, 3.0)  # offered work over capacity
        self.rules = {
            "drainGraceMs": 2000,
            "fallMultiple": self.multiple,
            "coldFrom": self.cold_from,
            "rampTimeMs": self.ramp / 10,
            "tipAfterMs": self.tip / 10,
        }

    def terms(self, me):
        return terms(
            {
                "balancers": self.n,
                "me": me,
                "tickMs": TICK / 10,
                "zone": "a",
                "rules": self.rules,
                "operations": [
                    {
                        "name": "short",
                        "idempotency": "safe",
                        "latencyObjectiveMs": 400,
                        "clientTimeoutMs": 5000,
                        "aimStretch": 2.0,
                    },
                    {
                        "name": "long",
                        "idempotency": "keyed",
                        "windowMs": 10_000,
                        "group": "all",
                        "latencyObjectiveMs": 400,
                        "clientTimeoutMs": 6000,
                        "aimStretch": 2.0,
                    },
                ],
                "limits": {
                    "maxForwards": 4,
                    "probes": self.probes,
                    "maxRetryAfterMs": 2000,
                    "retryAfter": True,
                },
                "familyInfo": {"tellsStart": self.starts},
                "billedValueBy": "request",
            }
        )

    def drawn(self):
        return (
            f"{self.machines} executors, {'unlike' if self.unlike else f'{self.slots} slots'}, multiple "
            f"{self.multiple:.1f}, window {self.tip / TICKS_PER_SECOND:.1f} s, from {self.cold_from:.2f} in "
            f"{self.ramp / TICKS_PER_SECOND:.0f} s, load {self.calm:.1f} and {self.burst:.1f}, mean "
            f"{self.mean:.2f} s, probes {self.probes:d}, starts {self.starts:d}, hints {self.hints:d}"
        )

    def machine(self, born):
        slots = self.random.choice((1, 2, 4, 8, 16)) if self.unlike else self.slots
        speed = self.random.uniform(0.7, 1.3) if self.unlike else 1
        # Here is only counted what would fell it: a fall would hide all that comes after.
        worker = Worker(
            slots,
            speed,
            queue=4 * slots,
            cold=self.cold_from,
            ramp=self.ramp / TICKS_PER_SECOND,
            multiple=inf,
            window=0,
            born=born / TICKS_PER_SECOND,
        )
        weight = slots * speed * self.random.uniform(0.8, 1.25) if self.unlike else 1
        host = Host(f"s-{next(self.ids)}", worker, born, weight)
        self.hosts[host.id] = host
        return host

    def later(self, at, call, *args):
        heappush(self.events, (int(at), next(self.ids), call, args))

    def run(self):
        for node in range(self.n):
            self.start(node)
            self.later(self.random.random() * TICKS_PER_SECOND, self.arrive, node, self.dispatchers[node])
        back = WARM_UP + self.random.uniform(0.2, 3) * TICKS_PER_SECOND
        self.later(1, self.reports)
        self.later(WARM_UP, self.replace, max(len(self.hosts) // 2, 1), back)
        self.later(back + self.ramp // 3, self.replace, 2, back + self.ramp // 3 + TICKS_PER_SECOND)
        self.hot = [back + self.random.uniform(0, 3) * TICKS_PER_SECOND, back + 8 * TICKS_PER_SECOND]
        for i in range(4 if self.n > 1 else 2):
            self.later(back + self.random.uniform(0.1, 10) * TICKS_PER_SECOND, self.restart, i)
        self.later(back + 4 * TICKS_PER_SECOND, self.move)
        while self.events and self.events[0][0] <= self.end:
            self.now, _, call, args = heappop(self.events)
            call(*args)
        return self

    # The nodes.

    def start(self, node):
        dispatcher = open_dispatcher(f"{self.seed} {node} {self.now}", self.terms(node))
        self.dispatchers[node], self.heard[node] = dispatcher, {}
        dispatcher.unlisted(self.now)
        self.listed(node, True, [self.row(h) for h in self.hosts.values() if h.up])

    def row(self, host, state="healthy"):
        return host.id, "a", "std", 0, state, host.born if host.born > -inf else 0, host.weight

    def listed(self, node, whole, rows):
        for row in rows:
            self.heard[node][row[0]] = max(row[5], self.heard[node].get(row[0], 0))
        self.dispatchers[node].listed(self.now, whole, rows)
        self.pull(node)

    def restart(self, turn):
        for node in range(turn % 5, self.n, 5) if self.n > 1 else (0,):
            self.later(self.now + 1, self.start, node)

    def move(self):
        """Clients go to other nodes."""
        self.random.shuffle(self.weights)

    def arrive(self, node, _):
        hot = self.hot[0] <= self.now < self.hot[1]
        capacity = sum(h.power for h in self.hosts.values() if h.up) / self.mean
        # A node with next to nothing looks again soon: its traffic may grow.
        rate = capacity * (self.burst if hot else self.calm) * self.weights[node] / sum(self.weights)
        gap = self.random.expovariate(rate)
        if gap < 0.5:
            self.later(self.now + gap * TICKS_PER_SECOND + 1, self.take, node)
        self.later(self.now + min(gap, 0.5) * TICKS_PER_SECOND + 1, self.arrive, node, _)

    def take(self, node):
        long = self.random.random() > self.part
        # Where no hint tells of it, one call of N times the mean would be nobody's fault.
        work = self.works[long] * (
            self.random.gammavariate(2, 0.5) if self.hints else self.random.uniform(0.4, 1.6)
        )
        id = next(self.ids)
        self.invs[id] = work, self.dispatchers[node]
        hint = work * TICKS_PER_SECOND * self.random.uniform(0.7, 1.4) if self.hints else 0
        self.dispatchers[node].taken(
            self.now, id, ("short", "long")[long], None, self.now + 5 * TICKS_PER_SECOND, hint, 1
        )
        self.pull(node)

    def pull(self, node):
        if node not in self.due or self.due[node] <= self.now:
            self.due[node] = self.now - self.now % TICK + TICK
            self.later(self.due[node], self.turn, node)

    def turn(self, node):
        dispatcher = self.dispatchers[node]
        while (decision := dispatcher.decide(self.now)) is not None:
            kind, *rest = decision
            if kind == "forward":
                n = len(dispatcher.requests[rest[0]].attempts) - 1
                self.later(
                    self.now + WAY,
                    self.come,
                    node,
                    dispatcher,
                    rest[0],
                    n,
                    rest[1],
                    self.heard[node].get(rest[1], 0),
                )
                self.later(
                    self.now + max(rest[2], 1),
                    self.tell,
                    node,
                    dispatcher,
                    "ended",
                    rest[0],
                    n,
                    Outcome.TIMEOUT,
                    False,
                )
            elif kind == "probe":
                self.later(self.now + 2 * WAY, self.probed, node, dispatcher, rest[0])
            elif kind == "wake":
                self.later(max(rest[0], self.now + 1), self.wake, node, dispatcher)

    def wake(self, node, dispatcher):
        if dispatcher is self.dispatchers[node]:
            self.pull(node)

    def tell(self, node, dispatcher, call, *args):
        if dispatcher is self.dispatchers[node]:
            getattr(dispatcher, call)(self.now, *args)
            self.pull(node)

    def probed(self, node, dispatcher, id):
        host = self.hosts.get(id)
        answer = (
            (Outcome.SUCCEEDED, *host.report) if host and host.up else (Outcome.CONNECT_FAILED, None, None)
        )
        self.tell(node, dispatcher, "probed", id, *answer)

    # The executors.

    def reports(self):
        """What reports say is up to half a second old."""
        for host in self.hosts.values():
            report = host.worker.report()
            host.report = report["x0"], report["inflight"]
        self.later(self.now + TICKS_PER_SECOND // 2, self.reports)

    def come(self, node, dispatcher, id, n, name, known):
        host = self.hosts.get(name)
        if not host or not host.up:
            self.later(
                self.now + WAY, self.tell, node, dispatcher, "ended", id, n, Outcome.CONNECT_FAILED, False
            )
            return
        work = self.invs[id][0]
        self.sent += 1
        self.weigh(host, work / self.mean, known >= host.born)
        job = node, dispatcher, id, n
        said = host.worker.take(self.now / TICKS_PER_SECOND, job, "", "op", work)
        if said == "full":
            self.later(
                self.now + WAY, self.tell, node, dispatcher, "ended", id, n, Outcome.REJECTED, False, 0
            )
        elif said == "began":
            self.began(host, job)

    def began(self, host, job):
        if self.starts:
            self.later(self.now + WAY, self.tell, job[0], job[1], "started", job[2], job[3])
        ends = next(j.ends for j in host.worker.running if j.id == job)
        self.later(ends * TICKS_PER_SECOND + 1, self.finish, host, host.born)

    def finish(self, host, born):
        if not host.up or host.born != born:
            return
        free = host.worker.report()["x0"]
        for done in host.worker.finished(self.now / TICKS_PER_SECOND):
            node, dispatcher, id, n = done.id
            self.done += 1
            self.later(
                self.now + WAY, self.tell, node, dispatcher, "ended", id, n, Outcome.SUCCEEDED, True, free
            )
        for job in host.worker.started(self.now / TICKS_PER_SECOND):
            self.began(host, job.id)

    def replace(self, many, back):
        """So many go at once; each comes back cold, under its old name or a new one."""
        for host in self.random.sample([h for h in self.hosts.values() if h.up], many):
            host.up = False
            held = [*host.worker.running, *host.worker.waiting]
            for node, dispatcher, id, n in (job.id for job in held):
                self.later(
                    self.now + WAY,
                    self.tell,
                    node,
                    dispatcher,
                    "ended",
                    id,
                    n,
                    Outcome.CONNECTION_RESET,
                    False,
                )
            self.spread(host, "gone")
            self.later(
                max(back + self.random.uniform(0, 0.3) * TICKS_PER_SECOND, self.now + 1), self.back, host
            )

    def back(self, host):
        if self.random.random() < 0.5:
            del self.hosts[host.id]
            host = self.machine(self.now)
        else:
            host.worker.restart(self.now / TICKS_PER_SECOND)
            host.up, host.born = True, self.now
            host.window.clear()
        self.spread(host, "healthy")

    def spread(self, host, state):
        for node in range(self.n):
            self.later(self.now + self.delays[node], self.change, node, self.row(host, state))

    def change(self, node, row):
        # A node that has restarted meanwhile had the whole list; a late change takes nothing back.
        host = self.hosts.get(row[0])
        if row[4] == "gone" and host and host.up and self.heard[node].get(row[0], 0) >= host.born:
            return
        self.listed(node, False, [row])

    # The judge.

    def weigh(self, host, calls, told):
        warmth = host.worker.warmth(self.now / TICKS_PER_SECOND)
        if warmth >= 1:
            return
        self.cold += 1
        window = host.window
        window.append((self.now, calls, told))
        while window[0][0] <= self.now - self.tip:
            window.popleft()
        total = sum(x for _, x, _ in window)
        known = sum(x for _, x, told in window if told) / total
        allowed = self.multiple * warmth * host.power * self.tip / TICKS_PER_SECOND / self.mean
        bound = allowed + 2 * allowed**0.5 + 2
        if known <= 2 / 3:
            return  # most came from nodes that had not been told: no fault of theirs
        self.windows += 1
        worst = Worst(
            total / bound,
            total,
            bound,
            allowed,
            len(window),
            known,
            (self.now - host.born) / TICKS_PER_SECOND,
        )
        self.worst = max(self.worst or worst, worst)
        if total > bound:
            self.over.append((self.now, host.id))


def play(args):
    return Round(*args).run()


def one(args):
    played = play(args)
    return played.worst, len(played.over), played.windows, played.sent, played.cold, played.drawn()


@click.command()
@click.option("--seed", default=1, help="Of the first round.")
@click.option("--rounds", default=10, help="Drawn rounds for each number of nodes.")
@click.option("--nodes", default=",".join(map(str, SIZES)), help="Numbers of nodes.")
@click.option("--seconds", default=30, help="Simulated, for each round.")
@click.option("--beside", default=2, help="Rounds played at the same time.")
@click.option("--every/--worst-only", default=False, help="Each round's line, too.")
def main(seed, rounds, nodes, seconds, beside, every):
    with ProcessPoolExecutor(beside) as pool:
        for n in map(int, nodes.split(",")):
            found = list(pool.map(one, [(seed + i, n, seconds) for i in range(rounds)]))
            for i, (worst, over, windows, sent, cold, drawn) in enumerate(found if every else ()):
                print(
                    f"  seed {seed + i}: {line(worst)}; over in {over} of {windows}; {cold} of {sent} "
                    f"calls at cold ones; {drawn}"
                )
            worst = max(row[0] for row in found if row[0])
            over, windows, _, cold = (sum(row[i] for row in found) for i in range(1, 5))
            print(
                f"{n} nodes, {rounds} rounds: worst {line(worst)}; over the bound in "
                f"{sum(bool(row[1]) for row in found)} rounds, {over} of {windows} windows; "
                f"{cold} calls at cold ones"
            )


def line(worst):
    return worst and (
        f"{worst.calls:.1f} calls ({worst.raw} by number) beside {worst.bound:.1f} "
        f"(N {worst.allowed:.1f}), {worst.told:.0%} told, at {worst.age:.1f} s"
    )


if __name__ == "__main__":
    main()
