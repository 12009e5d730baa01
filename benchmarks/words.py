"""What agreement, maintenance and limits cost a node, simulated: bytes a second sent, and CPU of a core.

    python -m benchmarks.words [--sizes 5,40,200] [--limits 40]

In simulated time without faults; the CPU is that of the parts alone, on this machine.
"""

import time

import click

from grebedyke.rate_limits.definitions import Limit, LimitKind
from grebedyke.testbed.simulated_cluster import Host, World
from grebedyke.testbed.simulated_limits import LimitedRequest, LimitedWorld
from grebedyke.units import TICKS_PER_SECOND

SPAN = 20 * TICKS_PER_SECOND


class Timed(Host):
    """Counts what its parts take, without the world's own work."""

    def __init__(self, world, me):
        super().__init__(world, me)
        self.took, self.inside = 0.0, False

    def timed(self, call, *args):
        if self.inside:
            return call(*args)
        self.inside, start = True, time.perf_counter()
        try:
            return call(*args)
        finally:
            self.inside, self.took = False, self.took + time.perf_counter() - start

    def heard(self, by, message):
        self.timed(super().heard, by, message)

    def pull(self):
        self.timed(super().pull)


class Many(LimitedWorld):
    """So many limits, half of each kind, all of them wanted at each node."""

    def __init__(self, seed, count, **shape):
        self.many = count
        super().__init__(seed, **shape)

    def limits_at(self, fraction):
        n = self.count
        return [
            Limit(f"l{i}", LimitKind.RATE, 100_000 * n, 4 * n, 100, None, f"op{i}", False)
            if i % 2
            else Limit(f"l{i}", LimitKind.CONCURRENCY, 4 * n, 0, 1, None, f"op{i}", False)
            for i in range(self.many)
        ]

    def work(self):
        self.later(TICKS_PER_SECOND // 4, self.work)
        for host in self.hosts:
            for i in range(self.many):
                host.parts[-1].request_limiter.try_acquire(host.clock(), LimitedRequest(f"op{i}", None))
            host.pull()


def told(world, names, start, span):
    """(label, bytes a second, CPU in %) of the busiest node and of the median one."""
    sent = sorted((world.bytes[i] - start[0][i]) / (span / TICKS_PER_SECOND) for i in range(world.count))
    took = sorted((h.took - start[1][h.me]) / (span / TICKS_PER_SECOND) * 100 for h in world.hosts)
    middle = world.count // 2
    return (
        f"{names}: bytes a second {sent[-1]:.0f} at the busiest node, {sent[middle]:.0f} at the median; "
        f"CPU {took[-1]:.2f} and {took[middle]:.2f}% of a core"
    )


def mark(world):
    return dict(world.bytes) | {i: world.bytes[i] for i in range(world.count)}, [h.took for h in world.hosts]


def begun(world):
    world.hosts = [Timed(world, i) for i in range(world.count)]
    for host in world.hosts:
        world.later(world.random.randrange(1, TICKS_PER_SECOND), host.start)
    world.run(8 * TICKS_PER_SECOND)
    return world


@click.command()
@click.option("--sizes", default="5,40,200", show_default=True)
@click.option("--limits", default=40, show_default=True)
def main(sizes, limits):
    for n in map(int, sizes.split(",")):
        voters = 3 if n < 7 else 5
        world = begun(World(1, nodes=n, voters=voters, executors=24, faults=0))
        start = mark(world)
        world.run(world.now + SPAN)
        click.echo(told(world, f"{n} nodes, no plan", start, SPAN))
        world.later(1, world.operate, TICKS_PER_SECOND // 10)
        plan = {"machines": [e.name for e in world.executors], "most": 4, "workMs": 60_000, "leastShare": 0.5}
        start, began = mark(world), world.now
        world.call(b"/v1/maintenance/plan", plan)
        world.run(world.now + TICKS_PER_SECOND)
        while not world.settled():
            world.run(world.now + TICKS_PER_SECOND // 10)
        click.echo(told(world, f"{n} nodes, a plan of 24, four at a time", start, world.now - began))
        click.echo(f"    the plan took {(world.now - began) / TICKS_PER_SECOND:.1f} s")
        world = begun(Many(1, limits, nodes=n, voters=voters, faults=0))
        world.work()
        world.run(world.now + 8 * TICKS_PER_SECOND)
        start = mark(world)
        world.run(world.now + SPAN)
        click.echo(told(world, f"{n} nodes, {limits} limits wanted everywhere, 1 s leases", start, SPAN))


if __name__ == "__main__":
    main()
